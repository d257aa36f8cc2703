use crate::{engine_load::EngineLoad, prefix_cache::PrefixCache};

/// Share of the unread tokens that is always assumed to remain, however long ago they were sent,
/// because an engine may be slower than predicted.
const REMAINING_SHARE_MIN: f64 = 0.1;

/// Prompts of at most this many tokens count as short: their prefill takes one or two chunks, and
/// the streams that follow are delayed by the prefill of long prompts on the same engine.
pub const SHORT_PROMPT_MAX_TOKENS: u32 = 2_560;

/// Attempt that runs on an engine.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    job: u64,
    tier: u8,
    unread_tokens: u32,
    short: bool,
    has_first_token: bool,
}

/// This daemon's view of the work and the cache of a model engine.
#[derive(Debug, Clone, Default)]
pub struct EngineState {
    /// Whether it is reserved for short prompts.
    pub reserved_for_short: bool,
    /// Assumed content of its cache.
    pub cache: PrefixCache,
    attempts: Vec<Attempt>,
    /// Time since which the engine has been processing the first of the unread prompts.
    prefill_since_us: u64,
    /// Load of other daemons.
    peer_load: EngineLoad,
    /// Time at which `peer_load` was reported.
    peer_load_us: u64,
}

impl EngineState {
    /// Records the start of an attempt with the unread tokens of its prompt.
    pub fn start(&mut self, now_us: u64, job: u64, tier: u8, unread_tokens: u32, short: bool) {
        if self.attempts.iter().all(|attempt| attempt.has_first_token) {
            self.prefill_since_us = now_us;
        }
        self.attempts.push(Attempt {
            job,
            tier,
            unread_tokens,
            short,
            has_first_token: false,
        });
    }

    /// Records the first token of an attempt.
    pub fn record_first_token(&mut self, now_us: u64, job: u64) {
        let mut attempts = self.attempts.iter_mut();
        if let Some(attempt) = attempts.find(|attempt| attempt.job == job) {
            attempt.has_first_token = true;
            self.prefill_since_us = now_us;
        }
    }

    /// Records the end of an attempt.
    pub fn end(&mut self, job: u64) {
        self.attempts.retain(|attempt| attempt.job != job);
    }

    /// Sets the load of other daemons on the engine.
    pub const fn set_peer_load(&mut self, now_us: u64, load: EngineLoad) {
        self.peer_load = load;
        self.peer_load_us = now_us;
    }

    /// Returns this daemon's load on the engine.
    pub fn own_load(&self) -> EngineLoad {
        let mut load = EngineLoad::default();
        for attempt in &self.attempts {
            if attempt.has_first_token {
                load.running += 1;
                load.short_running += u32::from(attempt.short);
            } else {
                let tier = usize::from(attempt.tier).min(load.unread_tokens.len() - 1);
                load.unread_tokens[tier] += attempt.unread_tokens;
            }
        }
        load
    }

    /// Returns the estimated work on the engine now, if it processes a prompt token in `token_us`.
    #[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
    pub fn work(&self, now_us: u64, token_us: f64) -> Work {
        let (own_load, peer_load) = (self.own_load(), self.peer_load);
        let tokens_processed =
            |since_us: u64| now_us.saturating_sub(since_us) as f64 / token_us.max(0.001);
        let own_remaining =
            RemainingTokens::new(&own_load, tokens_processed(self.prefill_since_us));
        let peer_remaining = RemainingTokens::new(&peer_load, tokens_processed(self.peer_load_us));
        Work {
            unread_tokens: std::array::from_fn(|tier| {
                own_remaining.in_tier(tier) + peer_remaining.in_tier(tier)
            }),
            running: f64::from(own_load.running + peer_load.running),
            short_running: f64::from(own_load.short_running + peer_load.short_running),
        }
    }
}

/// Estimated work on an engine at one point in time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Work {
    /// Prompt tokens that are still to be processed, by tier.
    pub unread_tokens: [f64; 3],
    /// Requests that are generating tokens.
    pub running: f64,
    /// Running requests that had a short prompt.
    pub short_running: f64,
}

impl Work {
    /// Returns the tokens that are processed before a new prompt of a tier.
    pub fn ahead_tokens(&self, tier: u8) -> f64 {
        let last = usize::from(tier).min(self.unread_tokens.len() - 1);
        self.unread_tokens[..=last].iter().sum()
    }

    /// Returns all prompt tokens that are still to be processed.
    pub fn all_tokens(&self) -> f64 {
        self.unread_tokens.iter().sum()
    }
}

/// Unread tokens that remain after some were processed, the highest tier first.
struct RemainingTokens {
    unread: [f64; 3],
    processed: f64,
}

impl RemainingTokens {
    fn new(load: &EngineLoad, processed: f64) -> Self {
        Self {
            unread: load.unread_tokens.map(f64::from),
            processed,
        }
    }

    /// Returns the remaining tokens of a tier.
    fn in_tier(&self, tier: usize) -> f64 {
        let before: f64 = self.unread[..tier].iter().sum();
        let processed = (self.processed - before).max(0.0);
        (self.unread[tier] - processed).max(REMAINING_SHARE_MIN * self.unread[tier])
    }
}
