use std::sync::Arc;

use code::Code;
use serde::Serialize;

/// Scheduling decision or event in the processing of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum Step {
    /// The request was accepted for scheduling.
    Received {
        /// Client account.
        account: Arc<str>,
        /// Class of service.
        class: Arc<str>,
        /// Priority tier of the class; 0 is the highest.
        tier: u8,
        /// Model or plain service.
        target: Arc<str>,
        /// Estimated length of the prompt.
        prompt_tokens: u32,
    },
    /// The request waits in the queue.
    Queued {
        /// Why it did not start at once.
        reason: String,
    },
    /// An attempt started.
    Started {
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Number of the attempt, counted from 1.
        attempt: u32,
        /// Why it started now and on this upstream.
        reason: String,
    },
    /// The attempt was cancelled in favour of another request; this request waits again.
    Preempted {
        /// Name of the upstream.
        upstream: Arc<str>,
        /// Why it was cancelled.
        reason: String,
    },
    /// The first token of the answer arrived.
    FirstToken,
    /// The attempt ended without a complete answer.
    AttemptFailed {
        /// What was observed.
        detail: Arc<str>,
        /// Tokens that the caller has received.
        received_tokens: u32,
    },
    /// The answer is complete.
    Complete {
        /// Tokens of the answer.
        received_tokens: u32,
    },
    /// The caller disconnected before the end of the answer.
    CallerLeft {
        /// Tokens that were generated until then.
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
