/// Speed and size of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Profile {
    /// Sequences that run at once.
    pub slots: usize,
    /// Fixed part of a step.
    pub step_us: u64,
    /// Part of a step for each running sequence.
    pub step_us_per_sequence: u64,
    /// Part of a step for each prefilled prompt token.
    pub prefill_ns_per_token: u64,
    /// Prompt tokens that one step prefills at most.
    pub prefill_chunk_tokens: u32,
    /// Prompt tokens that the cache of parts holds, where running sequences don't share its memory.
    pub prefix_cache_tokens: u64,
    /// Tokens that running sequences and cached parts share; `None` if only the cache is bounded.
    pub kv_capacity_tokens: Option<u64>,
    /// Whether urgent sequences take the slots of less urgent ones.
    pub preempts: bool,
    /// Whether waiting sequences are ordered by priority.
    pub honours_priority: bool,
}

impl Default for Profile {
    /// A mid-size model: 10 ms a step, 26 ms with 32 sequences, 10,000 prompt tokens a second.
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

    /// Sets whether waiting sequences are ordered by priority.
    #[must_use]
    pub const fn with_priority(mut self, honours_priority: bool) -> Self {
        self.honours_priority = honours_priority;
        self
    }
}
