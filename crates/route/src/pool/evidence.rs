//! Evidence about the reachability of upstreams, exchanged with the other daemons.

use std::sync::Arc;

use health::{Message, Symptom};

use super::Pool;

/// Time within which an upstream counts among those that this daemon uses.
const CONTACT_US: u64 = 10_000_000;

impl Pool {
    /// Records why an attempt at the instance of an upstream that started at `started_ms` failed:
    /// nothing had come from it for `silent_us`.
    pub fn record_symptom(
        &mut self,
        now_us: u64,
        upstream: &str,
        started_ms: Option<u64>,
        symptom: Symptom,
        silent_us: u64,
    ) {
        let now_us = self.advance(now_us);
        if let Some(index) = self.index(upstream) {
            let member = &self.members[index];
            if member.settings.started_ms == started_ms {
                self.outbox
                    .record(now_us, member.id, started_ms, symptom, silent_us);
            }
        }
    }

    /// Returns whether this daemon has something to tell the others.
    #[must_use]
    pub fn has_complaints(&self) -> bool {
        self.outbox.has_news()
    }

    /// Returns what this daemon tells the others, if there is anything.
    pub fn take_complaints(&mut self, now_us: u64) -> Option<Message> {
        let now_us = self.advance(now_us);
        let is_contact = |time_us: u64| time_us > 0 && now_us - time_us < CONTACT_US;
        let contacts = self.members.iter().filter(|member| {
            is_contact(member.alive_us.min(now_us)) || is_contact(member.tried_us.min(now_us))
        });
        let contacts = u16::try_from(contacts.count()).unwrap_or(u16::MAX);
        self.outbox.take_message(now_us, contacts)
    }

    /// Weighs what another daemon tells; returns the upstreams that go out of service.
    pub fn receive_complaints(
        &mut self,
        now_us: u64,
        from: &str,
        message: &Message,
    ) -> Vec<Arc<str>> {
        let now_us = self.advance(now_us);
        let concerned = self.board.receive(now_us, from, message);
        for index in 0..self.members.len() {
            let member = &self.members[index];
            // A daemon that now complains about much loses what its earlier complaints counted.
            if now_us < member.doubted_until_us || concerned.contains(&member.id) {
                self.update_doubt(now_us, index);
            }
        }
        let was_down: Vec<bool> = self
            .members
            .iter()
            .map(|m| m.down_since_us.is_some())
            .collect();
        self.update_down(now_us);
        let members = self.members.iter().zip(was_down);
        let newly_down =
            members.filter(|(member, was_down)| member.down_since_us.is_some() && !was_down);
        newly_down.map(|(member, _)| member.name.clone()).collect()
    }

    /// Forgets complaints that have lapsed; returns their number.
    pub fn expire_complaints(&mut self, now_us: u64) -> usize {
        let now_us = self.advance(now_us);
        self.board.expire(now_us)
    }

    /// Records that a member answered something.
    pub(super) fn record_alive(&mut self, now_us: u64, index: usize) {
        let member = &mut self.members[index];
        let before = member.sighting();
        member.alive_us = now_us;
        if self.outbox.has_observations() {
            self.outbox.record_answer(member.id);
        }
        if self.board.has_reports() {
            let id = member.id;
            self.board.record_answer(now_us, id, &before);
            if now_us < self.members[index].doubted_until_us {
                self.update_doubt(now_us, index);
                self.update_down(now_us);
            }
        }
    }

    fn update_doubt(&mut self, now_us: u64, index: usize) {
        let member = &mut self.members[index];
        let until_us = self
            .board
            .doubted_until_us(now_us, member.id, &member.sighting());
        member.doubted_until_us = until_us.unwrap_or(0);
    }
}
