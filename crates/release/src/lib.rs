//! Release notes: how the configuration of the fleet changes.
//!
//! A [`Note`] lists what a release adds, changes and withdraws. [`check`] compares it with the
//! configuration in force and makes the next version; a note that does not match exactly what it
//! would do is refused. [`diff`] writes the note between two configurations.
//!
//! The row `release/current` holds the configuration in force with the [`Record`] of the change
//! that made it, in one conditional write. The row `release/N` keeps the record of version N for
//! good. [`Apply`] and [`RecordCompletion`] say which call of the table service comes next; [`Tracker`]
//! decides whether a row that was read is taken up.
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
