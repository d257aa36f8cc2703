//! Description of a job, as the caller of the dispatcher submits it.

use std::sync::Arc;

use quarantine::PromptParts;
use route::{LatencyAims, PromptPart, Target};

use crate::JobPolicy;

/// Identifier of a job, unique inside one daemon and increasing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// One request on its way to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Identifier.
    pub id: JobId,
    /// Client account.
    pub account: Arc<str>,
    /// Service class.
    pub class: Arc<str>,
    /// Tier of the class, 0 is the highest.
    pub tier: u8,
    /// Model or plain service that it needs.
    pub target: Target,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer that the caller set; 0 for none.
    pub max_tokens: u32,
    /// Size of the request on the wire.
    pub body_bytes: u64,
    /// Hash of the prompt's prefix, which routes equal prefixes to the same engine; 0 for none.
    pub prefix_hash: u64,
    /// Latency targets of the route; they matter for engines whose work is modelled.
    pub aims: LatencyAims,
    /// Latest time at which an attempt may start.
    pub deadline_us: u64,
    /// Whether the job may be retried after an attempt that may have run.
    pub idempotent: bool,
    /// Parts of the prompt in order, for engines whose cache contents are tracked; empty otherwise.
    pub prompt: Arc<[PromptPart]>,
    /// What its prompt consists of, to find parts that crash upstreams.
    pub prompt_parts: PromptParts,
    /// Limits on its attempts and preemption.
    pub policy: JobPolicy,
}

impl Job {
    /// Returns whether a running attempt may be cancelled for other work.
    pub(crate) const fn is_preemptable(&self) -> bool {
        self.idempotent && self.policy.preemptable
    }
}
