use crate::{PromptPart, Target};

/// What the choice of an upstream takes into account.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Model or plain service.
    pub target: &'a Target,
    /// Tier of the job, 0 is the highest.
    pub tier: u8,
    /// Estimated length of the prompt.
    pub prompt_tokens: u32,
    /// Expected length of the answer.
    pub output_tokens: u32,
    /// Size of the request on the wire.
    pub body_bytes: u64,
    /// Hash of the prompt's prefix; 0 for none.
    pub prefix_hash: u64,
    /// Parts of the prompt in order, for engines whose cache is known; empty if it has none.
    pub parts: &'a [PromptPart],
    /// Number of the job, by which its first token and end are told.
    pub job: u64,
    /// Whether the upstream has to continue a begun answer.
    pub resume: bool,
    /// Upstream of the failed attempt before, used only if there is no other.
    pub avoid: Option<&'a str>,
}
