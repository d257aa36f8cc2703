use std::cmp::Ordering;

use crate::{Target, candidate_tree::CandidateTree};

/// Number of distance classes: same availability zone, same region, other regions.
pub const DISTANCES: usize = 3;

/// Index of the upstreams that serve one model or plain service.
#[derive(Debug, Clone)]
pub struct Group {
    /// Model or plain service.
    pub target: Target,
    /// Trees of members by distance; each distance has one for members that can resume answers
    /// and one for the rest.
    pub trees: [CandidateTree; 2 * DISTANCES],
    /// Consistent-hash ring of the members in the daemon's region, for a first guess of where a
    /// prefix is cached.
    pub ring: Vec<(u64, u32)>,
    /// Selections since the last probe of an ejected member.
    pub choices_since_probe: u32,
}

impl Group {
    /// Creates an empty group.
    pub fn new(target: Target) -> Self {
        Self {
            target,
            trees: Default::default(),
            ring: Vec::new(),
            choices_since_probe: 0,
        }
    }

    /// Returns the index of the tree for a distance and the ability to resume answers.
    #[expect(clippy::cast_possible_truncation, reason = "there are six trees")]
    pub const fn tree_index(distance: usize, resumes: bool) -> u8 {
        (2 * distance + !resumes as usize) as u8
    }

    /// Returns the first member at or after a hash on the ring.
    pub fn successor(&self, hash: u64) -> Option<u32> {
        let index = self.ring.partition_point(|&(id, _)| id < hash);
        let entry = self.ring.get(index).or_else(|| self.ring.first());
        entry.map(|&(_, member)| member)
    }

    /// Compares the group's target with another.
    pub fn cmp_target(&self, other: &Target) -> Ordering {
        match (&self.target, other) {
            (Target::Model(name), Target::Model(other))
            | (Target::Service(name), Target::Service(other)) => name.cmp(other),
            (Target::Model(_), Target::Service(_)) => Ordering::Less,
            (Target::Service(_), Target::Model(_)) => Ordering::Greater,
        }
    }
}
