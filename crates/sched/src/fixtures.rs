//! Configuration and jobs for the unit tests.

use settings::{Config, Honours, Upstream, UpstreamKind, UpstreamLifecycle};

use crate::{Job, JobId, JobPolicy, LatencyAims, Target};

/// Returns a configuration with the engines `a` and `b`.
pub(crate) fn config(slots: u32) -> Config {
    let upstream = |name: &str| Upstream {
        name: name.to_owned(),
        kind: UpstreamKind::Model,
        address: "127.0.0.1:1".parse().unwrap(),
        region: "costa".to_owned(),
        zone: "costa-norte".to_owned(),
        models: vec!["faucet".to_owned()],
        service: String::new(),
        slots,
        honours: Honours::default(),
        state: UpstreamLifecycle::Live,
        engine: None,
        started_ms: None,
        reclaimable: false,
    };
    Config {
        upstreams: vec![upstream("a"), upstream("b")],
        ..Config::default()
    }
}

/// Returns an idempotent job that both engines can run.
pub(crate) fn job(id: u64, tier: u8) -> Job {
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
        aims: LatencyAims::default(),
        deadline_us: 1_000_000,
        idempotent: true,
        prompt: [].into(),
        prompt_parts: crate::PromptParts::default(),
        policy: JobPolicy::default(),
    }
}
