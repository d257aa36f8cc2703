//! Service classes with the distributions of their requests.

use settings::Class;

use crate::lengths::Lengths;

/// Service class and the distributions of the requests that callers send in it.
#[derive(Debug, Clone)]
pub(crate) struct ClassMix {
    /// Service class.
    pub(crate) class: Class,
    /// Prompt tokens.
    pub(crate) prompt: Lengths,
    /// Tokens of the complete answer.
    pub(crate) output: Lengths,
    /// Bytes of the request body.
    pub(crate) body: Lengths,
    /// Leading prompt tokens that an account's requests have in common.
    pub(crate) prefix_tokens: u32,
}

impl ClassMix {
    /// Creates a class; the targets are first token, gap between tokens and longest wait.
    pub(crate) fn new(name: &str, tier: u8, targets_ms: [u64; 3]) -> Self {
        let [first_token_ms, token_gap_ms, max_wait_ms] = targets_ms;
        Self {
            class: Class {
                name: name.to_owned(),
                tier,
                first_token_ms,
                token_gap_ms,
                max_wait_ms,
                reserved_percent: if tier == 2 { 5 } else { 0 },
            },
            prompt: Lengths::Uniform(1, 1),
            output: Lengths::Uniform(1, 1),
            body: Lengths::Uniform(2_000, 6_000),
            prefix_tokens: 0,
        }
    }

    /// Sets the distributions of prompt and answer.
    pub(crate) const fn with_tokens(mut self, prompt: Lengths, output: Lengths) -> Self {
        self.prompt = prompt;
        self.output = output;
        self
    }

    /// Sets the distribution of body sizes.
    pub(crate) const fn with_body(mut self, body: Lengths) -> Self {
        self.body = body;
        self
    }

    /// Sets how many leading prompt tokens the requests of an account share.
    pub(crate) const fn with_prefix(mut self, tokens: u32) -> Self {
        self.prefix_tokens = tokens;
        self
    }
}
