//! Tests of which release rows a `Tracker` adopts.

use settings::Config;

use crate::{CurrentRelease, Note, OfferOutcome, Record, Tracker, diff, tests::config};

fn config_with_weight(version: u64, weight: u32) -> Config {
    let mut config = config(version);
    config.accounts[0].weight = weight;
    config
}

/// Guards against a daemon that goes back to an older version or adopts a damaged row.
#[test]
fn holds_config_in_the_tracker() {
    let text = |version: u64, weight: u32| {
        let config = config_with_weight(version, weight);
        let record = Some(Record::new(Note::default(), &config, "x", 0));
        CurrentRelease { config, record }.to_text()
    };
    let version_9 = text(9, 1);
    let version_10 = version_9.replace("\"version\":9", "\"version\":10");
    // Name, offered value, expected outcome.
    let cases = [
        ("same", text(8, 1), "Same"),
        ("older", text(7, 1), "Older"),
        ("version 0", text(0, 1), "Older"),
        ("other content", text(8, 2), "Faulty"),
        ("cut off", version_9[..100].to_owned(), "Faulty"),
        (
            "damaged",
            version_9.replace("\"weight\":2", "\"weight\":3"),
            "Faulty",
        ),
        (
            "other version in the record",
            version_10.replacen(":10", ":9", 1),
            "Faulty",
        ),
        ("newer", text(12, 1), "Newer"),
    ];
    for (name, value, expected) in cases {
        let mut tracker = Tracker::default();
        tracker.offer(1, &text(8, 1));
        let outcome = format!("{:?}", tracker.offer(2, &value));
        assert!(outcome.starts_with(expected), "{name}: {outcome}");
        let version = if expected == "Newer" { 12 } else { 8 };
        let is_confirmed = ["Same", "Newer"].contains(&expected);
        let confirmed_us = Some(if is_confirmed { 2 } else { 1 });
        assert_eq!(tracker.version(), version, "{name}");
        assert_eq!(tracker.confirmed_us(), confirmed_us, "{name}");
    }
}

/// Guards against a record whose note leads to another configuration than the released one.
#[test]
fn holds_config_in_the_tracker_with_records() {
    let record = |base: u64, version: u64| {
        let (before, after) = (config_with_weight(base, 1), config_with_weight(version, 5));
        let note = diff(&before, &after, "ana", "test");
        Record::new(note, &after, "x", 0)
    };
    let digest = |mut record: Record| {
        record.digest = config_with_weight(9, 6).digest();
        record
    };
    let note = |mut record: Record| {
        record.note.changed[0].after = 6.into();
        record
    };
    let version = |mut record: Record| {
        record.version = 10;
        record
    };
    // Name, configuration in force, offered record, whether it is adopted.
    let cases = [
        ("next", config_with_weight(8, 1), record(8, 9), true),
        ("older", config_with_weight(8, 1), record(7, 8), false),
        (
            "skipped version",
            config_with_weight(8, 1),
            record(9, 10),
            false,
        ),
        (
            "version of another",
            config_with_weight(8, 1),
            version(record(8, 9)),
            false,
        ),
        (
            "other digest",
            config_with_weight(8, 1),
            digest(record(8, 9)),
            false,
        ),
        (
            "other note",
            config_with_weight(8, 1),
            note(record(8, 9)),
            false,
        ),
        (
            "other content in force",
            config_with_weight(8, 2),
            record(8, 9),
            false,
        ),
        (
            "other version in force",
            config_with_weight(7, 1),
            record(8, 9),
            false,
        ),
        (
            "version in force again",
            config_with_weight(7, 1),
            record(7, 8),
            false,
        ),
        (
            "older in force and recorded",
            config_with_weight(7, 1),
            version(record(7, 8)),
            false,
        ),
    ];
    for (name, in_force, record, accepted) in cases {
        let mut tracker = Tracker::default();
        let current = CurrentRelease {
            config: config_with_weight(8, 1),
            record: None,
        };
        tracker.offer(1, &current.to_text());
        let outcome = tracker.offer_record(2, &in_force, &record.to_text());
        assert_eq!(
            matches!(outcome, OfferOutcome::Newer(_)),
            accepted,
            "{name}: {outcome:?}"
        );
        assert_eq!(tracker.version(), if accepted { 9 } else { 8 }, "{name}");
        let cut_off = &record.to_text()[..40];
        let outcome = tracker.offer_record(3, &in_force, cut_off);
        assert!(matches!(outcome, OfferOutcome::Faulty(_)), "{name}");
    }
}
