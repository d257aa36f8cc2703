use std::sync::Arc;

use crate::{Budget, DemandItem, TIERS, home::LEASE_US, subset::part};

/// Part of the demand that falls away with each report.
const FALL_PART: u32 = 8;

/// Least fall in thousandths of a request; a part of a small number rounds to nothing.
const FALL_MIN: u32 = 100;

/// Grants of one upstream and the demand they answer.
#[derive(Debug)]
pub(crate) struct Ledger {
    pub(crate) budget: Budget,
    pub(crate) key: u32,
    /// Daemons that use the upstream with their slots without a grant.
    users: Vec<(Arc<str>, u32)>,
    accounts: Vec<Account>,
}

/// What one daemon wants and holds, sorted by host name in the ledger.
#[derive(Debug)]
struct Account {
    host: Arc<str>,
    expires_us: u64,
    demand: DemandItem,
    /// Demand by tier in thousandths of a request; rises at once and falls slowly.
    wanted: [u32; TIERS],
    grants: Vec<Grant>,
}

#[derive(Debug)]
struct Grant {
    sequence: u32,
    slots: u32,
    expires_us: u64,
}

impl Ledger {
    pub(crate) fn new(budget: Budget) -> Self {
        Self {
            key: budget.key(),
            budget,
            users: Vec::new(),
            accounts: Vec::new(),
        }
    }

    /// Takes up the slots and the daemons that use the upstream.
    pub(crate) fn configure(&mut self, budget: &Budget, users: &[Arc<str>]) {
        self.budget = budget.clone();
        let users = users.iter().enumerate().map(|(rank, name)| {
            let slots = part(budget.slots, users.len(), rank);
            (name.clone(), slots)
        });
        self.users = users.collect();
    }

    /// Returns the sum of the grants that have not expired.
    pub(crate) fn granted(&self, now_us: u64) -> u32 {
        let held = self.accounts.iter().map(|account| account.granted(now_us));
        held.sum()
    }

    /// Takes up a report and returns the slots for its sender.
    pub(crate) fn demand(
        &mut self,
        now_us: u64,
        host: &str,
        demand: &DemandItem,
        seen: u32,
        sequence: u32,
    ) -> u32 {
        self.accounts.retain_mut(|account| {
            account.grants.retain(|grant| grant.expires_us > now_us);
            account.expires_us > now_us || !account.grants.is_empty()
        });
        let found = self
            .accounts
            .binary_search_by(|account| account.host.as_ref().cmp(host));
        let index = found.unwrap_or_else(|index| {
            self.accounts.insert(index, Account::new(host, demand));
            index
        });
        let account = &mut self.accounts[index];
        account.take_up(demand);
        account.expires_us = now_us + LEASE_US;
        // An acknowledged grant replaces all earlier ones at the daemon.
        account.grants.retain(|grant| grant.sequence >= seen);
        let taken: u32 = self
            .accounts
            .iter()
            .enumerate()
            .filter(|&(other, _)| other != index)
            .map(|(_, account)| account.held(now_us))
            .sum();
        let free = self.budget.slots.saturating_sub(taken + self.silent());
        let wanted = self.targets(sequence)[index];
        let slots = wanted.max(demand.replaceable()).min(free);
        let expires_us = now_us + LEASE_US;
        self.accounts[index].grants.push(Grant {
            sequence,
            slots,
            expires_us,
        });
        slots
    }

    /// Returns the slots of live daemons that do not report: they run on their fallback share.
    fn silent(&self) -> u32 {
        let silent = self.users.iter().filter(|(name, _)| {
            let found = self
                .accounts
                .binary_search_by(|account| account.host.cmp(name));
            found.is_err()
        });
        silent.map(|(_, slots)| slots).sum()
    }

    /// Divides the slots: reserved share, then strictly by tier, fairly inside a tier, then the
    /// rest evenly without the slots that are kept free for the highest tier.
    fn targets(&self, turn: u32) -> Vec<u32> {
        let turn = turn as usize;
        let mut targets = vec![0; self.accounts.len()];
        let mut left = self.budget.slots;
        let lowest = TIERS - 1;
        let wants = |tier: usize| -> Vec<u32> {
            let wants = self.accounts.iter();
            wants.map(|account| account.wanted(tier)).collect()
        };
        let mut served = [wants(0), wants(1), wants(2)];
        let reserved = fill(
            &mut targets,
            &mut served[lowest],
            self.budget.reserved_slots(),
            turn,
        );
        left -= reserved;
        left -= fill(&mut targets, &mut served[0], left, turn);
        left = left.saturating_sub(self.budget.urgent_slots());
        for tier in &mut served[1..] {
            left -= fill(&mut targets, tier, left, turn);
        }
        let mut spare = vec![u32::MAX; targets.len()];
        fill(&mut targets, &mut spare, left, turn);
        targets
    }
}

/// Divides up to `slots` evenly over what is wanted, returns how many were given.
fn fill(targets: &mut [u32], wants: &mut [u32], slots: u32, turn: usize) -> u32 {
    let mut left = slots;
    loop {
        let hungry = wants.iter().filter(|&&want| want > 0).count();
        if hungry == 0 || left == 0 {
            return slots - left;
        }
        let each = left / u32::try_from(hungry).unwrap_or(u32::MAX);
        let len = wants.len();
        for step in 0..len {
            // The remainder goes to another daemon every time.
            let index = (turn + step) % len;
            let give = wants[index].min(each.max(1)).min(left);
            targets[index] += give;
            wants[index] -= give;
            left -= give;
        }
    }
}

impl Account {
    fn new(host: &str, demand: &DemandItem) -> Self {
        Self {
            host: host.into(),
            expires_us: 0,
            demand: demand.clone(),
            wanted: [0; TIERS],
            grants: Vec::new(),
        }
    }

    fn granted(&self, now_us: u64) -> u32 {
        let live = self.grants.iter().filter(|grant| grant.expires_us > now_us);
        live.map(|grant| grant.slots).max().unwrap_or(0)
    }

    /// Running requests hold their slots beyond a grant that has shrunk below them.
    fn held(&self, now_us: u64) -> u32 {
        self.granted(now_us).max(self.demand.running_total())
    }

    /// Takes up a report.
    ///
    /// Without the slow fall, slots would leave a daemon in every short pause of its urgent
    /// arrivals and be missing at the next one.
    fn take_up(&mut self, demand: &DemandItem) {
        self.demand = demand.clone();
        for tier in 0..TIERS {
            let now = u32::from(demand.running[tier]) + u32::from(demand.waiting[tier]);
            let before = if tier == 0 { self.wanted[tier] } else { 0 };
            let fall = (before / FALL_PART).max(FALL_MIN);
            self.wanted[tier] = (now * 1_000).max(before.saturating_sub(fall));
        }
    }

    fn wanted(&self, tier: usize) -> u32 {
        self.wanted[tier].div_ceil(1_000)
    }
}
