//! Assembly and sending of datagrams.

use std::net::SocketAddr;

use crate::{
    Member, Membership, Output, State,
    budget::IP_UDP_HEADER_BYTES,
    datagram::{Datagram, encoded_bytes},
    keys::{HEAD_BYTES, TAG_BYTES},
    kind::Kind,
};

/// Bytes of the send budget that synchronisation leaves for changes and payloads.
const SYNC_RESERVE_BYTES: u64 = 1_000;

impl Membership {
    /// Sends a datagram to a member, with as many payloads and changes as its size and the budget
    /// allow.
    ///
    /// With `sync_after`, the rest is filled with the records that follow this name.
    pub(crate) fn send(
        &mut self,
        now_us: u64,
        to: &str,
        kind: Kind,
        sync_after: Option<&str>,
        out: &mut Vec<Output>,
    ) {
        let Some(entry) = self.entry(to) else {
            return;
        };
        let target = entry.member.clone();
        self.sequence += 1;
        let mut datagram = Datagram {
            sender: self.me.clone(),
            sequence: self.sequence,
            to: to.to_owned(),
            to_incarnation: target.incarnation,
            kind,
            digest: self.digest(),
            updates: Vec::new(),
            sync_records: Vec::new(),
            leaving: Vec::new(),
            payloads: Vec::new(),
        };
        let base = HEAD_BYTES + encoded_bytes(&datagram) + TAG_BYTES;
        let max_bytes = self.options.datagram_max_bytes.saturating_sub(base);
        let urgent_max = max_bytes.min(self.urgent_budget.spare(0));
        datagram.payloads = self.urgent.take(to, urgent_max);
        let urgent_bytes = encoded_bytes(&datagram.payloads);
        self.urgent_budget.debit(urgent_bytes);
        // Urgent payloads don't use up the budget of everything else.
        self.budget.credit(urgent_bytes);
        let mut remaining = max_bytes
            .saturating_sub(urgent_bytes)
            .min(self.budget.spare((base + urgent_bytes) as u64));
        // A member that is suspected, leaving or dead has to learn it, even without budget, so that
        // it can refute the record.
        if target.incarnation > 0 && target.state != State::Live {
            remaining = remaining.saturating_sub(encoded_bytes(&target));
            datagram.updates.push(target);
        }
        let payloads = self.payloads.take(to, remaining);
        remaining = remaining.saturating_sub(encoded_bytes(&payloads));
        datagram.payloads.extend(payloads);
        let sends_max = 2 * self.hot_sends();
        datagram.leaving = self.leaving.take(now_us, sends_max, remaining);
        remaining = remaining.saturating_sub(encoded_bytes(&datagram.leaving));
        self.add_rumors(&mut datagram, sends_max, &mut remaining);
        if let Some(after) = sync_after {
            let sync_bytes = remaining.min(self.budget.spare(base as u64 + SYNC_RESERVE_BYTES));
            self.add_sync_records(&mut datagram, after, sync_bytes);
        }
        if !matches!(datagram.kind, Kind::Data) {
            self.version_sends_left = self.version_sends_left.saturating_sub(1);
        }
        self.emit(target_address(self, to), &datagram, out);
    }

    /// Signs a datagram, counts it and passes it to the output.
    fn emit(&mut self, to: Option<SocketAddr>, datagram: &Datagram, out: &mut Vec<Output>) {
        let Some(to) = to else {
            return;
        };
        let bytes = datagram.seal(&self.keys);
        self.budget.debit(bytes.len());
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64 + IP_UDP_HEADER_BYTES;
        out.push(Output::Send { to, bytes });
    }

    /// Adds the records that are spread by gossip, least often sent first.
    fn add_rumors(&mut self, datagram: &mut Datagram, sends_max: u32, remaining: &mut usize) {
        for name in self.rumors.order() {
            // This daemon's record is the sender of every datagram.
            let is_own = name == self.me.name;
            if !is_own && !datagram.updates.iter().any(|record| record.name == name) {
                let Some(record) = self.entry(&name).map(|entry| entry.member.clone()) else {
                    self.rumors.remove(&name);
                    continue;
                };
                let Some(rest) = remaining.checked_sub(encoded_bytes(&record)) else {
                    break;
                };
                *remaining = rest;
                datagram.updates.push(record);
            }
            self.rumors.sent(&name, sends_max);
        }
    }

    /// Adds records in name order, starting after a name and wrapping around.
    fn add_sync_records(&self, datagram: &mut Datagram, after: &str, mut remaining: usize) {
        let start = self
            .entries
            .partition_point(|entry| entry.member.name.as_str() <= after);
        let (before, after_name) = self.entries.split_at(start);
        for entry in after_name.iter().chain(before) {
            let record: &Member = &entry.member;
            if record.incarnation == 0 || record.name == datagram.to {
                continue;
            }
            let Some(rest) = remaining.checked_sub(encoded_bytes(record)) else {
                break;
            };
            remaining = rest;
            datagram.sync_records.push(record.clone());
        }
    }
}

fn target_address(membership: &Membership, to: &str) -> Option<SocketAddr> {
    membership.entry(to).map(|entry| entry.member.address)
}
