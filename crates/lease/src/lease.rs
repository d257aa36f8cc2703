use store::{Expect, Row, StoreError, StoreVersion};

use crate::{LeaseEnd, LeaseStep, LeaseTiming, Record};

/// Largest number of tries of one read or write while the store fails.
const TRIES_MAX: u32 = 5;

/// Delay before the second try; it doubles with every try.
const RETRY_DELAY_US: u64 = 50_000;

/// Tokens of an era begin at its number times this one, above the version that is replaced. So they
/// exceed all that were used before the store came back from a copy, although nobody may know them,
/// as long as fewer versions than this were lost.
const TOKENS_PER_ERA: u64 = 1 << 20;

/// State machine of one acquisition of a lease, with its renewals and its release.
///
/// The caller carries out the returned [`LeaseStep`]s and passes in their results.
#[derive(Debug, Clone)]
pub struct Lease {
    timing: LeaseTiming,
    started_us: u64,
    /// Time before which the lease is not acquired.
    earliest_us: u64,
    /// Newest known era of the store.
    era: u64,
    /// Time before which the lease is not acquired, because its holder of before the era may still
    /// have it.
    era_wait_until_us: u64,
    /// Token that an acquisition must exceed, whatever the row says.
    token_floor: u64,
    own_record: Record,
    observed: Option<ObservedRow>,
    phase: Phase,
    expect: Expect,
    /// Era of the condition of the write in progress.
    write_era: u64,
    /// Time at which the write in progress was first sent.
    write_sent_us: Option<u64>,
    /// Time at which the holder stops using the lease; 0 if it is not held.
    held_until_us: u64,
    tries: u32,
    pause_until_us: u64,
}

/// Newest known version of the row, and when it was first observed.
#[derive(Debug, Clone)]
struct ObservedRow {
    version: StoreVersion,
    first_seen_us: u64,
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
    /// Creates the state machine of an acquisition; `attempt` must be unique.
    #[must_use]
    pub fn new(timing: LeaseTiming, holder: &str, attempt: &str, now_us: u64) -> Self {
        let own_record = Record {
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
            earliest_us: now_us,
            era: 0,
            era_wait_until_us: 0,
            token_floor: 0,
            own_record,
            observed: None,
            phase: Phase::Observing,
            expect: Expect::Absent,
            write_era: 0,
            write_sent_us: None,
            held_until_us: 0,
            tries: 0,
            pause_until_us: now_us,
        }
    }

    /// Makes the acquisition only observe the row before this time.
    #[must_use]
    pub const fn with_earliest_us(mut self, earliest_us: u64) -> Self {
        self.earliest_us = earliest_us;
        self
    }

    /// Makes the token exceed this one, even if the row was lost and starts again.
    #[must_use]
    pub const fn with_token_above(mut self, token: u64) -> Self {
        self.token_floor = token;
        self
    }

    /// Sets the newest known era of the store, and when it was first seen by the same clock.
    #[must_use]
    pub fn with_era(mut self, era: u64, seen_us: u64) -> Self {
        self.see_era(seen_us, era);
        self
    }

    /// Continues the observation of an acquisition that failed, by the same clock.
    #[must_use]
    pub fn with_observation_of(mut self, earlier: &Self) -> Self {
        if self.era <= earlier.era {
            self.era = earlier.era;
            self.era_wait_until_us = self.era_wait_until_us.max(earlier.era_wait_until_us);
            self.observed.clone_from(&earlier.observed);
        }
        self.token_floor = self.token_floor.max(earlier.token_floor);
        self
    }

    /// Records the newest known era of the store, before the result of the call that told it.
    ///
    /// In a new era, what was observed of the row may be gone, also that another holder has the
    /// lease. So nobody acquires it before the lease of an unknown holder would have expired.
    pub fn see_era(&mut self, now_us: u64, era: u64) {
        if era <= self.era {
            return;
        }
        self.era = era;
        let observed = self.observed.take().map(|observed| observed.record);
        let length_us = observed.map_or(0, |record| record.length_us);
        let length_us = length_us.max(self.timing.length_us);
        let wait_us = length_us.saturating_add(self.timing.clock_error_over_us(length_us));
        self.era_wait_until_us = now_us.saturating_add(wait_us);
    }

    /// Returns the highest token that was seen in the row, or that has to be exceeded.
    #[must_use]
    pub const fn observed_token(&self) -> u64 {
        self.token_floor
    }

    /// Returns whether a write is due or in progress, or its result is unknown.
    #[must_use]
    pub const fn is_writing(&self) -> bool {
        matches!(self.phase, Phase::Writing(_) | Phase::ReadingBack(_))
    }

    /// Returns the fencing token; 0 before the first try to acquire the lease.
    #[must_use]
    pub const fn token(&self) -> u64 {
        self.own_record.token
    }

    /// Returns the holder that was last seen in the row, if it is another acquisition.
    #[must_use]
    pub fn other_holder(&self) -> Option<&str> {
        let other = self.observed.as_ref()?;
        (other.record.attempt != self.own_record.attempt).then_some(other.record.holder.as_str())
    }

    /// Returns whether the lease is held and may be used now.
    #[must_use]
    pub const fn holds(&self, now_us: u64) -> bool {
        now_us < self.held_until_us
    }

    /// Returns for how long the lease may still be used.
    #[must_use]
    pub const fn remaining_us(&self, now_us: u64) -> u64 {
        self.held_until_us.saturating_sub(now_us)
    }

    /// Returns for how long a new or renewed lease may be used: its length less the clock error.
    #[must_use]
    pub const fn usable_us(&self) -> u64 {
        let LeaseTiming {
            length_us,
            clock_error_us,
            ..
        } = self.timing;
        length_us.saturating_sub(clock_error_us)
    }

    /// Returns the next step that the caller has to carry out.
    pub fn step(&mut self, now_us: u64) -> LeaseStep {
        if now_us < self.pause_until_us {
            return LeaseStep::Wait {
                until_us: self.pause_until_us,
            };
        }
        match self.phase {
            Phase::Ended(end) => LeaseStep::Ended(end),
            Phase::Held if self.holds(now_us) => LeaseStep::Held {
                until_us: self.held_until_us,
            },
            Phase::Held => self.end(LeaseEnd::Over),
            // The decision was made on a row of an earlier era.
            Phase::Writing(Purpose::Acquire)
                if self.write_era < self.era && self.write_sent_us.is_none() =>
            {
                self.phase = Phase::Observing;
                LeaseStep::Read
            }
            Phase::Writing(_) => self.write(now_us),
            Phase::ReadingBack(_) => LeaseStep::Read,
            Phase::Observing => match &self.observed {
                Some(observed)
                    if now_us >= self.earliest_us() && observed.is_free(now_us, self.timing) =>
                {
                    self.acquire(now_us)
                }
                Some(_) if now_us.saturating_sub(self.started_us) >= self.timing.wait_max_us => {
                    self.end(LeaseEnd::Busy)
                }
                _ => LeaseStep::Read,
            },
        }
    }

    /// Starts a renewal, if the lease is held and no write is in progress.
    pub fn renew(&mut self, now_us: u64) {
        if self.phase == Phase::Held && self.holds(now_us) {
            self.own_record.renewals += 1;
            self.begin_write(Purpose::Renew);
        }
    }

    /// Starts the release, if the lease is held and no write is in progress.
    ///
    /// From now on the holder must not use the lease.
    pub fn release(&mut self) {
        if self.phase == Phase::Held {
            self.held_until_us = 0;
            self.own_record.released = true;
            self.begin_write(Purpose::Release);
        }
    }

    /// Handles the result of a write.
    pub fn handle_write(&mut self, now_us: u64, result: Result<StoreVersion, StoreError>) {
        let Phase::Writing(purpose) = self.phase else {
            return;
        };
        match result {
            Ok(version) => {
                self.see_era(now_us, version.era);
                self.complete_write(now_us, purpose, version);
            }
            Err(StoreError::Conflict(row)) => self.resolve_write(now_us, purpose, row),
            Err(StoreError::Unknown) => {
                self.phase = Phase::ReadingBack(purpose);
                self.retry(now_us, purpose);
            }
            Err(StoreError::Down) => self.retry(now_us, purpose),
        }
    }

    /// Handles the result of a read.
    pub fn handle_read(&mut self, now_us: u64, result: Result<Option<Row>, StoreError>) {
        match (self.phase, result) {
            (Phase::Observing, Ok(row)) => {
                self.tries = 0;
                self.observe(now_us, row);
            }
            (Phase::Observing, Err(_)) => self.retry(now_us, Purpose::Acquire),
            (Phase::ReadingBack(purpose), Ok(row)) => self.resolve_write(now_us, purpose, row),
            (Phase::ReadingBack(purpose), Err(_)) => self.retry(now_us, purpose),
            _ => {}
        }
    }

    /// Returns the time before which the lease is not acquired.
    fn earliest_us(&self) -> u64 {
        self.earliest_us.max(self.era_wait_until_us)
    }

    /// Returns the token of an acquisition that replaces this version.
    ///
    /// In a store that has come back from a copy, the row may hold the record of a process that had
    /// not learned of it, in the place of one with a higher token. The version is unique in its era,
    /// and so is a token above it.
    fn next_token(&self, replaced: Option<StoreVersion>) -> u64 {
        let number = replaced.map_or(0, |version| version.number);
        let least = match self.era {
            0 => 0,
            era => era.saturating_mul(TOKENS_PER_ERA).saturating_add(number),
        };
        self.token_floor.max(least).saturating_add(1)
    }

    /// Returns the era of the condition of a write that is decided now.
    const fn condition_era(&self) -> u64 {
        match self.expect {
            Expect::Version(version) => version.era,
            Expect::Absent => self.era,
        }
    }

    /// Starts a write for this purpose.
    fn begin_write(&mut self, purpose: Purpose) {
        self.phase = Phase::Writing(purpose);
        self.write_era = self.condition_era();
        self.write_sent_us = None;
        self.tries = 0;
    }

    /// Starts to take over a lease that has expired or was released.
    fn acquire(&mut self, now_us: u64) -> LeaseStep {
        let version = self.observed.as_ref().map(|observed| observed.version);
        self.expect = version.map_or(Expect::Absent, Expect::Version);
        self.own_record.token = self.next_token(version);
        self.begin_write(Purpose::Acquire);
        self.write(now_us)
    }

    /// Returns the write in progress.
    ///
    /// The lease counts from the time of the first send, because a repeated write may only confirm
    /// that the first one succeeded.
    fn write(&mut self, now_us: u64) -> LeaseStep {
        self.write_sent_us.get_or_insert(now_us);
        LeaseStep::Write {
            expect: self.expect,
            record: Box::new(self.own_record.clone()),
        }
    }

    /// Completes a write: the row holds this lease's record at this version.
    ///
    /// A write whose condition is of another era than the row gives no time: its condition may
    /// have held for another row, and another holder may have had the lease in between.
    fn complete_write(&mut self, now_us: u64, purpose: Purpose, version: StoreVersion) {
        self.expect = Expect::Version(version);
        self.tries = 0;
        let is_same_era = version.era == self.write_era;
        match purpose {
            Purpose::Release => self.phase = Phase::Ended(LeaseEnd::Over),
            Purpose::Acquire if !is_same_era => {
                self.phase = Phase::Observing;
                self.observe_record(now_us, version, self.own_record.clone());
            }
            Purpose::Acquire | Purpose::Renew => {
                if is_same_era {
                    self.held_until_us = self.write_sent_us.unwrap_or(0) + self.usable_us();
                }
                self.phase = Phase::Held;
            }
        }
    }

    /// Determines from the current row whether a write with an unknown result succeeded.
    fn resolve_write(&mut self, now_us: u64, purpose: Purpose, row: Option<Row>) {
        if let Some(row) = &row {
            self.see_era(now_us, row.version.era);
        }
        let found = row.as_ref().map(|row| Record::parse(&row.value));
        match (&row, found) {
            (_, Some(Err(_))) => {
                self.end(LeaseEnd::Unreadable);
            }
            (Some(row), Some(Ok(record))) if record == self.own_record => {
                self.complete_write(now_us, purpose, row.version);
            }
            (row, Some(Ok(record))) if self.may_write_again(now_us, purpose, &record) => {
                self.write_again(now_us, purpose, row.as_ref());
            }
            (None, None) if self.write_era < self.era && self.holds(now_us) => {
                self.write_again(now_us, purpose, None);
            }
            // The condition is of an earlier era and never holds again.
            (_, _) if self.write_era < self.era && purpose == Purpose::Acquire => {
                self.phase = Phase::Observing;
                self.observe(now_us, row);
            }
            (_, _) if self.write_era < self.era && !self.holds(now_us) => {
                self.end(LeaseEnd::Over);
            }
            // The write did not succeed, or the read was stale. Writing again is safe, because the
            // expected version makes it fail if the first write did succeed.
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

    /// Returns whether a renewal may replace a record that the row got by a change of era.
    ///
    /// While this holder may use the lease, nobody has acquired it in a later era: a record of
    /// another holder is one of the copy, or of a write that gave no lease.
    fn may_write_again(&self, now_us: u64, purpose: Purpose, found: &Record) -> bool {
        let is_own = found.attempt == self.own_record.attempt;
        let is_newer = found.token > self.own_record.token;
        let has_changed = self.write_era < self.era || self.expect == Expect::Absent;
        purpose == Purpose::Renew && self.holds(now_us) && has_changed && (is_own || !is_newer)
    }

    /// Writes this lease's record over a row that was found in a new era.
    fn write_again(&mut self, now_us: u64, purpose: Purpose, row: Option<&Row>) {
        self.expect = row.map_or(Expect::Absent, |row| Expect::Version(row.version));
        self.phase = Phase::Writing(purpose);
        self.write_era = self.condition_era();
        self.write_sent_us = None;
        self.retry(now_us, purpose);
    }

    /// Returns whether the row is no newer than the version that the write expects.
    fn is_not_newer(&self, row: Option<&Row>) -> bool {
        match (row, self.expect) {
            (None, _) => true,
            (Some(_), Expect::Absent) => false,
            (Some(row), Expect::Version(version)) => row.version <= version,
        }
    }

    /// Updates what is known about the row; acquires the lease if there is no row.
    fn observe(&mut self, now_us: u64, row: Option<Row>) {
        if let Some(row) = &row {
            self.see_era(now_us, row.version.era);
        }
        let known = self.observed.as_ref().map(|observed| observed.version);
        match row {
            None if known.is_none() && now_us < self.earliest_us() => {
                self.pause_until_us = self.earliest_us().min(now_us + self.timing.poll_us);
                return;
            }
            None if known.is_none() => {
                self.own_record.token = self.next_token(None);
                self.expect = Expect::Absent;
                self.begin_write(Purpose::Acquire);
                return;
            }
            // The answer to a read that was sent in an earlier era.
            Some(row) if row.version.era < self.era => {}
            Some(row) if known.is_none_or(|known| known < row.version) => {
                let Ok(record) = Record::parse(&row.value) else {
                    self.end(LeaseEnd::Unreadable);
                    return;
                };
                self.observe_record(now_us, row.version, record);
            }
            // A read that returned an older version says nothing about the newest one.
            _ => {}
        }
        if let Some(observed) = &self.observed {
            let free_us = if observed.record.released {
                0
            } else {
                observed.expires_us(self.timing)
            };
            let free_us = free_us.max(self.earliest_us());
            if now_us < free_us {
                self.pause_until_us = free_us.min(now_us + self.timing.poll_us);
            }
        }
    }

    /// Takes over the newest known record.
    fn observe_record(&mut self, now_us: u64, version: StoreVersion, record: Record) {
        self.token_floor = self.token_floor.max(record.token);
        self.observed = Some(ObservedRow {
            version,
            first_seen_us: now_us,
            record,
        });
    }

    /// Schedules another try, or ends after too many.
    fn retry(&mut self, now_us: u64, purpose: Purpose) {
        self.tries += 1;
        self.pause_until_us = now_us + (RETRY_DELAY_US << (self.tries - 1).min(TRIES_MAX));
        if self.tries < TRIES_MAX {
            return;
        }
        match purpose {
            // The lease remains usable until it expires.
            Purpose::Renew if self.holds(now_us) => {
                self.tries = 0;
            }
            _ => {
                self.end(LeaseEnd::StoreFailed);
            }
        }
    }

    fn end(&mut self, end: LeaseEnd) -> LeaseStep {
        self.held_until_us = 0;
        self.phase = Phase::Ended(end);
        LeaseStep::Ended(end)
    }
}

impl ObservedRow {
    /// Returns the time from which the lease counts as expired to this observer.
    const fn expires_us(&self, timing: LeaseTiming) -> u64 {
        let length_us = self.record.length_us;
        self.first_seen_us
            .saturating_add(length_us)
            .saturating_add(timing.clock_error_over_us(length_us))
    }

    const fn is_free(&self, now_us: u64, timing: LeaseTiming) -> bool {
        self.record.released || now_us >= self.expires_us(timing)
    }
}
