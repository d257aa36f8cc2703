use settings::{Config, RequestKind, Route, Share, Upstream};
use store::StoreVersion;

use super::Update;
use crate::{
    adapter::{UpstreamRead, UpstreamRow},
    directory::roster::tests::upstream,
};

fn update(upstreams: u16, routes: u32) -> Update {
    let rows = (1..=upstreams).map(|number| UpstreamRow {
        name: format!("i-{number:010}"),
        store_version: StoreVersion::new(3, 7_000 + u64::from(number)),
        upstream: (number % 50 != 0).then(|| Upstream {
            name: format!("i-{number:010}"),
            region: String::new(),
            zone: format!("zone-{}", number % 3),
            started_ms: Some(1_790_000_000_000),
            reclaimable: number % 2 == 0,
            ..upstream(number)
        }),
    });
    Update {
        is_failing: false,
        after_outage: true,
        config: Some(Config {
            version: 12,
            routes: (0..routes).map(route).collect(),
            ..Config::default()
        }),
        config_store_version: Some(StoreVersion::new(3, 9)),
        upstreams: Some(UpstreamRead {
            store_version: StoreVersion::new(3, 9_000),
            is_whole: true,
            rows: rows.collect(),
        }),
    }
}

/// Returns a route with names as long as the platform's.
fn route(number: u32) -> Route {
    Route {
        name: format!("r-{number:07}"),
        host: "shop42.example".to_owned(),
        path_prefix: format!("/part{number:05}/sub{number:05}/"),
        kind: RequestKind::Idempotent,
        timeout_ms: 12_000,
        target_ms: 2_500,
        event_gap_ms: 800,
        tier: 3,
        attempts_max: 2,
        public: false,
        shares: vec![Share {
            service: "volo44a".to_owned(),
            weight: 1_000,
        }],
    }
}

/// Guards against a field that is lost on the way to a follower, and against bytes that are taken
/// for an update although they were cut.
#[test]
fn updates_are_decoded_whole() {
    let update = update(120, 3);
    let bytes = update.encode().unwrap();
    assert_eq!(Update::decode(&bytes).unwrap(), update);
    assert!(Update::decode(&bytes[..bytes.len() - 1]).is_err());
    assert!(Update::decode(&[]).is_err());
}

/// Guards against copies of a large list that fill the links of small hosts: one of 10 Mbit/s has
/// to send eight copies of 3,000 upstreams within about a second.
#[test]
fn a_copy_of_a_large_list_is_small() {
    let bytes = update(3_000, 0).encode().unwrap();
    assert!(bytes.len() * 8 <= 1_250_000, "{}", bytes.len());
}

/// Guards against a large configuration that holds up what follows it: at 1,370 routes a host of 10
/// Mbit/s took 4 s to tell its followers, and upstreams that left got work meanwhile (DRAIN).
#[test]
fn a_large_configuration_is_small() {
    let bytes = update(0, 1_400).encode().unwrap();
    assert!(bytes.len() * 8 <= 1_250_000, "{}", bytes.len());
}
