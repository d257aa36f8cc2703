//! What upstreams say of themselves: that they are leaving, and that they want a pause.

use code::Code;
use queue::Item;
use route::KnownDeparture;
use settings::Upstream;

use crate::{Action, Dispatcher, JobId, Reason, entry::Entry};

impl Dispatcher {
    /// Gives no new work to the instance of an upstream, started at `started_ms`, that says itself
    /// that it is leaving.
    ///
    /// Returns whether that is new.
    pub fn set_instance_leaving(
        &mut self,
        now_us: u64,
        upstream: &str,
        started_ms: Option<u64>,
    ) -> bool {
        let is_new = self.pool.set_instance_leaving(now_us, upstream, started_ms);
        if is_new && let Some(member) = self.topology.member_mut(upstream) {
            member.live = false;
            self.topology.count_slots();
        }
        is_new
    }

    /// Gives no work for so long to the instance of an upstream, started at `started_ms`, that asks
    /// for a pause.
    ///
    /// Jobs that can't start before their deadline because of it are refused.
    pub fn pause_upstream(
        &mut self,
        now_us: u64,
        upstream: &str,
        started_ms: Option<u64>,
        pause_us: u64,
        actions: &mut Vec<Action>,
    ) {
        self.pool.pause(now_us, upstream, started_ms, pause_us);
        let lanes = (0..).zip(&self.topology.lanes);
        let paused_lanes: Vec<usize> = lanes
            .filter(|(_, lane)| self.pool.earliest_resume_us(&lane.target).is_some())
            .map(|(number, _)| number)
            .collect();
        if paused_lanes.is_empty() {
            return;
        }
        let queued = self.jobs.values().filter(|entry| {
            entry.running.is_none() && paused_lanes.binary_search(&entry.item.lane).is_ok()
        });
        let queued: Vec<JobId> = queued.map(Entry::id).collect();
        for id in queued {
            self.refuse_while_paused(now_us, id, actions);
        }
    }

    /// Returns whether requests may be sent to an upstream as it was listed when it was chosen for a
    /// job.
    #[must_use]
    pub fn accepts_attempt(&self, chosen: &Upstream) -> bool {
        self.pool.accepts_attempt(chosen)
    }

    /// Returns since when this daemon has known that the instance of an upstream which started at
    /// `started_ms` is leaving or gone, also if it accepts requests again.
    #[must_use]
    pub fn known_departure(
        &self,
        upstream: &str,
        started_ms: Option<u64>,
    ) -> Option<KnownDeparture> {
        self.pool.known_departure(upstream, started_ms)
    }

    /// Refuses a queued job if all of its upstreams have asked for pauses that end after its
    /// deadline; returns whether it did.
    pub(crate) fn refuse_while_paused(
        &mut self,
        now_us: u64,
        id: JobId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(entry) = self.jobs.get(&id).filter(|entry| entry.running.is_none()) else {
            return false;
        };
        let Some(earliest_resume_us) = self.pool.earliest_resume_us(&entry.job.target) else {
            return false;
        };
        if earliest_resume_us < entry.item.deadline_us {
            return false;
        }
        let retry_after_ms = self.retry_after_ms(now_us, &entry.item);
        let pause_us = earliest_resume_us.saturating_sub(now_us);
        let reason = Reason::UpstreamsPaused { pause_us };
        self.refuse(id, Code::NoUpstream, retry_after_ms, reason, actions);
        true
    }

    /// Returns the time until the first upstream of a job returns, if all have asked for a pause.
    pub(crate) fn resume_delay_ms(&self, now_us: u64, item: &Item) -> Option<u64> {
        let target = &self.topology.lanes[item.lane].target;
        let earliest_resume_us = self.pool.earliest_resume_us(target)?;
        Some(earliest_resume_us.saturating_sub(now_us).div_ceil(1_000))
    }
}
