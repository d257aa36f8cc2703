/// One request inside the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sequence {
    /// Identifier, chosen by the caller of the model.
    pub id: u64,
    /// Priority; smaller values run earlier.
    pub priority: i32,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Identifiers and lengths of the cacheable parts of the prompt, in order from its start.
    pub parts: Vec<(u64, u32)>,
    /// Length of the answer.
    pub output_tokens: u32,
    /// Tokens still to prefill.
    pub(crate) unprefilled_tokens: u32,
    /// Tokens generated so far.
    pub(crate) generated_tokens: u32,
}

impl Sequence {
    /// Creates a sequence with one prompt token and one output token.
    #[must_use]
    pub const fn new(id: u64) -> Self {
        Self {
            id,
            priority: 0,
            prompt_tokens: 1,
            parts: Vec::new(),
            output_tokens: 1,
            unprefilled_tokens: 1,
            generated_tokens: 0,
        }
    }

    /// Sets the priority; smaller values run earlier.
    #[must_use]
    pub const fn with_priority(mut self, priority: i32) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the length of the prompt.
    #[must_use]
    pub const fn with_prompt_tokens(mut self, prompt_tokens: u32) -> Self {
        self.prompt_tokens = prompt_tokens;
        self.unprefilled_tokens = prompt_tokens;
        self
    }

    /// Sets the identifiers and lengths of the cacheable parts of the prompt, in order.
    #[must_use]
    pub fn with_parts(mut self, parts: &[(u64, u32)]) -> Self {
        self.parts = parts.to_vec();
        self
    }

    /// Sets the length of the answer.
    #[must_use]
    pub const fn with_output_tokens(mut self, output_tokens: u32) -> Self {
        self.output_tokens = output_tokens;
        self
    }

    /// Returns the length of the prompt and the answer so far, which are in memory to generate the
    /// next token.
    pub(crate) const fn context_tokens(&self) -> u32 {
        self.prompt_tokens + self.generated_tokens
    }
}
