use crate::{LatencyAims, PromptPart, Target};

/// Properties of a job that determine which upstream is selected.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Model or plain service.
    pub target: &'a Target,
    /// Tier of the job; 0 is the highest.
    pub tier: u8,
    /// Estimated length of the prompt.
    pub prompt_tokens: u32,
    /// Expected length of the answer.
    pub output_tokens: u32,
    /// Maximum length of the answer that the caller set; 0 for none.
    pub output_tokens_max: u32,
    /// Latency targets of the route.
    pub aims: LatencyAims,
    /// Time at which the caller gives up; 0 if unknown.
    pub deadline_us: u64,
    /// Size of the request on the wire.
    pub body_bytes: u64,
    /// Hash of the prompt's prefix; 0 for none.
    pub prefix_hash: u64,
    /// Parts of the prompt in order, for engines whose cache is modelled; empty if there are none.
    pub parts: &'a [PromptPart],
    /// Identifier of the job, used to report its first token and its end.
    pub job: u64,
    /// Whether the upstream has to resume a partly sent answer.
    pub resume: bool,
    /// Upstream of the previous, failed attempt; selected only if there is no other.
    pub avoid: Option<&'a str>,
}
