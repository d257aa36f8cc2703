use crate::{engine_load::EngineLoad, part_cache::PartCache};

/// Part of the unread tokens that is always taken to be left, however long ago they were sent: an
/// engine may be slower than predicted.
const LEFT_MIN: f64 = 0.1;

/// Prompts with at most this many unread tokens count as short: they take one or two chunks, and
/// the streams that follow them suffer from long prompts beside them.
pub const SHORT_TOKENS: u32 = 2_560;

/// Attempt on an engine.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    job: u64,
    tier: u8,
    unread_tokens: u32,
    short: bool,
    begun: bool,
}

/// What this daemon knows of the work and the cache of a model engine.
#[derive(Debug, Clone, Default)]
pub struct EngineState {
    /// Whether it is kept for short prompts.
    pub keeps_short: bool,
    /// Believed content of its cache.
    pub cache: PartCache,
    attempts: Vec<Attempt>,
    /// Time since which the engine reads the first of the unread prompts.
    reading_since_us: u64,
    /// Work of other daemons, and when they told it.
    foreign: EngineLoad,
    foreign_us: u64,
}

impl EngineState {
    /// Notes an attempt whose prompt has so many unread tokens.
    pub fn start(&mut self, now_us: u64, job: u64, tier: u8, unread_tokens: u32, short: bool) {
        if self.attempts.iter().all(|attempt| attempt.begun) {
            self.reading_since_us = now_us;
        }
        self.attempts.push(Attempt {
            job,
            tier,
            unread_tokens,
            short,
            begun: false,
        });
    }

    /// Notes the first token of an attempt.
    pub fn first_token(&mut self, now_us: u64, job: u64) {
        let mut attempts = self.attempts.iter_mut();
        if let Some(attempt) = attempts.find(|attempt| attempt.job == job) {
            attempt.begun = true;
            self.reading_since_us = now_us;
        }
    }

    /// Notes the end of an attempt.
    pub fn end(&mut self, job: u64) {
        self.attempts.retain(|attempt| attempt.job != job);
    }

    /// Notes the work of other daemons on the engine.
    pub const fn set_foreign(&mut self, now_us: u64, load: EngineLoad) {
        self.foreign = load;
        self.foreign_us = now_us;
    }

    /// Returns this daemon's own work on the engine.
    pub fn own(&self) -> EngineLoad {
        let mut load = EngineLoad::default();
        for attempt in &self.attempts {
            if attempt.begun {
                load.running += 1;
                load.short_running += u32::from(attempt.short);
            } else {
                let tier = usize::from(attempt.tier).min(load.unread_tokens.len() - 1);
                load.unread_tokens[tier] += attempt.unread_tokens;
            }
        }
        load
    }

    /// Returns the work on the engine as it is by now, if it reads a token in `token_us`.
    #[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
    pub fn work(&self, now_us: u64, token_us: f64) -> Work {
        let (own, foreign) = (self.own(), self.foreign);
        let read = |since_us: u64| now_us.saturating_sub(since_us) as f64 / token_us.max(0.001);
        let own_left = Left::new(&own, read(self.reading_since_us));
        let foreign_left = Left::new(&foreign, read(self.foreign_us));
        Work {
            unread_tokens: std::array::from_fn(|tier| {
                own_left.tokens(tier) + foreign_left.tokens(tier)
            }),
            running: f64::from(own.running + foreign.running),
            short_running: f64::from(own.short_running + foreign.short_running),
        }
    }
}

/// Work on an engine at some moment.
#[derive(Debug, Clone, Copy, Default)]
pub struct Work {
    /// Prompt tokens that are still to be read, by tier.
    pub unread_tokens: [f64; 3],
    /// Requests that generate tokens.
    pub running: f64,
    /// Those of them that had a short prompt.
    pub short_running: f64,
}

impl Work {
    /// Returns the tokens that are read before a new prompt of a tier.
    pub fn ahead_tokens(&self, tier: u8) -> f64 {
        let last = usize::from(tier).min(self.unread_tokens.len() - 1);
        self.unread_tokens[..=last].iter().sum()
    }

    /// Returns all tokens that are still to be read.
    pub fn all_tokens(&self) -> f64 {
        self.unread_tokens.iter().sum()
    }
}

/// Part of the unread tokens that is left after some were read, highest tier first.
struct Left {
    unread: [f64; 3],
    read: f64,
}

impl Left {
    fn new(load: &EngineLoad, read: f64) -> Self {
        Self {
            unread: load.unread_tokens.map(f64::from),
            read,
        }
    }

    fn tokens(&self, tier: usize) -> f64 {
        let before: f64 = self.unread[..tier].iter().sum();
        let read = (self.read - before).max(0.0);
        (self.unread[tier] - read).max(LEFT_MIN * self.unread[tier])
    }
}
