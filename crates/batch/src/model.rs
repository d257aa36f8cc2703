//! The engine model and its events.

use crate::{PrefixCache, Profile, Sequence};

/// Result of a step for one sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A token was generated for the sequence; `index` counts from 0.
    Token {
        /// Identifier of the sequence.
        id: u64,
        /// Index of the token in the answer.
        index: u32,
        /// Whether it is the last token.
        last: bool,
    },
}

/// Model of an engine that batches sequences continuously.
#[derive(Debug, Clone)]
pub struct BatchEngine {
    profile: Profile,
    cache: PrefixCache,
    /// In the order in which they start.
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    slowdown_percent: u64,
    generated_tokens: u64,
    prefilled_tokens: u64,
    preemptions: u64,
}

impl BatchEngine {
    /// Creates an idle engine.
    #[must_use]
    pub const fn new(profile: Profile) -> Self {
        Self {
            profile,
            cache: PrefixCache::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            slowdown_percent: 100,
            generated_tokens: 0,
            prefilled_tokens: 0,
            preemptions: 0,
        }
    }

    /// Sets the duration of steps, in percent of the normal duration.
    pub const fn set_slowdown_percent(&mut self, percent: u64) {
        self.slowdown_percent = percent;
    }

    /// Returns the speed and size of the engine.
    #[must_use]
    pub const fn profile(&self) -> &Profile {
        &self.profile
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

    /// Returns whether no sequence is running or waiting.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the number of tokens generated so far.
    #[must_use]
    pub const fn generated_tokens(&self) -> u64 {
        self.generated_tokens
    }

    /// Returns the number of tokens prefilled so far.
    #[must_use]
    pub const fn prefilled_tokens(&self) -> u64 {
        self.prefilled_tokens
    }

    /// Returns how often a running sequence was preempted.
    #[must_use]
    pub const fn preemptions(&self) -> u64 {
        self.preemptions
    }

    /// Returns the number of tokens in memory that can't be evicted: those of running sequences.
    #[must_use]
    pub fn pinned_tokens(&self) -> u64 {
        self.cache.pinned_tokens() + self.private_tokens()
    }

    /// Adds a waiting sequence.
    pub fn add(&mut self, sequence: Sequence) {
        let index = if self.profile.honours_priority {
            self.waiting
                .partition_point(|other| other.priority <= sequence.priority)
        } else {
            self.waiting.len()
        };
        self.waiting.insert(index, sequence);
    }

    /// Removes a sequence; returns whether it was waiting or running.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|sequence| sequence.id != id);
        let running = self.running.iter().position(|sequence| sequence.id == id);
        if let Some(index) = running {
            let sequence = self.running.remove(index);
            self.cache.unpin(&sequence.parts);
        }
        running.is_some() || before != self.waiting.len()
    }

    /// Removes all sequences and empties the cache, as a crash does.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
        self.cache = PrefixCache::new();
    }

    /// Runs one step, appends its events and returns its duration in microseconds.
    pub fn step(&mut self, events: &mut Vec<Event>) -> u64 {
        self.admit();
        let mut chunk_tokens = self.profile.prefill_chunk_tokens;
        let mut prefilled_tokens = 0;
        let mut decoding = 0;
        if self.profile.honours_priority {
            // Urgent prompts get the prefill budget first; the sort is stable among equals.
            self.running.sort_by_key(|sequence| sequence.priority);
        }
        for sequence in &mut self.running {
            let tokens = sequence.unprefilled_tokens.min(chunk_tokens);
            sequence.unprefilled_tokens -= tokens;
            chunk_tokens -= tokens;
            prefilled_tokens += u64::from(tokens);
            if sequence.unprefilled_tokens > 0 {
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
        let cache = &mut self.cache;
        self.running.retain(|sequence| {
            let unfinished = sequence.generated_tokens < sequence.output_tokens;
            if !unfinished {
                cache.unpin(&sequence.parts);
            }
            unfinished
        });
        self.free_memory();
        let step_us = self.profile.step_us
            + self.profile.step_us_per_sequence * decoding
            + self.profile.prefill_ns_per_token * prefilled_tokens / 1_000;
        step_us * self.slowdown_percent / 100
    }

    /// Starts waiting sequences while slots and memory allow.
    fn admit(&mut self) {
        while let Some(first) = self.waiting.first() {
            let full = self.running.len() >= self.profile.slots || !self.fits(first);
            if full {
                if self.preempt_for(first.priority) {
                    continue;
                }
                return;
            }
            let mut sequence = self.waiting.remove(0);
            let cached_tokens = self.cache.cached_tokens(&sequence.parts);
            // The last prompt token is always computed, since it yields the next output token.
            let uncached_tokens = sequence.context_tokens().saturating_sub(cached_tokens);
            sequence.unprefilled_tokens = uncached_tokens.max(1);
            self.cache.pin(&sequence.parts);
            self.running.push(sequence);
            self.free_memory();
        }
    }

    /// Returns whether a sequence fits into memory beside the running ones.
    fn fits(&self, sequence: &Sequence) -> bool {
        let Some(kv_capacity_tokens) = self.profile.kv_capacity_tokens else {
            return true;
        };
        let needed_tokens = u64::from(sequence.context_tokens());
        // A sequence is always admitted if none is running: the engine refuses one that is larger
        // than the memory before it gets here.
        self.running.is_empty() || self.pinned_tokens() + needed_tokens <= kv_capacity_tokens
    }

    /// Preempts a running sequence that is less urgent than `priority`; returns whether one was.
    fn preempt_for(&mut self, priority: i32) -> bool {
        let mut running = self.running.iter();
        self.profile.preempts
            && running.any(|sequence| sequence.priority > priority)
            && self.preempt()
    }

    /// Evicts unused parts from the cache, then preempts sequences, until the memory suffices.
    fn free_memory(&mut self) {
        let Some(kv_capacity_tokens) = self.profile.kv_capacity_tokens else {
            self.cache.shrink(self.profile.prefix_cache_tokens);
            return;
        };
        loop {
            let private_tokens = self.private_tokens();
            self.cache
                .shrink(kv_capacity_tokens.saturating_sub(private_tokens));
            if self.cache.used_tokens() + private_tokens <= kv_capacity_tokens
                || self.running.len() <= 1
                || !self.preempt()
            {
                return;
            }
        }
    }

    /// Preempts the newest of the least urgent running sequences; returns whether there was one.
    ///
    /// The sequence keeps its generated tokens, which are prefilled again when it restarts.
    fn preempt(&mut self) -> bool {
        let newest = self.running.iter().enumerate();
        let newest = newest.max_by_key(|(index, sequence)| (sequence.priority, *index));
        let Some((index, _)) = newest else {
            return false;
        };
        let sequence = self.running.remove(index);
        self.cache.unpin(&sequence.parts);
        self.preemptions += 1;
        self.add(sequence);
        true
    }

    /// Returns the number of tokens of running sequences that aren't in cached parts.
    fn private_tokens(&self) -> u64 {
        let running = self.running.iter();
        running
            .map(|sequence| {
                let parts_tokens: u32 = sequence.parts.iter().map(|&(_, tokens)| tokens).sum();
                u64::from(sequence.context_tokens().saturating_sub(parts_tokens))
            })
            .sum()
    }
}
