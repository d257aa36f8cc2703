//! Leases on upstreams and the commands that are sent under them.
//!
//! The row `lease/UPSTREAM` of the table service names the holder of the right to command an
//! upstream, with a fencing token that grows with every acquisition. [`Lease`] returns the next
//! call to the store and handles its result; [`Delivery`] acquires a lease, reads the upstream's
//! state, sends a [`Command`], reads the state again and releases the lease. Both are state
//! machines that do no I/O and take the time as an argument.
//!
//! # Clocks
//!
//! Each process reads only its own monotonic clock, so a step of a wall clock has no effect. A
//! holder stops using its lease one clock error before the lease's length has passed, counted from
//! just before the write was sent. An observer counts the lease as expired once the row has not
//! changed for that length plus one clock error, counted from when the observer first saw this
//! version. The two periods never overlap while each clock is wrong by at most
//! [`LeaseTiming::clock_error_us`] over the length of a lease. The clock must advance while the
//! process is suspended; a virtual machine whose clock stands still breaks this assumption.
//!
//! # Restored stores
//!
//! A store that comes back from an older copy may lack the present lease, show an earlier one, or
//! show it as released; its era rises then. An observer acquires nothing until a lease and its clock
//! error have passed since it first saw the era ([`Lease::see_era`]). A holder writes its record
//! again with its next renewal and keeps the lease. A write counts only if it was decided and took
//! effect in one era. Tokens begin above all of the eras before.
//!
//! # Guarantees
//!
//! - Two holders never consider the lease of an upstream theirs at the same time.
//! - Every command is checked against the lease at the time at which [`Delivery::step`] returns it.
//! - An upstream that honours fencing never applies a command after one with a higher token.
//! - [`Outcome::Confirmed`] means that the wanted state was read after the command, and that the
//!   lease was still valid when the answer to the read arrived.
//! - A lease under which a command got no answer is not released early; it expires.
//!
//! # Limitations
//!
//! If a holder is suspended between its check and its send, or its packets are delayed in the
//! network, its command can arrive late. An upstream that ignores tokens applies the command. A
//! later holder detects this if the late command arrives before that holder's last read: it repeats
//! its own command and counts the repeat in [`Report::repaired`]. The effect of a late command that
//! arrives after the last read remains until the next command; its sender sees that its lease was
//! over and reports [`Report::late`], never [`Outcome::Confirmed`]. A sender that has crashed
//! reports nothing.
//!
//! ```
//! use lease::{Lease, LeaseStep, LeaseTiming};
//! use store::StoreVersion;
//!
//! let mut lease = Lease::new(LeaseTiming::default(), "ana", "attempt-1", 0);
//! assert_eq!(lease.step(0), LeaseStep::Read);
//! lease.handle_read(1_000, Ok(None));
//! assert!(matches!(lease.step(2_000), LeaseStep::Write { .. }));
//! lease.handle_write(3_000, Ok(StoreVersion::new(0, 1)));
//! assert!(lease.holds(3_000));
//! assert_eq!(lease.token(), 1);
//! // The lease ends at 9 s after the write was sent: its length of 10 s less a clock error of 1 s.
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
