use std::time::Duration;

use super::freshness::Freshness;
use crate::clock::Clock;

/// Guards against work that is sent on a stale configuration after a suspension, and against a host
/// that refuses work forever.
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

/// Guards against a decision from before a suspension that is carried out on an unconfirmed
/// configuration, and against one that is never carried out.
#[tokio::test(start_paused = true)]
async fn holds_config_by_holding_decisions_after_a_pause() {
    for (name, confirm, held_s) in [("confirmed", true, 0), ("nobody in reach", false, 5)] {
        let clock = Clock::new();
        let freshness = Freshness::default();
        freshness.resume(clock.now_us());
        if confirm {
            freshness.confirm(clock.now_us());
        }
        let ticks = async {
            loop {
                freshness.tick(clock.now_us());
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        tokio::select! {
            () = freshness.wait_until_fresh(clock) => {}
            () = ticks => {}
        }
        assert_eq!(clock.elapsed().as_secs(), held_s, "{name}");
    }
}
