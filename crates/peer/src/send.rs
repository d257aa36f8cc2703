use std::net::SocketAddr;

use crate::{
    Member, Membership, Output, State,
    budget::HEADER_BYTES,
    datagram::{Datagram, encoded_bytes},
    keys::{HEAD_BYTES, TAG_BYTES},
    kind::Kind,
};

/// Part of the budget that filling leaves for news and payloads.
const FILL_RESERVE_BYTES: u64 = 1_000;

impl Membership {
    /// Sends a datagram to a member, with as much news as datagram and budget allow.
    ///
    /// `fill_after` asks to fill the rest with the records that follow this name.
    pub(crate) fn send(
        &mut self,
        now_us: u64,
        to: &str,
        kind: Kind,
        fill_after: Option<&str>,
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
            fill: Vec::new(),
            leaving: Vec::new(),
            payloads: Vec::new(),
        };
        let base = HEAD_BYTES + encoded_bytes(&datagram) + TAG_BYTES;
        let room = self.options.datagram_max_bytes.saturating_sub(base);
        let mut left = room.min(self.budget.spare(base as u64));
        // A member that others doubt has to learn it, whatever the budget says.
        if target.incarnation > 0 && target.state != State::Live {
            left = left.saturating_sub(encoded_bytes(&target));
            datagram.updates.push(target);
        }
        datagram.payloads = self.payloads.take(to, left);
        left = left.saturating_sub(encoded_bytes(&datagram.payloads));
        let sends_max = 2 * self.hot_sends();
        datagram.leaving = self.leaving.take(now_us, sends_max, left);
        left = left.saturating_sub(encoded_bytes(&datagram.leaving));
        self.add_rumors(&mut datagram, sends_max, &mut left);
        if let Some(after) = fill_after {
            let fill = left.min(self.budget.spare(base as u64 + FILL_RESERVE_BYTES));
            self.add_fill(&mut datagram, after, fill);
        }
        if !matches!(datagram.kind, Kind::Data) {
            self.version_sends = self.version_sends.saturating_sub(1);
        }
        self.push(target_address(self, to), &datagram, out);
    }

    fn push(&mut self, to: Option<SocketAddr>, datagram: &Datagram, out: &mut Vec<Output>) {
        let Some(to) = to else {
            return;
        };
        let bytes = datagram.seal(&self.keys);
        self.budget.debit(bytes.len());
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64 + HEADER_BYTES;
        out.push(Output::Send { to, bytes });
    }

    fn add_rumors(&mut self, datagram: &mut Datagram, sends_max: u32, left: &mut usize) {
        for name in self.rumors.order() {
            // The own record is in every datagram.
            let own = name == self.me.name;
            if !own && !datagram.updates.iter().any(|record| record.name == name) {
                let Some(record) = self.entry(&name).map(|entry| entry.member.clone()) else {
                    self.rumors.remove(&name);
                    continue;
                };
                let Some(rest) = left.checked_sub(encoded_bytes(&record)) else {
                    break;
                };
                *left = rest;
                datagram.updates.push(record);
            }
            self.rumors.sent(&name, sends_max);
        }
    }

    fn add_fill(&self, datagram: &mut Datagram, after: &str, mut left: usize) {
        let start = self
            .entries
            .partition_point(|entry| entry.member.name.as_str() <= after);
        let (before, behind) = self.entries.split_at(start);
        for entry in behind.iter().chain(before) {
            let record: &Member = &entry.member;
            if record.incarnation == 0 || record.name == datagram.to {
                continue;
            }
            let Some(rest) = left.checked_sub(encoded_bytes(record)) else {
                break;
            };
            left = rest;
            datagram.fill.push(record.clone());
        }
    }
}

fn target_address(membership: &Membership, to: &str) -> Option<SocketAddr> {
    membership.entry(to).map(|entry| entry.member.address)
}
