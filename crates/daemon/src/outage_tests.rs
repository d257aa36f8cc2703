//! Outages that hosts follow, and polls that fail while a parent is in trouble.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::{Arc, Weak},
    time::Duration,
};

use futures::future::{LocalBoxFuture, pending};
use settings::{Config, Host, Upstream};
use store::{StoreError, StoreVersion};
use tokio::time::{Instant, advance, sleep, sleep_until, timeout};

use crate::{
    adapter::{ConfigRead, ListedHost, StoreAdapter, UpstreamRead, UpstreamRow},
    directory::{ClusterState, Read, Source, Update, follow_config, follow_upstreams},
    peers::Peers,
    shared::Shared,
};

fn upstream(name: &str, port: u16) -> Upstream {
    serde_json::from_value(serde_json::json!({
        "name": name, "kind": "service", "address": format!("127.0.0.1:{port}"),
        "region": "costa", "zone": "costa-norte", "service": "stock", "slots": 4, "started_ms": 1
    }))
    .unwrap()
}

fn row(name: &str, version: StoreVersion, port: Option<u16>) -> UpstreamRow {
    UpstreamRow {
        name: name.to_owned(),
        store_version: version,
        upstream: port.map(|port| upstream(name, port)),
    }
}

fn whole(era: u64) -> UpstreamRead {
    let v = |number| StoreVersion::new(era, number);
    UpstreamRead {
        store_version: v(2),
        is_whole: true,
        rows: vec![row("a", v(1), Some(1)), row("b", v(2), Some(2))],
    }
}

/// Row of `a` expired.
fn expired(era: u64, number: u64) -> UpstreamRead {
    let version = StoreVersion::new(era, number);
    UpstreamRead {
        store_version: version,
        is_whole: false,
        rows: vec![row("a", version, None)],
    }
}

fn update(is_failing: bool, upstreams: Option<UpstreamRead>) -> Update {
    Update {
        is_failing,
        after_outage: false,
        config: None,
        config_store_version: None,
        upstreams,
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
    shared.cluster_state.apply_config(&shared, config(1, 1));
    shared
}

fn config(version: u64, number: u64) -> ConfigRead {
    ConfigRead {
        store_version: StoreVersion::new(1, number),
        is_whole: false,
        config: Some(Config {
            version,
            ..Config::default()
        }),
    }
}

fn uses(host: &Shared, name: &str) -> bool {
    host.snapshot.load().config.upstream(name).is_some()
}

async fn pass(ms: u64) {
    advance(Duration::from_millis(ms)).await;
}

/// Guards against a live upstream that is dropped after an outage of 2.6 s: its last heartbeat was
/// 1.2 s before the outage, so that its row expires after 2.4 s of it.
#[tokio::test(start_paused = true)]
async fn live_upstream_outlives_an_outage_in_which_its_row_expires() {
    let host = host("entry-1");
    let state = &host.cluster_state;
    state.set_source(Source::Store);
    state.apply_upstreams(&host, whole(1));
    pass(500).await;
    state.record_failure(Read::Upstreams);
    pass(2_100).await;
    state.apply_upstreams(&host, expired(1, 3));
    assert!(uses(&host, "a"));
}

/// Guards against the same on a follower. Its parent's reads hang for 2 s (1 s of waiting and 1 s of
/// silence) before they count as failed, and its updates of that time tell of no failure. The
/// outage takes 4.5 s.
#[tokio::test(start_paused = true)]
async fn updates_of_a_parent_that_waits_for_the_store_are_no_reads_of_it() {
    let host = host("entry-2");
    let state = &host.cluster_state;
    state.set_source(Source::Peer);
    state.apply_update(&host, update(false, Some(whole(1))), "entry-1");
    // The outage begins here.
    for _ in 0..3 {
        pass(650).await;
        state.apply_update(&host, update(false, None), "entry-1");
    }
    // The read of the parent has failed: its followers ask the store.
    pass(50).await;
    state.apply_update(&host, update(true, None), "entry-1");
    state.set_source(Source::Store);
    pass(1_500).await;
    state.record_failure(Read::Upstreams);
    pass(1_000).await;
    state.apply_upstreams(&host, expired(1, 3));
    assert!(uses(&host, "a"));
}

/// Guards against an outage that a follower forgets because its parent, which can't reach the store
/// either, goes on telling so between the follower's own reads.
#[tokio::test(start_paused = true)]
async fn updates_of_a_failing_parent_end_no_outage() {
    let host = host("entry-2");
    let state = &host.cluster_state;
    state.set_source(Source::Peer);
    state.apply_update(&host, update(false, Some(whole(1))), "entry-1");
    pass(700).await;
    state.apply_update(&host, update(true, None), "entry-1");
    state.set_source(Source::Store);
    for _ in 0..8 {
        pass(350).await;
        state.record_failure(Read::Upstreams);
        pass(350).await;
        state.apply_update(&host, update(true, None), "entry-1");
    }
    pass(100).await;
    state.apply_upstreams(&host, expired(1, 3));
    assert!(uses(&host, "a"));
}

/// Guards against a follower that never learns of changes again because its parent, which has
/// started anew, can't know the era that the follower inferred from a store that names none.
#[tokio::test(start_paused = true)]
async fn parent_that_knows_a_lower_era_is_no_source() {
    let (parent, follower) = (host("entry-1"), host("entry-2"));
    let state = &follower.cluster_state;
    state.set_source(Source::Peer);
    state.apply_update(&follower, update(false, Some(whole(1))), "entry-1");
    let parent_state: &ClusterState = &parent.cluster_state;
    parent_state.set_source(Source::Store);
    parent_state.apply_upstreams(&parent, whole(0));
    parent_state.apply_upstreams(&parent, expired(0, 9));
    let mut cursor = parent_state.cursor(&state.subscription(false));
    let told = parent_state.update_since(&mut cursor);
    state.apply_update(&follower, told.clone(), "entry-1");
    // Either the follower learns of it, or it must not count its parent as one that is in order.
    assert!(!uses(&follower, "a") || told.is_failing, "told {told:?}");
}

/// Store in order, whose poll of the configuration fails once.
struct OneFailure {
    polled_at: Rc<RefCell<Vec<Instant>>>,
    failed: Cell<bool>,
    /// Time at which the first poll is refused.
    fails_at: Instant,
    changed_at: Instant,
}

impl StoreAdapter for OneFailure {
    fn config(
        &self,
        after: Option<StoreVersion>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<ConfigRead, StoreError>> {
        Box::pin(async move {
            self.polled_at.borrow_mut().push(Instant::now());
            if !self.failed.replace(true) {
                sleep_until(self.fails_at).await;
                return Err(StoreError::Down);
            }
            let ends = Instant::now() + wait;
            if after >= Some(StoreVersion::new(1, 5)) || self.changed_at > ends {
                sleep_until(ends).await;
                return Ok(ConfigRead {
                    store_version: after.unwrap(),
                    is_whole: false,
                    config: None,
                });
            }
            sleep_until(self.changed_at).await;
            Ok(config(2, 5))
        })
    }

    fn upstreams(
        &self,
        after: Option<StoreVersion>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<UpstreamRead, StoreError>> {
        Box::pin(async move {
            if after.is_none() {
                return Ok(whole(1));
            }
            sleep(wait).await;
            Ok(UpstreamRead {
                store_version: after.unwrap(),
                is_whole: false,
                rows: Vec::new(),
            })
        })
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

/// Guards against a configuration that a follower in order learns after 3 s: its parent is cut off
/// from the store, and one poll of the follower is refused at any moment of its reads of the
/// upstreams. The configuration is written 10 ms after the refusal.
#[tokio::test(start_paused = true)]
async fn one_refused_poll_beside_a_failing_parent_delays_no_configuration() {
    let mut late = Vec::new();
    for fails_ms in (0..2_000).step_by(10) {
        let host = host("entry-2");
        let state = &host.cluster_state;
        state.apply_update(&host, update(true, Some(whole(1))), "entry-1");
        state.set_has_parent(true);
        state.set_source(Source::Store);
        let fails_at = Instant::now() + Duration::from_millis(fails_ms);
        let changed_at = fails_at + Duration::from_millis(10);
        let store = |failed| OneFailure {
            polled_at: Rc::default(),
            failed: Cell::new(failed),
            fails_at,
            changed_at,
        };
        let configs = follow_config(host.clone(), Box::new(store(false)));
        let upstreams = follow_upstreams(host.clone(), Box::new(store(true)));
        let in_force = async {
            while host.snapshot.load().config.version < 2 {
                sleep(Duration::from_millis(5)).await;
            }
            changed_at.elapsed()
        };
        let after = tokio::select! {
            after = timeout(Duration::from_mins(1), in_force) => after.unwrap(),
            () = configs => unreachable!(),
            () = upstreams => unreachable!(),
        };

        if after > Duration::from_secs(3) {
            late.push((fails_ms, after));
        }
    }
    assert_eq!(late, []);
}

/// Guards against a poll of the configuration that never comes: the store serves its table and not
/// that of the upstreams, the parent is cut off.
#[tokio::test(start_paused = true)]
async fn configuration_needs_no_list_of_upstreams() {
    let host = host("entry-2");
    let state = &host.cluster_state;
    state.apply_update(&host, update(true, Some(whole(1))), "entry-1");
    state.set_has_parent(true);
    state.set_source(Source::Store);
    let began = Instant::now();
    let store = OneFailure {
        polled_at: Rc::default(),
        failed: Cell::new(false),
        fails_at: began,
        changed_at: began,
    };
    let in_force = async {
        while host.snapshot.load().config.version < 2 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        after = timeout(Duration::from_mins(1), in_force) => assert!(after.is_ok()),
        () = follow_config(host.clone(), Box::new(store)) => unreachable!(),
    };
}

/// Guards against a departure that hosts in order learn late because their parent, which alone was
/// cut off from the store for long, tells of its outage with the same update. They have read the
/// store themselves meanwhile, so that no row of theirs can have expired unnoticed.
#[tokio::test(start_paused = true)]
async fn outage_of_the_parent_alone_delays_no_departure() {
    let (parent, host) = (host("entry-1"), host("entry-2"));
    let (above, state) = (&parent.cluster_state, &host.cluster_state);
    above.set_source(Source::Store);
    above.apply_upstreams(&parent, whole(1));
    state.apply_upstreams(&host, whole(1));
    let mut cursor = above.cursor(&state.subscription(false));
    state.set_source(Source::Store);
    let unchanged = || UpstreamRead {
        store_version: StoreVersion::new(1, 2),
        is_whole: false,
        rows: Vec::new(),
    };
    for _ in 0..6 {
        pass(1_500).await;
        above.record_failure(Read::Upstreams);
        state.apply_update(&host, above.update_since(&mut cursor), "entry-1");
        state.apply_upstreams(&host, unchanged());
    }
    // Removed now. The next poll of this host gets no answer, for which its cycle leaves 1.5 s.
    pass(1_400).await;
    above.apply_upstreams(&parent, expired(1, 3));
    let told = above.update_since(&mut cursor);
    state.apply_update(&host, told.clone(), "entry-1");
    state.set_source(Source::Peer);
    pass(1_600).await;
    state.end_grace(&host);
    // 3 s after the removal.
    assert!(!uses(&host, "a"), "{told:?}");
}
