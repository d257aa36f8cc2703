use crate::{
    engine_load::EngineLoad,
    gap_class::{GAP_CLASSES, gap_class},
    prefix_cache::PrefixCache,
};

/// Share of the unread tokens that is always assumed to remain, however long ago they were sent,
/// because an engine may be slower than predicted.
const REMAINING_SHARE_MIN: f64 = 0.1;

/// Time constant of the exponential decay of the recent prompt tokens. It is longer than a burst of
/// prompts and shorter than a shift of the traffic.
const RECENT_DECAY_US: f64 = 3_000_000.0;

/// Attempt that runs on an engine.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    job: u64,
    tier: u8,
    unread_tokens: u32,
    gap_class: usize,
    has_first_token: bool,
    demand: MemoryDemand,
}

/// What a request takes of an engine's memory.
#[derive(Debug, Clone, Copy, Default)]
pub struct MemoryDemand {
    /// Last shared part of the prompt; requests that share it take its memory once. 0 for none.
    pub shared_id: u64,
    /// Tokens of all shared parts.
    pub shared_tokens: u32,
    /// Tokens of the request's own part, and of its answer at most.
    pub own_tokens: u32,
}

impl MemoryDemand {
    /// Returns the tokens of a request that shares no part with another.
    pub fn tokens(&self) -> f64 {
        f64::from(self.shared_tokens) + f64::from(self.own_tokens)
    }
}

/// This daemon's view of the work and the cache of a model engine.
#[derive(Debug, Clone, Default)]
pub struct EngineState {
    /// Whether it is reserved for short prompts.
    pub reserved_for_short: bool,
    /// Assumed content of its cache.
    pub cache: PrefixCache,
    /// Time at which its known transfers of cached parts are complete.
    pub transfers_end_us: u64,
    attempts: Vec<Attempt>,
    /// Time since which the engine has been processing the first of the unread prompts.
    prefill_since_us: u64,
    /// Last time at which unread prompts were known.
    unread_until_us: u64,
    /// Decayed sums of the tokens of this daemon's prompts, and of their squares.
    recent_tokens: f64,
    recent_tokens_squared: f64,
    recent_us: u64,
    /// Load of other daemons.
    peer_load: EngineLoad,
    /// Time at which `peer_load` was reported.
    peer_load_us: u64,
    /// Expected load of the daemons that told nothing lately.
    background: Background,
}

/// Mean load that daemons put on an engine, as far as they didn't tell it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Background {
    /// Prompt tokens that are still to be processed, by tier.
    pub unread_tokens: [f64; 3],
    /// Requests that are generating tokens, by the class of their target for the gap.
    pub running: [f64; GAP_CLASSES],
    /// Tokens that requests take of the engine's memory.
    pub held_tokens: f64,
    /// Decayed sum of the tokens of recent prompts.
    pub recent_tokens: f64,
    /// Decayed sum of the squares of those tokens.
    pub recent_tokens_squared: f64,
}

impl Background {
    /// No load.
    pub const ZERO: Self = Self {
        unread_tokens: [0.0; 3],
        running: [0.0; GAP_CLASSES],
        held_tokens: 0.0,
        recent_tokens: 0.0,
        recent_tokens_squared: 0.0,
    };

    /// Adds the load of one daemon.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    pub fn add(&mut self, load: &EngineLoad) {
        for (sum, tokens) in self.unread_tokens.iter_mut().zip(load.unread_tokens) {
            *sum += f64::from(tokens);
        }
        for (sum, running) in self.running.iter_mut().zip(load.running) {
            *sum += f64::from(running);
        }
        self.held_tokens += f64::from(load.held_tokens);
        self.recent_tokens += f64::from(load.recent_tokens);
        self.recent_tokens_squared += load.recent_tokens_squared as f64;
    }

    /// Returns the load multiplied by a factor.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        Self {
            unread_tokens: self.unread_tokens.map(|tokens| tokens * factor),
            running: self.running.map(|running| running * factor),
            held_tokens: self.held_tokens * factor,
            recent_tokens: self.recent_tokens * factor,
            recent_tokens_squared: self.recent_tokens_squared * factor,
        }
    }

    /// Moves a moving average by `gain` towards a new value.
    pub fn approach(&mut self, value: &Self, gain: f64) {
        let step = |average: &mut f64, value: f64| *average += gain * (value - *average);
        for (average, value) in self.unread_tokens.iter_mut().zip(value.unread_tokens) {
            step(average, value);
        }
        for (average, value) in self.running.iter_mut().zip(value.running) {
            step(average, value);
        }
        step(&mut self.held_tokens, value.held_tokens);
        step(&mut self.recent_tokens, value.recent_tokens);
        step(&mut self.recent_tokens_squared, value.recent_tokens_squared);
    }
}

impl EngineState {
    /// Records the start of an attempt with the unread tokens of its prompt and its target for the
    /// gap between events.
    pub fn start(
        &mut self,
        now_us: u64,
        job: u64,
        tier: u8,
        unread_tokens: u32,
        event_gap_us: u64,
    ) {
        if self.attempts.iter().all(|attempt| attempt.has_first_token) {
            self.prefill_since_us = now_us;
        }
        self.attempts.push(Attempt {
            job,
            tier,
            unread_tokens,
            gap_class: gap_class(event_gap_us),
            has_first_token: false,
            demand: MemoryDemand::default(),
        });
        let decay = self.recent_decay(now_us);
        let tokens = f64::from(unread_tokens);
        self.recent_tokens = self.recent_tokens * decay + tokens;
        self.recent_tokens_squared = self.recent_tokens_squared * decay + tokens * tokens;
        self.recent_us = self.recent_us.max(now_us);
    }

    /// Sets what a started attempt takes of the engine's memory.
    pub fn set_memory_demand(&mut self, job: u64, demand: MemoryDemand) {
        let mut attempts = self.attempts.iter_mut();
        if let Some(attempt) = attempts.find(|attempt| attempt.job == job) {
            attempt.demand = demand;
        }
    }

    /// Returns what this daemon's requests take of the engine's memory.
    fn held_tokens(&self) -> u32 {
        let held = self.attempts.iter().enumerate().map(|(index, attempt)| {
            let demand = attempt.demand;
            let mut before = self.attempts[..index].iter();
            let is_shared = before.any(|other| other.demand.shared_id == demand.shared_id);
            let shared_tokens = if is_shared { 0 } else { demand.shared_tokens };
            demand.own_tokens.saturating_add(shared_tokens)
        });
        held.fold(0, u32::saturating_add)
    }

    /// Records the first token of an attempt.
    pub fn record_first_token(&mut self, now_us: u64, job: u64) {
        let mut attempts = self.attempts.iter_mut();
        if let Some(attempt) = attempts.find(|attempt| attempt.job == job) {
            attempt.has_first_token = true;
            self.prefill_since_us = now_us;
            self.unread_until_us = now_us;
        }
    }

    /// Records the end of an attempt.
    pub fn end(&mut self, job: u64) {
        self.attempts.retain(|attempt| attempt.job != job);
    }

    /// Sets the load of other daemons on the engine.
    pub fn set_peer_load(&mut self, now_us: u64, load: EngineLoad) {
        if self.peer_load.unread_tokens != [0; 3] || load.unread_tokens != [0; 3] {
            self.unread_until_us = now_us;
        }
        self.peer_load = load;
        self.peer_load_us = now_us;
    }

    /// Sets the expected load of the daemons that told nothing lately.
    pub const fn set_background(&mut self, background: Background) {
        self.background = background;
    }

    /// Returns this daemon's load on the engine.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float that is too large becomes the largest integer"
    )]
    pub fn own_load(&self, now_us: u64) -> EngineLoad {
        let mut load = EngineLoad::default();
        for attempt in &self.attempts {
            if attempt.has_first_token {
                load.running[attempt.gap_class] += 1;
            } else {
                let tier = usize::from(attempt.tier).min(load.unread_tokens.len() - 1);
                load.unread_tokens[tier] += attempt.unread_tokens;
            }
        }
        load.held_tokens = self.held_tokens();
        let decay = self.recent_decay(now_us);
        load.recent_tokens = (self.recent_tokens * decay) as u32;
        load.recent_tokens_squared = (self.recent_tokens_squared * decay) as u64;
        load
    }

    /// Returns whether prompts were being processed at any time since `since_us`, as far as known.
    pub fn had_unread(&self, since_us: u64) -> bool {
        self.unread_until_us >= since_us
            || self.attempts.iter().any(|attempt| !attempt.has_first_token)
    }

    /// Returns the estimated work on the engine now, if it processes a prompt token in `token_us`.
    #[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
    pub fn work(&self, now_us: u64, token_us: f64) -> Work {
        let (own_load, peer_load) = (self.own_load(now_us), self.peer_load);
        let tokens_processed =
            |since_us: u64| now_us.saturating_sub(since_us) as f64 / token_us.max(0.001);
        let own_remaining =
            RemainingTokens::new(&own_load, tokens_processed(self.prefill_since_us));
        let peer_remaining = RemainingTokens::new(&peer_load, tokens_processed(self.peer_load_us));
        let background = &self.background;
        let recent_tokens = f64::from(own_load.recent_tokens)
            + f64::from(peer_load.recent_tokens)
            + background.recent_tokens;
        let squared = own_load.recent_tokens_squared as f64
            + peer_load.recent_tokens_squared as f64
            + background.recent_tokens_squared;
        Work {
            unread_tokens: std::array::from_fn(|tier| {
                own_remaining.in_tier(tier)
                    + peer_remaining.in_tier(tier)
                    + background.unread_tokens[tier]
            }),
            running: std::array::from_fn(|class| {
                f64::from(own_load.running[class] + peer_load.running[class])
                    + background.running[class]
            }),
            held_tokens: f64::from(own_load.held_tokens)
                + f64::from(peer_load.held_tokens)
                + background.held_tokens,
            prefill_share: recent_tokens * token_us / RECENT_DECAY_US,
            prompt_tokens: squared / recent_tokens.max(1.0),
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
    fn recent_decay(&self, now_us: u64) -> f64 {
        (-(now_us.saturating_sub(self.recent_us) as f64) / RECENT_DECAY_US).exp()
    }
}

/// Estimated work on an engine at one point in time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Work {
    /// Prompt tokens that are still to be processed, by tier.
    pub unread_tokens: [f64; 3],
    /// Requests that are generating tokens, by the class of their target for the gap.
    pub running: [f64; GAP_CLASSES],
    /// Tokens that requests take of the engine's memory.
    pub held_tokens: f64,
    /// Share of the last seconds that the engine needed for prompts; above 1 they pile up.
    pub prefill_share: f64,
    /// Size of the prompt that is processed at a typical moment of prefill.
    pub prompt_tokens: f64,
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

    /// Returns the number of requests that are generating tokens.
    pub fn all_running(&self) -> f64 {
        self.running.iter().sum()
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
