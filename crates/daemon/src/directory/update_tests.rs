use settings::{Config, Upstream};

use super::Update;
use crate::{
    adapter::{UpstreamRead, UpstreamRow},
    directory::roster::tests::upstream,
};

fn update(upstreams: u16) -> Update {
    let rows = (1..=upstreams).map(|number| UpstreamRow {
        name: format!("i-{number:010}"),
        store_version: 7_000 + u64::from(number),
        upstream: (number % 50 != 0).then(|| Upstream {
            name: format!("i-{number:010}"),
            region: String::new(),
            zone: format!("zone-{}", number % 3),
            started_ms: Some(1_790_000_000_000),
            ..upstream(number)
        }),
    });
    Update {
        is_failing: false,
        after_outage: true,
        config: Some(Config {
            version: 12,
            ..Config::default()
        }),
        config_store_version: Some(9),
        upstreams: Some(UpstreamRead {
            store_version: 9_000,
            is_whole: true,
            rows: rows.collect(),
        }),
    }
}

/// Guards against a field that is lost on the way to a follower, and against bytes that are taken
/// for an update although they were cut.
#[test]
fn updates_are_decoded_whole() {
    let update = update(120);
    let bytes = update.encode().unwrap();
    assert_eq!(Update::decode(&bytes).unwrap(), update);
    assert!(Update::decode(&bytes[..bytes.len() - 1]).is_err());
    assert!(Update::decode(&[]).is_err());
}

/// Guards against copies of a large list that fill the links of small hosts: one of 10 Mbit/s has
/// to send eight copies of 3,000 upstreams within about a second.
#[test]
fn a_copy_of_a_large_list_is_small() {
    let bytes = update(3_000).encode().unwrap();
    assert!(bytes.len() * 8 <= 1_250_000, "{}", bytes.len());
}
