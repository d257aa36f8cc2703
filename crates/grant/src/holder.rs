use std::sync::Arc;

use crate::{Assignments, Budget, Demand, DemandItem, Grants, TIERS, subset::even_share};

/// Shortest pause between two reports.
const REPORT_MIN_US: u64 = 200_000;

/// Longest pause between two reports: one may be lost without ending a lease of 2 s.
const REPORT_MAX_US: u64 = 900_000;

/// Bytes of reports per second. The answers cost about as much; membership has the rest of the
/// 4 KB/s of control traffic.
const REPORT_BYTES_PER_S: u64 = 1_400;

/// Estimated size of a report without its entries, with the headers of its datagram.
const REPORT_BYTES: u64 = 65;

/// Estimated size of an entry of a report.
const ITEM_BYTES: u64 = 14;

/// Client side of the grants: reports the demand of one daemon and keeps its shares.
///
/// A share is the number of requests that the daemon may run on an upstream at once.
#[derive(Debug)]
pub struct Holder {
    host: Arc<str>,
    entries: Vec<UpstreamEntry>,
    /// Names of the upstreams that this daemon does not use, sorted.
    unused: Vec<Arc<str>>,
    /// Names newly added to `unused`, whose share the dispatcher has to set to 0.
    released: Vec<Arc<str>>,
    next_report_us: u64,
    /// Number of reports; rotates the remainder of a division over the upstreams.
    rotation: usize,
}

/// Upstream that this daemon uses, or on which requests still run from when it did. Sorted by name
/// in the holder.
#[derive(Debug)]
struct UpstreamEntry {
    upstream: Arc<str>,
    key: u32,
    home: Arc<str>,
    /// Share without an unexpired grant.
    fallback_slots: u32,
    used: bool,
    /// Running requests by tier.
    running: [u16; TIERS],
    grant: Option<Lease>,
    /// Share last passed to the dispatcher.
    reported_share: Option<u32>,
}

/// Grant and its expiry.
#[derive(Debug)]
struct Lease {
    home: Arc<str>,
    epoch: u32,
    sequence: u32,
    slots: u32,
    expires_us: u64,
}

impl Holder {
    /// Creates the holder of the daemon on a host.
    #[must_use]
    pub fn new(host: &str) -> Self {
        Self {
            host: host.into(),
            entries: Vec::new(),
            unused: Vec::new(),
            released: Vec::new(),
            next_report_us: 0,
            rotation: 0,
        }
    }

    /// Applies new assignments; an unexpired grant survives a change of home.
    pub fn configure(&mut self, assignments: &Assignments) {
        let mut previous = std::mem::take(&mut self.entries);
        let previously_unused = std::mem::take(&mut self.unused);
        for assignment in &assignments.by_upstream {
            let budget = &assignment.budget;
            let users = &assignment.users;
            let rank = users.iter().position(|name| *name == self.host);
            let found = previous.binary_search_by(|entry| entry.upstream.cmp(&budget.upstream));
            let mut entry = match found {
                Ok(index) => std::mem::replace(&mut previous[index], UpstreamEntry::new(budget)),
                Err(_) => UpstreamEntry::new(budget),
            };
            if let Some(rank) = rank {
                entry.fallback_slots = even_share(budget.slots, users.len(), rank);
            } else {
                self.unused.push(budget.upstream.clone());
                if previously_unused.binary_search(&budget.upstream).is_err() {
                    self.released.push(budget.upstream.clone());
                }
                entry.grant = None;
                entry.fallback_slots = 0;
            }
            entry.home = assignment.home.clone();
            entry.used = rank.is_some();
            if entry.used || entry.running != [0; TIERS] {
                self.entries.push(entry);
            }
        }
    }

    /// Records that a request started on an upstream.
    pub fn request_started(&mut self, upstream: &str, tier: u8) {
        if let Some(entry) = self.entry_mut(upstream) {
            let running = &mut entry.running[usize::from(tier).min(TIERS - 1)];
            *running = running.saturating_add(1);
        }
    }

    /// Records that a request ended on an upstream.
    pub fn request_ended(&mut self, upstream: &str, tier: u8) {
        if let Some(entry) = self.entry_mut(upstream) {
            let running = &mut entry.running[usize::from(tier).min(TIERS - 1)];
            *running = running.saturating_sub(1);
        }
    }

    /// Returns whether this host uses an upstream.
    #[must_use]
    pub fn uses(&self, upstream: &str) -> bool {
        self.index(upstream)
            .is_some_and(|index| self.entries[index].used)
    }

    /// Returns how many requests this host may run on an upstream.
    #[must_use]
    pub fn share(&self, now_us: u64, upstream: &str) -> u32 {
        self.index(upstream)
            .map_or(0, |index| self.entries[index].share(now_us))
    }

    /// Returns the slots of an unexpired grant.
    #[must_use]
    pub fn granted(&self, now_us: u64, upstream: &str) -> Option<u32> {
        let index = self.index(upstream)?;
        self.entries[index].granted(now_us)
    }

    /// Returns whether the next report is due.
    #[must_use]
    pub fn is_due(&self, now_us: u64) -> bool {
        now_us >= self.next_report_us
    }

    /// Returns one report for each home, with the name of the home; `waiting` counts the queued
    /// requests by tier.
    ///
    /// Each waiting request is counted at only one upstream; which one rotates with every report.
    pub fn demand_reports(
        &mut self,
        now_us: u64,
        waiting: [u32; TIERS],
    ) -> Vec<(Arc<str>, Demand)> {
        self.rotation = self.rotation.wrapping_add(1);
        let used = self.entries.iter().filter(|entry| entry.used).count();
        let mut reports: Vec<(Arc<str>, Demand)> = Vec::new();
        let entries = self.entries.iter().filter(|entry| entry.used);
        for (index, entry) in entries.enumerate() {
            let rank = (index + self.rotation) % used;
            let lease = entry.grant.as_ref();
            let lease = lease.filter(|lease| lease.home == entry.home);
            let item = DemandItem {
                upstream: entry.key,
                acked_sequence: lease.map_or(0, |lease| lease.sequence),
                running: entry.running,
                waiting: waiting
                    .map(|count| u16::try_from(even_share(count, used, rank)).unwrap_or(u16::MAX)),
            };
            let epoch = lease.map_or(0, |lease| lease.epoch);
            let found = reports
                .iter_mut()
                .find(|(home, demand)| *home == entry.home && demand.epoch == epoch);
            if let Some((_, demand)) = found {
                demand.items.push(item);
            } else {
                let demand = Demand {
                    sent_us: now_us,
                    epoch,
                    items: vec![item],
                };
                reports.push((entry.home.clone(), demand));
            }
        }
        let bytes = REPORT_BYTES * reports.len() as u64 + ITEM_BYTES * used as u64;
        let pause_us = bytes * 1_000_000 / REPORT_BYTES_PER_S;
        self.next_report_us = now_us + pause_us.clamp(REPORT_MIN_US, REPORT_MAX_US);
        reports
    }

    /// Handles an answer; one that is late, stale or not from the home of the upstream is ignored.
    pub fn handle_grants(&mut self, now_us: u64, from: &str, grants: &Grants) {
        let expires_us = grants.sent_us + u64::from(grants.lease_ms) * 1_000;
        if grants.sent_us > now_us || expires_us <= now_us {
            return;
        }
        for item in &grants.items {
            let entries = &mut self.entries;
            let Some(entry) = entries.iter_mut().find(|entry| entry.key == item.upstream) else {
                continue;
            };
            // An older grant must not replace a newer one that was acknowledged: the home may have
            // granted the difference to another daemon since.
            let stale = entry.grant.as_ref().is_some_and(|lease| {
                if *lease.home == *from && lease.epoch == grants.epoch {
                    lease.sequence >= item.sequence
                } else {
                    lease.expires_us > expires_us
                }
            });
            if stale || !entry.used || *entry.home != *from {
                continue;
            }
            entry.grant = Some(Lease {
                home: entry.home.clone(),
                epoch: grants.epoch,
                sequence: item.sequence,
                slots: u32::from(item.slots),
                expires_us,
            });
        }
    }

    /// Returns the shares that changed since the last call, by upstream, for the dispatcher.
    pub fn take_changed_shares(&mut self, now_us: u64) -> Vec<(Arc<str>, u32)> {
        let released = self.released.drain(..);
        let mut changed: Vec<(Arc<str>, u32)> = released.map(|name| (name, 0)).collect();
        for entry in &mut self.entries {
            let share = entry.share(now_us);
            if entry.reported_share.replace(share) != Some(share) {
                changed.push((entry.upstream.clone(), share));
            }
        }
        changed
    }

    fn index(&self, upstream: &str) -> Option<usize> {
        self.entries
            .binary_search_by(|entry| entry.upstream.as_ref().cmp(upstream))
            .ok()
    }

    fn entry_mut(&mut self, upstream: &str) -> Option<&mut UpstreamEntry> {
        let index = self.index(upstream)?;
        Some(&mut self.entries[index])
    }
}

impl UpstreamEntry {
    fn new(budget: &Budget) -> Self {
        Self {
            upstream: budget.upstream.clone(),
            key: budget.key(),
            home: "".into(),
            fallback_slots: 0,
            used: false,
            running: [0; TIERS],
            grant: None,
            reported_share: None,
        }
    }

    fn granted(&self, now_us: u64) -> Option<u32> {
        let lease = self.grant.as_ref()?;
        (lease.expires_us > now_us).then_some(lease.slots)
    }

    fn share(&self, now_us: u64) -> u32 {
        self.granted(now_us).unwrap_or(self.fallback_slots)
    }
}
