use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use crate::{Mix, RequestSpec};

/// Length of one swing from mean to peak and back.
const SWING_US: f64 = 4_000_000.0;

/// Requests of one plan; a longer plan is cut.
const REQUESTS_MAX: usize = 100_000;

/// One planned request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Time from the start of the run.
    pub at_us: u64,
    /// Index of the part of the mix.
    pub spec_index: usize,
    /// Prompt.
    pub prompt: String,
    /// Tokens after which the caller leaves; `None` if it stays.
    pub abandon_after_tokens: Option<u32>,
}

/// Requests of one run, by time.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    mix: Mix,
    requests: Vec<PlannedRequest>,
}

impl Plan {
    /// Draws a plan: `rate_per_s` requests a second on average, for this many seconds.
    #[must_use]
    pub fn generate(mix: &Mix, rate_per_s: f64, seconds: u64, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let end_us = seconds as f64 * 1e6;
        let peak_rate = rate_per_s * mix.peak_factor;
        let mut requests = Vec::new();
        let mut at_us = 0.0;
        while requests.len() < REQUESTS_MAX {
            // Poisson arrivals at the peak rate, thinned to the rate of the moment.
            at_us += -(1.0 - random.random::<f64>()).ln() / peak_rate * 1e6;
            if at_us >= end_us {
                break;
            }
            let swing = (at_us / SWING_US * std::f64::consts::TAU).sin();
            let rate = rate_per_s * (1.0 + (mix.peak_factor - 1.0) * swing);
            if random.random::<f64>() * peak_rate < rate {
                requests.push(draw_request(mix, at_us, requests.len(), &mut random));
            }
        }
        Self {
            mix: mix.clone(),
            requests,
        }
    }

    /// Returns the mix.
    #[must_use]
    pub const fn mix(&self) -> &Mix {
        &self.mix
    }

    /// Returns the requests, by time.
    #[must_use]
    pub fn requests(&self) -> &[PlannedRequest] {
        &self.requests
    }
}

fn draw_request(mix: &Mix, at_us: f64, number: usize, random: &mut StdRng) -> PlannedRequest {
    let total: f64 = mix.requests.iter().map(|share| share.weight).sum();
    let mut left = random.random::<f64>() * total;
    let mut index = 0;
    for (candidate, share) in mix.requests.iter().enumerate() {
        index = candidate;
        left -= share.weight;
        if left < 0.0 {
            break;
        }
    }
    let share = &mix.requests[index];
    let output_tokens = draw_skewed(share.output_tokens, random);
    let leaves = random.random::<f64>() < share.abandon_rate;
    PlannedRequest {
        at_us: at_us as u64,
        spec_index: index,
        prompt: prompt(share, number, output_tokens, random),
        abandon_after_tokens: leaves.then(|| random.random_range(1..=output_tokens)),
    }
}

/// Draws from a range so that a few values are many times larger than the rest.
fn draw_skewed((low, high): (u32, u32), random: &mut StdRng) -> u32 {
    let skew = random.random::<f64>().powi(3);
    low + (f64::from(high - low) * skew) as u32
}

fn prompt(share: &RequestSpec, number: usize, output_tokens: u32, random: &mut StdRng) -> String {
    let (low, high) = share.prompt_tokens;
    let characters = 4 * random.random_range(low..=high) as usize;
    let mut text = format!("{} ({number}) ", share.topic);
    while text.len() < characters {
        text.push_str("valve spindle washer thread ");
    }
    text + &format!("len={output_tokens}")
}
