use std::sync::Arc;

use crate::{Assignments, Budget, Demand, DemandItem, Grants, TIERS, subset::part};

/// Shortest pause between two reports.
const REPORT_MIN_US: u64 = 200_000;

/// Longest pause between two reports: one may be lost before a lease of 2 s ends.
const REPORT_MAX_US: u64 = 900_000;

/// Bytes of reports a second; the answers cost about as much, heartbeats have the rest of 4 KB/s.
const REPORT_BYTES_PER_S: u64 = 1_400;

/// Estimated bytes of a report with its envelope, and of each entry in it.
const REPORT_BYTES: u64 = 65;
const ITEM_BYTES: u64 = 14;

/// Keeps the shares of one daemon and reports its demand.
#[derive(Debug)]
pub struct Holder {
    host: Arc<str>,
    members: Vec<Member>,
    /// Names of the other upstreams, sorted.
    unused: Vec<Arc<str>>,
    /// Those of them that the dispatcher must not use any more.
    released: Vec<Arc<str>>,
    due_us: u64,
    turn: usize,
}

/// Upstream in use, or with requests from the time when it was; sorted by name in the holder.
#[derive(Debug)]
struct Member {
    upstream: Arc<str>,
    key: u32,
    home: Arc<str>,
    fallback: u32,
    used: bool,
    running: [u16; TIERS],
    grant: Option<Lease>,
    announced: Option<u32>,
}

#[derive(Debug)]
struct Lease {
    home: Arc<str>,
    epoch: u32,
    sequence: u32,
    slots: u32,
    expires_us: u64,
}

impl Holder {
    /// Creates the holder of a host.
    #[must_use]
    pub fn new(host: &str) -> Self {
        Self {
            host: host.into(),
            members: Vec::new(),
            unused: Vec::new(),
            released: Vec::new(),
            due_us: 0,
            turn: 0,
        }
    }

    /// Takes up the upstreams and live hosts; an unexpired grant survives a change of home.
    pub fn configure(&mut self, plan: &Assignments) {
        let mut old = std::mem::take(&mut self.members);
        let known = std::mem::take(&mut self.unused);
        for assignment in &plan.assignments {
            let budget = &assignment.budget;
            let users = &assignment.users;
            let rank = users.iter().position(|name| *name == self.host);
            let found = old.binary_search_by(|member| member.upstream.cmp(&budget.upstream));
            let mut member = match found {
                Ok(index) => std::mem::replace(&mut old[index], Member::new(budget)),
                Err(_) => Member::new(budget),
            };
            if let Some(rank) = rank {
                member.fallback = part(budget.slots, users.len(), rank);
            } else {
                self.unused.push(budget.upstream.clone());
                if known.binary_search(&budget.upstream).is_err() {
                    self.released.push(budget.upstream.clone());
                }
                member.grant = None;
                member.fallback = 0;
            }
            member.home = assignment.home.clone();
            member.used = rank.is_some();
            if member.used || member.running != [0; TIERS] {
                self.members.push(member);
            }
        }
    }

    /// Notes that a request started on an upstream.
    pub fn request_started(&mut self, upstream: &str, tier: u8) {
        if let Some(member) = self.member_mut(upstream) {
            let running = &mut member.running[usize::from(tier).min(TIERS - 1)];
            *running = running.saturating_add(1);
        }
    }

    /// Notes that a request ended on an upstream.
    pub fn request_ended(&mut self, upstream: &str, tier: u8) {
        if let Some(member) = self.member_mut(upstream) {
            let running = &mut member.running[usize::from(tier).min(TIERS - 1)];
            *running = running.saturating_sub(1);
        }
    }

    /// Returns whether this host uses an upstream.
    #[must_use]
    pub fn uses(&self, upstream: &str) -> bool {
        self.index(upstream)
            .is_some_and(|index| self.members[index].used)
    }

    /// Returns how many requests this host may run on an upstream.
    #[must_use]
    pub fn share(&self, now_us: u64, upstream: &str) -> u32 {
        self.index(upstream)
            .map_or(0, |index| self.members[index].share(now_us))
    }

    /// Returns the slots of an unexpired grant.
    #[must_use]
    pub fn granted(&self, now_us: u64, upstream: &str) -> Option<u32> {
        let index = self.index(upstream)?;
        self.members[index].granted(now_us)
    }

    /// Returns whether the next report is due.
    #[must_use]
    pub fn is_due(&self, now_us: u64) -> bool {
        now_us >= self.due_us
    }

    /// Returns one report for each home; `waiting` counts the queued requests by tier.
    ///
    /// Each waiting request is counted at one upstream, another one in each report.
    pub fn demand_reports(
        &mut self,
        now_us: u64,
        waiting: [u32; TIERS],
    ) -> Vec<(Arc<str>, Demand)> {
        self.turn = self.turn.wrapping_add(1);
        let used = self.members.iter().filter(|member| member.used).count();
        let mut reports: Vec<(Arc<str>, Demand)> = Vec::new();
        let members = self.members.iter().filter(|member| member.used);
        for (index, member) in members.enumerate() {
            let rank = (index + self.turn) % used;
            let lease = member.grant.as_ref();
            let lease = lease.filter(|lease| lease.home == member.home);
            let item = DemandItem {
                upstream: member.key,
                acked_sequence: lease.map_or(0, |lease| lease.sequence),
                running: member.running,
                waiting: waiting
                    .map(|count| u16::try_from(part(count, used, rank)).unwrap_or(u16::MAX)),
            };
            let epoch = lease.map_or(0, |lease| lease.epoch);
            let found = reports
                .iter_mut()
                .find(|(home, demand)| *home == member.home && demand.epoch == epoch);
            if let Some((_, demand)) = found {
                demand.items.push(item);
            } else {
                let demand = Demand {
                    sent_us: now_us,
                    epoch,
                    items: vec![item],
                };
                reports.push((member.home.clone(), demand));
            }
        }
        let bytes = REPORT_BYTES * reports.len() as u64 + ITEM_BYTES * used as u64;
        let pause_us = bytes * 1_000_000 / REPORT_BYTES_PER_S;
        self.due_us = now_us + pause_us.clamp(REPORT_MIN_US, REPORT_MAX_US);
        reports
    }

    /// Takes up an answer; one that is late, stale or from another host than the home is ignored.
    pub fn handle_grants(&mut self, now_us: u64, from: &str, grants: &Grants) {
        let expires_us = grants.sent_us + u64::from(grants.lease_ms) * 1_000;
        if grants.sent_us > now_us || expires_us <= now_us {
            return;
        }
        for item in &grants.items {
            let members = &mut self.members;
            let Some(member) = members
                .iter_mut()
                .find(|member| member.key == item.upstream)
            else {
                continue;
            };
            // A grant that the acknowledged one replaced must not come back: its slots may
            // belong to another daemon by now.
            let stale = member.grant.as_ref().is_some_and(|lease| {
                if *lease.home == *from && lease.epoch == grants.epoch {
                    lease.sequence >= item.sequence
                } else {
                    lease.expires_us > expires_us
                }
            });
            if stale || !member.used || *member.home != *from {
                continue;
            }
            member.grant = Some(Lease {
                home: member.home.clone(),
                epoch: grants.epoch,
                sequence: item.sequence,
                slots: u32::from(item.slots),
                expires_us,
            });
        }
    }

    /// Returns the shares that changed since the last call, for the dispatcher.
    pub fn take_changed_shares(&mut self, now_us: u64) -> Vec<(Arc<str>, u32)> {
        let released = self.released.drain(..);
        let mut changed: Vec<(Arc<str>, u32)> = released.map(|name| (name, 0)).collect();
        for member in &mut self.members {
            let share = member.share(now_us);
            if member.announced.replace(share) != Some(share) {
                changed.push((member.upstream.clone(), share));
            }
        }
        changed
    }

    fn index(&self, upstream: &str) -> Option<usize> {
        self.members
            .binary_search_by(|member| member.upstream.as_ref().cmp(upstream))
            .ok()
    }

    fn member_mut(&mut self, upstream: &str) -> Option<&mut Member> {
        let index = self.index(upstream)?;
        Some(&mut self.members[index])
    }
}

impl Member {
    fn new(budget: &Budget) -> Self {
        Self {
            upstream: budget.upstream.clone(),
            key: budget.key(),
            home: "".into(),
            fallback: 0,
            used: false,
            running: [0; TIERS],
            grant: None,
            announced: None,
        }
    }

    fn granted(&self, now_us: u64) -> Option<u32> {
        let lease = self.grant.as_ref()?;
        (lease.expires_us > now_us).then_some(lease.slots)
    }

    fn share(&self, now_us: u64) -> u32 {
        self.granted(now_us).unwrap_or(self.fallback)
    }
}
