use settings::{Config, Honours, Kind, State, Upstream};

use crate::{Action, Dispatcher, Job, JobId, Outcome, Target};

fn config(slots: u32) -> Config {
    let upstream = |name: &str| Upstream {
        name: name.to_owned(),
        kind: Kind::Model,
        address: "127.0.0.1:1".parse().unwrap(),
        region: "costa".to_owned(),
        zone: "costa-norte".to_owned(),
        models: vec!["faucet".to_owned()],
        service: String::new(),
        slots,
        honours: Honours::default(),
        state: State::Live,
    };
    Config {
        upstreams: vec![upstream("a"), upstream("b")],
        ..Config::default()
    }
}

fn job(id: u64, tier: u8) -> Job {
    Job {
        id: JobId(id),
        account: "one".into(),
        class: "any".into(),
        tier,
        target: Target::Model("faucet".into()),
        prompt_tokens: 10,
        max_tokens: 10,
        body_bytes: 100,
        prefix_hash: 0,
        deadline_us: 1_000_000,
        idempotent: true,
    }
}

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

/// Guards against a slot that stays taken after its caller has left.
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
