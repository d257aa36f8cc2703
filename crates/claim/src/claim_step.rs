//! Steps of a [`Claim`](crate::Claim) and the results that it is given.

use code::Code;
use store::Expect;

use crate::{Answer, Record};

/// Next step of a [`Claim`](crate::Claim), for the caller to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Write the record under this condition and pass the result to `handle_write`.
    Write {
        /// Condition of the write.
        expect: Expect,
        /// New value of the row.
        record: Box<Record>,
        /// Delay before the write.
        after_ms: u64,
    },
    /// Read the claim row and pass the result to `handle_read`.
    Read {
        /// Delay before the read.
        after_ms: u64,
    },
    /// Send the call to the upstream and pass the result to `handle_send`.
    Send,
    /// Reply to the caller; the machine has ended.
    Finish(Reply),
}

/// Result of sending a call to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The upstream answered completely.
    Answered(Answer),
    /// No byte of the call reached an upstream; the code says why.
    NotSent(Code),
    /// Bytes were sent and no complete answer came back; the call may have run.
    Lost,
}

/// What the caller gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Response of the upstream to this call.
    Answer(Answer),
    /// Recorded response of an earlier call with the same key.
    Replay(Answer),
    /// Refusal with a result code.
    Refuse(Code),
}
