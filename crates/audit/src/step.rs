use std::sync::Arc;

use code::Code;
use serde::Serialize;

/// One decision or event in the life of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum Step {
    /// The request was accepted for scheduling.
    Received {
        /// Client account.
        account: Arc<str>,
        /// Class of service.
        class: Arc<str>,
        /// Tier of the class.
        tier: u8,
        /// Model or plain service.
        target: Arc<str>,
        /// Estimated length of the prompt.
        prompt_tokens: u32,
    },
    /// The request waits.
    Queued {
        /// Why it did not start.
        reason: String,
    },
    /// An attempt started.
    Started {
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Number of the attempt, counted from 1.
        attempt: u32,
        /// Why now and why there.
        reason: String,
    },
    /// The attempt was cancelled for other work; the request waits again.
    Preempted {
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Why.
        reason: String,
    },
    /// The first token arrived.
    FirstToken,
    /// The attempt ended without a complete answer.
    AttemptFailed {
        /// What was seen.
        detail: Arc<str>,
        /// Tokens that the caller has.
        received_tokens: u32,
    },
    /// The answer is complete.
    Complete {
        /// Tokens of the answer.
        received_tokens: u32,
    },
    /// The caller left before the end of the answer.
    CallerLeft {
        /// Tokens that were generated.
        received_tokens: u32,
    },
    /// The request was refused.
    Refused {
        /// Result code.
        code: Code,
        /// Why, in more detail than the code.
        reason: String,
    },
}
