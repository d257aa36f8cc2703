//! Quarantine of requests that crash upstreams (queries of death): parts of prompts, and whole
//! requests.
//!
//! An upstream that crashes takes all of its requests with it, and only one of them did it. Each
//! daemon sees its own lost requests. [`Quarantine`] gathers what all daemons saw and finds the
//! culprit by group testing: a part is suspected if it was in requests that were lost, before their
//! answer began, at several crashes, if no other part explains these crashes better, and if nobody
//! has seen an answer to it since. A suspected part that no daemon clears for a short time is
//! quarantined: requests with it are refused, on all daemons, until a trial succeeds.
//!
//! A request may also crash upstreams by what it is as a whole: its callers repeat it, and nothing in
//! it but the whole tells it from sound ones. It is recognized by a fingerprint, and held back after it
//! was lost at several upstreams one after the other.
//!
//! | type | what it does |
//! |---|---|
//! | [`Quarantine`] | the state of one daemon; takes events and the time, returns what to do |
//! | [`PromptParts`] | what a request's prompt consists of, and its fingerprint |
//! | [`LossReport`] | a lost request, reported to the daemons that gather evidence |
//! | [`Verdict`] | what is known of a part, spread to all daemons |
//! | [`Snapshot`] | evidence and verdicts, as a row of the platform's store holds them |
//! | [`Persistence`] | when a daemon reads and writes that row |
//!
//! Nothing here reads a clock or does I/O. Reports go to the few daemons that [`homes`] names, so
//! their number does not grow with the number of daemons; verdicts are rare and go to all. Daemons
//! keep nothing when they stop, so the first of the homes saves what it knows in the store, and
//! daemons that become homes read it there.
//!
//! ```
//! use quarantine::{Admission, PromptParts, Quarantine};
//!
//! let mut quarantine = Quarantine::default();
//! // Three different requests with part 7 are lost at the crashes of three upstreams.
//! for crash in 1..=3 {
//!     let parts = PromptParts::new([7, 100 + crash]);
//!     quarantine.record_loss(crash * 1_000_000, 0, &format!("engine-{crash}"), &parts);
//! }
//! quarantine.tick(3_100_000);
//! quarantine.tick(4_200_000);
//! let next = PromptParts::new([7, 200]);
//! assert!(matches!(quarantine.admit(4_200_000, &next), Admission::Refused { part: 7, .. }));
//! let other = PromptParts::new([8, 201]);
//! assert_eq!(quarantine.admit(4_200_000, &other), Admission::Admitted);
//! ```

mod answered_parts;
mod crash_log;
mod homes;
mod message;
mod part_times;
mod persistence;
mod prompt_parts;
mod quarantine;
mod request_log;
mod snapshot;
mod verdict;
mod verdicts;

#[cfg(test)]
mod crash_log_tests;
#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod fuzz_tests;
#[cfg(test)]
mod persistence_tests;
#[cfg(test)]
mod quarantine_tests;
#[cfg(test)]
mod request_log_tests;
#[cfg(test)]
mod whole_request_tests;

pub use self::{
    homes::{home_rank, homes, trial_home},
    message::{LossReport, Message},
    persistence::{Persistence, PersistenceStep},
    prompt_parts::PromptParts,
    quarantine::{Admission, CrashEvidence, Quarantine, QuarantinedPart},
    snapshot::{Snapshot, SnapshotError},
    verdict::{Verdict, VerdictState},
};
