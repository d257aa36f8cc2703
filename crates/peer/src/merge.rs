//! Merging of records into the view, and the transitions from suspect to dead to forgotten.

use crate::{Member, Membership, Output, State, entry::Entry};

impl Membership {
    /// Merges a record into the view: the higher incarnation wins, then the later state.
    ///
    /// A record that calls a member dead only starts a suspicion, so that the member can refute it.
    /// Otherwise the first datagram after a partition would make one side accept the deaths that
    /// the other side declared.
    ///
    /// `news` is whether the sender gossiped the record as a recent change. If not, a new member
    /// or a new incarnation is not passed on as a rumor either.
    pub(crate) fn merge(
        &mut self,
        now_us: u64,
        record: &Member,
        news: bool,
        out: &mut Vec<Output>,
    ) {
        if record.name == self.me.name {
            self.merge_self(record);
            return;
        }
        let suspicion_us = self.options.suspicion_us(self.entries.len() + 1);
        let index = match self.find(&record.name) {
            Ok(index) => index,
            Err(index) => {
                if record.state != State::Dead && self.entries.len() < self.options.members_max {
                    let mut entry = Entry::new(record.clone());
                    if record.state == State::Suspect {
                        entry.dead_at_us = Some(now_us + suspicion_us);
                    }
                    self.entries.insert(index, entry);
                    self.changed(index, news, out);
                }
                return;
            }
        };
        let entry = &mut self.entries[index];
        let known = &mut entry.member;
        if record.incarnation < known.incarnation {
            return;
        }
        if record.incarnation > known.incarnation {
            let before = (known.state, known.incarnation);
            let config_version = known.config_version.max(record.config_version);
            *known = record.clone();
            known.config_version = config_version;
            entry.dead_at_us = None;
            if record.state == State::Dead && before.0 != State::Dead {
                known.state = State::Suspect;
            }
            if known.state == State::Suspect {
                entry.dead_at_us = Some(now_us + suspicion_us);
            }
            let state_differs = entry.member.state != record.state;
            self.changed(index, news || state_differs, out);
            return;
        }
        known.config_version = known.config_version.max(record.config_version);
        let state = match (known.state, record.state) {
            (State::Live, State::Suspect | State::Dead) => State::Suspect,
            (State::Live | State::Suspect, State::Leaving) => State::Leaving,
            (State::Leaving, State::Suspect | State::Dead) => {
                entry.dead_at_us.get_or_insert(now_us + suspicion_us);
                return;
            }
            _ => return,
        };
        known.state = state;
        if state == State::Suspect {
            entry.dead_at_us = Some(now_us + suspicion_us);
        }
        self.changed(index, true, out);
    }

    /// Suspects a member that did not answer a probe.
    pub(crate) fn suspect(&mut self, now_us: u64, name: &str, out: &mut Vec<Output>) {
        let dead_at_us = now_us + self.options.suspicion_us(self.entries.len() + 1);
        let Ok(index) = self.find(name) else {
            return;
        };
        let entry = &mut self.entries[index];
        if entry.member.state == State::Dead {
            return;
        }
        entry.dead_at_us.get_or_insert(dead_at_us);
        // The member itself is informed first, so that it can refute the suspicion.
        entry.ping_next = true;
        if entry.member.state == State::Live {
            entry.member.state = State::Suspect;
            self.changed(index, true, out);
        }
    }

    /// Declares members dead whose suspicion has expired without a refutation.
    pub(crate) fn declare_dead(&mut self, now_us: u64, out: &mut Vec<Output>) {
        for index in 0..self.entries.len() {
            let entry = &mut self.entries[index];
            if entry
                .dead_at_us
                .is_some_and(|dead_at_us| dead_at_us <= now_us)
            {
                entry.dead_at_us = None;
                entry.dead_since_us = now_us;
                entry.member.state = State::Dead;
                self.changed(index, true, out);
            }
        }
    }

    /// Removes members that have been dead for long and are no longer in the host list.
    pub(crate) fn forget(&mut self, now_us: u64) {
        let forget_dead_after_us = self.options.forget_dead_after_us;
        self.entries.retain(|entry| {
            entry.listed
                || entry.member.state != State::Dead
                || now_us.saturating_sub(entry.dead_since_us) < forget_dead_after_us
        });
    }

    /// Handles a record about this daemon: refutes it, or adopts the state `Leaving`.
    fn merge_self(&mut self, record: &Member) {
        let incarnation = record.incarnation;
        let suspected = matches!(record.state, State::Suspect | State::Dead);
        if incarnation > self.me.incarnation || (incarnation == self.me.incarnation && suspected) {
            self.refute(incarnation);
        } else if incarnation == self.me.incarnation
            && record.state == State::Leaving
            && self.me.state == State::Live
        {
            // The platform is about to remove this host.
            self.me.state = State::Leaving;
            self.rumors.add(&self.me.name);
        }
    }

    /// Reports a changed member and, if the change is news, starts to spread it.
    fn changed(&mut self, index: usize, news: bool, out: &mut Vec<Output>) {
        let member = &self.entries[index].member;
        out.push(Output::Changed {
            name: member.name.clone(),
            state: member.state,
        });
        if news && member.incarnation > 0 {
            self.rumors.add(&member.name);
        }
    }
}
