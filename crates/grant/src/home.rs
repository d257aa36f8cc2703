use std::sync::Arc;

use crate::{Assignments, Demand, GrantItem, Grants, ledger::Ledger};

/// Duration of a grant.
///
/// Covers two reports at the longest interval and ten at the shortest, so a lost datagram does not
/// end a lease. The slots of a dead daemon are free again after 2 s.
pub const LEASE_US: u64 = 2_000_000;

/// Grants the slots of the upstreams whose home is this host.
///
/// The home of an upstream is the one live host that divides its slots among the daemons.
#[derive(Debug)]
pub struct Home {
    host: Arc<str>,
    epoch: u32,
    /// Sequence number of the last grant.
    sequence: u32,
    /// One ledger for each upstream, sorted by key.
    ledgers: Vec<Ledger>,
}

impl Home {
    /// Creates the home on a host; `epoch` must differ from the one before a restart.
    #[must_use]
    pub fn new(host: &str, epoch: u32) -> Self {
        Self {
            host: host.into(),
            epoch,
            sequence: 0,
            ledgers: Vec::new(),
        }
    }

    /// Applies new assignments; keeps the grants of upstreams whose home is still this host.
    pub fn configure(&mut self, assignments: &Assignments) {
        let mut previous = std::mem::take(&mut self.ledgers);
        for assignment in &assignments.by_upstream {
            if assignment.home != self.host {
                continue;
            }
            let known = previous.binary_search_by_key(&assignment.key, |ledger| ledger.key);
            let mut ledger = match known {
                Ok(index) => previous.remove(index),
                Err(_) => Ledger::new(assignment.budget.clone()),
            };
            ledger.configure(&assignment.budget, &assignment.users);
            self.ledgers.push(ledger);
        }
        self.ledgers.sort_by_key(|ledger| ledger.key);
    }

    /// Returns the name of this host.
    #[must_use]
    pub fn host(&self) -> &str {
        &self.host
    }

    /// Returns the sum of the unexpired grants of an upstream.
    #[must_use]
    pub fn granted(&self, now_us: u64, upstream: &str) -> u32 {
        let ledger = self
            .ledgers
            .iter()
            .find(|ledger| &*ledger.budget.upstream == upstream);
        ledger.map_or(0, |ledger| ledger.granted(now_us))
    }

    /// Answers the report of a daemon; upstreams with another home are omitted.
    pub fn handle_demand(&mut self, now_us: u64, from: &str, demand: &Demand) -> Grants {
        let mut items = Vec::with_capacity(demand.items.len());
        for item in &demand.items {
            let found = self
                .ledgers
                .binary_search_by_key(&item.upstream, |ledger| ledger.key);
            let Ok(index) = found else {
                continue;
            };
            self.sequence += 1;
            let acked_sequence = if demand.epoch == self.epoch {
                item.acked_sequence
            } else {
                0
            };
            let slots = self.ledgers[index].handle_demand(
                now_us,
                from,
                item,
                acked_sequence,
                self.sequence,
            );
            items.push(GrantItem {
                upstream: item.upstream,
                sequence: self.sequence,
                slots: u16::try_from(slots).unwrap_or(u16::MAX),
            });
        }
        Grants {
            sent_us: demand.sent_us,
            epoch: self.epoch,
            lease_ms: u32::try_from(LEASE_US / 1_000).unwrap_or(u32::MAX),
            items,
        }
    }
}
