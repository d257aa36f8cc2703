//! Tests of the example files, the offline check and the table format.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use release::{Note, check};
use settings::{Config, Host, UpstreamKind};

use crate::{check::check_text, print::format_table};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

/// Guards against example files that don't pass the checks, share an address or differ from the
/// reference deployment in size.
#[test]
fn examples_are_complete() {
    let cases = [
        ("grifo-comun", "costa", 12, 3, ["inventory"].as_slice()),
        ("fliperama", "pernambuco", 9, 3, &["billing", "parts"]),
    ];
    for (name, region, engines, services, service_names) in cases {
        let mut hosts = Vec::new();
        let mut note = None;
        for entry in fs::read_dir(example(name)).unwrap() {
            let path = entry.unwrap().path();
            let text = fs::read_to_string(&path).unwrap();
            let kind = check_text(&text);
            match kind.unwrap_or_else(|problems| panic!("{path:?}: {problems:?}")) {
                "host settings" => hosts.push(Host::parse(&text).unwrap()),
                "release note" => note = Some(Note::parse(&text).unwrap()),
                kind => panic!("{path:?}: {kind}"),
            }
        }
        let config = check(&note.unwrap(), &Config::default()).unwrap();
        let zones: BTreeSet<_> = hosts.iter().map(|host| &host.zone).collect();
        let regions: BTreeSet<_> = hosts.iter().map(|host| &host.region).collect();
        assert_eq!(
            (hosts.len(), zones.len(), regions.len()),
            (6, 3, 2),
            "{name}"
        );
        assert!(regions.contains(&region.to_owned()), "{name}");
        let mut addresses: Vec<_> = hosts
            .iter()
            .flat_map(|host| [host.listen, host.admin_listen, host.peer_listen])
            .chain(config.upstreams.iter().map(|upstream| upstream.address))
            .chain([hosts[0].store])
            .collect();
        assert!(
            addresses.iter().all(|address| address.ip().is_loopback()),
            "{name}"
        );
        let count = addresses.len();
        addresses.sort_unstable();
        addresses.dedup();
        assert_eq!(addresses.len(), count, "{name}: an address is used twice");
        for upstream in &config.upstreams {
            assert!(zones.contains(&upstream.zone), "{name}: {}", upstream.name);
        }
        let of_kind = |kind| config.upstreams.iter().filter(|u| u.kind == kind).count();
        assert_eq!(
            (of_kind(UpstreamKind::Model), of_kind(UpstreamKind::Service)),
            (engines, services),
            "{name}"
        );
        let tiers: Vec<u8> = config.classes.iter().map(|class| class.tier).collect();
        assert_eq!(BTreeSet::from_iter(tiers).len(), 3, "{name}");
        assert_eq!(config.accounts.len(), 10, "{name}");
        let names: Vec<_> = config
            .services
            .iter()
            .map(|service| &service.name)
            .collect();
        assert_eq!(names, service_names, "{name}");
        let mut services = config.services.iter();
        assert!(
            services.all(|service| !service.non_idempotent.is_empty()),
            "{name}"
        );
    }
}

/// Guards against a document that is checked as the wrong kind or accepted without a kind.
#[test]
fn kind_of_a_document() {
    let empty = r#"{"version": 1, "classes": [], "accounts": [], "upstreams": [], "services": []}"#;
    let note = r#"{"base": 3, "author": "ana", "reason": "test"}"#;
    let cases = [
        ("configuration", empty, Ok("configuration")),
        ("later note", note, Ok("release note")),
        (
            "first note without effect",
            &note.replace('3', "0"),
            Err("changes nothing"),
        ),
        ("no kind", "{}", Err("expected a release note")),
        ("host", r#"{"listen": "127.0.0.1:1"}"#, Err("missing")),
    ];
    for (name, text, expected) in cases {
        match (check_text(text), expected) {
            (Ok(kind), Ok(expected)) => assert_eq!(kind, expected, "{name}"),
            (Err(problems), Err(part)) => {
                assert!(problems[0].message.contains(part), "{name}: {problems:?}");
            }
            (found, _) => panic!("{name}: {found:?}"),
        }
    }
}

/// Guards against columns that don't line up when cells differ in length.
#[test]
fn table_is_aligned() {
    let rows = [
        vec!["a".to_owned(), "1".to_owned()],
        vec!["bcd".to_owned(), String::new()],
    ];
    assert_eq!(format_table(&["x", "yy"], &rows), "x    yy\na    1\nbcd\n");
}
