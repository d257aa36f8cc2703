/// Speed and size of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Profile {
    /// Maximum number of sequences that run at once.
    pub slots: usize,
    /// Fixed part of the duration of a step.
    pub step_us: u64,
    /// Duration of a step for each sequence that generates a token.
    pub step_us_per_sequence: u64,
    /// Duration of a step for each prefilled prompt token.
    pub prefill_ns_per_token: u64,
    /// Maximum number of prompt tokens that one step prefills.
    pub prefill_chunk_tokens: u32,
    /// Capacity of the prefix cache; applies only without `kv_capacity_tokens`.
    pub prefix_cache_tokens: u64,
    /// Capacity of the memory that running sequences and cached parts of prompts share; `None` if
    /// only the cache is bounded.
    pub kv_capacity_tokens: Option<u64>,
    /// Whether a waiting sequence preempts a running one that is less urgent.
    pub preempts: bool,
    /// Whether waiting sequences and the prefill are ordered by priority.
    pub honours_priority: bool,
}

impl Default for Profile {
    /// Returns the profile of a mid-size model: 10 ms per step, 26 ms with 32 sequences, 10,000
    /// prompt tokens per second.
    fn default() -> Self {
        Self {
            slots: 32,
            step_us: 10_000,
            step_us_per_sequence: 500,
            prefill_ns_per_token: 100_000,
            prefill_chunk_tokens: 256,
            prefix_cache_tokens: 200_000,
            kv_capacity_tokens: None,
            preempts: false,
            honours_priority: true,
        }
    }
}

impl Profile {
    /// Sets the number of sequences that run at once.
    #[must_use]
    pub const fn with_slots(mut self, slots: usize) -> Self {
        self.slots = slots;
        self
    }

    /// Sets whether waiting sequences and the prefill are ordered by priority.
    #[must_use]
    pub const fn with_priority(mut self, honours_priority: bool) -> Self {
        self.honours_priority = honours_priority;
        self
    }
}
