use std::sync::Arc;

use rand::{Rng, RngExt as _, SeedableRng as _, rngs::StdRng};
use rand_distr::{Distribution as _, Exp};
use sched::PromptPart;

use super::setup::DaySetup;
use crate::number::whole;

/// Power that makes some subjects more wanted than others.
const SUBJECT_SKEW: f64 = 2.0;

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
    for mix in 0..setup.sheet.mixes.len() {
        let mut at_us = 0;
        loop {
            let rate = Exp::new(setup.per_s(mix, at_us));
            let pause_s = rate.map_or(1.0, |rate| rate.sample(&mut rng));
            at_us += whole(pause_s * 1e6) + 1;
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
    let mix = &setup.sheet.mixes[index];
    let mut about = |mean: u32| rng.random_range(mean / 2..=mean + mean / 2).max(1);
    let events = about(mix.events);
    let mut prompt = Vec::new();
    if let Some(wanted) = mix.prompt {
        let own_tokens = about(wanted.own_tokens);
        let place = rng.random::<f64>().powf(SUBJECT_SKEW) * f64::from(wanted.subjects);
        let subject = whole(place).min(u64::from(wanted.subjects) - 1);
        prompt.push(PromptPart {
            id: 1_000 * (index as u64 + 1) + subject,
            tokens: wanted.shared_tokens,
        });
        prompt.push(PromptPart {
            id: 1_000_000 + number,
            tokens: own_tokens,
        });
    }
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
