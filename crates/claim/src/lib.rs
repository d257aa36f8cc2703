//! At-most-once claims of non-idempotent calls.
//!
//! Before a byte of a reservation, order or invoice goes to an upstream, the call is claimed in the
//! platform's table service under its client account and idempotency key, by a conditional write
//! that carries a unique attempt. A claim is never taken over: a host that stops, or is suspended
//! and resumes, can leave a claim whose outcome is unknown, but never a second run.
//!
//! [`Claim`] is the state machine of one call. It does no I/O: it says what to do next ([`ClaimStep`])
//! and takes the result.
//!
//! ```
//! use claim::{Answer, Claim, Fingerprint, ClaimStep, Record, SendResult, Reply};
//!
//! let fingerprint = Fingerprint::new("POST", "/reservations", b"{}");
//! let mut claim = Claim::new(Record::new("r-1", "entry-1/7", "entry-1", fingerprint), 0, 15_000);
//! assert!(matches!(claim.start(), ClaimStep::Write { .. }));
//! assert!(matches!(claim.handle_write(Ok(1)), ClaimStep::Send));
//! let answer = Answer { status: 201, content_type: "application/json".into(), body: "{}".into() };
//! assert!(matches!(claim.handle_send(SendResult::Answered(answer.clone())), ClaimStep::Write { .. }));
//! assert_eq!(claim.handle_write(Ok(2)), ClaimStep::Finish(Reply::Answer(answer)));
//! ```

mod answer;
mod claim_step;
mod fingerprint;
#[cfg(test)]
mod fuzz_tests;
mod key;
mod machine;
mod record;
mod settle;
mod settle_outcome;
mod settle_step;
#[cfg(test)]
mod settle_tests;
mod state;
#[cfg(test)]
mod tests;

pub use self::{
    answer::Answer,
    claim_step::{ClaimStep, Reply, SendResult},
    fingerprint::Fingerprint,
    key::{KEY_MAX_BYTES, parse_key, row_key, row_prefix},
    machine::Claim,
    record::Record,
    settle::Settle,
    settle_outcome::SettleOutcome,
    settle_step::SettleStep,
    state::State,
};
