use super::freshness::Freshness;

/// Guards against work that is sent on a view from before a pause, and against a host that
/// refuses work for ever.
#[test]
fn holds_config_by_refusing_work_after_a_pause() {
    type Case = (&'static str, Option<u64>, Option<u64>, u64, bool);
    let second_us = 1_000_000;
    let cases: [Case; 6] = [
        ("no pause", None, None, 11, false),
        ("pause not noticed yet", None, None, 13, true),
        ("after a pause", Some(11), None, 12, true),
        ("confirmed", Some(11), Some(11), 12, false),
        (
            "confirmed by an exchange from before",
            Some(11),
            Some(10),
            12,
            true,
        ),
        ("nobody in reach", Some(8), None, 14, false),
    ];
    for (name, resumed_s, confirmed_s, now_s, stale) in cases {
        let freshness = Freshness::default();
        freshness.tick(10 * second_us);
        if let Some(resumed_s) = resumed_s {
            freshness.resume(resumed_s * second_us);
            freshness.tick(now_s * second_us);
        }
        if let Some(confirmed_s) = confirmed_s {
            freshness.confirm(confirmed_s * second_us);
        }
        assert_eq!(freshness.is_stale(now_s * second_us), stale, "{name}");
    }
}
