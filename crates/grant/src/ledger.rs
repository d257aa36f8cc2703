use std::sync::Arc;

use crate::{Budget, DemandItem, TIERS, home::LEASE_US, subset::even_share};

/// Part of the demand of the highest tier by which it decays with each report: one eighth.
const DECAY_DIVISOR: u32 = 8;

/// Smallest decay in thousandths of a request; an eighth of a small demand would round to zero.
const DECAY_MIN_MILLI: u32 = 100;

/// Grants of one upstream and the demand they answer.
#[derive(Debug)]
pub(crate) struct Ledger {
    pub(crate) budget: Budget,
    pub(crate) key: u32,
    /// Daemons that use the upstream, with their fallback shares.
    users: Vec<(Arc<str>, u32)>,
    daemons: Vec<DaemonEntry>,
}

/// Demand and grants of one daemon; sorted by host name in the ledger.
#[derive(Debug)]
struct DaemonEntry {
    host: Arc<str>,
    /// Time at which the daemon counts as silent unless it reports again.
    expires_us: u64,
    /// Last report.
    demand: DemandItem,
    /// Demand by tier in thousandths of a request. That of the highest tier rises at once and
    /// decays slowly.
    wanted_milli: [u32; TIERS],
    /// Unexpired grants that no acknowledged one has replaced.
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
            daemons: Vec::new(),
        }
    }

    /// Sets the slots and the daemons that use the upstream.
    pub(crate) fn configure(&mut self, budget: &Budget, users: &[Arc<str>]) {
        self.budget = budget.clone();
        let users = users.iter().enumerate().map(|(rank, name)| {
            let slots = even_share(budget.slots, users.len(), rank);
            (name.clone(), slots)
        });
        self.users = users.collect();
    }

    /// Returns the sum of the grants that have not expired.
    pub(crate) fn granted(&self, now_us: u64) -> u32 {
        let held = self.daemons.iter().map(|daemon| daemon.granted(now_us));
        held.sum()
    }

    /// Handles a report and returns the slots granted to its sender.
    pub(crate) fn handle_demand(
        &mut self,
        now_us: u64,
        host: &str,
        demand: &DemandItem,
        acked_sequence: u32,
        sequence: u32,
    ) -> u32 {
        self.daemons.retain_mut(|daemon| {
            daemon.grants.retain(|grant| grant.expires_us > now_us);
            daemon.expires_us > now_us || !daemon.grants.is_empty()
        });
        let found = self
            .daemons
            .binary_search_by(|daemon| daemon.host.as_ref().cmp(host));
        let index = found.unwrap_or_else(|index| {
            self.daemons.insert(index, DaemonEntry::new(host, demand));
            index
        });
        let daemon = &mut self.daemons[index];
        daemon.update_demand(demand);
        daemon.expires_us = now_us + LEASE_US;
        // An acknowledged grant replaces all earlier ones at the daemon.
        daemon
            .grants
            .retain(|grant| grant.sequence >= acked_sequence);
        let held_by_others: u32 = self
            .daemons
            .iter()
            .enumerate()
            .filter(|&(other, _)| other != index)
            .map(|(_, daemon)| daemon.held(now_us))
            .sum();
        let free = self
            .budget
            .slots
            .saturating_sub(held_by_others + self.silent_slots());
        let wanted = self.targets(sequence)[index];
        let slots = wanted.max(demand.preemptible_slots()).min(free);
        let expires_us = now_us + LEASE_US;
        self.daemons[index].grants.push(Grant {
            sequence,
            slots,
            expires_us,
        });
        slots
    }

    /// Returns the slots of live daemons that do not report, which use their fallback shares.
    fn silent_slots(&self) -> u32 {
        let silent = self.users.iter().filter(|(name, _)| {
            let found = self
                .daemons
                .binary_search_by(|daemon| daemon.host.cmp(name));
            found.is_err()
        });
        silent.map(|(_, slots)| slots).sum()
    }

    /// Divides the slots among the daemons by demand.
    ///
    /// The reserved share of the lowest tier comes first, then the tiers in strict priority order,
    /// fairly within a tier. The slots that are left over are divided evenly. Slots kept free for
    /// the highest tier are given to no other tier.
    fn targets(&self, rotation: u32) -> Vec<u32> {
        let rotation = rotation as usize;
        let mut targets = vec![0; self.daemons.len()];
        let mut remaining = self.budget.slots;
        let lowest = TIERS - 1;
        let wants = |tier: usize| -> Vec<u32> {
            let wants = self.daemons.iter();
            wants.map(|daemon| daemon.wanted(tier)).collect()
        };
        let mut unmet = [wants(0), wants(1), wants(2)];
        let reserved = divide_evenly(
            &mut targets,
            &mut unmet[lowest],
            self.budget.reserved_slots(),
            rotation,
        );
        remaining -= reserved;
        remaining -= divide_evenly(&mut targets, &mut unmet[0], remaining, rotation);
        remaining = remaining.saturating_sub(self.budget.urgent_slots());
        for tier in &mut unmet[1..] {
            remaining -= divide_evenly(&mut targets, tier, remaining, rotation);
        }
        let mut spare = vec![u32::MAX; targets.len()];
        divide_evenly(&mut targets, &mut spare, remaining, rotation);
        targets
    }
}

/// Divides up to `slots` evenly over the `wants`, adds them to the `targets` and returns how many
/// were given.
fn divide_evenly(targets: &mut [u32], wants: &mut [u32], slots: u32, rotation: usize) -> u32 {
    let mut remaining = slots;
    loop {
        let unsatisfied = wants.iter().filter(|&&want| want > 0).count();
        if unsatisfied == 0 || remaining == 0 {
            return slots - remaining;
        }
        let share = remaining / u32::try_from(unsatisfied).unwrap_or(u32::MAX);
        let len = wants.len();
        for step in 0..len {
            // The rotation gives the remainder to another daemon every time.
            let index = (rotation + step) % len;
            let given = wants[index].min(share.max(1)).min(remaining);
            targets[index] += given;
            wants[index] -= given;
            remaining -= given;
        }
    }
}

impl DaemonEntry {
    fn new(host: &str, demand: &DemandItem) -> Self {
        Self {
            host: host.into(),
            expires_us: 0,
            demand: demand.clone(),
            wanted_milli: [0; TIERS],
            grants: Vec::new(),
        }
    }

    fn granted(&self, now_us: u64) -> u32 {
        let unexpired = self.grants.iter().filter(|grant| grant.expires_us > now_us);
        unexpired.map(|grant| grant.slots).max().unwrap_or(0)
    }

    /// Returns the slots that the daemon occupies: running requests keep theirs even if the grant
    /// has become smaller.
    fn held(&self, now_us: u64) -> u32 {
        self.granted(now_us).max(self.demand.running_total())
    }

    /// Updates the demand from a report.
    ///
    /// The demand of the highest tier decays slowly. Otherwise a daemon would lose its slots in
    /// every short gap between urgent requests and lack them for the next one.
    fn update_demand(&mut self, demand: &DemandItem) {
        self.demand = demand.clone();
        for tier in 0..TIERS {
            let now = u32::from(demand.running[tier]) + u32::from(demand.waiting[tier]);
            let before = if tier == 0 {
                self.wanted_milli[tier]
            } else {
                0
            };
            let decay = (before / DECAY_DIVISOR).max(DECAY_MIN_MILLI);
            self.wanted_milli[tier] = (now * 1_000).max(before.saturating_sub(decay));
        }
    }

    fn wanted(&self, tier: usize) -> u32 {
        self.wanted_milli[tier].div_ceil(1_000)
    }
}
