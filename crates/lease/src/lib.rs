//! Leases on upstreams and the commands that are sent under them.
//!
//! The row `lease/UPSTREAM` of the table service names the holder of the right to command an
//! upstream, with a fencing token that grows with every acquisition. [`Lease`] says which call of
//! the store comes next and takes its answer; [`Delivery`] acquires a lease, reads the upstream's
//! state, sends a [`Command`], reads the state again and releases the lease. Both do no I/O and
//! take the time as an argument.
//!
//! # Clocks
//!
//! Only the own monotonic clock is read, so a step of a wall clock does no harm. A holder stops
//! using its lease one clock error before its length has passed, counted from before the write was
//! sent. Another one counts it as expired when the row has not changed for its length plus a clock
//! error since this observer first saw this version. The two never overlap while each clock is
//! wrong by at most [`LeaseTiming::clock_error_us`] over the length of a lease. The clock must go on while
//! the process is suspended; a virtual machine whose clock stands still breaks this assumption.
//!
//! # What is guaranteed
//!
//! - Two holders never both believe in the lease of an upstream.
//! - Every command is checked against the lease at the time at which [`Delivery::step`] returns it.
//! - An upstream that honours fencing never applies a command after one with a newer token.
//! - [`Outcome::Confirmed`] means that the wanted state was read after the command, and that the
//!   lease was still valid when the answer to the read arrived.
//! - A lease with a send that got no answer is not released early; it expires.
//!
//! # What is not
//!
//! A holder that is suspended between its check and its send, or whose bytes are delayed in the
//! network, can still deliver a late command. An upstream that ignores tokens applies it. A later
//! holder finds it if it arrives before that holder's last read: it repeats its command and counts
//! the repeat in [`Report::repaired`]. A late command that arrives after the last read stays until
//! the next command; its sender sees that its lease was over and reports [`Report::late`], never
//! [`Outcome::Confirmed`]. A sender that stops for good reports nothing.
//!
//! ```
//! use lease::{Lease, LeaseStep, LeaseTiming};
//!
//! let mut lease = Lease::new(LeaseTiming::default(), "ana", "attempt-1", 0);
//! assert_eq!(lease.step(0), LeaseStep::Read);
//! lease.handle_read(1_000, Ok(None));
//! assert!(matches!(lease.step(2_000), LeaseStep::Write { .. }));
//! lease.handle_write(3_000, Ok(1));
//! assert!(lease.holds(3_000));
//! assert_eq!(lease.token(), 1);
//! // A clock error before 10 s have passed since the write was sent.
//! assert!(!lease.holds(9_002_000));
//! ```

mod action;
mod command;
mod delivery;
mod delivery_step;
#[cfg(test)]
mod fuzz_tests;
mod lease;
mod lease_end;
mod lease_step;
mod lease_timing;
mod outcome;
mod record;
mod report;
mod send_result;
#[cfg(test)]
mod tests;
mod upstream_state;

pub use self::{
    action::Action,
    command::Command,
    delivery::Delivery,
    delivery_step::DeliveryStep,
    lease::Lease,
    lease_end::LeaseEnd,
    lease_step::LeaseStep,
    lease_timing::LeaseTiming,
    outcome::Outcome,
    record::{Record, audit_key, row_key},
    report::Report,
    send_result::SendResult,
    upstream_state::UpstreamState,
};
