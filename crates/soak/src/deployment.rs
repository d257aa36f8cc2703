//! Deployment that the soak runs.

use batch::Profile;
use emulator::{
    DeploymentSpec, PromptSpec, RequestKind, RequestSpec, SharedPart, SizeDistribution,
};

/// Name of the route and of the service of the probes.
pub const PROBE: &str = "probe";

/// Engine that takes about 5 ms per step, so that streams last long enough to be interrupted.
const PROFILE: Profile = Profile {
    slots: 8,
    step_us: 5_000,
    step_us_per_sequence: 200,
    prefill_ns_per_token: 10_000,
    prefill_chunk_tokens: 256,
    prefix_cache_tokens: 20_000,
    kv_capacity_tokens: Some(20_000),
    honours_priority: true,
    preempts: true,
};

/// Short prompts, each with one of four shared parts.
const PROMPT: PromptSpec = PromptSpec {
    shared: &[SharedPart {
        variants: 4,
        fixed_count: true,
        size: SizeDistribution {
            mean: 400.0,
            sigma: 0.2,
            max: 800.0,
        },
    }],
    unique: SizeDistribution {
        mean: 100.0,
        sigma: 0.2,
        max: 200.0,
    },
};

/// Returns a deployment with one kind of request for each guarantee; `requests_per_s` is the total
/// rate.
pub fn deployment(requests_per_s: f64) -> DeploymentSpec {
    let plain = |name, kind| RequestSpec {
        name,
        service: "parts",
        kind,
        rank: 1,
        requests_per_s: requests_per_s / 3.0,
        prompt: None,
        events: 1,
        target_ms: 500,
        event_gap_ms: 0,
        deadline_ms: 4_000,
    };
    DeploymentSpec {
        name: "soak",
        requests: vec![
            plain("once", RequestKind::NonIdempotent),
            plain("again", RequestKind::Idempotent),
            RequestSpec {
                service: "assistant",
                prompt: Some(PROMPT),
                events: 6,
                ..plain("stream", RequestKind::Stream)
            },
        ],
        engine_service: "assistant",
        engines: 2,
        profile: PROFILE,
        event_tokens: 2,
        plain_service: "parts",
        plain_upstreams: 3,
        plain_slots: 8,
        plain_service_time_ms: 15,
        // Long enough to be interrupted in the middle.
        plain_body_bytes: 800,
        accounts: 4,
    }
}

/// Returns the deployment with a route for the probes of departed upstreams, to which the load
/// sends nothing.
pub fn with_probe_route(deployment: &DeploymentSpec) -> DeploymentSpec {
    let mut deployment = deployment.clone();
    deployment.requests.push(RequestSpec {
        name: PROBE,
        service: PROBE,
        ..deployment.requests[1]
    });
    deployment
}
