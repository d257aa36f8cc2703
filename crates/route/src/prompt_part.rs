/// Part of a prompt that an engine can keep in its cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier; equal parts of different prompts have the same one.
    pub id: u64,
    /// Length.
    pub tokens: u32,
}
