use std::sync::Weak;

use metric::Gauges;
use settings::{Config, Host, Upstream, UpstreamLifecycle};

use super::*;
use crate::peers::Peers;

fn shared() -> Shared {
    let host = r#"{
        "name": "entry-1", "region": "costa", "zone": "costa-norte",
        "listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
        "store": "127.0.0.1:1",
        "peer_keys": [{"id": 1, "secret_hex": "00112233445566778899aabbccddeeff"}]
    }"#;
    let host = Host::parse(host).unwrap();
    let peers = Peers::new(&host, Weak::new(), host.peer_listen).unwrap();
    Shared::new(host, peers)
}

fn upstream(started_ms: u64, state: UpstreamLifecycle) -> Upstream {
    serde_json::from_value(serde_json::json!({
        "name": "a", "kind": "service", "address": "127.0.0.1:1", "region": "costa",
        "zone": "costa-norte", "service": "stock", "slots": 4, "state": state,
        "started_ms": started_ms
    }))
    .unwrap()
}

fn put_in_force(shared: &Shared, version: u64, upstreams: &[&Upstream]) {
    let upstreams = upstreams.iter().copied().cloned().collect();
    shared.replace_config(Config {
        version,
        upstreams,
        ..Config::default()
    });
}

fn count(shared: &Shared) -> u64 {
    let text = shared.metrics.encode(&Gauges::default());
    let mut values = text
        .lines()
        .filter_map(|line| line.strip_prefix("fireflylever_sent_after_leaving_total "));
    values.next().unwrap().parse().unwrap()
}

/// Guards against a request to an upstream that this host knows to leave that is neither held back
/// nor counted, and against counting what goes to its next instance.
#[test]
fn attempt_after_a_known_departure_is_held_back_or_counted() {
    let shared = shared();
    let live = upstream(1, UpstreamLifecycle::Live);
    let leaving = upstream(1, UpstreamLifecycle::Leaving);
    let restarted = upstream(2, UpstreamLifecycle::Live);
    let may_send = |upstream| may_send(&shared, "r-1", upstream, 0);
    put_in_force(&shared, 1, &[&live]);
    assert!(may_send(&live));
    put_in_force(&shared, 1, &[&leaving]);
    assert!(!may_send(&live));
    assert_eq!(count(&shared), 0);
    put_in_force(&shared, 2, &[&live]);
    assert!(!may_send(&live));
    assert_eq!(count(&shared), 0);
    put_in_force(&shared, 3, &[&restarted]);
    assert!(may_send(&restarted));
    assert_eq!(count(&shared), 0);
    // A newer configuration ends a departure of the platform's list of hosts, which names no
    // instance.
    shared.with_core(|_, core| core.dispatcher.set_leaving("a"));
    assert!(!may_send(&restarted));
    put_in_force(&shared, 4, &[&restarted]);
    assert!(may_send(&restarted));
    assert_eq!(count(&shared), 1);
}

/// Guards against a request that waits for its connection while its upstream leaves, or starts again
/// under its name at another address, and that is then sent to the address of before.
#[test]
fn attempt_at_an_instance_that_is_gone_is_held_back() {
    let shared = shared();
    let chosen = upstream(1, UpstreamLifecycle::Live);
    put_in_force(&shared, 1, &[&chosen]);
    assert!(may_send(&shared, "r-1", &chosen, 0));
    put_in_force(&shared, 1, &[]);
    assert!(!may_send(&shared, "r-1", &chosen, 0), "gone");
    let mut restarted = upstream(2, UpstreamLifecycle::Live);
    restarted.address.set_port(2);
    put_in_force(&shared, 1, &[&restarted]);
    assert!(!may_send(&shared, "r-1", &chosen, 0), "started again");
    assert!(may_send(&shared, "r-1", &restarted, 0), "next instance");
}
