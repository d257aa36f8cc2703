/// One request inside an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sequence {
    /// Identifier chosen by the caller of the model.
    pub id: u64,
    /// Priority, smaller runs earlier.
    pub priority: i32,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Identifiers and tokens of the parts of the prompt that may be cached, in order from its start.
    pub parts: Vec<(u64, u32)>,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// Prompt tokens still to prefill.
    pub(crate) left_prompt_tokens: u32,
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
            left_prompt_tokens: 1,
            generated_tokens: 0,
        }
    }

    /// Sets the priority, smaller runs earlier.
    #[must_use]
    pub const fn with_priority(mut self, priority: i32) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the length of the prompt.
    #[must_use]
    pub const fn with_prompt_tokens(mut self, prompt_tokens: u32) -> Self {
        self.prompt_tokens = prompt_tokens;
        self.left_prompt_tokens = prompt_tokens;
        self
    }

    /// Sets the parts of the prompt that may be cached, in order from its start.
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

    /// Returns the tokens that have to be in memory before the next token: prompt and answer so far.
    pub(crate) const fn read_tokens(&self) -> u32 {
        self.prompt_tokens + self.generated_tokens
    }
}
