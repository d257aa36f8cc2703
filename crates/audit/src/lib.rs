//! Records of scheduling decisions, by request.
//!
//! [`Journal`] keeps what was decided about the latest requests of a host and when, so that an
//! operator can find out why a request was queued, moved to another upstream or refused. Its size
//! is bounded; the oldest request is dropped first.
//!
//! ```
//! use audit::{Journal, Step};
//!
//! let mut journal = Journal::new(2);
//! for id in 1..=3 {
//!     journal.record(10 * id, id, Step::CallerLeft { received_tokens: 0 });
//! }
//! assert!(journal.explain(1).is_none());
//! assert_eq!(journal.explain(3).unwrap()[0].at_us, 30);
//! ```

mod journal;
mod record;
mod step;
#[cfg(test)]
mod tests;

pub use self::{journal::Journal, record::Record, step::Step};
