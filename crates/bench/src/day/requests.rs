use std::sync::Arc;

use rand::{Rng, RngExt as _, SeedableRng as _, rngs::StdRng};
use rand_distr::{Distribution as _, Exp};
use sched::PromptPart;

use super::setup::DaySetup;
use crate::number::{floor_to_u64, ratio};

/// One request of a day.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) arrive_us: u64,
    pub(super) deadline_us: u64,
    /// Index of its kind.
    pub(super) mix: usize,
    pub(super) account: usize,
    pub(super) prompt: Arc<[PromptPart]>,
    pub(super) output_tokens: u32,
    /// Chooses the daemon, from 0 to 1.
    pub(super) spread: f64,
}

impl Request {
    /// Returns the tokens of the prompt.
    pub(super) fn prompt_tokens(&self) -> u32 {
        self.prompt.iter().map(|part| part.tokens).sum()
    }
}

/// Draws all requests of a day.
pub(super) fn requests(setup: &DaySetup) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(setup.seed);
    let mut all = Vec::new();
    for mix in 0..setup.sheet.requests.len() {
        let mut at_us = 0;
        loop {
            let rate = Exp::new(setup.per_s(mix, at_us));
            let pause_s = rate.map_or(1.0, |rate| rate.sample(&mut rng));
            at_us += floor_to_u64(pause_s * 1e6) + 1;
            if at_us >= setup.end_us {
                break;
            }
            let number = all.len() as u64;
            all.push(draw(setup, mix, at_us, number, &mut rng));
        }
    }
    all
}

fn draw<R>(setup: &DaySetup, index: usize, at_us: u64, number: u64, rng: &mut R) -> Request
where
    R: Rng,
{
    let mix = &setup.sheet.requests[index];
    let mut about = |mean: u32| rng.random_range(mean / 2..=mean + mean / 2).max(1);
    let events = about(mix.events);
    let scale = ratio(setup.engines as u64, setup.sheet.engines as u64);
    let parts = mix
        .prompt
        .map(|prompt| prompt.draw(index as u64, number, scale, rng));
    let parts = parts.unwrap_or_default().into_iter();
    let prompt: Vec<PromptPart> = parts
        .map(|(id, tokens)| PromptPart { id, tokens })
        .collect();
    let accounts = setup.sheet.accounts;
    let account = rng
        .random_range(0..accounts)
        .min(rng.random_range(0..accounts));
    Request {
        arrive_us: at_us,
        deadline_us: at_us + mix.deadline_ms * 1_000,
        mix: index,
        account,
        prompt: prompt.into(),
        output_tokens: events * setup.sheet.event_tokens,
        spread: rng.random(),
    }
}
