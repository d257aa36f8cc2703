//! What upstreams say of themselves: that they are leaving, and that they want a pause.

use settings::Upstream;

use super::Pool;
use crate::{DepartureSource, KnownDeparture, Target, candidate_tree::CandidateTree};

/// Longest pause that an upstream is granted, so that one bad answer costs minutes, not a day.
pub const PAUSE_MAX_US: u64 = 300_000_000;

impl Pool {
    /// Marks an upstream that says itself that it is leaving: the instance that started at
    /// `started_ms` gets no new work, whatever the lists say of it.
    ///
    /// Returns whether that is new.
    pub fn set_instance_leaving(
        &mut self,
        now_us: u64,
        upstream: &str,
        started_ms: Option<u64>,
    ) -> bool {
        let now_us = self.advance(now_us);
        let found = self.index(upstream);
        if found.is_some_and(|index| self.members[index].settings.started_ms != started_ms) {
            return false;
        }
        let name = found.map_or_else(|| upstream.into(), |index| self.members[index].name.clone());
        self.departures
            .insert_instance(now_us, &name, self.version, started_ms);
        self.known_departures
            .insert(now_us, &name, started_ms, DepartureSource::Answer);
        let Some(index) = found else {
            return true;
        };
        let is_new = !std::mem::replace(&mut self.members[index].leaving, true);
        self.recount(now_us);
        self.update_key(now_us, index);
        is_new
    }

    /// Gives an upstream that asks for a pause no work for so long, [`PAUSE_MAX_US`] at most.
    ///
    /// Only the instance that started at `started_ms` is meant, which asked for it.
    pub fn pause(&mut self, now_us: u64, upstream: &str, started_ms: Option<u64>, pause_us: u64) {
        let now_us = self.advance(now_us);
        let found = self.index(upstream);
        if found.is_some_and(|index| self.members[index].settings.started_ms != started_ms) {
            return;
        }
        let name = found.map_or_else(|| upstream.into(), |index| self.members[index].name.clone());
        let until_us = now_us.saturating_add(pause_us.min(PAUSE_MAX_US));
        let until_us = self.pauses.insert(&name, started_ms, until_us);
        if let Some(index) = found {
            self.members[index].pause(until_us);
            self.recount(now_us);
            self.update_key(now_us, index);
        }
    }

    /// Returns whether requests may be sent to an upstream; one that is gone accepts none.
    #[must_use]
    pub fn accepts_requests(&self, upstream: &str) -> bool {
        self.index(upstream)
            .is_some_and(|index| self.members[index].accepts_requests())
    }

    /// Returns whether a request may be sent to an upstream as it was listed when it was chosen: the
    /// same instance at the same address.
    #[must_use]
    pub fn accepts_attempt(&self, chosen: &Upstream) -> bool {
        let found = self.index(&chosen.name);
        let is_same = found.is_some_and(|index| {
            let listed = &self.members[index].settings;
            listed.started_ms == chosen.started_ms && listed.address == chosen.address
        });
        is_same && self.accepts_requests(&chosen.name)
    }

    /// Returns since when this daemon has known that the instance of an upstream which started at
    /// `started_ms` is leaving or gone, also if it accepts requests again.
    #[must_use]
    pub fn known_departure(
        &self,
        upstream: &str,
        started_ms: Option<u64>,
    ) -> Option<KnownDeparture> {
        self.known_departures.get(upstream, started_ms)
    }

    /// Returns when the first of the upstreams of a target returns, if all of them that are live
    /// have asked for a pause.
    #[must_use]
    pub fn earliest_resume_us(&self, target: &Target) -> Option<u64> {
        let trees = self.groups[self.group(target)?].trees.iter();
        let members = trees.flat_map(CandidateTree::members);
        let live = members.map(|&index| &self.members[index as usize]);
        let live = live.filter(|member| member.is_live());
        // An upstream without a pause sorts before all others.
        live.map(|member| member.paused_until_us).min().flatten()
    }

    /// Gives work again to the upstreams whose pause is over.
    pub(super) fn end_pauses(&mut self, now_us: u64) {
        let mut has_ended = false;
        for member in &mut self.members {
            has_ended |= member.end_pause(now_us);
        }
        if has_ended {
            self.recount(now_us);
        }
    }
}
