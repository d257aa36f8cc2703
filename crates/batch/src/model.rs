use crate::{PrefixCache, Profile, Sequence};

/// What a step produced for one sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The sequence got a token; `index` counts from 0.
    Token {
        /// Sequence.
        id: u64,
        /// Index of the token.
        index: u32,
        /// Whether it is the last token.
        last: bool,
    },
}

/// Engine that batches sequences continuously.
#[derive(Debug, Clone)]
pub struct Batch {
    profile: Profile,
    cache: PrefixCache,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    slowdown_percent: u64,
    generated_tokens: u64,
    prefilled_tokens: u64,
}

impl Batch {
    /// Creates an idle engine.
    #[must_use]
    pub const fn new(profile: Profile) -> Self {
        let cache = PrefixCache::new(profile.cache_tokens);
        Self {
            profile,
            cache,
            waiting: Vec::new(),
            running: Vec::new(),
            slowdown_percent: 100,
            generated_tokens: 0,
            prefilled_tokens: 0,
        }
    }

    /// Sets the duration of steps in percent of the normal one.
    pub const fn set_slowdown_percent(&mut self, percent: u64) {
        self.slowdown_percent = percent;
    }

    /// Returns the number of running sequences.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting sequences.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no sequence runs or waits.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns all tokens generated so far.
    #[must_use]
    pub const fn generated_tokens(&self) -> u64 {
        self.generated_tokens
    }

    /// Returns all prompt tokens prefilled so far.
    #[must_use]
    pub const fn prefilled_tokens(&self) -> u64 {
        self.prefilled_tokens
    }

    /// Adds a sequence to the waiting ones.
    pub fn add(&mut self, sequence: Sequence) {
        let index = if self.profile.honours_priority {
            self.waiting
                .partition_point(|other| other.priority <= sequence.priority)
        } else {
            self.waiting.len()
        };
        self.waiting.insert(index, sequence);
    }

    /// Removes a sequence and returns whether it was there.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|sequence| sequence.id != id);
        self.running.retain(|sequence| sequence.id != id);
        before != self.waiting.len() + self.running.len()
    }

    /// Removes all sequences and the cache, as a crash does.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
        self.cache = PrefixCache::new(self.profile.cache_tokens);
    }

    /// Runs one step, appends its events and returns its duration.
    pub fn step(&mut self, events: &mut Vec<Event>) -> u64 {
        self.admit();
        let mut chunk_tokens = self.profile.prefill_chunk_tokens;
        let mut prefilled_tokens = 0;
        let mut decoding = 0;
        if self.profile.honours_priority {
            // Urgent prompts get the prefill budget first; the order among equals is kept.
            self.running.sort_by_key(|sequence| sequence.priority);
        }
        for sequence in &mut self.running {
            let tokens = sequence.left_prompt_tokens.min(chunk_tokens);
            sequence.left_prompt_tokens -= tokens;
            chunk_tokens -= tokens;
            prefilled_tokens += u64::from(tokens);
            if sequence.left_prompt_tokens > 0 {
                continue;
            }
            decoding += 1;
            let index = sequence.generated_tokens;
            sequence.generated_tokens += 1;
            let last = sequence.generated_tokens >= sequence.output_tokens;
            events.push(Event::Token {
                id: sequence.id,
                index,
                last,
            });
        }
        self.generated_tokens += decoding;
        self.prefilled_tokens += prefilled_tokens;
        self.running
            .retain(|sequence| sequence.generated_tokens < sequence.output_tokens);
        let step_us = self.profile.step_us
            + self.profile.step_us_per_sequence * decoding
            + self.profile.prefill_us_per_token * prefilled_tokens;
        step_us * self.slowdown_percent / 100
    }

    fn admit(&mut self) {
        let free = self.profile.slots.saturating_sub(self.running.len());
        let count = free.min(self.waiting.len());
        for mut sequence in self.waiting.drain(..count) {
            if sequence.prefix_tokens > 0 {
                let cached = self.cache.hit(sequence.prefix).min(sequence.prefix_tokens);
                // The last prompt token is always computed, as it yields the first output token.
                sequence.left_prompt_tokens = sequence.prompt_tokens.saturating_sub(cached).max(1);
                self.cache.insert(sequence.prefix, sequence.prefix_tokens);
            }
            self.running.push(sequence);
        }
    }
}
