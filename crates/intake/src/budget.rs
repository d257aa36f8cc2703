use std::sync::Arc;

use crate::{Claim, Kind, ProgressFloor, Shortage, progress::Progress};

/// Claims up to this size may use the whole budget, so that bulky ones never shut them out.
const SMALL_BYTES: u64 = 64 * 1024;

/// Part of the budget that bulky claims may use, in percent.
const BULKY_PERCENT: u64 = 90;

/// Part of the budget above which no client account may hold more than its share, in percent.
const SHARED_PERCENT: u64 = 70;

/// Time, as a multiple of the window, that a caller may still need while claims are refused: longer
/// than callers wait for an answer.
const LEFT_WINDOWS: u64 = 3;

/// Time for which a refused claim makes the floor of progress stricter.
const PRESSED_US: u64 = 2_000_000;

/// Limits of a [`Budget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetOptions {
    /// Largest number of bytes that are held.
    pub bytes_max: u64,
    /// Largest number of claims that wait.
    pub waiting_max: usize,
    /// Least progress of callers for which something is held.
    pub floor: ProgressFloor,
}

/// Identifier of held bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HoldId(u64);

/// Identifier of a claim that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

#[derive(Debug)]
struct Hold {
    id: HoldId,
    kind: Kind,
    account: Arc<str>,
    bytes: u64,
    since_us: u64,
    moved_bytes: u64,
    calm: Progress,
    pressed: Progress,
}

#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    claim: Claim,
}

/// Bytes that a host holds for its callers.
#[derive(Debug)]
pub struct Budget {
    options: BudgetOptions,
    /// Sorted by identifier.
    holds: Vec<Hold>,
    /// Sorted by rank, size and arrival.
    waiting: Vec<Waiter>,
    held_bytes: u64,
    next_id: u64,
    pressed_until_us: u64,
}

impl Budget {
    /// Creates a budget of which nothing is held.
    #[must_use]
    pub const fn new(options: BudgetOptions) -> Self {
        Self {
            options,
            holds: Vec::new(),
            waiting: Vec::new(),
            held_bytes: 0,
            next_id: 0,
            pressed_until_us: 0,
        }
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub const fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns the bytes that are held of one kind.
    #[must_use]
    pub fn held_bytes_of(&self, kind: Kind) -> u64 {
        let holds = self.holds.iter().filter(|hold| hold.kind == kind);
        holds.map(|hold| hold.bytes).sum()
    }

    /// Returns the largest number of bytes that are held.
    #[must_use]
    pub const fn bytes_max(&self) -> u64 {
        self.options.bytes_max
    }

    /// Returns the number of claims that wait.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the client account that holds most, with its bytes.
    #[must_use]
    pub fn largest_account(&self) -> Option<(&str, u64)> {
        let accounts = self.holds.iter().map(|hold| &hold.account);
        let sums = accounts.map(|account| (&**account, self.bytes_of(account)));
        sums.max_by_key(|&(_, bytes)| bytes)
    }

    /// Returns whether progress has to be checked: something depends on a caller.
    #[must_use]
    pub fn needs_sweep(&self) -> bool {
        let mut holds = self.holds.iter();
        holds.any(|hold| hold.kind.depends_on_caller() && hold.bytes > SMALL_BYTES)
    }

    /// Reserves bytes, unless claims that go first are waiting.
    ///
    /// # Errors
    ///
    /// Returns what is short.
    pub fn reserve(&mut self, now_us: u64, claim: &Claim) -> Result<HoldId, Shortage> {
        let position = self.position(claim);
        if position > 0 && claim.bytes > SMALL_BYTES {
            self.pressed_until_us = now_us + PRESSED_US;
            return Err(Shortage::Full);
        }
        self.fits(claim.bytes, &claim.account).inspect_err(|_| {
            self.pressed_until_us = now_us + PRESSED_US;
        })?;
        Ok(self.hold(now_us, claim))
    }

    /// Makes a claim wait for [`Budget::admit`]; returns `None` if too many wait.
    pub fn enqueue(&mut self, claim: Claim) -> Option<Ticket> {
        if self.waiting.len() >= self.options.waiting_max || claim.bytes > self.options.bytes_max {
            return None;
        }
        let ticket = Ticket(self.take_id());
        let position = self.position(&claim);
        self.waiting.insert(position, Waiter { ticket, claim });
        Some(ticket)
    }

    /// Removes a claim that waits.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiter| waiter.ticket != ticket);
    }

    /// Grants the first claims that wait, as long as they fit.
    ///
    /// A claim whose account has used up its share lets the others pass.
    pub fn admit(&mut self, now_us: u64) -> Vec<(Ticket, HoldId)> {
        let mut admitted = Vec::new();
        let mut index = 0;
        while let Some(waiter) = self.waiting.get(index) {
            match self.fits(waiter.claim.bytes, &waiter.claim.account) {
                Ok(()) => {
                    let waiter = self.waiting.remove(index);
                    admitted.push((waiter.ticket, self.hold(now_us, &waiter.claim)));
                }
                Err(Shortage::Share) => index += 1,
                Err(Shortage::Full | Shortage::TooLarge) => break,
            }
        }
        admitted
    }

    /// Reserves further bytes for a hold.
    ///
    /// # Errors
    ///
    /// Returns what is short; the hold stays as it is.
    pub fn grow(&mut self, now_us: u64, id: HoldId, bytes: u64) -> Result<(), Shortage> {
        let Ok(index) = self.index(id) else {
            return Ok(());
        };
        let account = self.holds[index].account.clone();
        self.fits(bytes, &account).inspect_err(|_| {
            self.pressed_until_us = now_us + PRESSED_US;
        })?;
        self.holds[index].bytes += bytes;
        self.held_bytes += bytes;
        Ok(())
    }

    /// Gives back what a hold has beyond this number of bytes, and sets its kind.
    pub fn settle(&mut self, now_us: u64, id: HoldId, kind: Kind, bytes: u64) {
        self.shrink(id, bytes);
        if let Ok(index) = self.index(id) {
            let hold = &mut self.holds[index];
            hold.kind = kind;
            hold.since_us = now_us;
            hold.moved_bytes = 0;
            hold.calm = Progress::new(now_us);
            hold.pressed = Progress::new(now_us);
        }
    }

    /// Gives back what a hold has beyond this number of bytes; the progress of its caller counts on.
    pub fn shrink(&mut self, id: HoldId, bytes: u64) {
        if let Ok(index) = self.index(id) {
            let hold = &mut self.holds[index];
            let surplus_bytes = hold.bytes.saturating_sub(bytes);
            hold.bytes -= surplus_bytes;
            self.held_bytes -= surplus_bytes;
        }
    }

    /// Records that the caller of a hold has sent or read bytes.
    pub fn record_progress(&mut self, id: HoldId, bytes: u64) {
        if let Ok(index) = self.index(id) {
            let hold = &mut self.holds[index];
            hold.moved_bytes += bytes;
            hold.calm.add(bytes);
            hold.pressed.add(bytes);
        }
    }

    /// Gives back all bytes of a hold.
    pub fn release(&mut self, id: HoldId) {
        if let Ok(index) = self.index(id) {
            self.held_bytes -= self.holds.remove(index).bytes;
        }
    }

    /// Returns the holds to close: those whose callers make less progress than the floor, and while
    /// claims are refused the slowest of the others, if it would take far longer than the window.
    pub fn sweep(&mut self, now_us: u64) -> Vec<HoldId> {
        let calm = self.options.floor;
        let is_pressed = now_us < self.pressed_until_us || !self.waiting.is_empty();
        let mut closed = Vec::new();
        let mut slowest = None;
        for hold in &mut self.holds {
            if !hold.kind.depends_on_caller() || hold.bytes <= SMALL_BYTES {
                continue;
            }
            let below_calm = hold.calm.is_below(now_us, calm);
            let below_pressed = hold.pressed.is_below(now_us, calm.pressed());
            if below_calm || (is_pressed && below_pressed) {
                closed.push(hold.id);
                continue;
            }
            let age_us = now_us.saturating_sub(hold.since_us);
            let left_us = hold.left_us(age_us);
            if age_us >= calm.pressed().window_us
                && left_us > LEFT_WINDOWS * calm.window_us
                && slowest.is_none_or(|(longest_us, _)| left_us > longest_us)
            {
                slowest = Some((left_us, hold.id));
            }
        }
        if is_pressed && closed.is_empty() {
            closed.extend(slowest.map(|(_, id)| id));
        }
        closed
    }

    /// Returns whether bytes can be granted to an account.
    fn fits(&self, bytes: u64, account: &Arc<str>) -> Result<(), Shortage> {
        let max = self.options.bytes_max;
        let after_bytes = self.held_bytes.saturating_add(bytes);
        if bytes > max {
            return Err(Shortage::TooLarge);
        }
        if self.held_bytes == 0 {
            return Ok(());
        }
        if bytes <= SMALL_BYTES {
            let fits = after_bytes <= max;
            return if fits { Ok(()) } else { Err(Shortage::Full) };
        }
        if after_bytes > max / 100 * BULKY_PERCENT {
            return Err(Shortage::Full);
        }
        if after_bytes > max / 100 * SHARED_PERCENT {
            let own_bytes = self.bytes_of(account);
            let share_bytes = max / (self.other_accounts(account) + 1);
            if own_bytes > 0 && own_bytes + bytes > share_bytes {
                return Err(Shortage::Share);
            }
        }
        Ok(())
    }

    fn hold(&mut self, now_us: u64, claim: &Claim) -> HoldId {
        let id = HoldId(self.take_id());
        self.held_bytes += claim.bytes;
        self.holds.push(Hold {
            id,
            kind: claim.kind,
            account: claim.account.clone(),
            bytes: claim.bytes,
            since_us: now_us,
            moved_bytes: 0,
            calm: Progress::new(now_us),
            pressed: Progress::new(now_us),
        });
        id
    }

    /// Returns the position at which a claim waits.
    fn position(&self, claim: &Claim) -> usize {
        let key = (claim.rank, claim.bytes);
        self.waiting
            .partition_point(|waiter| (waiter.claim.rank, waiter.claim.bytes) <= key)
    }

    fn bytes_of(&self, account: &str) -> u64 {
        let holds = self.holds.iter().filter(|hold| *hold.account == *account);
        holds.map(|hold| hold.bytes).sum()
    }

    /// Returns the number of other accounts that hold or wait.
    fn other_accounts(&self, account: &Arc<str>) -> u64 {
        let holds = self.holds.iter().map(|hold| &hold.account);
        let waiting = self.waiting.iter().map(|waiter| &waiter.claim.account);
        let mut others: Vec<&Arc<str>> = holds
            .chain(waiting)
            .filter(|&other| other != account)
            .collect();
        others.sort_unstable();
        others.dedup();
        others.len() as u64
    }

    fn index(&self, id: HoldId) -> Result<usize, usize> {
        self.holds.binary_search_by_key(&id, |hold| hold.id)
    }

    const fn take_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }
}

impl Hold {
    /// Returns how long the caller still needs at the speed that it has shown.
    fn left_us(&self, age_us: u64) -> u64 {
        let left_bytes = self.bytes.saturating_sub(self.moved_bytes);
        if left_bytes == 0 {
            return 0;
        }
        let left = u128::from(left_bytes) * u128::from(age_us);
        left.checked_div(u128::from(self.moved_bytes))
            .map_or(u64::MAX, |left_us| {
                u64::try_from(left_us).unwrap_or(u64::MAX)
            })
    }
}
