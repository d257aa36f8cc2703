/// Part of a prompt that an engine can cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier, the same for equal parts of different prompts.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}
