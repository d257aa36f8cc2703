//! Singleton duties: what one daemon of the fleet does at a time.
//!
//! Some calls to the platform may be made by one daemon only, in the name of a holder with a fencing
//! token. [`Holder`] decides when a host holds the duties: it acquires and renews a [`lease::Lease`]
//! in a row of the table service, rests after each hold, and says for each call whether it may be
//! made. [`candidates`] names the few hosts that try, so that the others don't poll the row.
//!
//! One of the duties reports usage. [`Usage`] counts, on each host, the requests that began to run
//! by client account and window, and tells the sums to the holder and to a second keeper.
//! [`Reporter`] writes each report to a row before its first call, so that a later holder sends the
//! same counts or none.
//!
//! Nothing here reads a clock or does I/O.
//!
//! ```
//! use duty::{Holder, HolderStep, HolderTiming};
//!
//! let timing = HolderTiming::new(3_000_000, 300_000, 1_000_000);
//! let mut holder = Holder::new(timing, "ana", "run-1", 0);
//! holder.set_candidate(true);
//! assert_eq!(holder.step(0), HolderStep::Read);
//! holder.handle_read(1_000, Ok(None));
//! // A host that has just started may have held the duties in its earlier run, so it rests first.
//! assert!(matches!(holder.step(2_000), HolderStep::Wait { .. }));
//! assert!(holder.begin_call(2_000, 1_000_000).is_none());
//! ```

mod candidates;
mod counts;
#[cfg(test)]
mod fuzz_tests;
mod hold;
mod holder;
mod holder_step;
mod holder_timing;
mod message;
mod pages;
mod report;
mod reporter;
#[cfg(test)]
mod reporter_tests;
mod tally;
mod usage;
#[cfg(test)]
mod usage_tests;
mod wall_clock;

pub use self::{
    candidates::{CANDIDATES, candidates},
    counts::Counts,
    hold::{Hold, HoldChange, LossReason},
    holder::Holder,
    holder_step::HolderStep,
    holder_timing::HolderTiming,
    message::{HolderNotice, Message, Origin, Page},
    report::{Report, Reports},
    reporter::{CallOutcome, Reporter, ReporterCounters, ReporterStep},
    tally::{Sums, Tally},
    usage::Usage,
    wall_clock::WallClock,
};
