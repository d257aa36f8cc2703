//! Decision records of requests.
//!
//! [`Journal`] keeps, for the latest requests of a host, what was decided and when, so that an
//! operator can ask why one request was queued, moved or refused. Its size is bounded; the oldest
//! request is dropped first.
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
