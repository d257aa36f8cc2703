use std::{sync::Arc, time::Duration};

use log::debug;
use rand::seq::IndexedRandom as _;
use xxhash_rust::xxh3::xxh3_64;

use crate::{shared::Shared, sharing::Message};

/// Pause between two messages about the own work on engines. Prompts take some hundred milliseconds
/// to read, so an older word is of little use.
const TELL_PAUSE: Duration = Duration::from_millis(250);

/// Daemons that each message goes to, so that the traffic of one doesn't grow with the fleet.
const TOLD_MAX: usize = 8;

/// Tells other daemons the own work on engines, and passes theirs to the dispatcher.
pub(crate) async fn tell_loads(shared: Arc<Shared>) {
    let mut was_idle = true;
    loop {
        tokio::time::sleep(TELL_PAUSE).await;
        let loads = shared.with_core(|now_us, core| {
            core.sharing.peer_loads.expire(now_us);
            for engine in core.dispatcher.engines() {
                let load = core.sharing.peer_loads.total_on(xxh3_64(engine.as_bytes()));
                core.dispatcher.set_foreign_load(now_us, &engine, load);
            }
            core.dispatcher.engine_loads()
        });
        let idle = loads.is_empty();
        if idle && was_idle {
            continue;
        }
        was_idle = idle;
        let loads = loads
            .iter()
            .map(|(name, load)| (xxh3_64(name.as_bytes()), *load));
        match postcard::to_stdvec(&Message::Loads(loads.collect())) {
            Ok(bytes) => tell(&shared, &bytes),
            Err(error) => debug!("load: message dropped: {error}"),
        }
    }
}

fn tell(shared: &Shared, bytes: &[u8]) {
    shared.peers.with(|membership| {
        let live: Vec<String> = membership
            .live()
            .map(|member| member.name.clone())
            .collect();
        for peer in live.sample(&mut rand::rng(), TOLD_MAX) {
            membership.queue_payload(peer, bytes.to_vec());
        }
    });
}
