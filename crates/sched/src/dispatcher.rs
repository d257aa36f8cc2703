//! The dispatcher and the events that it handles.

use std::collections::BTreeMap;

use code::{Code, Run};
use limit::{Allowance, Limits};
use quarantine::Quarantine;
use queue::{OutputLengths, Queue, TIERS};
use route::{
    AttemptOutcome, EngineDemand, LoadAnnouncement, LoadReport, Locality, PeerLoads, Pool,
    ReuseTotals, UpstreamStatus,
};
use settings::Config;

use crate::{
    Action, Job, JobId, Outcome, Reason, admission::candidate_of, answer_times::AnswerTimes,
    entry::Entry, held_retries::HeldRetry, preempt::URGENT_MARGIN_US, retry::attempt_outcome,
    running::Running, stop::Stop, topology::Topology,
};

/// Default bound on waiting jobs that have not run, whose request bodies are held in memory.
const QUEUE_MAX: usize = 10_000;

/// Interval at which all lanes are tried again although no slot became free.
///
/// This finds upstreams that the pool reinstated. A recheck costs up to one choice of an upstream
/// for each lane and tier. While jobs wait and an upstream that rejected work is assumed to
/// regain room, every tick rechecks.
const RECHECK_INTERVAL_US: u64 = 100_000;

/// Decides when and where each job runs.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) jobs: BTreeMap<JobId, Entry>,
    pub(crate) queue: Queue,
    pub(crate) queue_max: usize,
    pub(crate) lengths: OutputLengths,
    pub(crate) answer_times: AnswerTimes,
    pub(crate) limits: Limits,
    pub(crate) pool: Pool,
    pub(crate) quarantine: Quarantine,
    pub(crate) topology: Topology,
    pub(crate) stop: Option<Stop>,
    /// Retries that wait for the budget.
    pub(crate) held_retries: Vec<HeldRetry>,
    /// Number of jobs that have arrived, from which each gets its place in the order of arrival.
    arrivals: u64,
    /// Time of the next recheck of all lanes.
    next_recheck_us: u64,
}

impl Dispatcher {
    /// Creates the dispatcher of a daemon at `locality`, from which distances to upstreams count.
    #[must_use]
    pub fn new(locality: Locality) -> Self {
        Self {
            pool: Pool::new(locality),
            ..Self::default()
        }
    }

    /// Sets the name of the daemon among those that share evidence about prompts.
    #[must_use]
    pub fn with_name(mut self, name: &str) -> Self {
        self.quarantine = Quarantine::new(name);
        self
    }

    /// Sets the seed that breaks ties between upstreams; it should differ between daemons.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.pool = std::mem::take(&mut self.pool).with_seed(seed);
        self
    }

    /// Sets the limit on the bytes per second that are sent to upstreams in other regions.
    #[must_use]
    pub fn with_link_budget(mut self, bytes_per_s: u64) -> Self {
        self.pool.set_link_budget(bytes_per_s);
        self
    }

    /// Sets the bound on waiting jobs that have not run.
    #[must_use]
    pub const fn with_queue_max(mut self, queue_max: usize) -> Self {
        self.queue_max = queue_max;
        self
    }

    /// Applies a configuration and starts the queued jobs that can run under it.
    pub fn configure(&mut self, now_us: u64, config: &Config, actions: &mut Vec<Action>) {
        self.pool.configure(now_us, config);
        let accounts = config.accounts.iter();
        self.queue.set_weights(
            accounts
                .clone()
                .map(|account| (&*account.name, account.weight)),
        );
        let allowances = accounts.map(|account| {
            let allowance = Allowance {
                requests_per_s: account.requests_per_s,
                requests_in_flight: account.requests_in_flight,
                tokens_in_flight: account.tokens_in_flight,
            };
            (&*account.name, allowance)
        });
        self.limits.configure(now_us, allowances);
        self.topology.configure(config);
        let running = self.jobs.values().filter(|entry| entry.running.is_some());
        let running: Vec<JobId> = running.map(Entry::id).collect();
        for id in running {
            self.restore_reserved_slot(id);
            self.add_to_index(id);
        }
        self.dispatch_all(now_us, actions);
    }

    /// Sets the number of live daemons, which divide the limits of client accounts among them.
    ///
    /// 0 says that no peer can be reached, and keeps the last share.
    pub fn set_live_daemons(&mut self, now_us: u64, live_daemons: u32) {
        self.limits.set_live_daemons(now_us, live_daemons);
        if live_daemons > 0 {
            self.pool.set_live_daemons(live_daemons);
        }
    }

    /// Sets how many jobs this daemon may run on an upstream; `None` lifts the limit.
    pub fn set_share(
        &mut self,
        now_us: u64,
        upstream: &str,
        slots: Option<u32>,
        actions: &mut Vec<Action>,
    ) {
        self.pool.set_share(upstream, slots);
        if let Some(member) = self.topology.member_mut(upstream) {
            member.share = slots;
        }
        self.topology.count_slots();
        self.preempt_above_share(now_us, upstream, actions);
        if let Some(group) = self.topology.clear_full(upstream) {
            self.dispatch(now_us, group, actions);
        }
    }

    /// Marks an upstream as leaving: it gets no new work.
    pub fn set_leaving(&mut self, upstream: &str) {
        self.pool.set_leaving(upstream);
        if let Some(member) = self.topology.member_mut(upstream) {
            member.live = false;
        }
        self.topology.count_slots();
    }

    /// Adds a new job, which is started, queued or refused.
    pub fn submit(&mut self, now_us: u64, job: Job, actions: &mut Vec<Action>) {
        let id = job.id;
        if self.refuse_deadly(now_us, &job, actions) {
            return;
        }
        let lane = self.topology.lane_of(&job.target);
        self.arrivals += 1;
        let entry = Entry::new(now_us, job, lane, self.arrivals, &self.lengths);
        let (account, tokens) = (&entry.job.account, entry.limit_tokens);
        if self.refuse_over_limit(now_us, id, &account.clone(), tokens, actions) {
            return;
        }
        self.queue.push(&entry.item);
        let tier = entry.tier();
        self.jobs.insert(id, entry);
        if self.topology.lanes[lane].full[tier] != 0 && self.can_preempt(id) {
            self.topology.lanes[lane].full[tier] = 0;
        }
        self.dispatch(now_us, self.topology.lanes[lane].group, actions);
        if !self.is_queued(id)
            || self.refuse_at_stop(now_us, id, actions)
            || self.refuse_while_paused(now_us, id, actions)
            || self.enforce_queue_bound(now_us, id, actions)
        {
            return;
        }
        let item = &self.jobs[&id].item;
        let ahead = self.queue.cost_ahead(item);
        let ahead_tokens = ahead.saturating_add(self.queue.cost_of_higher_tiers(item));
        if !self.refuse_unreachable(now_us, id, ahead, actions) {
            let reason = Reason::NoFreeSlot { ahead_tokens };
            actions.push(Action::Queued { id, reason });
        }
    }

    /// Records the first token of an attempt.
    pub fn record_first_token(&mut self, now_us: u64, id: JobId, actions: &mut Vec<Action>) {
        self.record_tokens(now_us, id, 1, actions);
    }

    /// Records further tokens of an attempt.
    pub fn record_tokens(&mut self, now_us: u64, id: JobId, count: u32, actions: &mut Vec<Action>) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(running) = entry.running.as_mut() else {
            // Generated before the cancellation reached the upstream; the caller has received them.
            entry.tokens = entry.tokens.saturating_add(count);
            entry.run = Run::Yes;
            return;
        };
        entry.run = Run::Yes;
        running.begun_us.get_or_insert(now_us);
        let elapsed_us = now_us.saturating_sub(running.last_token_us);
        let first = running.tokens == 0;
        running.last_token_us = now_us;
        running.tokens = running.tokens.saturating_add(count);
        let work_tokens = running.work_tokens;
        if first {
            self.pool
                .record_first_token(now_us, &running.upstream, elapsed_us, work_tokens);
            self.pool
                .record_prompt_read(now_us, &running.upstream, id.0);
        } else {
            self.pool
                .record_tokens(now_us, &running.upstream, elapsed_us, count);
        }
        let (level, long) = (entry.progress_level(), entry.is_long());
        let tokens = entry.tokens.saturating_add(count);
        if u32::BITS - tokens.leading_zeros() == level {
            entry.tokens = tokens;
            return;
        }
        self.remove_from_index(id);
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        entry.tokens = tokens;
        let became_long = !long && entry.is_long();
        let lane = entry.item.lane;
        self.add_to_index(id);
        if became_long {
            // Short jobs that found no slot may now preempt this one.
            self.topology.lanes[lane].full = [0; TIERS];
            self.dispatch(now_us, self.topology.lanes[lane].group, actions);
        }
    }

    /// Records an event of a stream after the first one, which [`Self::record_first_token`] records.
    ///
    /// Unlike a token it doesn't change what may be preempted or how long answers are expected to
    /// be.
    pub fn record_event(&mut self, now_us: u64, id: JobId) {
        let entry = self.jobs.get_mut(&id);
        let Some(running) = entry.and_then(|entry| entry.running.as_mut()) else {
            return;
        };
        let elapsed_us = now_us.saturating_sub(running.last_token_us);
        running.last_token_us = now_us;
        running.events = running.events.saturating_add(1);
        self.pool
            .record_event(now_us, &running.upstream, elapsed_us);
        self.record_progress(now_us, id);
    }

    /// Records the end of a job's current attempt, and retries or refuses a job that failed.
    pub fn finish(&mut self, now_us: u64, id: JobId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let (lane, class, tokens) = (entry.item.lane, entry.job.class.clone(), entry.tokens);
        let output_tokens_max = entry.job.max_tokens;
        let ended = self.end_attempt(now_us, id, attempt_outcome(outcome));
        if let Some(running) = &ended {
            self.record_evidence(now_us, id, running, outcome);
        }
        if outcome == Outcome::Complete {
            // A complete answer counts even if the attempt was cancelled in the meantime.
            self.lengths.observe(&class, lane, tokens);
            if let Some(running) = &ended {
                let answer_us = now_us.saturating_sub(running.started_us);
                self.answer_times.observe(&class, answer_us);
                let events = running.events.saturating_add(1);
                self.pool
                    .record_answer(&running.upstream, events, output_tokens_max);
            }
            self.remove_job(id);
        } else if let Some(running) = ended {
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.avoid = Some(running.upstream.clone());
            }
            let suspect = self.held_request(id);
            self.retry_or_refuse(now_us, id, &running.upstream, outcome, actions);
            if suspect {
                // Repeats of the same request may wait for the slots that are free now.
                self.refuse_quarantined(now_us, actions);
            }
        }
        self.dispatch(now_us, self.topology.lanes[lane].group, actions);
        if self.is_queued(id) {
            let reason = Reason::AttemptFailed;
            actions.push(Action::Queued { id, reason });
        }
    }

    /// Removes a job whose caller has disconnected.
    pub fn cancel(&mut self, now_us: u64, id: JobId, actions: &mut Vec<Action>) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let (lane, class, tokens) = (entry.item.lane, entry.job.class.clone(), entry.tokens);
        self.end_attempt(now_us, id, AttemptOutcome::Cancelled);
        self.lengths.observe_at_least(&class, lane, tokens);
        self.remove_job(id);
        self.dispatch(now_us, self.topology.lanes[lane].group, actions);
    }

    /// Records a load report of an upstream.
    pub fn report_load(
        &mut self,
        now_us: u64,
        upstream: &str,
        load: &LoadReport,
        _actions: &mut Vec<Action>,
    ) {
        self.pool.report_load(now_us, upstream, load);
    }

    /// Starts jobs that find a slot and refuses those whose deadline has passed; runs periodically.
    pub fn tick(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        if now_us >= self.next_recheck_us || self.has_queued() && self.pool.is_recovering() {
            self.next_recheck_us = now_us + RECHECK_INTERVAL_US;
            self.topology.clear_all_full();
        }
        self.release_held_retries(now_us, actions);
        self.dispatch_all(now_us, actions);
        self.refuse_queued_at_stop(now_us, actions);
        let due = self.queue.due(now_us.saturating_add(URGENT_MARGIN_US));
        let due: Vec<JobId> = due.map(|(_, id)| JobId(id)).collect();
        for id in due {
            if !self.is_queued(id) {
                continue;
            }
            let item = &self.jobs[&id].item;
            let (candidate, passed) = (candidate_of(item), item.deadline_us <= now_us);
            if item.deadline_us >= now_us
                && self.start_by_preempting_reserved(now_us, candidate, actions)
            {
                continue;
            }
            if passed {
                let retry_after_ms = self.retry_after_ms(now_us, &self.jobs[&id].item);
                let code = Code::DeadlinePassed;
                self.refuse(id, code, retry_after_ms, Reason::DeadlinePassed, actions);
            }
        }
    }

    /// Returns the number of waiting jobs of a tier, for an upstream or for the retry budget.
    #[must_use]
    pub fn queued(&self, tier: u8) -> usize {
        let tier = usize::from(tier).min(TIERS - 1);
        self.queue.len(tier) + self.held_retries(tier)
    }

    /// Returns the age of the oldest waiting job of each tier; iterates over all jobs.
    #[must_use]
    pub fn oldest_waits_us(&self, now_us: u64) -> [u64; TIERS] {
        let mut oldest_us = [0; TIERS];
        for entry in self.jobs.values().filter(|entry| entry.running.is_none()) {
            let wait_us = now_us.saturating_sub(entry.arrived_us());
            let oldest_us = &mut oldest_us[entry.tier()];
            *oldest_us = wait_us.max(*oldest_us);
        }
        oldest_us
    }

    /// Returns whether any job waits, for an upstream or for the retry budget.
    #[must_use]
    pub fn has_queued(&self) -> bool {
        (0..TIERS).any(|tier| self.queue.len(tier) > 0) || self.has_held_retries()
    }

    /// Returns the number of queued and running jobs.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.jobs.len()
    }

    /// Returns sums about the reuse of shared prompt parts.
    #[must_use]
    pub const fn reuse_totals(&self) -> ReuseTotals {
        self.pool.reuse_totals()
    }

    /// Returns what this daemon tells others about its work on engines.
    #[must_use]
    pub fn load_announcement(&self, now_us: u64) -> LoadAnnouncement {
        self.pool.load_announcement(now_us)
    }

    /// Returns the load of all daemons on the engines that provide a service.
    #[must_use]
    pub fn engine_demand(&self, service: &str) -> Option<EngineDemand> {
        self.pool.engine_demand(service)
    }

    /// Applies what all other daemons announced about their work on engines.
    pub fn apply_peer_loads(&mut self, now_us: u64, peer_loads: &PeerLoads) {
        self.pool.apply_peer_loads(now_us, peer_loads);
    }

    /// Returns this daemon's health assessment and weight of each upstream.
    #[must_use]
    pub fn upstream_statuses(&self) -> Vec<UpstreamStatus> {
        self.pool.statuses()
    }

    pub(crate) fn is_queued(&self, id: JobId) -> bool {
        self.jobs
            .get(&id)
            .is_some_and(|entry| entry.running.is_none())
    }

    pub(crate) fn running(&self, id: JobId) -> Option<(&Entry, &Running)> {
        let entry = self.jobs.get(&id)?;
        Some((entry, entry.running.as_ref()?))
    }

    /// Ends a running attempt: frees its slot and records its service.
    pub(crate) fn end_attempt(
        &mut self,
        now_us: u64,
        id: JobId,
        outcome: AttemptOutcome,
    ) -> Option<Running> {
        self.remove_from_index(id);
        let entry = self.jobs.get_mut(&id)?;
        let running = entry.running.take()?;
        let upstream = &running.upstream;
        self.pool.prompt_ended(upstream, id.0, outcome);
        if running.tokens > 0 {
            self.pool.end_after_first_token(now_us, upstream, outcome);
        } else {
            let elapsed_us = now_us.saturating_sub(running.started_us);
            self.pool
                .end_before_first_token(now_us, upstream, outcome, elapsed_us);
        }
        self.topology.clear_full_for_freed_slot(&running.upstream);
        let cost = entry.cost_of(running.tokens);
        self.queue.adjust_charge(&entry.item, cost);
        let lane = &mut self.topology.lanes[entry.item.lane];
        lane.running = lane.running.saturating_sub(1);
        if matches!(outcome, AttemptOutcome::Complete) || running.tokens > 0 {
            lane.record_service(now_us.saturating_sub(running.started_us), cost);
        }
        if running.reserved {
            let group = &mut self.topology.groups[lane.group];
            group.reserve.ended(entry.tier());
        }
        Some(running)
    }

    /// Queues a job again, with its original place in the order of arrival.
    pub(crate) fn requeue(&mut self, now_us: u64, id: JobId) {
        self.prepare_retry(now_us, id);
        if let Some(entry) = self.jobs.get(&id) {
            self.queue.push(&entry.item);
        }
    }

    /// Updates the queue's item of a job that will be queued again.
    pub(crate) fn prepare_retry(&mut self, now_us: u64, id: JobId) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        entry.refresh_item();
        if entry.run != Run::No {
            // The first start met the deadline; the retry may wait for as long again.
            let deadline_us = now_us.saturating_add(entry.max_wait_us);
            entry.item.deadline_us = entry.item.deadline_us.max(deadline_us);
        }
    }

    /// Refuses a queued job and removes it.
    pub(crate) fn refuse(
        &mut self,
        id: JobId,
        code: Code,
        retry_after_ms: u64,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let code = entry.consistent_code(code);
        actions.push(Action::Refuse {
            id,
            code,
            retry_after_ms,
            reason,
        });
        self.remove_job(id);
    }

    /// Removes a job and releases its share of the account limits.
    fn remove_job(&mut self, id: JobId) {
        if let Some(entry) = self.jobs.remove(&id) {
            self.queue.remove(&entry.item);
            self.limits.release(&entry.job.account, entry.limit_tokens);
        }
    }

    /// Counts the reserved slot of a running job again after the groups were rebuilt.
    fn restore_reserved_slot(&mut self, id: JobId) {
        let Some((entry, running)) = self.running(id) else {
            return;
        };
        let (reserved, tier, lane) = (running.reserved, entry.tier(), entry.item.lane);
        if reserved {
            let group = self.topology.lanes[lane].group;
            self.topology.groups[group].reserve.add_held(tier);
        }
    }
}

impl Default for Dispatcher {
    fn default() -> Self {
        Self {
            jobs: BTreeMap::new(),
            queue: Queue::default(),
            queue_max: QUEUE_MAX,
            lengths: OutputLengths::default(),
            answer_times: AnswerTimes::default(),
            limits: Limits::default(),
            pool: Pool::default(),
            quarantine: Quarantine::default(),
            topology: Topology::default(),
            stop: None,
            held_retries: Vec::new(),
            arrivals: 0,
            next_recheck_us: 0,
        }
    }
}
