//! Handling of received datagrams.

use std::net::SocketAddr;

use rand::{Rng, RngExt as _};

use crate::{
    Member, Membership, Output, Reject, State, budget::IP_UDP_HEADER_BYTES, datagram::Datagram,
    entry::Entry, kind::Kind, relay::Relay,
};

/// Largest number of concurrent pings on behalf of others; further requests are ignored.
const RELAYS_MAX: usize = 8;

/// Bytes of the send budget that a ping on behalf of another member must leave.
const RELAY_RESERVE_BYTES: u64 = 300;

/// Largest number of leaving upstreams that are read from one datagram.
const LEAVING_MAX: usize = 64;

impl Membership {
    /// Processes a datagram received from this address.
    ///
    /// # Errors
    ///
    /// Returns why the datagram was dropped; in that case only a counter has changed.
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
        let result = self.process(now_us, from, bytes, rng, out);
        match result {
            Ok(()) => {
                self.counters.received += 1;
                self.counters.received_bytes += bytes.len() as u64 + IP_UDP_HEADER_BYTES;
            }
            Err(reject) => self.counters.count_reject(reject),
        }
        result
    }

    fn process<R>(
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
            // The peer remembers an earlier process on this host with a higher incarnation.
            self.refute(datagram.to_incarnation);
        }
        self.merge_sender(now_us, &sender, out);
        for record in &datagram.updates {
            self.merge(now_us, record, true, out);
        }
        for record in &datagram.sync_records {
            self.merge(now_us, record, false, out);
        }
        if sender.config_version > self.me.config_version {
            out.push(Output::NewerConfig {
                peer: sender.name.clone(),
                address: sender.address,
                version: sender.config_version,
            });
        }
        // A datagram for an earlier process on this host may be a replay.
        let own_incarnations = self.first_incarnation..=self.me.incarnation;
        if own_incarnations.contains(&datagram.to_incarnation) {
            self.handle_leaving_and_payloads(now_us, &datagram, out);
        }
        self.respond(now_us, datagram, rng, out);
        Ok(())
    }

    /// Records the sequence number of a sender and returns whether it is new.
    fn accept(&mut self, sender: &Member, sequence: u64) -> bool {
        let index = match self.find(&sender.name) {
            Ok(index) => index,
            Err(_) if self.entries.len() >= self.options.members_max => return false,
            Err(index) => {
                // Incarnation 0 until the record is merged, so that the merge sees it as new.
                let mut entry = Entry::new(sender.clone());
                entry.member.incarnation = 0;
                self.entries.insert(index, entry);
                index
            }
        };
        self.entries[index]
            .replay_window
            .accept(sender.incarnation, sequence)
    }

    /// Merges the record that a member sent about itself.
    fn merge_sender(&mut self, now_us: u64, sender: &Member, out: &mut Vec<Output>) {
        self.merge(now_us, sender, true, out);
        if let Some(entry) = self.entry_mut(&sender.name)
            && entry.member.incarnation == sender.incarnation
        {
            entry.member.config_version = sender.config_version;
            if entry.member.state == State::Leaving {
                // A leaving member keeps its incarnation: its datagram alone ends the suspicion.
                entry.dead_at_us = None;
            }
        }
    }

    /// Handles the leaving upstreams and the application payloads of a datagram.
    fn handle_leaving_and_payloads(
        &mut self,
        now_us: u64,
        datagram: &Datagram,
        out: &mut Vec<Output>,
    ) {
        for leaving in datagram.leaving.iter().take(LEAVING_MAX) {
            let age_us = u64::from(leaving.age_ms) * 1_000;
            let (name, started_ms) = (&leaving.name, leaving.started_ms);
            if self.leaving.add(now_us, name, started_ms, age_us) {
                out.push(Output::UpstreamLeaving {
                    name: name.clone(),
                    started_ms,
                });
            }
        }
        for bytes in &datagram.payloads {
            out.push(Output::Payload {
                from: datagram.sender.name.clone(),
                bytes: bytes.clone(),
            });
        }
    }

    /// Sends the answer that the kind of the datagram requires.
    fn respond<R>(&mut self, now_us: u64, datagram: Datagram, rng: &mut R, out: &mut Vec<Output>)
    where
        R: Rng + ?Sized,
    {
        let from = datagram.sender.name;
        match datagram.kind {
            Kind::Ping { nonce, after } => {
                let sync_after = (datagram.digest != self.digest()).then_some(after.as_str());
                self.send(now_us, &from, Kind::Ack { nonce }, sync_after, out);
            }
            Kind::Ack { nonce } => {
                // If the budget of the peer left no room for records, the next request starts at
                // the same name.
                if let Some(last) = datagram.sync_records.last() {
                    self.sync_after.clone_from(&last.name);
                }
                self.view_differs = datagram.digest != self.digest();
                self.handle_ack(now_us, nonce, datagram.sender.config_version, out);
            }
            Kind::PingReq { nonce, target } => {
                if self.relays.len() < RELAYS_MAX
                    && self.entry(&target).is_some()
                    && self.budget.spare(RELAY_RESERVE_BYTES) > 0
                {
                    let relay_nonce = rng.random();
                    self.relays.push(Relay {
                        nonce: relay_nonce,
                        requester: from,
                        requester_nonce: nonce,
                        until_us: now_us + self.options.probe_interval_us,
                    });
                    let after = String::new();
                    self.send(
                        now_us,
                        &target,
                        Kind::Ping {
                            nonce: relay_nonce,
                            after,
                        },
                        None,
                        out,
                    );
                }
            }
            Kind::IndirectAck { nonce } => self.clear_probe(nonce),
            Kind::Data => {}
        }
    }

    fn handle_ack(&mut self, now_us: u64, nonce: u64, version: u64, out: &mut Vec<Output>) {
        self.clear_probe(nonce);
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
        // Only an answer to a ping sent after the pause shows what is in force now.
        let fresh = self
            .confirm_nonces
            .as_ref()
            .is_some_and(|nonces| nonces.contains(&nonce));
        if fresh && version <= self.me.config_version {
            self.confirm_nonces = None;
            out.push(Output::ConfigConfirmed);
        }
    }

    /// Ends the current probe if it has this nonce.
    fn clear_probe(&mut self, nonce: u64) {
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.nonce == nonce)
        {
            self.probe = None;
        }
    }
}
