//! Periodic work: probes, additional pings, payloads and the detection of pauses.

use rand::{Rng, RngExt as _, seq::SliceRandom as _};

use crate::{
    Membership, Output, State, kind::Kind, payload_queue::PAYLOAD_MAX_BYTES, probe::Probe,
};

/// Bytes of the send budget that an additional ping leaves for probes and payloads.
const GOSSIP_RESERVE_BYTES: u64 = 800;

/// Bytes of the send budget that a ping of a suspected or dead member leaves.
const RETRY_RESERVE_BYTES: u64 = 400;

/// Bytes of the send budget that a request for an indirect probe leaves.
const INDIRECT_RESERVE_BYTES: u64 = 100;

/// Number of members that are pinged at once when this daemon leaves.
const LEAVE_PINGS: usize = 3;

impl Membership {
    /// Does the work that is due; call it about every 100 ms.
    pub fn tick<R>(&mut self, now_us: u64, rng: &mut R, out: &mut Vec<Output>)
    where
        R: Rng + ?Sized,
    {
        let now_us = self.advance(now_us, out);
        self.declare_dead(now_us, out);
        self.check_probe(now_us, rng, out);
        if self.probe.is_none() && now_us >= self.next_probe_us {
            self.next_probe_us = now_us + self.options.probe_interval_us;
            self.start_probe(now_us, rng, out);
        }
        self.ping_suspect_or_dead(now_us, rng, out);
        self.gossip(now_us, rng, out);
        self.flush_urgent_payloads(now_us, out);
        self.flush_payloads(now_us, out);
        self.relays.retain(|relay| relay.until_us > now_us);
        self.leaving.expire(now_us);
        self.forget(now_us);
    }

    /// Pings a few random live members.
    pub(crate) fn ping_random_live<R>(&mut self, now_us: u64, rng: &mut R, out: &mut Vec<Output>)
    where
        R: Rng + ?Sized,
    {
        let mut names = self.names(|state| state == State::Live);
        names.shuffle(rng);
        for name in names.iter().take(LEAVE_PINGS) {
            self.ping(now_us, name, rng, out);
        }
    }

    /// Advances the clock, refills the budget and detects that this process was suspended.
    ///
    /// Returns the time, which never goes back.
    pub(crate) fn advance(&mut self, now_us: u64, out: &mut Vec<Output>) -> u64 {
        let last_us = self.last_call_us.unwrap_or(now_us);
        let now_us = now_us.max(last_us);
        self.last_call_us = Some(now_us);
        self.budget.refill(now_us);
        self.urgent_budget.refill(now_us);
        let paused_us = now_us - last_us;
        if paused_us > self.options.pause_threshold_us {
            // Answers that did not arrive during the pause prove nothing about the other members.
            self.probe = None;
            self.relays.clear();
            for entry in &mut self.entries {
                entry.dead_at_us = entry.dead_at_us.map(|at_us| at_us + paused_us);
            }
            self.next_probe_us = now_us;
            self.next_gossip_us = now_us;
            self.confirm_nonces = Some(Vec::new());
            out.push(Output::Resumed { paused_us });
        }
        now_us
    }

    /// Asks other members for an indirect probe after the acknowledgement timeout, and suspects the
    /// member at the end of the probe interval.
    fn check_probe<R>(&mut self, now_us: u64, rng: &mut R, out: &mut Vec<Output>)
    where
        R: Rng + ?Sized,
    {
        let Some(probe) = &mut self.probe else {
            return;
        };
        let waited_us = now_us.saturating_sub(probe.sent_us);
        if waited_us >= self.options.probe_interval_us {
            let name = std::mem::take(&mut probe.name);
            self.probe = None;
            self.suspect(now_us, &name, out);
        } else if waited_us >= self.options.ack_timeout_us && !probe.indirect {
            probe.indirect = true;
            let (nonce, target) = (probe.nonce, probe.name.clone());
            let mut helpers = self.names(|state| state == State::Live);
            helpers.retain(|name| *name != target);
            helpers.shuffle(rng);
            helpers.truncate(self.options.indirect_probes);
            for helper in helpers {
                if self.budget.spare(INDIRECT_RESERVE_BYTES) > 0 {
                    let target = target.clone();
                    self.send(now_us, &helper, Kind::PingReq { nonce, target }, None, out);
                }
            }
        }
    }

    /// Pings the next member of the probe round.
    fn start_probe<R>(&mut self, now_us: u64, rng: &mut R, out: &mut Vec<Output>)
    where
        R: Rng + ?Sized,
    {
        let name = loop {
            if let Some(name) = self.round.pop() {
                if self
                    .member(&name)
                    .is_some_and(|member| member.state != State::Dead)
                {
                    break name;
                }
                continue;
            }
            // Every member is probed once per round, which bounds the time until a failure is
            // detected.
            self.round = self.names(|state| state != State::Dead);
            self.round.shuffle(rng);
            if self.round.is_empty() {
                return;
            }
        };
        let nonce = self.ping(now_us, &name, rng, out);
        self.probe = Some(Probe {
            name,
            nonce,
            sent_us: now_us,
            indirect: false,
        });
    }

    /// Pings one member that has to be pinged next or, at a low rate, a dead one.
    fn ping_suspect_or_dead<R>(&mut self, now_us: u64, rng: &mut R, out: &mut Vec<Output>)
    where
        R: Rng + ?Sized,
    {
        if self.budget.spare(RETRY_RESERVE_BYTES) == 0 {
            return;
        }
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.ping_next) {
            entry.ping_next = false;
            let name = entry.member.name.clone();
            self.ping(now_us, &name, rng, out);
        } else if now_us >= self.next_dead_probe_us {
            self.next_dead_probe_us = now_us + self.options.dead_probe_interval_us;
            if let Some(name) = self.random_name(|state| state == State::Dead, rng) {
                self.ping(now_us, &name, rng, out);
            }
        }
    }

    /// Sends an additional ping to a random member while there are changes to spread.
    fn gossip<R>(&mut self, now_us: u64, rng: &mut R, out: &mut Vec<Output>)
    where
        R: Rng + ?Sized,
    {
        let hot = self.hot_sends();
        let news = self.version_sends_left > 0
            || self.view_differs
            || self.confirm_nonces.is_some()
            || self.rumors.is_hot(hot)
            || self.leaving.is_hot(hot);
        if !news || now_us < self.next_gossip_us || self.budget.spare(GOSSIP_RESERVE_BYTES) == 0 {
            return;
        }
        self.next_gossip_us = now_us + self.options.gossip_interval_us;
        if let Some(name) = self.random_name(|state| state != State::Dead, rng) {
            self.ping(now_us, &name, rng, out);
        }
    }

    /// Sends the urgent payloads in datagrams of their own, as far as their budget allows.
    fn flush_urgent_payloads(&mut self, now_us: u64, out: &mut Vec<Output>) {
        while let Some((to, bytes)) = self.urgent.first() {
            let to = to.to_owned();
            let reachable = self
                .member(&to)
                .is_some_and(|member| member.state != State::Dead);
            if !reachable {
                self.urgent.drop_all(&to);
                continue;
            }
            if self.urgent_budget.spare(0) < bytes {
                break;
            }
            let waiting = self.urgent.len();
            self.send(now_us, &to, Kind::Data, None, out);
            if self.urgent.len() == waiting {
                // The payload doesn't fit into a datagram with names of this length.
                self.urgent.drop_first();
            }
        }
    }

    /// Sends the queued payloads in datagrams of their own, as far as the budget allows.
    fn flush_payloads(&mut self, now_us: u64, out: &mut Vec<Output>) {
        while let Some((to, bytes)) = self.payloads.first() {
            let to = to.to_owned();
            let reachable = self
                .member(&to)
                .is_some_and(|member| member.state != State::Dead);
            if !reachable {
                self.payloads.drop_all(&to);
                continue;
            }
            // Keeps 400 bytes for the other fields of the datagram and for the next probe.
            let needed = bytes.min(PAYLOAD_MAX_BYTES) + 400;
            if self.budget.spare(0) < needed {
                break;
            }
            let waiting = self.payloads.len();
            self.send(now_us, &to, Kind::Data, None, out);
            if self.payloads.len() == waiting {
                // The payload doesn't fit into a datagram with names of this length.
                self.payloads.drop_first();
            }
        }
    }

    /// Pings a member and returns the nonce.
    fn ping<R>(&mut self, now_us: u64, name: &str, rng: &mut R, out: &mut Vec<Output>) -> u64
    where
        R: Rng + ?Sized,
    {
        let nonce = rng.random();
        if let Some(nonces) = &mut self.confirm_nonces {
            nonces.push(nonce);
        }
        let after = self.sync_after.clone();
        self.send(now_us, name, Kind::Ping { nonce, after }, None, out);
        nonce
    }

    fn names<F>(&self, accept: F) -> Vec<String>
    where
        F: Fn(State) -> bool,
    {
        self.members()
            .filter(|member| accept(member.state))
            .map(|member| member.name.clone())
            .collect()
    }

    fn random_name<F, R>(&self, accept: F, rng: &mut R) -> Option<String>
    where
        F: Fn(State) -> bool,
        R: Rng + ?Sized,
    {
        let matching = || self.members().filter(|member| accept(member.state));
        let count = matching().count();
        if count == 0 {
            return None;
        }
        let chosen = rng.random_range(0..count);
        matching().nth(chosen).map(|member| member.name.clone())
    }
}
