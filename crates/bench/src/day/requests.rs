//! Generation of the requests of a run.

use std::sync::Arc;

use rand::{Rng, RngExt as _, SeedableRng as _, rngs::StdRng};
use rand_distr::{Distribution as _, Exp};
use sched::PromptPart;

use super::setup::DaySetup;
use crate::number::{floor_to_u64, ratio};

/// Request of a simulated caller.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) arrive_us: u64,
    pub(super) deadline_us: u64,
    /// Index of its request spec in the deployment spec.
    pub(super) spec: usize,
    pub(super) account: usize,
    pub(super) prompt: Arc<[PromptPart]>,
    pub(super) output_tokens: u32,
    /// Number between 0 and 1 by which the daemon is selected.
    pub(super) balancer_position: f64,
}

impl Request {
    /// Returns the number of prompt tokens.
    pub(super) fn prompt_tokens(&self) -> u32 {
        self.prompt.iter().map(|part| part.tokens).sum()
    }
}

/// Generates all requests of a run.
pub(super) fn requests(setup: &DaySetup) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(setup.seed);
    let mut all = Vec::new();
    for spec in 0..setup.deployment.requests.len() {
        let mut at_us = 0;
        loop {
            let rate = Exp::new(setup.requests_per_s(spec, at_us));
            let pause_s = rate.map_or(1.0, |rate| rate.sample(&mut rng));
            at_us += floor_to_u64(pause_s * 1e6) + 1;
            if at_us >= setup.end_us {
                break;
            }
            let number = all.len() as u64;
            all.push(draw_request(setup, spec, at_us, number, &mut rng));
        }
    }
    all
}

/// Draws the properties of one request.
fn draw_request<R>(setup: &DaySetup, index: usize, at_us: u64, number: u64, rng: &mut R) -> Request
where
    R: Rng,
{
    let spec = &setup.deployment.requests[index];
    let mut vary = |mean: u32| rng.random_range(mean / 2..=mean + mean / 2).max(1);
    let events = vary(spec.events);
    let scale = ratio(setup.engines as u64, setup.deployment.engines as u64);
    let parts = spec
        .prompt
        .map(|prompt| prompt.draw(index as u64, number, scale, rng));
    let parts = parts.unwrap_or_default().into_iter();
    let prompt: Vec<PromptPart> = parts
        .map(|(id, tokens)| PromptPart { id, tokens })
        .collect();
    let accounts = setup.deployment.accounts;
    let account = rng
        .random_range(0..accounts)
        .min(rng.random_range(0..accounts));
    Request {
        arrive_us: at_us,
        deadline_us: at_us + spec.deadline_ms * 1_000,
        spec: index,
        account,
        prompt: prompt.into(),
        output_tokens: events * setup.deployment.event_tokens,
        balancer_position: rng.random(),
    }
}
