use std::cmp::Ordering;

use crate::{Target, lane::Lane};

/// Number of distances: availability zone, region, other regions.
pub const DISTANCES: usize = 3;

/// Index of the upstreams that serve one model or plain service.
#[derive(Debug, Clone)]
pub struct Group {
    /// Model or plain service.
    pub target: Target,
    /// Members by distance, each split into those that resume answers and the rest.
    pub lanes: [Lane; 2 * DISTANCES],
    /// Members of the daemon's region by the hash of their name, for a first guess of where a
    /// prefix is cached.
    pub ring: Vec<(u64, u32)>,
    /// Choices since the last probe of an ejected member.
    pub since_probe: u32,
}

impl Group {
    /// Creates an empty group.
    pub fn new(target: Target) -> Self {
        Self {
            target,
            lanes: Default::default(),
            ring: Vec::new(),
            since_probe: 0,
        }
    }

    /// Returns the lane of a distance.
    #[expect(clippy::cast_possible_truncation, reason = "there are six lanes")]
    pub const fn lane_of(distance: usize, resumes: bool) -> u8 {
        (2 * distance + !resumes as usize) as u8
    }

    /// Returns the member of the ring that follows a hash.
    pub fn successor(&self, hash: u64) -> Option<u32> {
        let index = self.ring.partition_point(|&(id, _)| id < hash);
        let entry = self.ring.get(index).or_else(|| self.ring.first());
        entry.map(|&(_, member)| member)
    }

    /// Compares the group's target with another.
    pub fn cmp_target(&self, other: &Target) -> Ordering {
        match (&self.target, other) {
            (Target::Model(own), Target::Model(other))
            | (Target::Service(own), Target::Service(other)) => own.cmp(other),
            (Target::Model(_), Target::Service(_)) => Ordering::Less,
            (Target::Service(_), Target::Model(_)) => Ordering::Greater,
        }
    }
}
