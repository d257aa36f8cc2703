//! At-most-once claims of non-idempotent calls.
//!
//! Before a byte of a reservation, order or invoice goes to an upstream, the call is claimed in the
//! platform's table service under its client account and idempotency key, by a conditional write
//! that carries a unique attempt. A claim is never taken over: a host that stops, or is suspended
//! and resumes, can leave a claim whose outcome is unknown, but never a second run.
//!
//! [`Claim`] is the state machine of one call. It does no I/O: it says what to do next ([`Next`])
//! and takes the result.
//!
//! ```
//! use claim::{Answer, Claim, Fingerprint, Next, Record, Sent, Verdict};
//!
//! let fingerprint = Fingerprint::new("POST", "/reservations", b"{}");
//! let mut claim = Claim::new(Record::new("r-1", "entry-1/7", "entry-1", fingerprint), 0, 15_000);
//! assert!(matches!(claim.start(), Next::Write { .. }));
//! assert!(matches!(claim.written(Ok(1)), Next::Send));
//! let answer = Answer { status: 201, content_type: "application/json".into(), body: "{}".into() };
//! assert!(matches!(claim.sent(Sent::Answered(answer.clone())), Next::Write { .. }));
//! assert_eq!(claim.written(Ok(2)), Next::Finish(Verdict::Answer(answer)));
//! ```

mod answer;
mod fingerprint;
#[cfg(test)]
mod fuzz_tests;
mod key;
mod machine;
mod next;
mod record;
mod settle;
mod settle_step;
#[cfg(test)]
mod settle_tests;
mod settled;
mod state;
#[cfg(test)]
mod tests;

pub use self::{
    answer::Answer,
    fingerprint::Fingerprint,
    key::{KEY_MAX_BYTES, parse_key, row_key, row_prefix},
    machine::Claim,
    next::{Next, Sent, Verdict},
    record::Record,
    settle::Settle,
    settle_step::SettleStep,
    settled::Settled,
    state::State,
};
