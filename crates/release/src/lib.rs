//! Releases: versioned changes of the fleet configuration.
//!
//! A release note ([`Note`]) is a change set: it lists what a release adds, changes and withdraws.
//! [`check()`] applies it to the configuration in force and returns the next version; it refuses a
//! note whose stated old values or names do not match that configuration. [`diff()`] computes the
//! note that leads from one configuration to another.
//!
//! The row `release/current` of the table service holds the configuration in force and the
//! [`Record`] of the change that made it, both written by one conditional write. The row
//! `release/N` permanently keeps the record of version N. [`Apply`] and [`RecordCompletion`] are
//! sans-I/O state machines that return the next call of the table service. [`Tracker`] decides
//! whether a daemon adopts a row that it has read.
//!
//! ```
//! use release::{Note, check, diff};
//! use settings::{Config, Service, Upstream};
//!
//! let before = Config::default();
//! let mut after = Config::default();
//! after.classes = serde_json::from_str(
//!     r#"[{"name": "urgent", "tier": 0, "first_token_ms": 790, "token_gap_ms": 33,
//!         "max_wait_ms": 5000}]"#,
//! )
//! .unwrap();
//! let note = diff(&before, &after, "ana", "first class");
//! assert_eq!(check(&note, &before).unwrap().classes, after.classes);
//! ```

mod additions;
mod apply;
mod change;
mod check;
mod config_list;
mod current_release;
mod diff;
#[cfg(test)]
mod holds_config_tests;
mod keys;
mod note;
mod offer_outcome;
mod outcome;
mod record;
mod record_completion;
mod record_write;
mod step;
mod stored_row;
mod table_answer;
mod table_call;
#[cfg(test)]
mod tests;
mod tracker;
mod withdrawals;

pub use self::{
    additions::Additions,
    apply::Apply,
    change::Change,
    check::check,
    config_list::ConfigList,
    current_release::CurrentRelease,
    diff::diff,
    keys::{CURRENT_KEY, record_key},
    note::Note,
    offer_outcome::OfferOutcome,
    outcome::Outcome,
    record::Record,
    record_completion::RecordCompletion,
    step::Step,
    stored_row::StoredRow,
    table_answer::TableAnswer,
    table_call::TableCall,
    tracker::Tracker,
    withdrawals::Withdrawals,
};
