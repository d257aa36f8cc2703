use crate::{Current, Note, Record, Taken, Tracker, tests::config};

type Check = fn(&Taken) -> bool;

/// Guards against a follower that goes back or takes up half a row.
#[test]
fn holds_config_in_the_tracker() {
    let text = |version: u64, weight: u32| {
        let mut config = config(version);
        config.accounts[0].weight = weight;
        let record = Some(Record::new(Note::default(), &config, "x", 0));
        Current { config, record }.to_text()
    };
    let mut damaged = text(9, 1);
    damaged = damaged.replace("\"weight\":2", "\"weight\":3");
    let faulty = |taken: &Taken| matches!(taken, Taken::Faulty(_));
    let newer = |taken: &Taken| matches!(taken, Taken::Newer(_));
    let cases: [(&str, String, Check, u64, Option<u64>); 8] = [
        (
            "same",
            text(8, 1),
            |taken| *taken == Taken::Same,
            8,
            Some(2),
        ),
        (
            "older",
            text(7, 1),
            |taken| *taken == Taken::Older,
            8,
            Some(1),
        ),
        ("other content", text(8, 2), faulty, 8, Some(1)),
        ("cut off", text(9, 1)[..100].to_owned(), faulty, 8, Some(1)),
        ("damaged", damaged, faulty, 8, Some(1)),
        (
            "record of another version",
            text(9, 1)
                .replace("\"version\":9", "\"version\":10")
                .replacen("\"version\":10", "\"version\":9", 1),
            faulty,
            8,
            Some(1),
        ),
        (
            "version 0",
            text(0, 1),
            |taken| *taken == Taken::Older,
            8,
            Some(1),
        ),
        ("newer", text(12, 1), newer, 12, Some(2)),
    ];
    for (name, value, is_expected, version, confirmed_us) in cases {
        let mut tracker = Tracker::default();
        assert!(newer(&tracker.offer(1, &text(8, 1))));
        let taken = tracker.offer(2, &value);
        assert!(is_expected(&taken), "{name}: {taken:?}");
        assert_eq!(tracker.version(), version, "{name}");
        assert_eq!(tracker.confirmed_us(), confirmed_us, "{name}");
    }
}
