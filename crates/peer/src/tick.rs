use rand::{Rng, RngExt as _, seq::SliceRandom as _};

use crate::{
    Membership, Output, State, kind::Kind, payload_queue::PAYLOAD_MAX_BYTES, probe::Probe,
};

/// Budget that an additional ping leaves for probes and payloads.
const GOSSIP_RESERVE_BYTES: u64 = 800;

/// Budget that a ping of a doubted member leaves.
const RETRY_RESERVE_BYTES: u64 = 400;

/// Budget that a request for an indirect probe leaves.
const INDIRECT_RESERVE_BYTES: u64 = 100;

/// Members that learn of a planned stop at once.
const OUT_OF_TURN: usize = 3;

impl Membership {
    /// Does what is due; to be called every 100 ms or so.
    pub fn tick<R>(&mut self, now_us: u64, rng: &mut R, out: &mut Vec<Output>)
    where
        R: Rng + ?Sized,
    {
        let now_us = self.advance(now_us, out);
        self.bury(now_us, out);
        self.check_probe(now_us, rng, out);
        if self.probe.is_none() && now_us >= self.next_probe_us {
            self.next_probe_us = now_us + self.options.probe_interval_us;
            self.start_probe(now_us, rng, out);
        }
        self.retry(now_us, rng, out);
        self.gossip(now_us, rng, out);
        self.flush_payloads(now_us, out);
        self.relays.retain(|relay| relay.until_us > now_us);
        self.leaving.expire(now_us);
        self.forget(now_us);
    }

    /// Pings a few random members out of turn.
    pub(crate) fn ping_some<R>(&mut self, now_us: u64, rng: &mut R, out: &mut Vec<Output>)
    where
        R: Rng + ?Sized,
    {
        let mut names = self.names(|state| state == State::Live);
        names.shuffle(rng);
        for name in names.iter().take(OUT_OF_TURN) {
            self.ping(now_us, name, rng, out);
        }
    }

    /// Notes the time and detects that this process was suspended.
    pub(crate) fn advance(&mut self, now_us: u64, out: &mut Vec<Output>) -> u64 {
        let last_us = self.last_us.unwrap_or(now_us);
        let now_us = now_us.max(last_us);
        self.last_us = Some(now_us);
        self.budget.refill(now_us);
        let paused_us = now_us - last_us;
        if paused_us > self.options.pause_threshold_us {
            // Silence of the others during the pause proves nothing about them.
            self.probe = None;
            self.relays.clear();
            for entry in &mut self.entries {
                entry.dead_at_us = entry.dead_at_us.map(|at_us| at_us + paused_us);
            }
            self.next_probe_us = now_us;
            self.next_gossip_us = now_us;
            self.confirming = Some(Vec::new());
            out.push(Output::Resumed { paused_us });
        }
        now_us
    }

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
            // Every member has its turn once in a round, which bounds the time to detection.
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

    /// Pings one member that is doubted, or at a low rate one that is dead.
    fn retry<R>(&mut self, now_us: u64, rng: &mut R, out: &mut Vec<Output>)
    where
        R: Rng + ?Sized,
    {
        if self.budget.spare(RETRY_RESERVE_BYTES) == 0 {
            return;
        }
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.retry) {
            entry.retry = false;
            let name = entry.member.name.clone();
            self.ping(now_us, &name, rng, out);
        } else if now_us >= self.next_retry_us {
            self.next_retry_us = now_us + self.options.dead_probe_interval_us;
            if let Some(name) = self.random_name(|state| state == State::Dead, rng) {
                self.ping(now_us, &name, rng, out);
            }
        }
    }

    /// Pings a random member out of turn while there is news.
    fn gossip<R>(&mut self, now_us: u64, rng: &mut R, out: &mut Vec<Output>)
    where
        R: Rng + ?Sized,
    {
        let hot = self.hot_sends();
        let news = self.version_sends > 0
            || self.differs
            || self.confirming.is_some()
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
            // Leaves the datagram's own fields and the next probe payable.
            let needed = bytes.min(PAYLOAD_MAX_BYTES) + 400;
            if self.budget.spare(0) < needed {
                break;
            }
            let waiting = self.payloads.len();
            self.send(now_us, &to, Kind::Data, None, out);
            if self.payloads.len() == waiting {
                // Does not fit beside names of this length.
                self.payloads.drop_first();
            }
        }
    }

    fn ping<R>(&mut self, now_us: u64, name: &str, rng: &mut R, out: &mut Vec<Output>) -> u64
    where
        R: Rng + ?Sized,
    {
        let nonce = rng.random();
        if let Some(nonces) = &mut self.confirming {
            nonces.push(nonce);
        }
        let after = self.fill_after.clone();
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
