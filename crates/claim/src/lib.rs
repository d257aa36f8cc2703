//! At-most-once execution of non-idempotent calls.
//!
//! Before the first byte of a call (a reservation, order or invoice) is sent to an upstream, the
//! call is claimed in the platform's table service. The claim is a row keyed by client account and
//! idempotency key, created by a conditional write that carries a unique attempt ID. A claim whose
//! call may have run is never taken over by another host: a host that stops, or is suspended and
//! resumed, can leave a claim with an unknown outcome, but the call never runs twice.
//!
//! [`Claim`] is the state machine of one call and [`Settle`] that of an operator's decision about
//! a claim with an unknown outcome. Both are sans-I/O: they return the next step ([`ClaimStep`],
//! [`SettleStep`]) and are given its result.
//!
//! ```
//! use claim::{Answer, Claim, ClaimStep, Fingerprint, Record, Reply, CallResult};
//! use store::StoreVersion;
//!
//! let fingerprint = Fingerprint::new("POST", "/reservations", b"{}");
//! let mut claim = Claim::new(Record::new("r-1", "entry-1/7", "entry-1", fingerprint), 0, 15_000);
//! assert!(matches!(claim.start(), ClaimStep::Write { .. }));
//! assert!(matches!(claim.handle_write(Ok(StoreVersion::new(0, 1))), ClaimStep::Send));
//! let answer = Answer { status: 201, content_type: "application/json".into(), body: "{}".into() };
//! let sent = CallResult::Answered(answer.clone());
//! assert!(matches!(claim.handle_send(sent), ClaimStep::Write { .. }));
//! assert_eq!(claim.handle_write(Ok(StoreVersion::new(0, 2))), ClaimStep::Finish(Reply::Answer(answer)));
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
    claim_step::{CallResult, ClaimStep, Reply},
    fingerprint::Fingerprint,
    key::{KEY_MAX_BYTES, parse_key, row_key, row_prefix},
    machine::Claim,
    record::Record,
    settle::Settle,
    settle_outcome::SettleOutcome,
    settle_step::SettleStep,
    state::State,
};
