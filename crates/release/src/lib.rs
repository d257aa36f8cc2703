//! Release notes: how the configuration of the fleet changes.
//!
//! A [`Note`] lists what a release adds, changes and withdraws. [`check`] compares it with the
//! configuration in force and makes the next version; a note that does not match exactly what it
//! would do is refused. [`diff`] writes the note between two configurations.
//!
//! The row `release/current` holds the configuration in force with the [`Record`] of the change
//! that made it, in one conditional write. The row `release/N` keeps the record of version N for
//! good. [`Apply`] and [`Complete`] say which call of the table service comes next; [`Tracker`]
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

mod answer;
mod apply;
mod call;
mod change;
mod check;
mod complete;
mod content;
mod current;
mod diff;
#[cfg(test)]
mod holds_config_tests;
mod keys;
mod list;
mod note;
mod outcome;
mod record;
mod record_write;
mod step;
mod stored;
mod taken;
#[cfg(test)]
mod tests;
mod tracker;
mod withdrawn;

pub use self::{
    answer::Answer,
    apply::Apply,
    call::Call,
    change::Change,
    check::check,
    complete::Complete,
    content::Content,
    current::Current,
    diff::diff,
    keys::{CURRENT, record_key},
    list::List,
    note::Note,
    outcome::Outcome,
    record::Record,
    step::Step,
    stored::Stored,
    taken::Taken,
    tracker::Tracker,
    withdrawn::Withdrawn,
};
