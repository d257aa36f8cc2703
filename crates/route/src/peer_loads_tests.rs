//! Tests of the load that other daemons report.

use super::{PEER_LOAD_MAX_AGE_US, PeerLoads};
use crate::EngineLoad;

fn running(running: u32) -> EngineLoad {
    EngineLoad {
        running,
        ..EngineLoad::default()
    }
}

/// Guards against counting an outdated report of a daemon, and reports of a daemon that is gone.
#[test]
fn counts_the_last_word_of_each_live_daemon() {
    let mut loads = PeerLoads::default();
    loads.update(0, "b", &[(7, running(3)), (2, running(1))]);
    loads.update(1, "a", &[(7, running(5))]);
    assert_eq!(loads.total_on(7), running(8));
    loads.update(2, "b", &[(2, running(4))]);
    assert_eq!(
        (loads.total_on(7), loads.total_on(2)),
        (running(5), running(4))
    );
    loads.expire(1 + PEER_LOAD_MAX_AGE_US);
    assert_eq!(
        (loads.total_on(7), loads.total_on(2)),
        (running(0), running(4))
    );
}
