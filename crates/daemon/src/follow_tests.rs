use std::sync::Weak;

use futures::future::{LocalBoxFuture, ready};
use release::{CurrentRelease, Note, Record, diff};
use settings::{Class, Config, Host};
use store::{Expect, Fault, MemoryTable, Row, StoreVersion};

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

fn config(version: u64, tier: u8) -> Config {
    let class = Class {
        name: "urgent".to_owned(),
        tier,
        first_token_ms: 790,
        token_gap_ms: 33,
        max_wait_ms: 1_000,
        reserved_percent: 0,
    };
    Config {
        version,
        classes: vec![class],
        ..Config::default()
    }
}

fn current(version: u64, tier: u8) -> String {
    let config = config(version, tier);
    let record = Some(Record::new(Note::default(), &config, "x", 0));
    CurrentRelease { config, record }.to_text()
}

/// Returns the record of the change from one tier to another.
fn record(version: u64, before: u8, after: u8) -> String {
    let next = config(version, after);
    let note = diff(&config(version - 1, before), &next, "ana", "test");
    Record::new(note, &next, "x", 0).to_text()
}

fn put(table: &MemoryTable, key: &str, value: &str) {
    let expect = match table.read_now(key).unwrap() {
        Some(row) => Expect::Version(row.version),
        None => Expect::Absent,
    };
    table.write_now(key, expect, value).unwrap();
}

/// Columns: name, value of `release/current`, value of `release/3`, faults of the store's calls,
/// and expected version.
///
/// `3:1` is version 3 with tier 1, `3:0:1` the record of the change from tier 0 to 1.
const CASES: &str = "
down | - | - | Down | 2
answer lost | - | - | AnswerLost | 2
scan lost | - | - | None RequestLost | 2
cut off | half | - | | 2
empty object | {} | - | | 2
older | 1:0 | - | | 2
other content | 2:1 | - | | 2
newer without its record | 3:1 | - | | 3
two newer | 4:1 | - | | 4
record | {} | 3:0:1 | | 3
record of another change | 3:2 | 3:1:2 | | 3
damaged record | 3:1 | { | | 3
both damaged | { | { | | 2
";

fn value(text: &str) -> String {
    let numbers: Result<Vec<u8>, _> = text.split(':').map(str::parse).collect();
    match numbers.as_deref() {
        Ok([version, tier]) => current(u64::from(*version), *tier),
        Ok([version, before, after]) => record(u64::from(*version), *before, *after),
        _ if text == "half" => current(2, 0)[..100].to_owned(),
        _ => text.to_owned(),
    }
}

fn fault(text: &str) -> Option<Fault> {
    let faults = [Fault::Down, Fault::AnswerLost, Fault::RequestLost];
    let found = faults
        .into_iter()
        .find(|fault| format!("{fault:?}") == text);
    assert!(found.is_some() || text == "None", "{text}");
    found
}

/// Guards against a poll that drops or reverts the last valid configuration after a fault, and
/// against a change that does not take effect because one of its two rows is missing or damaged.
#[tokio::test]
async fn holds_config_through_every_fault_of_a_poll() {
    for line in CASES.trim().lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let [name, current_row, record_row, faults, expected] = cells[..] else {
            panic!("{line}");
        };
        let expected: u64 = expected.parse().unwrap();
        let (shared, table) = (shared(), MemoryTable::default());
        let mut poller = ReleasePoller::default();
        put(&table, CURRENT_KEY, &current(2, 0));
        put(&table, &record_key(2), "{}");
        poller.poll(&shared, &table).await.unwrap();
        for (key, text) in [(CURRENT_KEY, current_row), (&record_key(3), record_row)] {
            if text != "-" {
                put(&table, key, &value(text));
            }
        }
        for text in faults.split_whitespace() {
            table.push_fault(fault(text));
        }
        for _ in 0..POLLS_PER_SCAN {
            let _ = poller.poll(&shared, &table).await;
        }
        let (version, digest, confirmed) = shared.release_state.status();
        let snapshot = shared.snapshot.load();
        assert_eq!(version, expected, "{name}");
        assert_eq!(snapshot.config.version, expected, "{name}");
        assert_eq!(snapshot.config.digest(), digest, "{name}");
        assert!(confirmed.is_some(), "{name}");
    }
}

/// Table that counts the bytes of the rows that it returns.
#[derive(Default)]
struct CountingTable {
    table: MemoryTable,
    bytes: std::cell::Cell<usize>,
}

impl Table for CountingTable {
    fn era(&self) -> u64 {
        self.table.era_now()
    }

    fn read<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<Row>, StoreError>> {
        let row = self.table.read_now(key);
        let bytes = row.iter().flatten().map(|row| row.value.len());
        self.bytes.set(self.bytes.get() + bytes.sum::<usize>());
        Box::pin(ready(row))
    }

    fn write<'a>(
        &'a self,
        key: &'a str,
        expect: Expect,
        value: &'a str,
    ) -> LocalBoxFuture<'a, Result<StoreVersion, StoreError>> {
        Box::pin(ready(self.table.write_now(key, expect, value)))
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        since_version: StoreVersion,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>, StoreError>> {
        let rows = self.table.scan_now(prefix, since_version);
        let bytes = rows.iter().flatten().map(|row| row.value.len());
        self.bytes.set(self.bytes.get() + bytes.sum::<usize>());
        Box::pin(ready(rows))
    }
}

/// Guards against polls that read the whole configuration again: at the target size that would be
/// 1 MiB for each poll or change, while the limit of control traffic is 4 KB/s.
#[tokio::test]
async fn an_idle_poll_and_a_change_read_no_whole_configuration() {
    let (shared, store) = (shared(), CountingTable::default());
    let mut poller = ReleasePoller::default();
    put(&store.table, CURRENT_KEY, &current(1, 0));
    poller.poll(&shared, &store).await.unwrap();
    for version in 2..=20 {
        let tier = |version: u64| u8::from(version.is_multiple_of(2));
        put(&store.table, CURRENT_KEY, &current(version, tier(version)));
        let record = record(version, tier(version - 1), tier(version));
        put(&store.table, &record_key(version), &record);
        // A third of the versions come from a peer first.
        if version.is_multiple_of(3) {
            shared
                .release_state
                .offer(&shared, &current(version, tier(version)));
        }
        store.bytes.set(0);
        for _ in 0..4 * POLLS_PER_SCAN {
            poller.poll(&shared, &store).await.unwrap();
        }
        assert_eq!(shared.release_state.status().0, version);
        assert_eq!(store.bytes.get(), record.len(), "version {version}");
    }
}
