//! Tree of the daemons of an availability zone, along which they pass on what the store holds.

use crate::{Member, Membership, State};

/// Number of daemons that follow one directly. A copy of 3,000 upstreams is about 120 KB, so that
/// a host with a link of 10 Mbit/s sends all of them one within a second.
const FANOUT: usize = 8;

impl Membership {
    /// Returns the daemon that this one should follow, `None` if it should ask the store.
    ///
    /// The live members of the zone form a tree in the order of a hash of their names. A member
    /// only ever follows one with a lower hash, so that no two members follow each other, however
    /// much their views differ. `is_avoided` excludes members by name, for example those that did
    /// not answer lately.
    #[must_use]
    pub fn tree_parent<F>(&self, is_avoided: F) -> Option<&Member>
    where
        F: Fn(&str) -> bool,
    {
        let own_key = key(&self.me);
        let mut before: Vec<&Member> = self
            .members()
            .filter(|member| {
                member.zone == self.me.zone
                    && member.state == State::Live
                    && key(member) < own_key
                    && !is_avoided(&member.name)
            })
            .collect();
        before.sort_unstable_by_key(|member| key(member));
        let parent = before.len().checked_sub(1)? / FANOUT;
        Some(before[parent])
    }
}

/// Returns the place of a member in the order of the tree.
fn key(member: &Member) -> (u64, &str) {
    let hash = xxhash_rust::xxh3::xxh3_64(member.name.as_bytes());
    (hash, &member.name)
}
