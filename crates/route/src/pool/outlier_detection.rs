//! Outlier detection: records observations of upstreams, and ejects and reinstates them.

use super::Pool;
use crate::{AttemptOutcome, LoadReport, member::FIRST_TOKEN_WEIGHT};

/// Slow-down relative to the median of the peers above which an upstream is ejected.
pub(super) const EJECT_SLOWDOWN: f64 = 2.5;

/// Slow-down below which an ejected upstream is reinstated.
const REINSTATE_SLOWDOWN: f64 = 1.5;

/// Time between probes of an ejected upstream.
pub(super) const PROBE_INTERVAL_US: u64 = 1_000_000;

/// Interval between refreshes of medians, decays and overdue first tokens. A refresh takes 165 to
/// 280 us with 2,300 upstreams: at most 0.14% of a core at this interval.
const REFRESH_US: u64 = 200_000;

/// Smallest relative change of the slow-down that updates the candidate trees.
const SLOWDOWN_STEP: f64 = 0.05;

impl Pool {
    /// Records the first token of an attempt, `elapsed_us` after it was sent.
    #[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
    pub fn record_first_token(
        &mut self,
        now_us: u64,
        upstream: &str,
        elapsed_us: u64,
        prompt_tokens: u32,
    ) {
        let now_us = self.advance(now_us);
        self.refresh_if_due(now_us);
        let Some(index) = self.index(upstream) else {
            return;
        };
        let member = &mut self.members[index];
        let cohort = &mut self.cohorts[member.cohort as usize];
        let sent_us = now_us.saturating_sub(elapsed_us);
        let pending = member.take_pending(sent_us);
        let elapsed_us = elapsed_us as f64;
        let expected_us = cohort.first_token.predict(f64::from(prompt_tokens));
        cohort
            .first_token
            .observe(f64::from(prompt_tokens), elapsed_us);
        if let Some(uncertainty) = pending.and_then(|pending| pending.uncertainty) {
            let kept_share = uncertainty.kept_share(elapsed_us);
            self.reuse_totals.judged += 1;
            self.reuse_totals.expected_hits += uncertainty.expected_share();
            self.reuse_totals.misses += u64::from(kept_share < 0.5);
        }
        cohort.has_first_token = true;
        let ratio = elapsed_us / expected_us;
        member
            .first_token
            .observe(now_us, ratio, FIRST_TOKEN_WEIGHT);
        member.record_first_token(now_us, sent_us);
        self.record_alive(now_us, index);
        self.update_ejection(now_us, index);
    }

    /// Records `count` further tokens of one answer over `elapsed_us`.
    #[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
    pub fn record_tokens(&mut self, now_us: u64, upstream: &str, elapsed_us: u64, count: u32) {
        let now_us = self.advance(now_us);
        self.refresh_if_due(now_us);
        let Some(index) = self.index(upstream).filter(|_| count > 0) else {
            return;
        };
        let member = &mut self.members[index];
        let cohort = &mut self.cohorts[member.cohort as usize];
        let batch = f64::from(member.outstanding) + member.peer_jobs(now_us);
        let gap_us = elapsed_us as f64 / f64::from(count);
        let expected_us = cohort.gap.predict(batch);
        cohort.gap.observe(batch, gap_us);
        member
            .gap
            .observe(now_us, gap_us / expected_us, f64::from(count));
        self.record_alive(now_us, index);
        self.update_ejection(now_us, index);
    }

    /// Records an event of a stream, `elapsed_us` after the event before.
    #[expect(clippy::cast_precision_loss, reason = "intervals are far below 2^52")]
    pub fn record_event(&mut self, now_us: u64, upstream: &str, elapsed_us: u64) {
        let now_us = self.advance(now_us);
        let Some(index) = self.index(upstream) else {
            return;
        };
        let member = &mut self.members[index];
        let cohort = &mut self.cohorts[member.cohort as usize];
        let token_us = cohort.token_us();
        let work = member.engine.work(now_us, token_us);
        let since_us = now_us.saturating_sub(elapsed_us);
        let prefill_us = if member.engine.had_unread(since_us) {
            (work.all_tokens() * token_us).max(1.0)
        } else {
            0.0
        };
        cohort
            .steps
            .observe(work.all_running(), prefill_us, elapsed_us as f64);
        self.record_alive(now_us, index);
    }

    /// Records the number of events of a complete answer.
    pub fn record_answer(&mut self, upstream: &str, events: u32, output_tokens_max: u32) {
        if let Some(index) = self.index(upstream) {
            let cohort = &mut self.cohorts[self.members[index].cohort as usize];
            cohort.observe_events(events, output_tokens_max);
        }
    }

    /// Records the end of an attempt and frees its slot.
    ///
    /// An attempt that didn't complete is assumed to have had no first token. Callers that know
    /// better use [`Self::end_before_first_token`] or [`Self::end_after_first_token`], which keep
    /// the record of overdue first tokens exact.
    pub fn end(&mut self, now_us: u64, upstream: &str, outcome: AttemptOutcome) {
        if outcome != AttemptOutcome::Complete
            && let Some(index) = self.index(upstream)
            && !self.members[index].pending.is_empty()
        {
            self.members[index].pending.remove(0);
        }
        self.end_after_first_token(now_us, upstream, outcome);
    }

    /// Records the end of an attempt, sent `elapsed_us` ago, before its first token.
    ///
    /// If a cancelled or lost attempt waited for longer than expected, that counts against the
    /// upstream.
    pub fn end_before_first_token(
        &mut self,
        now_us: u64,
        upstream: &str,
        outcome: AttemptOutcome,
        elapsed_us: u64,
    ) {
        let now_us = self.advance(now_us);
        if let Some(index) = self.index(upstream) {
            let member = &mut self.members[index];
            let pending = member.take_pending(now_us.saturating_sub(elapsed_us));
            let waited = pending.map_or(0.0, |pending| pending.waited(now_us));
            let relevant = matches!(outcome, AttemptOutcome::Cancelled | AttemptOutcome::Lost);
            let known = self.cohorts[member.cohort as usize].has_first_token;
            if known && relevant && waited > 1.0 {
                member
                    .first_token
                    .observe(now_us, waited, FIRST_TOKEN_WEIGHT);
            }
        }
        self.end_after_first_token(now_us, upstream, outcome);
    }

    /// Records the end of an attempt whose first token was recorded, and frees its slot.
    pub fn end_after_first_token(&mut self, now_us: u64, upstream: &str, outcome: AttemptOutcome) {
        let now_us = self.advance(now_us);
        let Some(index) = self.index(upstream) else {
            return;
        };
        let member = &mut self.members[index];
        member.free_slot();
        member.tried_us = now_us;
        let running = member.outstanding;
        let surplus = member.pending.len().saturating_sub(running as usize);
        member.pending.drain(..surplus);
        match outcome {
            AttemptOutcome::Complete => member.record_complete(now_us),
            AttemptOutcome::Cancelled => {}
            AttemptOutcome::ConnectFailed | AttemptOutcome::Lost => {
                member.record_failure(now_us);
                self.record_unreachable(now_us, index, outcome);
            }
            AttemptOutcome::Rejected => member.record_rejection(now_us, running),
            AttemptOutcome::Failed => member.record_error(now_us),
        }
        if outcome.is_answer() {
            self.record_alive(now_us, index);
        }
        self.update_ejection(now_us, index);
        self.update_key(now_us, index);
    }

    /// Records a load report, which lags behind the actual load.
    pub fn report_load(&mut self, now_us: u64, upstream: &str, load: &LoadReport) {
        let now_us = self.advance(now_us);
        if let Some(index) = self.index(upstream) {
            self.members[index].record_load_report(now_us, load);
            self.update_key(now_us, index);
        }
    }

    /// Records that an upstream cached or evicted a prefix; these events may be late or incomplete.
    pub fn cache_event(&mut self, now_us: u64, upstream: &str, prefix_hash: u64, added: bool) {
        let now_us = self.advance(now_us);
        let Some(index) = self.index(upstream) else {
            return;
        };
        let id = self.members[index].id;
        if added {
            self.prefixes.insert(now_us, prefix_hash, id);
        } else {
            self.prefixes.remove(prefix_hash, id);
        }
    }

    /// Updates medians, decays and ejections if the refresh interval has passed.
    pub(super) fn refresh_if_due(&mut self, now_us: u64) {
        if now_us >= self.refresh_due_us {
            self.refresh(now_us);
        }
    }

    /// Updates medians, decays and ejections now.
    pub(super) fn refresh(&mut self, now_us: u64) {
        self.refresh_due_us = now_us.saturating_add(REFRESH_US);
        self.update_medians(now_us);
        self.update_partitions(now_us);
        self.end_pauses(now_us);
        self.update_down(now_us);
        for index in 0..self.members.len() {
            self.members[index].recover_capacity(now_us);
            self.members[index].age_jitter();
            self.update_ejection(now_us, index);
            self.update_key(now_us, index);
        }
    }

    /// Takes unreachable members out of service, counts usable and ejected ones, and reinstates the least severe ones beyond the bound on
    /// ejections.
    pub(super) fn recount(&mut self, now_us: u64) {
        let down_changes = self.mark_down(now_us);
        for cohort in &mut self.cohorts {
            (cohort.usable, cohort.ejected) = (0, 0);
        }
        for member in &mut self.members {
            let cohort = &mut self.cohorts[member.cohort as usize];
            member.ejected &= member.is_usable();
            cohort.usable += u32::from(member.is_usable());
            cohort.ejected += u32::from(member.ejected);
        }
        self.ejected.clear();
        let ejected = (0..)
            .zip(&self.members)
            .filter(|(_, member)| member.ejected);
        self.ejected.extend(ejected.map(|(index, _)| index));
        let mut least_severe_first: Vec<usize> =
            self.ejected.iter().map(|&index| index as usize).collect();
        least_severe_first.sort_by(|&a, &b| {
            let (a, b) = (&self.members[a], &self.members[b]);
            let failing = a.failing_until_us.cmp(&b.failing_until_us);
            failing.then(a.slowdown.total_cmp(&b.slowdown))
        });
        for index in least_severe_first {
            let cohort = &self.cohorts[self.members[index].cohort as usize];
            if cohort.ejected > cohort.ejected_max() {
                self.reinstate(now_us, index);
                self.update_key(now_us, index);
            }
        }
        for index in down_changes {
            self.update_key(now_us, index);
        }
    }

    /// Ejects or reinstates a member according to its failures and slow-down.
    pub(super) fn update_ejection(&mut self, now_us: u64, index: usize) {
        let member = &self.members[index];
        let cohort = &self.cohorts[member.cohort as usize];
        let (slowdown, proven) = member.slowdown(now_us, cohort);
        let failing = member.is_failing(now_us);
        if member.ejected {
            if !failing && slowdown < REINSTATE_SLOWDOWN {
                self.reinstate(now_us, index);
            }
        } else if (failing || proven > EJECT_SLOWDOWN)
            && member.is_usable()
            && cohort.ejected < cohort.ejected_max()
        {
            self.eject(now_us, index);
        }
        let member = &mut self.members[index];
        let change = (slowdown - member.slowdown).abs();
        if change > SLOWDOWN_STEP * member.slowdown {
            member.slowdown = slowdown;
            self.update_key(now_us, index);
        }
    }

    /// Updates a member's key in the trees of its groups.
    pub(super) fn update_key(&mut self, now_us: u64, index: usize) {
        let member = &self.members[index];
        let key = member.key(now_us);
        for tree_position in &member.tree_positions {
            let group = &mut self.groups[tree_position.group as usize];
            group.trees[usize::from(tree_position.tree)].set(tree_position.position, key);
        }
    }

    fn eject(&mut self, now_us: u64, index: usize) {
        let member = &mut self.members[index];
        member.ejected = true;
        member.probe_due_us = member
            .failing_until_us
            .max(now_us.saturating_add(PROBE_INTERVAL_US));
        self.cohorts[member.cohort as usize].ejected += 1;
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        if let Err(position) = self.ejected.binary_search(&index) {
            self.ejected.insert(position, index);
        }
        self.update_key(now_us, index as usize);
    }

    fn reinstate(&mut self, now_us: u64, index: usize) {
        let member = &mut self.members[index];
        member.ejected = false;
        member.reinstated_us = Some(now_us.max(member.failing_until_us));
        self.cohorts[member.cohort as usize].ejected -= 1;
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        if let Ok(position) = self.ejected.binary_search(&index) {
            self.ejected.remove(position);
        }
        self.update_key(now_us, index as usize);
    }

    fn update_medians(&mut self, now_us: u64) {
        let mut first_token: Vec<Vec<f64>> = vec![Vec::new(); self.cohorts.len()];
        let mut gap = first_token.clone();
        for member in self.members.iter().filter(|member| member.is_live()) {
            let cohort = member.cohort as usize;
            let ratio = member.first_token_with_overdue(now_us, &self.cohorts[cohort]);
            first_token[cohort].extend(ratio.mean(now_us));
            gap[cohort].extend(member.gap.mean(now_us));
        }
        let medians = first_token.iter_mut().zip(&mut gap);
        for (cohort, (first_token, gap)) in self.cohorts.iter_mut().zip(medians) {
            cohort.first_token_median = median(first_token);
            cohort.gap_median = median(gap);
        }
    }
}

/// Returns the lower median, or 1 if there are fewer than two values to compare.
fn median(values: &mut [f64]) -> f64 {
    if values.len() < 2 {
        return 1.0;
    }
    let middle = (values.len() - 1) / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    median.max(0.01)
}
