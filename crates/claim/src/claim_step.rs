use code::Code;
use store::Expect;

use crate::{Answer, Record};

/// What the driver of a claim has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Write the record under this condition, after a pause, and pass the result to `handle_write`.
    Write {
        /// Condition.
        expect: Expect,
        /// Record.
        record: Box<Record>,
        /// Pause before the write.
        after_ms: u64,
    },
    /// Read the row and pass the result to `handle_read`.
    Read {
        /// Pause before the read.
        after_ms: u64,
    },
    /// Send the call and pass what is known to `handle_send`.
    Send,
    /// Answer the caller; the claim has ended.
    Finish(Reply),
}

/// What is known about a call after it was sent, or could not be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendResult {
    /// The service answered.
    Answered(Answer),
    /// No byte of the call reached a service.
    NotSent(Code),
    /// Bytes were sent and no complete answer came back.
    Lost,
}

/// Answer to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Answer of this call.
    Answer(Answer),
    /// Recorded answer of an earlier call with the same key.
    Replay(Answer),
    /// Refusal.
    Refuse(Code),
}
