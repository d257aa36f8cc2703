//! How long hosts go on using an upstream that is gone when a poll of one of them fails, while the
//! store is in order.

use std::{
    cell::Cell,
    sync::{Arc, Weak},
    time::Duration,
};

use futures::future::{LocalBoxFuture, pending};
use settings::{Config, Host, Upstream};
use store::{StoreError, StoreVersion};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::{
    adapter::{ConfigRead, ListedHost, StoreAdapter, UpstreamRead, UpstreamRow},
    directory::{Source, follow_upstreams},
    peers::Peers,
    shared::Shared,
};

/// The users require that a leaving upstream gets no more requests after this time.
const LEAVING_MAX: Duration = Duration::from_secs(3);

/// Time after which a test no longer waits for the end of a use.
const USED_MAX: Duration = Duration::from_mins(1);

/// How polls for changes of the source host end, although the store is in order.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    None,
    /// The connection of the first one is reset.
    Reset,
    /// The first one gets no answer.
    Lost,
    /// The connections of every second one are reset.
    ResetAgain,
}

const TROUBLES: [Trouble; 4] = [
    Trouble::None,
    Trouble::Reset,
    Trouble::Lost,
    Trouble::ResetAgain,
];

/// Store whose row of the upstream `a` is removed at a time.
struct FakeStore {
    removed_at: Instant,
    trouble: Trouble,
    polls: Cell<u32>,
}

fn upstream(name: &str, port: u16) -> Upstream {
    serde_json::from_value(serde_json::json!({
        "name": name, "kind": "service", "address": format!("127.0.0.1:{port}"),
        "region": "costa", "zone": "costa-norte", "service": "stock", "slots": 4, "started_ms": 1
    }))
    .unwrap()
}

impl FakeStore {
    async fn read(
        &self,
        after: Option<StoreVersion>,
        wait: Duration,
    ) -> Result<UpstreamRead, StoreError> {
        let row = |name: &str, version, upstream| UpstreamRow {
            name: name.to_owned(),
            store_version: StoreVersion::new(1, version),
            upstream,
        };
        if after.is_none() {
            let rows = vec![
                row("a", 1, Some(upstream("a", 1))),
                row("b", 2, Some(upstream("b", 2))),
            ];
            return Ok(UpstreamRead {
                store_version: StoreVersion::new(1, 2),
                is_whole: true,
                rows,
            });
        }
        let poll = self.polls.get();
        self.polls.set(poll + 1);
        match self.trouble {
            Trouble::Reset if poll == 0 => return Err(StoreError::Unknown),
            Trouble::ResetAgain if poll.is_multiple_of(2) => return Err(StoreError::Unknown),
            Trouble::Lost if poll == 0 => {
                // The limit of the store's client for a call without an answer.
                sleep(wait + Duration::from_secs(1)).await;
                return Err(StoreError::Unknown);
            }
            _ => {}
        }
        let is_known = after == Some(StoreVersion::new(1, 3));
        let ends = Instant::now() + wait;
        if is_known || self.removed_at > ends {
            sleep_until(ends).await;
            return Ok(UpstreamRead {
                store_version: after.unwrap_or_default(),
                is_whole: false,
                rows: Vec::new(),
            });
        }
        sleep_until(self.removed_at).await;
        Ok(UpstreamRead {
            store_version: StoreVersion::new(1, 3),
            is_whole: false,
            rows: vec![row("a", 3, None)],
        })
    }
}

impl StoreAdapter for FakeStore {
    fn config(
        &self,
        _: Option<StoreVersion>,
        _: Duration,
    ) -> LocalBoxFuture<'_, Result<ConfigRead, StoreError>> {
        Box::pin(pending())
    }

    fn upstreams(
        &self,
        after: Option<StoreVersion>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<UpstreamRead, StoreError>> {
        Box::pin(self.read(after, wait))
    }

    fn daemons<'a>(
        &'a self,
        _: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<ListedHost>, StoreError>> {
        Box::pin(pending())
    }

    fn register<'a>(&'a self, _: &'a ListedHost) -> LocalBoxFuture<'a, Result<(), StoreError>> {
        Box::pin(pending())
    }
}

fn host(name: &str) -> Arc<Shared> {
    let host = serde_json::json!({
        "name": name, "region": "costa", "zone": "costa-norte",
        "listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
        "store": "127.0.0.1:1", "leaving_max_ms": 3_000,
        "peer_keys": [{"id": 1, "secret_hex": "00112233445566778899aabbccddeeff"}]
    });
    let host = Host::parse(&host.to_string()).unwrap();
    let peers = Peers::new(&host, Weak::new(), host.peer_listen).unwrap();
    let shared = Arc::new(Shared::new(host, peers));
    let config = ConfigRead {
        store_version: StoreVersion::new(1, 1),
        is_whole: true,
        config: Some(Config {
            version: 1,
            ..Config::default()
        }),
    };
    shared.cluster_state.apply_config(&shared, config);
    shared
}

/// Applies what the source host tells, as long as it tells, and ends grace periods.
async fn follow(follower: &Shared, source: &Shared) {
    let state = &source.cluster_state;
    let mut changes = state.changes();
    let mut cursor = state.cursor(&follower.cluster_state.subscription(false));
    loop {
        let update = state.update_since(&mut cursor);
        let mut grace = follower
            .cluster_state
            .apply_update(follower, update, &source.host.name);
        let is_told = async {
            while let Some(rest) = grace {
                sleep(rest).await;
                grace = follower.cluster_state.end_grace(follower);
            }
            pending::<()>().await;
        };
        tokio::select! {
            told = changes.changed() => told.unwrap(),
            () = is_told => {}
        }
    }
}

/// Returns how long after its removal the host that polls and its follower still use the upstream.
async fn used_for(trouble: Trouble, removed_after: Duration) -> (Duration, Duration) {
    let removed_at = Instant::now() + removed_after;
    let store = FakeStore {
        removed_at,
        trouble,
        polls: Cell::new(0),
    };
    let (source, follower) = (host("entry-1"), host("entry-2"));
    source.cluster_state.set_source(Source::Store);
    follower.cluster_state.set_source(Source::Peer);
    let until_unused = async |host: &Shared| {
        sleep_until(removed_at).await;
        while host.snapshot.load().config.upstream("a").is_some() {
            sleep(Duration::from_millis(10)).await;
        }
        removed_at.elapsed()
    };
    let both = async { tokio::join!(until_unused(&source), until_unused(&follower)) };
    let reads = follow_upstreams(source.clone(), Box::new(store));
    let told = follow(&follower, &source);
    tokio::select! {
        used = timeout(USED_MAX, both) => used.unwrap_or((USED_MAX, USED_MAX)),
        () = reads => unreachable!("the task never ends"),
        () = told => unreachable!("the task never ends"),
    }
}

/// Guards against requests for an upstream whose row was removed, on a host in order that follows one
/// whose own path to the store fails for one poll. The store was in order all the time, so nothing
/// of the upstream has expired in an outage.
#[tokio::test(start_paused = true)]
async fn failed_poll_of_a_host_delays_no_departure_at_its_followers() {
    let mut late = Vec::new();
    for trouble in TROUBLES {
        let (_, used) = used_for(trouble, Duration::from_millis(20)).await;
        if used > LEAVING_MAX {
            late.push((trouble, used));
        }
    }
    assert_eq!(late, []);
}

/// Guards against the same on the host that polls, which may be the only one of its availability
/// zone: the interval of its polls is chosen so that one of them may fail.
#[tokio::test(start_paused = true)]
async fn failed_poll_of_a_host_delays_no_departure_there() {
    let mut late = Vec::new();
    for trouble in TROUBLES {
        let (used, _) = used_for(trouble, Duration::from_millis(20)).await;
        if used > LEAVING_MAX {
            late.push((trouble, used));
        }
    }
    assert_eq!(late, []);
}
