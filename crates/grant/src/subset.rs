use std::{cmp::Reverse, sync::Arc};

use crate::{Peer, hash::weight};

/// Upstreams that one daemon uses on average, at most.
///
/// Each costs a demand and a grant per report, about 110 bytes a second together at one report a
/// second; the limit for all control traffic of a daemon is 4 KB/s.
const UPSTREAMS_PER_DAEMON: usize = 20;

/// Daemons that use an upstream at least, so that one dead daemon does not leave it idle.
const USERS_MIN: usize = 3;

/// One user in this many comes from another region, to carry load over when a region is full.
const REMOTE_ONE_IN: usize = 4;

/// Returns the host that hands out the slots of an upstream.
///
/// Hosts in the upstream's region come first: a partition between regions then separates no
/// upstream from its home.
#[must_use]
pub fn home_of<'a>(upstream: &str, region: &str, peers: &'a [Peer]) -> Option<&'a Arc<str>> {
    peers
        .iter()
        .max_by_key(|peer| (&*peer.region == region, weight(upstream, &peer.name)))
        .map(|peer| &peer.name)
}

/// Returns the hosts that use an upstream, in a stable order.
///
/// All hosts in a small fleet; else the ones with the highest rendezvous weight, of which most are
/// in the upstream's region.
#[must_use]
pub fn users_of<'a>(
    upstream: &str,
    region: &str,
    peers: &'a [Peer],
    upstreams: usize,
) -> Vec<&'a Arc<str>> {
    let wanted = (UPSTREAMS_PER_DAEMON * peers.len()).div_ceil(upstreams.max(1));
    let count = wanted.max(USERS_MIN).min(peers.len());
    let (mut near, mut far): (Vec<&Peer>, Vec<&Peer>) =
        peers.iter().partition(|peer| &*peer.region == region);
    near.sort_by_key(|peer| Reverse(weight(upstream, &peer.name)));
    far.sort_by_key(|peer| Reverse(weight(upstream, &peer.name)));
    let remote = (count / REMOTE_ONE_IN).max(count.saturating_sub(near.len()));
    let remote = remote.min(far.len());
    near.truncate(count - remote);
    far.truncate(remote);
    near.into_iter().chain(far).map(|peer| &peer.name).collect()
}

/// Returns the part of `count` with this rank when it is divided into `parts`.
pub(crate) fn part(count: u32, parts: usize, rank: usize) -> u32 {
    let parts = u32::try_from(parts).unwrap_or(u32::MAX).max(1);
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    count / parts + u32::from(rank < count % parts)
}
