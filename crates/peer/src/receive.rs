use std::net::SocketAddr;

use rand::{Rng, RngExt as _};

use crate::{
    Member, Membership, Output, Reject, State, budget::HEADER_BYTES, datagram::Datagram,
    entry::Entry, kind::Kind, relay::Relay,
};

/// Pings sent on behalf of others at a time; more requests are ignored.
const RELAYS_MAX: usize = 8;

/// Budget that a ping on behalf of another member leaves.
const RELAY_RESERVE_BYTES: u64 = 300;

/// Leaving upstreams read from one datagram.
const LEAVING_MAX: usize = 64;

impl Membership {
    /// Takes in a datagram that came from this address.
    ///
    /// # Errors
    ///
    /// Returns why the datagram was dropped; it has changed nothing but a counter then.
    pub fn receive<R>(
        &mut self,
        now_us: u64,
        from: SocketAddr,
        bytes: &[u8],
        rng: &mut R,
        out: &mut Vec<Output>,
    ) -> Result<(), Reject>
    where
        R: Rng + ?Sized,
    {
        let result = self.take_in(now_us, from, bytes, rng, out);
        match result {
            Ok(()) => {
                self.counters.received += 1;
                self.counters.received_bytes += bytes.len() as u64 + HEADER_BYTES;
            }
            Err(reject) => self.counters.count_reject(reject),
        }
        result
    }

    fn take_in<R>(
        &mut self,
        now_us: u64,
        from: SocketAddr,
        bytes: &[u8],
        rng: &mut R,
        out: &mut Vec<Output>,
    ) -> Result<(), Reject>
    where
        R: Rng + ?Sized,
    {
        let datagram = Datagram::open(&self.keys, bytes, self.options.datagram_max_bytes)?;
        if datagram.to != self.me.name || datagram.sender.name == self.me.name {
            return Err(Reject::Misdirected);
        }
        let mut sender = datagram.sender.clone();
        if sender.address.ip().is_unspecified() {
            sender.address.set_ip(from.ip());
        }
        if !self.accept(&sender, datagram.sequence) {
            return Err(Reject::Replayed);
        }
        let now_us = self.advance(now_us, out);
        if datagram.to_incarnation > self.me.incarnation {
            // The peer remembers an earlier life of this host with a higher number.
            self.refute(datagram.to_incarnation);
        }
        self.contact(now_us, &sender, out);
        for record in &datagram.updates {
            self.merge(now_us, record, true, out);
        }
        for record in &datagram.fill {
            self.merge(now_us, record, false, out);
        }
        if sender.config_version > self.me.config_version {
            out.push(Output::NewerConfig {
                peer: sender.name.clone(),
                address: sender.address,
                version: sender.config_version,
            });
        }
        // A datagram for an earlier life of this host may be a recording.
        let known = self.first_incarnation..=self.me.incarnation;
        if known.contains(&datagram.to_incarnation) {
            self.take_extras(now_us, &datagram, out);
        }
        self.answer(now_us, datagram, rng, out);
        Ok(())
    }

    /// Notes the sequence number of a sender and returns whether it is new.
    fn accept(&mut self, sender: &Member, sequence: u64) -> bool {
        let index = match self.find(&sender.name) {
            Ok(index) => index,
            Err(_) if self.entries.len() >= self.options.members_max => return false,
            Err(index) => {
                // Unheard of until the record is merged.
                let mut entry = Entry::new(sender.clone());
                entry.member.incarnation = 0;
                self.entries.insert(index, entry);
                index
            }
        };
        self.entries[index]
            .window
            .accept(sender.incarnation, sequence)
    }

    /// Merges the record of a member that was heard directly.
    fn contact(&mut self, now_us: u64, sender: &Member, out: &mut Vec<Output>) {
        self.merge(now_us, sender, true, out);
        if let Some(entry) = self.entry_mut(&sender.name)
            && entry.member.incarnation == sender.incarnation
        {
            entry.member.config_version = sender.config_version;
            if entry.member.state == State::Leaving {
                // Can't refute without a new incarnation, which it does not need to do.
                entry.dead_at_us = None;
            }
        }
    }

    fn take_extras(&mut self, now_us: u64, datagram: &Datagram, out: &mut Vec<Output>) {
        for leaving in datagram.leaving.iter().take(LEAVING_MAX) {
            let age_us = u64::from(leaving.age_ms) * 1_000;
            if self.leaving.add(now_us, &leaving.name, age_us) {
                let name = leaving.name.clone();
                out.push(Output::UpstreamLeaving { name });
            }
        }
        for bytes in &datagram.payloads {
            out.push(Output::Payload {
                from: datagram.sender.name.clone(),
                bytes: bytes.clone(),
            });
        }
    }

    fn answer<R>(&mut self, now_us: u64, datagram: Datagram, rng: &mut R, out: &mut Vec<Output>)
    where
        R: Rng + ?Sized,
    {
        let from = datagram.sender.name;
        match datagram.kind {
            Kind::Ping { nonce, after } => {
                let fill = (datagram.digest != self.digest()).then_some(after.as_str());
                self.send(now_us, &from, Kind::Ack { nonce }, fill, out);
            }
            Kind::Ack { nonce } => {
                // Without filling, for want of budget, the next request starts at the same name.
                if let Some(last) = datagram.fill.last() {
                    self.fill_after.clone_from(&last.name);
                }
                self.differs = datagram.digest != self.digest();
                self.acknowledged(now_us, nonce, datagram.sender.config_version, out);
            }
            Kind::PingReq { nonce, target } => {
                if self.relays.len() < RELAYS_MAX
                    && self.entry(&target).is_some()
                    && self.budget.spare(RELAY_RESERVE_BYTES) > 0
                {
                    let own = rng.random();
                    self.relays.push(Relay {
                        nonce: own,
                        requester: from,
                        requester_nonce: nonce,
                        until_us: now_us + self.options.probe_interval_us,
                    });
                    let after = String::new();
                    self.send(now_us, &target, Kind::Ping { nonce: own, after }, None, out);
                }
            }
            Kind::IndirectAck { nonce } => self.probe_answered(nonce),
            Kind::Data => {}
        }
    }

    fn acknowledged(&mut self, now_us: u64, nonce: u64, version: u64, out: &mut Vec<Output>) {
        self.probe_answered(nonce);
        if let Some(index) = self.relays.iter().position(|relay| relay.nonce == nonce) {
            let relay = self.relays.swap_remove(index);
            let nonce = relay.requester_nonce;
            self.send(
                now_us,
                &relay.requester,
                Kind::IndirectAck { nonce },
                None,
                out,
            );
        }
        // Only an answer to a ping sent since the pause says what is in force now.
        let fresh = self
            .confirming
            .as_ref()
            .is_some_and(|nonces| nonces.contains(&nonce));
        if fresh && version <= self.me.config_version {
            self.confirming = None;
            out.push(Output::ConfigConfirmed);
        }
    }

    fn probe_answered(&mut self, nonce: u64) {
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.nonce == nonce)
        {
            self.probe = None;
        }
    }
}
