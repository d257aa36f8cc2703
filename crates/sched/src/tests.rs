//! Tests of single decisions of the dispatcher.

use code::Code;
use settings::{Account, Config};

use crate::{
    Action, Dispatcher, JobId, Outcome, Reason, Target,
    fixtures::{config, job},
};

/// Guards against a lower tier that starts before a waiting higher one.
#[test]
fn higher_tier_starts_first() {
    let mut dispatcher = Dispatcher::default();
    let mut actions = Vec::new();
    dispatcher.configure(0, &config(1), &mut actions);
    for id in 1..=3 {
        // Not idempotent, so that the higher tier has to wait for a slot.
        let mut low = job(id, 2);
        low.idempotent = false;
        dispatcher.submit(0, low, &mut actions);
    }
    dispatcher.submit(0, job(4, 0), &mut actions);
    actions.clear();
    dispatcher.finish(1, JobId(1), Outcome::Complete, &mut actions);
    assert!(
        matches!(actions[..], [Action::Start { id: JobId(4), .. }]),
        "{actions:?}"
    );
}

/// Guards against a slot that stays occupied after its caller has disconnected.
#[test]
fn cancelled_job_frees_its_slot() {
    let mut dispatcher = Dispatcher::default();
    let mut actions = Vec::new();
    dispatcher.configure(0, &config(1), &mut actions);
    for id in 1..=3 {
        dispatcher.submit(0, job(id, 1), &mut actions);
    }
    actions.clear();
    dispatcher.cancel(1, JobId(2), &mut actions);
    assert!(
        matches!(actions[..], [Action::Start { id: JobId(3), .. }]),
        "{actions:?}"
    );
}

/// Guards against a job that waits past its deadline without an answer.
#[test]
fn expired_job_is_refused() {
    let mut dispatcher = Dispatcher::default();
    let mut actions = Vec::new();
    dispatcher.submit(0, job(1, 1), &mut actions);
    actions.clear();
    dispatcher.tick(1_000_000, &mut actions);
    assert!(
        matches!(actions[..], [Action::Refuse { id: JobId(1), .. }]),
        "{actions:?}"
    );
}

/// Returns a configuration with one engine, which can continue partial answers.
fn one_engine(slots: u32) -> Config {
    let mut config = config(slots);
    config.upstreams.truncate(1);
    config.upstreams[0].honours.resume = true;
    config
}

/// Returns a dispatcher with one running job for each of `tiers`, with identifiers from 1.
fn dispatcher_with_jobs(config: &Config, tiers: &[u8]) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    let mut actions = Vec::new();
    dispatcher.configure(0, config, &mut actions);
    for (id, &tier) in (1..).zip(tiers) {
        dispatcher.submit(0, job(id, tier), &mut actions);
    }
    assert_eq!(actions.len(), tiers.len(), "{actions:?}");
    dispatcher
}

/// Returns the actions of one event.
fn actions_of<F>(dispatcher: &mut Dispatcher, event: F) -> Vec<Action>
where
    F: FnOnce(&mut Dispatcher, &mut Vec<Action>),
{
    let mut actions = Vec::new();
    event(dispatcher, &mut actions);
    actions
}

/// Guards against a preemption that discards more work than necessary or favours a lower tier.
#[test]
fn preemption_takes_the_cheapest_of_the_lowest_tier() {
    for (name, tiers, tokens, arrival, expected) in [
        ("lowest tier", [1, 2, 1], [0, 900, 0], 0, Some(2)),
        ("before the first token", [2, 2, 2], [3, 0, 9], 0, Some(2)),
        ("fewest tokens", [2, 2, 2], [30, 300, 9], 1, Some(3)),
        ("same tier", [1, 1, 1], [0, 0, 0], 1, None),
        ("higher tier", [0, 0, 0], [0, 0, 0], 1, None),
    ] {
        let mut dispatcher = dispatcher_with_jobs(&one_engine(3), &tiers);
        for (id, tokens) in (1..).zip(tokens) {
            dispatcher.record_tokens(1, JobId(id), tokens, &mut Vec::new());
        }
        let actions = actions_of(&mut dispatcher, |d, a| d.submit(1, job(9, arrival), a));
        let cancelled = actions.iter().find_map(|action| match action {
            Action::Cancel { id, .. } => Some(id.0),
            _ => None,
        });
        assert_eq!(cancelled, expected, "{name}: {actions:?}");
        assert_eq!(dispatcher.is_queued(JobId(9)), expected.is_none(), "{name}");
    }
}

/// Guards against short jobs that wait behind long answers of their own tier, and against a
/// preempted long answer that never continues.
#[test]
fn long_answers_hold_a_bounded_part() {
    for (name, tokens, expected) in [
        ("all long", [300, 5_000, 300, 300], Some(2)),
        ("half of them long", [300, 5_000, 1, 1], None),
        ("none long", [100, 100, 100, 100], None),
    ] {
        let mut dispatcher = dispatcher_with_jobs(&one_engine(4), &[1; 4]);
        for (id, tokens) in (1..).zip(tokens) {
            dispatcher.record_tokens(1, JobId(id), tokens, &mut Vec::new());
        }
        let actions = actions_of(&mut dispatcher, |d, a| d.submit(1, job(9, 1), a));
        let cancelled = actions.iter().find_map(|action| match action {
            Action::Cancel { id, reason, .. } => Some((id.0, *reason)),
            _ => None,
        });
        let reason = Reason::LongAnswer { by: JobId(9) };
        assert_eq!(cancelled, expected.map(|id| (id, reason)), "{name}");
        let Some(id) = expected else { continue };
        let actions = actions_of(&mut dispatcher, |d, a| {
            d.finish(2, JobId(9), Outcome::Complete, a);
        });
        let resumed = matches!(actions[..], [Action::Start { id: other, attempt: 2, priority, .. }]
            if other.0 == id && priority > 10);
        assert!(resumed, "{name}: {actions:?}");
    }
}

/// Guards against a retry of a non-idempotent job that may have run, against a retry on the same
/// upstream, and against a refusal whose code contradicts what was sent.
#[test]
fn retries_repeat_only_what_may_be_repeated() {
    for (name, idempotent, tokens, outcome, expected) in [
        ("not sent", false, 0, Outcome::NotSent, None),
        ("rejected", false, 0, Outcome::Rejected, None),
        ("lost, idempotent", true, 0, Outcome::LostBeforeAnswer, None),
        (
            "lost",
            false,
            0,
            Outcome::LostBeforeAnswer,
            Some(Code::UpstreamLost),
        ),
        (
            "stream",
            true,
            5,
            Outcome::LostMidStream { resumable: true },
            None,
        ),
        (
            "cut stream",
            true,
            5,
            Outcome::LostMidStream { resumable: false },
            Some(Code::StreamBroken),
        ),
        ("error", true, 0, Outcome::Failed, Some(Code::UpstreamError)),
    ] {
        let mut config = config(1);
        for upstream in &mut config.upstreams {
            upstream.honours.resume = true;
        }
        let mut dispatcher = dispatcher_with_jobs(&config, &[]);
        let mut job = job(1, 1);
        job.idempotent = idempotent;
        let first = actions_of(&mut dispatcher, |d, a| d.submit(0, job, a));
        if tokens > 0 {
            dispatcher.record_tokens(1, JobId(1), tokens, &mut Vec::new());
        }
        let second = actions_of(&mut dispatcher, |d, a| d.finish(1, JobId(1), outcome, a));
        match (&first[..], &second[..], expected) {
            ([Action::Start { upstream: a, .. }], [Action::Start { upstream: b, .. }], None) => {
                assert_ne!(a, b, "{name}");
            }
            (_, [Action::Refuse { code, .. }], Some(expected)) => {
                assert_eq!(*code, expected, "{name}");
            }
            _ => panic!("{name}: {second:?}"),
        }
    }
}

/// Guards against unbounded retries when every attempt fails. Attempts of which nothing was sent
/// put no load on upstreams and are bounded for each job only. Jobs lost with their upstream wait for
/// the budget, up to their deadline.
#[test]
fn retries_end() {
    for (outcome, expected, reason) in [
        (
            Outcome::Failed,
            18,
            "a tenth of 150 starts plus the minimum of 3",
        ),
        (
            Outcome::LostBeforeAnswer,
            33,
            "another tenth, as all are lost with their upstreams",
        ),
        (Outcome::NotSent, 2_250, "15 retries for each of 150 jobs"),
    ] {
        let mut dispatcher = Dispatcher::default();
        dispatcher.configure(0, &config(100), &mut Vec::new());
        for id in 1..=150 {
            let mut job = job(id, 0);
            job.policy.retries_errors = true;
            dispatcher.submit(0, job, &mut Vec::new());
        }
        let mut retries = 0;
        for id in 1..=150 {
            let mut actions = Vec::new();
            for _ in 0..20 {
                dispatcher.finish(1, JobId(id), outcome, &mut actions);
            }
            let starts = actions
                .iter()
                .filter(|action| matches!(action, Action::Start { .. }));
            retries += starts.count();
        }
        assert_eq!(retries, expected, "{outcome:?}: {reason}");
        let after_deadline_us = job(1, 0).deadline_us + 1;
        let actions = actions_of(&mut dispatcher, |d, a| d.tick(after_deadline_us, a));
        let is_refusal = |action: &Action| matches!(action, Action::Refuse { .. });
        assert!(actions.iter().all(is_refusal), "{outcome:?}: {actions:?}");
        assert_eq!(dispatcher.in_flight(), 0, "{outcome:?}");
    }
}

/// Guards against a model without free slots that blocks jobs for another model.
#[test]
fn full_target_blocks_no_other() {
    let mut config = config(1);
    config.upstreams[1].models = vec!["manual".to_owned()];
    let mut dispatcher = dispatcher_with_jobs(&config, &[1]);
    let actions = actions_of(&mut dispatcher, |d, a| {
        d.submit(0, job(2, 1), a);
        let mut other = job(3, 1);
        other.target = Target::Model("manual".into());
        d.submit(0, other, a);
    });
    assert!(dispatcher.is_queued(JobId(2)));
    assert!(!dispatcher.is_queued(JobId(3)), "{actions:?}");
}

/// Guards against a job that is queued although it can't start in time, and against one that is
/// refused although it can.
#[test]
fn estimate_decides_on_the_deadline() {
    for (name, queued, wait_ms, expected) in [
        ("in time", 3, 1_000, None),
        ("queue too long", 9, 1_000, Some(Code::DeadlineUnreachable)),
        ("later deadline", 9, 3_000, None),
    ] {
        let mut dispatcher = dispatcher_with_jobs(&one_engine(1), &[]);
        let mut now_us = 0;
        // Each answer holds the only slot for 200 ms.
        for id in 1..=20 {
            let mut job = job(id, 1);
            job.deadline_us = u64::MAX / 2;
            dispatcher.submit(now_us, job, &mut Vec::new());
            dispatcher.record_tokens(now_us, JobId(id), 10, &mut Vec::new());
            now_us += 200_000;
            dispatcher.finish(now_us, JobId(id), Outcome::Complete, &mut Vec::new());
        }
        for id in 21..=21 + queued {
            let mut job = job(id, 1);
            job.deadline_us = u64::MAX / 2;
            dispatcher.submit(now_us, job, &mut Vec::new());
        }
        let mut last = job(99, 1);
        last.deadline_us = now_us + wait_ms * 1_000;
        let actions = actions_of(&mut dispatcher, |d, a| d.submit(now_us, last, a));
        match (&actions[..], expected) {
            (
                [
                    Action::Queued {
                        reason: Reason::NoFreeSlot { .. },
                        ..
                    },
                ],
                None,
            ) => {}
            (
                [
                    Action::Refuse {
                        code,
                        retry_after_ms,
                        ..
                    },
                ],
                Some(expected),
            ) => {
                assert_eq!(*code, expected, "{name}");
                let late_ms = (queued + 1) * 200 - wait_ms;
                assert!(
                    retry_after_ms.abs_diff(late_ms) < 200,
                    "{name}: {retry_after_ms}"
                );
            }
            _ => panic!("{name}: {actions:?}"),
        }
    }
}

/// Guards against an arrival that is refused while the full queue holds work of a lower tier, and
/// against shedding in the wrong order.
#[test]
fn full_queue_sheds_the_newest_of_the_lowest_tier() {
    for (name, queued, arrival, expected) in [
        ("lowest tier", [2, 2, 1], 0, (3, Code::QueueFull)),
        ("middle tier", [1, 1, 1], 0, (4, Code::QueueFull)),
        ("nothing lower", [1, 1, 1], 1, (9, Code::QueueFull)),
    ] {
        let mut dispatcher = Dispatcher::default().with_queue_max(3);
        dispatcher.configure(0, &one_engine(1), &mut Vec::new());
        for (id, tier) in (1..).zip([0].into_iter().chain(queued)) {
            dispatcher.submit(0, job(id, tier), &mut Vec::new());
        }
        let actions = actions_of(&mut dispatcher, |d, a| d.submit(0, job(9, arrival), a));
        let refused = actions.iter().find_map(|action| match action {
            Action::Refuse { id, code, .. } => Some((id.0, *code)),
            _ => None,
        });
        assert_eq!(refused, Some(expected), "{name}");
    }
}

/// Guards against limits of a client account that aren't enforced or whose usage isn't released.
#[test]
fn account_limits_refuse_with_their_code() {
    for (name, limits, expected) in [
        ("rate", (2, 9, 9_999), Code::RateLimited),
        ("requests", (9, 2, 9_999), Code::RequestsInFlight),
        ("tokens", (9, 9, 40), Code::TokensInFlight),
    ] {
        let mut config = one_engine(9);
        config.accounts = vec![Account {
            name: "one".to_owned(),
            key_sha256: Vec::new(),
            default_class: "any".to_owned(),
            classes: Vec::new(),
            requests_per_s: limits.0,
            requests_in_flight: limits.1,
            tokens_in_flight: limits.2,
            weight: 1,
            tier: None,
        }];
        let mut dispatcher = dispatcher_with_jobs(&config, &[1, 1]);
        let actions = actions_of(&mut dispatcher, |d, a| d.submit(0, job(3, 1), a));
        let refused = matches!(actions[..], [Action::Refuse { code, .. }] if code == expected);
        assert!(refused, "{name}: {actions:?}");
        dispatcher.cancel(1, JobId(1), &mut Vec::new());
        let actions = actions_of(&mut dispatcher, |d, a| d.submit(1_000_000, job(4, 1), a));
        assert!(
            matches!(actions[..], [Action::Start { .. }]),
            "{name}: {actions:?}"
        );
    }
}

/// Guards against a queue age that counts running jobs or the wrong tier.
#[test]
fn age_of_the_queue_counts_waiting_jobs() {
    let mut dispatcher = Dispatcher::default();
    let mut actions = Vec::new();
    dispatcher.configure(0, &config(1), &mut actions);
    for (now_us, id) in [(0, 1), (10, 2), (20, 3), (30, 4)] {
        let mut low = job(id, 2);
        low.idempotent = false;
        dispatcher.submit(now_us, low, &mut actions);
    }
    assert_eq!(dispatcher.oldest_waits_us(100), [0, 0, 80]);
}

/// Guards against jobs of the lowest tier that keep slots granted to another daemon, and against
/// preempting higher tiers for that.
#[test]
fn withdrawn_share_cancels_the_lowest_tier_only() {
    for (tier, cancelled) in [(0, 0), (1, 0), (2, 2)] {
        let mut dispatcher = Dispatcher::default();
        let mut actions = Vec::new();
        let mut config = config(3);
        config.upstreams.truncate(1);
        config.upstreams[0].honours.resume = true;
        dispatcher.configure(0, &config, &mut actions);
        for id in 1..=3 {
            dispatcher.submit(0, job(id, tier), &mut actions);
        }
        actions.clear();
        dispatcher.set_share(1, "a", Some(1), &mut actions);
        let withdrawn = |action: &&Action| {
            matches!(action, Action::Cancel { .. }) && action.reason() == Reason::ShareWithdrawn
        };
        assert_eq!(
            actions.iter().filter(withdrawn).count(),
            cancelled,
            "tier {tier}"
        );
    }
}

/// Guards against sums of slots that overflow because a listed upstream claims far too many: the
/// daemon stopped following its configuration.
#[test]
fn slots_beyond_32_bits_are_no_overflow() {
    let mut dispatcher = Dispatcher::default();
    let mut actions = Vec::new();
    dispatcher.configure(0, &config(u32::MAX), &mut actions);
    for id in 1..=40 {
        dispatcher.submit(0, job(id, 0), &mut actions);
    }
    let started = actions
        .iter()
        .filter(|action| matches!(action, Action::Start { .. }));
    assert_eq!(started.count(), 40);
}
