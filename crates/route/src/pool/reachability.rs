//! Upstreams that can't be reached: they get no work while others of their cohort can be.
//!
//! A failed connection says so at once. A single lost request doesn't, as its own prompt or
//! connection may be the cause; several that are lost at the same moment do.

use super::Pool;
use crate::{AttemptOutcome, member::Member};

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
        let is_unreachable = |member: &Member| now_us < member.unreachable_until_us;
        let mut in_service = vec![false; self.cohorts.len()];
        for member in self.members.iter().filter(|member| could_serve(member)) {
            in_service[member.cohort as usize] |= !is_unreachable(member);
        }
        let changed = self.members.iter().enumerate().filter(|(_, member)| {
            member.down_since_us.is_some()
                != (is_unreachable(member) && in_service[member.cohort as usize])
        });
        changed.map(|(index, _)| index).collect()
    }
}

/// Returns whether a member would get work if it can be reached.
fn could_serve(member: &Member) -> bool {
    member.may_accept_requests() && member.share != Some(0)
}
