//! Messages with other daemons.

use std::sync::Arc;

use rand::{Rng, seq::IndexedRandom as _};

use super::{Quarantine, since_origin};
use crate::{LossReport, Message, Verdict, VerdictState, homes};

/// Largest number of messages with losses that a daemon is sent at a time.
const LOSS_MESSAGES_MAX: usize = 2;

/// Number of daemons that are told unsent verdicts at a time.
const FANOUT: usize = 2;

/// Time between two comparisons of all verdicts with another daemon.
const COMPARE_INTERVAL_US: u64 = 500_000;

impl Quarantine {
    /// Handles a message of another daemon and returns the replies to it.
    pub fn receive(&mut self, now_us: u64, message: &Message) -> Vec<Message> {
        let now_us = since_origin(now_us);
        match message {
            Message::Losses(reports) => {
                for report in reports.iter().take(Message::LOSSES_MAX) {
                    let age_us = u64::from(report.age_ms) * 1_000;
                    let ran_us = u64::from(report.ran_ms) * 1_000;
                    self.add_loss(now_us, now_us.saturating_sub(age_us), ran_us, report);
                }
                Vec::new()
            }
            Message::Verdicts(verdicts) => {
                for verdict in verdicts.iter().take(Message::VERDICTS_MAX) {
                    self.merge(now_us, *verdict);
                }
                Vec::new()
            }
            Message::Digest { digest, reply } => {
                let own = self.verdicts.digest();
                if own == *digest {
                    return Vec::new();
                }
                let mut replies = self.all_verdicts(now_us);
                if *reply {
                    replies.push(Message::Digest {
                        digest: own,
                        reply: false,
                    });
                }
                replies
            }
        }
    }

    /// Returns the messages that are due, with their receivers; call it after [`Self::tick`].
    pub fn take_messages<R>(&mut self, now_us: u64, rng: &mut R) -> Vec<(Arc<str>, Message)>
    where
        R: Rng + ?Sized,
    {
        let now_us = since_origin(now_us);
        let mut messages = Vec::new();
        if self.live.is_empty() {
            self.reports.clear();
            return messages;
        }
        self.report_losses(now_us, &mut messages);
        let verdicts = self.verdicts.take_unsent(now_us, Message::VERDICTS_MAX);
        if !verdicts.is_empty() {
            for peer in self.live.sample(rng, FANOUT) {
                messages.push((peer.clone(), Message::Verdicts(verdicts.clone())));
            }
        }
        let digest = self.verdicts.digest();
        let compares = digest != 0 || now_us < self.catch_up_until_us;
        if compares
            && now_us >= self.next_compare_us
            && let Some(peer) = self.live.choose(rng)
        {
            self.next_compare_us = now_us + COMPARE_INTERVAL_US;
            let reply = true;
            messages.push((peer.clone(), Message::Digest { digest, reply }));
        }
        messages
    }

    /// Merges a verdict of another daemon, and clears a suspected part to which an answer began.
    pub(super) fn merge(&mut self, now_us: u64, verdict: Verdict) {
        if !self.verdicts.merge(now_us, verdict, self.sends()) {
            return;
        }
        self.note_change(now_us, verdict.part);
        self.note_freed(now_us, verdict.part, verdict.state);
        let is_answered = if verdict.is_request {
            verdict.state.is_held() && self.is_request_answered_since_clearance(verdict.part)
        } else {
            verdict.state == VerdictState::Suspected
                && self.is_answered_since_clearance(verdict.part)
        };
        if is_answered {
            self.clear(now_us, verdict.part);
        }
    }

    fn report_losses(&mut self, now_us: u64, messages: &mut Vec<(Arc<str>, Message)>) {
        let count = self
            .reports
            .len()
            .min(LOSS_MESSAGES_MAX * Message::LOSSES_MAX);
        let reports: Vec<(u64, LossReport)> = self.reports.drain(..count).collect();
        if reports.is_empty() {
            return;
        }
        let live = self.live.iter().map(AsRef::as_ref);
        let homes: Vec<Arc<str>> = homes(live.chain([self.name.as_ref()]))
            .into_iter()
            .filter(|home| *home != self.name.as_ref())
            .map(Arc::from)
            .collect();
        for chunk in reports.chunks(Message::LOSSES_MAX) {
            let losses = chunk.iter().map(|(at_us, report)| {
                let age_ms = now_us.saturating_sub(*at_us) / 1_000;
                LossReport {
                    age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
                    ..report.clone()
                }
            });
            let message = Message::Losses(losses.collect());
            messages.extend(homes.iter().map(|home| (home.clone(), message.clone())));
        }
    }

    fn all_verdicts(&self, now_us: u64) -> Vec<Message> {
        let verdicts: Vec<Verdict> = self
            .verdicts
            .iter()
            .map(|known| known.verdict(now_us))
            .collect();
        let chunks = verdicts.chunks(Message::VERDICTS_MAX);
        chunks
            .map(|chunk| Message::Verdicts(chunk.to_vec()))
            .collect()
    }
}
