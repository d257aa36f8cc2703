//! Upstreams that can't be reached: they get no work while others of their cohort can be.
//!
//! A failed connection says so at once. A single lost request doesn't, as its own prompt or
//! connection may be the cause; several that are lost at the same moment do. What other daemons
//! report counts too, for a bounded part of each cohort.

use health::Symptom;

use super::Pool;
use crate::{AttemptOutcome, member::Member};

/// Other daemons' evidence may take at most one member in this many out of service.
const DOUBTED_DIVISOR: usize = 3;

impl Pool {
    /// Returns whether this daemon's own failures say that an upstream can't be reached.
    #[must_use]
    pub fn is_unreachable(&self, now_us: u64, upstream: &str) -> bool {
        self.index(upstream)
            .is_some_and(|index| now_us < self.members[index].unreachable_until_us)
    }

    /// Records what a failed attempt says about the reachability of a member.
    pub(super) fn record_unreachable(
        &mut self,
        now_us: u64,
        index: usize,
        outcome: AttemptOutcome,
    ) {
        let member = &mut self.members[index];
        let lost_together =
            outcome == AttemptOutcome::Lost && self.losses.record(now_us, &member.name);
        if lost_together {
            let started_ms = member.settings.started_ms;
            self.outbox
                .record(now_us, member.id, started_ms, Symptom::Cut, 0);
        }
        if lost_together || outcome == AttemptOutcome::ConnectFailed {
            member.record_unreachable(now_us);
            self.update_down(now_us);
        }
    }

    /// Updates which members are out of service if the time or a failure has changed that.
    pub(super) fn update_down(&mut self, now_us: u64) {
        if !self.down_changes(now_us).is_empty() {
            self.recount(now_us);
        }
    }

    /// Takes the unreachable members out of service, unless that would leave a cohort without any;
    /// returns the indexes of those that changed.
    pub(super) fn mark_down(&mut self, now_us: u64) -> Vec<usize> {
        let changes = self.down_changes(now_us);
        for &index in &changes {
            let down_since_us = &mut self.members[index].down_since_us;
            *down_since_us = down_since_us.is_none().then_some(now_us);
        }
        changes
    }

    /// Returns the indexes of the members that have to go out of service or come back.
    fn down_changes(&self, now_us: u64) -> Vec<usize> {
        let mut cohorts = vec![Reachability::default(); self.cohorts.len()];
        for member in self.members.iter().filter(|member| could_serve(member)) {
            let cohort = &mut cohorts[member.cohort as usize];
            cohort.all += 1;
            if now_us >= member.unreachable_until_us {
                cohort.reachable += 1;
                if now_us < member.doubted_until_us {
                    cohort.doubts.push(doubt_of(member));
                }
            }
        }
        for cohort in &mut cohorts {
            cohort.bound_doubts();
        }
        let changed = self.members.iter().enumerate().filter(|(_, member)| {
            let cohort = &cohorts[member.cohort as usize];
            let is_down = if now_us < member.unreachable_until_us {
                cohort.reachable > 0
            } else {
                now_us < member.doubted_until_us && cohort.follows_doubt(doubt_of(member))
            };
            member.down_since_us.is_some() != is_down
        });
        changed.map(|(index, _)| index).collect()
    }
}

/// End of the doubt about a member, and its identifier.
type Doubt = (u64, u64);

/// Reachability of the members of one cohort.
#[derive(Debug, Clone, Default)]
struct Reachability {
    /// Members that would get work if they can be reached.
    all: usize,
    /// Those of them that this daemon itself has not failed to reach.
    reachable: usize,
    /// Doubts about reachable members, the latest first once they are bounded.
    doubts: Vec<Doubt>,
}

impl Reachability {
    /// Keeps the latest doubts, about a part of the members that leaves others in service.
    fn bound_doubts(&mut self) {
        let doubted_max = (self.all / DOUBTED_DIVISOR).max(1);
        self.doubts
            .sort_unstable_by_key(|&doubt| std::cmp::Reverse(doubt));
        let others = self.reachable.saturating_sub(1);
        self.doubts.truncate(doubted_max.min(others));
    }

    /// Returns whether a doubt is among those that were kept.
    fn follows_doubt(&self, doubt: Doubt) -> bool {
        self.doubts.last().is_some_and(|&last| doubt >= last)
    }
}

fn doubt_of(member: &Member) -> Doubt {
    (member.doubted_until_us, member.id)
}

/// Returns whether a member would get work if it can be reached.
fn could_serve(member: &Member) -> bool {
    member.may_accept_requests() && member.share != Some(0)
}
