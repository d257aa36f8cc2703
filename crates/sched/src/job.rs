use std::sync::Arc;

use route::{PromptPart, Target};

use crate::JobPolicy;

/// Identifier of a job inside one daemon, growing with every job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// One request on its way to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Identifier.
    pub id: JobId,
    /// Client account.
    pub account: Arc<str>,
    /// Class of service.
    pub class: Arc<str>,
    /// Tier of the class, 0 is the highest.
    pub tier: u8,
    /// What it needs.
    pub target: Target,
    /// Estimated length of the prompt.
    pub prompt_tokens: u32,
    /// Longest answer that the caller asked for; 0 if it named none.
    pub max_tokens: u32,
    /// Size of the request on the wire.
    pub body_bytes: u64,
    /// Hash of the prompt's prefix, for affinity to an engine's cache; 0 for none.
    pub prefix_hash: u64,
    /// Latest time at which an attempt may start.
    pub deadline_us: u64,
    /// Whether the job may be sent again after an attempt that may have run.
    pub idempotent: bool,
    /// Parts of the prompt in order, for engines whose cache is known; empty otherwise.
    pub prompt: Arc<[PromptPart]>,
    /// What the dispatcher may do with it.
    pub policy: JobPolicy,
}

impl Job {
    /// Returns whether an attempt may be cancelled for other work.
    pub(crate) const fn is_preemptable(&self) -> bool {
        self.idempotent && self.policy.preemptable
    }
}
