use settings::{Class, Config, Host};
use store::{Expect, Fault, MemoryTable};

use super::*;

fn shared() -> Shared {
    let host = r#"{
        "name": "entry-1", "region": "costa", "zone": "costa-norte",
        "listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
        "store": "127.0.0.1:1",
        "peer_keys": [{"id": 1, "secret_hex": "00112233445566778899aabbccddeeff"}]
    }"#;
    Shared::new(Host::parse(host).unwrap())
}

fn value(version: u64, tier: u8) -> String {
    let class = Class {
        name: "urgent".to_owned(),
        tier,
        first_token_ms: 790,
        token_gap_ms: 33,
        max_wait_ms: 1_000,
        reserved_percent: 0,
    };
    let config = Config {
        version,
        classes: vec![class],
        ..Config::default()
    };
    let current = release::Current {
        config,
        record: None,
    };
    current.to_text()
}

/// Guards against a poll that drops or reverts the last good configuration on a fault.
#[tokio::test]
async fn holds_config_through_every_fault_of_a_poll() {
    let two = value(2, 0);
    let cases: [(&str, Option<String>, Option<Fault>, u64); 7] = [
        ("store down", None, Some(Fault::Down), 2),
        ("answer lost", None, Some(Fault::AnswerLost), 2),
        ("truncated", Some(two[..two.len() / 2].to_owned()), None, 2),
        ("empty object", Some("{}".to_owned()), None, 2),
        ("older", Some(value(1, 0)), None, 2),
        ("other content", Some(value(2, 1)), None, 2),
        ("newer", Some(value(3, 1)), None, 3),
    ];
    for (name, row, fault, expected) in cases {
        let shared = shared();
        let table = MemoryTable::default();
        let version = table.write_now(CURRENT, Expect::Absent, &two).unwrap();
        poll(&shared, &table).await.unwrap();
        if let Some(row) = row {
            let expect = Expect::Version(version);
            table.write_now(CURRENT, expect, &row).unwrap();
        }
        table.push_fault(fault);
        let _ = poll(&shared, &table).await;
        let (version, digest, confirmed) = shared.releases.status();
        let view = shared.view.load();
        assert_eq!(version, expected, "{name}");
        assert_eq!(view.config.version, expected, "{name}");
        assert_eq!(view.config.digest(), digest, "{name}");
        assert!(confirmed.is_some(), "{name}");
    }
}
