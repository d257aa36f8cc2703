//! Generation of the requests of a run.

use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use rand_distr::{Distribution as _, Exp};

use crate::{
    class_mix::ClassMix,
    deployment::{ACCOUNTS, SLOTS},
    number::{floor_to_u64, to_f64},
    request::Request,
    scenario::Scenario,
    setup::Setup,
};

/// Account whose demand rises in `burst-account`.
pub(crate) const BURST_ACCOUNT: usize = 1;

/// Share of callers in the first region, which has two of the three zones.
const FIRST_REGION_SHARE: f64 = 2.0 / 3.0;

/// Returns all requests of a run in order of time.
pub(crate) fn requests(setup: &Setup) -> Vec<Request> {
    let mut all = Vec::new();
    let classes = setup.deployment.classes();
    for (class, mix) in classes.iter().enumerate() {
        let seed = setup.seed * 1_000 + class as u64;
        let rate_per_s = setup.load * engine_capacity_per_s(mix) * to_f64(setup.engines as u64);
        add_requests(setup, class, mix, rate_per_s, seed, false, &mut all);
        if setup.scenario == Scenario::BurstAccount && !setup.no_faults {
            add_requests(setup, class, mix, rate_per_s, seed + 500, true, &mut all);
        }
    }
    all.sort_by_key(|request| request.arrive_us);
    all
}

/// Returns the request rate of the scenario `steady`, from which the rate limits are derived.
pub(crate) fn steady_per_s(setup: &Setup) -> f64 {
    if setup.no_limits {
        return 1e6;
    }
    let classes = setup.deployment.classes();
    let demand = Scenario::Steady.demand(0);
    let rates = classes
        .iter()
        .zip(demand)
        .map(|(mix, part)| engine_capacity_per_s(mix) * part);
    rates.sum::<f64>() * setup.load * to_f64(setup.engines as u64)
}

/// Returns the request rate at which one class uses an engine fully.
fn engine_capacity_per_s(mix: &ClassMix) -> f64 {
    let mut rng = StdRng::seed_from_u64(0);
    let profile = batch::Profile::default();
    let slots = u64::from(SLOTS);
    let step_us = profile.step_us + profile.step_us_per_sequence * slots;
    let token_us = to_f64(step_us) / to_f64(slots);
    let prompt_us = mix.prompt.mean(&mut rng) * to_f64(profile.prefill_ns_per_token) / 1_000.0;
    1e6 / (mix.output.mean(&mut rng) * token_us + prompt_us)
}

/// Adds the requests of one class; with `burst`, those that the bursting account sends in addition
/// to its usual demand.
fn add_requests(
    setup: &Setup,
    class: usize,
    mix: &ClassMix,
    rate_per_s: f64,
    seed: u64,
    burst: bool,
    all: &mut Vec<Request>,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let weights: u32 = ACCOUNTS.iter().map(|(_, weight)| weight).sum();
    let burst_share = 9.0 * f64::from(ACCOUNTS[BURST_ACCOUNT].1) / f64::from(weights);
    let mut at_us = 0;
    while at_us < setup.end_us {
        let mut rate = rate_per_s * setup.scenario.demand(at_us)[class];
        if burst {
            rate *= burst_share;
        }
        let gap_s = Exp::new(rate).map_or(1.0, |gaps| gaps.sample(&mut rng));
        at_us += floor_to_u64(gap_s * 1e6) + 1;
        let account = if burst {
            BURST_ACCOUNT
        } else {
            pick_account(rng.random_range(0..weights))
        };
        let output_tokens = mix.output.draw(&mut rng);
        let leaves = rng.random_bool(setup.scenario.disconnect_share());
        let disconnect_after = rng.random_range(1..=output_tokens.max(2) - 1);
        let first_token_us = mix.class.first_token_ms * 1_000;
        let request = Request {
            arrive_us: at_us,
            region: usize::from(!rng.random_bool(FIRST_REGION_SHARE)),
            balancer_position: rng.random(),
            account,
            class,
            prompt_tokens: mix.prompt.draw(&mut rng),
            output_tokens,
            body_bytes: u64::from(mix.body.draw(&mut rng)),
            prefix: if mix.prefix_tokens > 0 {
                (account * 3 + class + 1) as u64
            } else {
                0
            },
            disconnect_after_tokens: leaves.then_some(disconnect_after),
            patience_us: rng.random_range(first_token_us * 2..=first_token_us * 6),
        };
        if burst && !(10_000_000..30_000_000).contains(&at_us) {
            continue;
        }
        all.push(request);
    }
}

/// Returns the account at a position between 0 and the sum of all weights.
fn pick_account(mut position: u32) -> usize {
    for (index, (_, weight)) in ACCOUNTS.iter().enumerate() {
        if position < *weight {
            return index;
        }
        position -= weight;
    }
    0
}
