//! Generates the requests of a run from a mix and a seed.

use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};

use crate::{Mix, RequestSpec};

/// Period of the sinusoidal request rate.
const RATE_PERIOD_US: f64 = 4_000_000.0;

/// Maximum number of requests in a plan; a longer plan is cut off.
const REQUESTS_MAX: usize = 100_000;

/// One planned request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Time from the start of the run.
    pub at_us: u64,
    /// Index of the request spec in the mix.
    pub spec_index: usize,
    /// Text of the prompt.
    pub prompt: String,
    /// Tokens after which the caller disconnects; `None` if it reads the whole response.
    pub abandon_after_tokens: Option<u32>,
}

/// Requests of one run, ordered by time.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    mix: Mix,
    requests: Vec<PlannedRequest>,
}

impl Plan {
    /// Generates a plan with `rate_per_s` requests per second on average, for this many seconds.
    #[must_use]
    pub fn generate(mix: &Mix, rate_per_s: f64, seconds: u64, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let end_us = seconds as f64 * 1e6;
        let peak_rate = rate_per_s * mix.peak_factor;
        let mut requests = Vec::new();
        let mut at_us = 0.0;
        while requests.len() < REQUESTS_MAX {
            // A Poisson process at the peak rate, thinned to the current rate.
            at_us += -(1.0 - random.random::<f64>()).ln() / peak_rate * 1e6;
            if at_us >= end_us {
                break;
            }
            let wave = (at_us / RATE_PERIOD_US * std::f64::consts::TAU).sin();
            let rate = rate_per_s * (1.0 + (mix.peak_factor - 1.0) * wave);
            if random.random::<f64>() * peak_rate < rate {
                requests.push(draw_request(mix, at_us, requests.len(), &mut random));
            }
        }
        Self {
            mix: mix.clone(),
            requests,
        }
    }

    /// Returns the mix that the plan was generated from.
    #[must_use]
    pub const fn mix(&self) -> &Mix {
        &self.mix
    }

    /// Returns the requests, ordered by time.
    #[must_use]
    pub fn requests(&self) -> &[PlannedRequest] {
        &self.requests
    }
}

/// Draws a request spec by weight, and a request of that spec.
fn draw_request(mix: &Mix, at_us: f64, number: usize, random: &mut StdRng) -> PlannedRequest {
    let total: f64 = mix.requests.iter().map(|spec| spec.weight).sum();
    let mut remaining_weight = random.random::<f64>() * total;
    let mut index = 0;
    for (candidate, spec) in mix.requests.iter().enumerate() {
        index = candidate;
        remaining_weight -= spec.weight;
        if remaining_weight < 0.0 {
            break;
        }
    }
    let spec = &mix.requests[index];
    let output_tokens = draw_skewed(spec.output_tokens, random);
    let abandons = random.random::<f64>() < spec.abandon_rate;
    PlannedRequest {
        at_us: at_us as u64,
        spec_index: index,
        prompt: prompt(spec, number, output_tokens, random),
        abandon_after_tokens: abandons.then(|| random.random_range(1..=output_tokens)),
    }
}

/// Draws from a range with a skewed distribution: a few values are many times larger than the rest.
fn draw_skewed((low, high): (u32, u32), random: &mut StdRng) -> u32 {
    let skew = random.random::<f64>().powi(3);
    low + (f64::from(high - low) * skew) as u32
}

/// Returns a prompt whose text asks the engine stand-in for an answer of `output_tokens`.
fn prompt(spec: &RequestSpec, number: usize, output_tokens: u32, random: &mut StdRng) -> String {
    let (low, high) = spec.prompt_tokens;
    let characters = 4 * random.random_range(low..=high) as usize;
    let mut text = format!("{} ({number}) ", spec.topic);
    while text.len() < characters {
        text.push_str("valve spindle washer thread ");
    }
    text + &format!("len={output_tokens}")
}
