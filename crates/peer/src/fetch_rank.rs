//! Staggers the fetches of a new configuration across regions.

use crate::{Member, Membership};

/// Daemons of a region that fetch a new version from another region without delay.
const FIRST_FETCHERS: usize = 2;

/// Delay of the other daemons, during which the version spreads within the region. Leaves time for
/// a fetch across regions within the 11 s after which a version must be in force everywhere.
const OTHERS_DELAY_US: u64 = 4_000_000;

/// Additional delay per rank, so that the other daemons don't start together either.
const RANK_DELAY_US: u64 = 20_000;

impl Membership {
    /// Returns how long this daemon waits, from when it first heard of a version, before it fetches
    /// that version from a peer.
    ///
    /// A configuration of 1 MiB fetched by 165 daemons across the 30 Mbit/s link between regions
    /// takes 46 s. Therefore only two daemons of a region fetch it from another region, and the
    /// rest fetch it from them. A hash of name and version selects the two, so no daemon has a
    /// special role.
    #[must_use]
    pub fn fetch_delay_us(&self, peer: &str, version: u64) -> u64 {
        let region = self.me.region.as_str();
        if self
            .member(peer)
            .is_none_or(|member| member.region == region)
        {
            return 0;
        }
        let own_key = rank_key(&self.me, version);
        let rank = self
            .live()
            .filter(|member| member.region == region && rank_key(member, version) < own_key)
            .count();
        if rank < FIRST_FETCHERS {
            0
        } else {
            OTHERS_DELAY_US + RANK_DELAY_US * rank.min(100) as u64
        }
    }
}

/// Returns the rendezvous hash by which the daemons of a region are ranked for a version.
fn rank_key(member: &Member, version: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(member.name.as_bytes(), version)
}
