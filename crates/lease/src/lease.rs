use store::{Expect, Row, StoreError};

use crate::{LeaseEnd, LeaseStep, LeaseTiming, Record};

/// Tries of one write or read against a failing store.
const TRIES_MAX: u32 = 5;

/// Pause before the second try; it doubles with every try.
const PAUSE_US: u64 = 50_000;

/// State machine of one acquisition of a lease, with its renewals and its release.
#[derive(Debug, Clone)]
pub struct Lease {
    timing: LeaseTiming,
    started_us: u64,
    own: Record,
    seen: Option<Seen>,
    phase: Phase,
    expect: Expect,
    sent_us: Option<u64>,
    until_us: u64,
    tries: u32,
    pause_until_us: u64,
}

/// Newest version of the row that this observer knows.
#[derive(Debug, Clone)]
struct Seen {
    version: u64,
    since_us: u64,
    record: Record,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Observing,
    Writing(Purpose),
    ReadingBack(Purpose),
    Held,
    Ended(LeaseEnd),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Acquire,
    Renew,
    Release,
}

impl Lease {
    /// Creates the machine of an acquisition; `attempt` must be unique.
    #[must_use]
    pub fn new(timing: LeaseTiming, holder: &str, attempt: &str, now_us: u64) -> Self {
        let own = Record {
            holder: holder.to_owned(),
            attempt: attempt.to_owned(),
            token: 0,
            length_us: timing.length_us,
            renewals: 0,
            released: false,
        };
        Self {
            timing,
            started_us: now_us,
            own,
            seen: None,
            phase: Phase::Observing,
            expect: Expect::Absent,
            sent_us: None,
            until_us: 0,
            tries: 0,
            pause_until_us: now_us,
        }
    }

    /// Returns the fencing token; 0 before the first acquisition is tried.
    #[must_use]
    pub const fn token(&self) -> u64 {
        self.own.token
    }

    /// Returns the holder that was last seen in the row, if it is another one.
    #[must_use]
    pub fn other_holder(&self) -> Option<&str> {
        let other = self.seen.as_ref()?;
        (other.record.attempt != self.own.attempt).then_some(other.record.holder.as_str())
    }

    /// Returns whether the holder may use the lease now.
    #[must_use]
    pub const fn holds(&self, now_us: u64) -> bool {
        now_us < self.until_us
    }

    /// Returns for how long the holder may use the lease.
    #[must_use]
    pub const fn remaining_us(&self, now_us: u64) -> u64 {
        self.until_us.saturating_sub(now_us)
    }

    /// Returns for how long a new lease may be used.
    #[must_use]
    pub const fn usable_us(&self) -> u64 {
        let LeaseTiming {
            length_us,
            clock_error_us,
            ..
        } = self.timing;
        length_us.saturating_sub(clock_error_us)
    }

    /// Returns what to do next.
    pub fn step(&mut self, now_us: u64) -> LeaseStep {
        if now_us < self.pause_until_us {
            return LeaseStep::Wait {
                until_us: self.pause_until_us,
            };
        }
        match self.phase {
            Phase::Ended(end) => LeaseStep::Ended(end),
            Phase::Held if self.holds(now_us) => LeaseStep::Held {
                until_us: self.until_us,
            },
            Phase::Held => self.end(LeaseEnd::Over),
            Phase::Writing(_) => self.write(now_us),
            Phase::ReadingBack(_) => LeaseStep::Read,
            Phase::Observing => match &self.seen {
                Some(seen) if seen.is_free(now_us, self.timing) => self.acquire(now_us),
                Some(_) if now_us.saturating_sub(self.started_us) >= self.timing.wait_max_us => {
                    self.end(LeaseEnd::Busy)
                }
                _ => LeaseStep::Read,
            },
        }
    }

    /// Begins a renewal, if the lease is held and no write is in progress.
    pub fn renew(&mut self, now_us: u64) {
        if self.phase == Phase::Held && self.holds(now_us) {
            self.own.renewals += 1;
            self.begin(Purpose::Renew);
        }
    }

    /// Begins the release, if the lease is held and no write is in progress.
    ///
    /// The holder does not use the lease from now on.
    pub fn release(&mut self) {
        if self.phase == Phase::Held {
            self.until_us = 0;
            self.own.released = true;
            self.begin(Purpose::Release);
        }
    }

    /// Takes the result of a write.
    pub fn handle_write(&mut self, now_us: u64, result: Result<u64, StoreError>) {
        let Phase::Writing(purpose) = self.phase else {
            return;
        };
        match result {
            Ok(version) => self.confirmed(purpose, version),
            Err(StoreError::Conflict(row)) => self.examine(now_us, purpose, row),
            Err(StoreError::Unknown) => {
                self.phase = Phase::ReadingBack(purpose);
                self.retry(now_us, purpose);
            }
            Err(StoreError::Down) => self.retry(now_us, purpose),
        }
    }

    /// Takes the result of a read.
    pub fn handle_read(&mut self, now_us: u64, result: Result<Option<Row>, StoreError>) {
        match (self.phase, result) {
            (Phase::Observing, Ok(row)) => {
                self.tries = 0;
                self.observe(now_us, row);
            }
            (Phase::Observing, Err(_)) => self.retry(now_us, Purpose::Acquire),
            (Phase::ReadingBack(purpose), Ok(row)) => self.examine(now_us, purpose, row),
            (Phase::ReadingBack(purpose), Err(_)) => self.retry(now_us, purpose),
            _ => {}
        }
    }

    fn begin(&mut self, purpose: Purpose) {
        self.phase = Phase::Writing(purpose);
        self.sent_us = None;
        self.tries = 0;
    }

    fn acquire(&mut self, now_us: u64) -> LeaseStep {
        if let Some(seen) = &self.seen {
            self.own.token = seen.record.token + 1;
            self.expect = Expect::Version(seen.version);
        }
        self.begin(Purpose::Acquire);
        self.write(now_us)
    }

    /// The time of the first send counts: a repeated write may confirm what the first one did.
    fn write(&mut self, now_us: u64) -> LeaseStep {
        self.sent_us.get_or_insert(now_us);
        LeaseStep::Write {
            expect: self.expect,
            record: Box::new(self.own.clone()),
        }
    }

    /// The row holds what this machine wrote last.
    fn confirmed(&mut self, purpose: Purpose, version: u64) {
        self.expect = Expect::Version(version);
        self.tries = 0;
        if purpose == Purpose::Release {
            self.phase = Phase::Ended(LeaseEnd::Over);
            return;
        }
        self.until_us = self.sent_us.unwrap_or(0) + self.usable_us();
        self.phase = Phase::Held;
    }

    /// Decides about a write by the row that is there.
    fn examine(&mut self, now_us: u64, purpose: Purpose, row: Option<Row>) {
        let found = row.as_ref().map(|row| Record::parse(&row.value));
        match (&row, found) {
            (_, Some(Err(_))) => {
                self.end(LeaseEnd::Unreadable);
            }
            (Some(row), Some(Ok(record))) if record == self.own => {
                self.confirmed(purpose, row.version);
            }
            // The write is not there, or the read was stale: its condition tells.
            (row, _) if self.is_not_newer(row.as_ref()) => {
                self.phase = Phase::Writing(purpose);
                self.retry(now_us, purpose);
            }
            _ if purpose == Purpose::Acquire => {
                self.phase = Phase::Observing;
                self.observe(now_us, row);
            }
            _ => {
                self.end(LeaseEnd::Over);
            }
        }
    }

    fn is_not_newer(&self, row: Option<&Row>) -> bool {
        match (row, self.expect) {
            (None, _) => true,
            (Some(_), Expect::Absent) => false,
            (Some(row), Expect::Version(version)) => row.version <= version,
        }
    }

    fn observe(&mut self, now_us: u64, row: Option<Row>) {
        let known = self.seen.as_ref().map(|seen| seen.version);
        match row {
            None if known.is_none() => {
                self.own.token = 1;
                self.expect = Expect::Absent;
                self.begin(Purpose::Acquire);
                return;
            }
            Some(row) if known.is_none_or(|known| known < row.version) => {
                let Ok(record) = Record::parse(&row.value) else {
                    self.end(LeaseEnd::Unreadable);
                    return;
                };
                self.seen = Some(Seen {
                    version: row.version,
                    since_us: now_us,
                    record,
                });
            }
            // A stale read tells nothing about the newest version.
            _ => {}
        }
        if let Some(seen) = &self.seen
            && !seen.is_free(now_us, self.timing)
        {
            let expired_us = seen.expires_us(self.timing);
            self.pause_until_us = expired_us.min(now_us + self.timing.poll_us);
        }
    }

    fn retry(&mut self, now_us: u64, purpose: Purpose) {
        self.tries += 1;
        self.pause_until_us = now_us + (PAUSE_US << (self.tries - 1).min(TRIES_MAX));
        if self.tries < TRIES_MAX {
            return;
        }
        match purpose {
            // The lease stays usable until its time has passed.
            Purpose::Renew if self.holds(now_us) => {
                self.tries = 0;
            }
            _ => {
                self.end(LeaseEnd::StoreFailed);
            }
        }
    }

    fn end(&mut self, end: LeaseEnd) -> LeaseStep {
        self.until_us = 0;
        self.phase = Phase::Ended(end);
        LeaseStep::Ended(end)
    }
}

impl Seen {
    const fn expires_us(&self, timing: LeaseTiming) -> u64 {
        let length_us = self.record.length_us;
        self.since_us
            .saturating_add(length_us)
            .saturating_add(timing.clock_error_over_us(length_us))
    }

    const fn is_free(&self, now_us: u64, timing: LeaseTiming) -> bool {
        self.record.released || now_us >= self.expires_us(timing)
    }
}
