//! Choice of the hosts that use an upstream.

use std::cmp::Reverse;

use crate::{
    Peer,
    hash::{seed_of, weight},
};

/// Largest number of upstreams that a daemon uses on average.
///
/// Each one costs a demand and a grant per report, together about 170 bytes at one report per
/// second; the limit on all control traffic of a daemon is 4 KB/s.
const UPSTREAMS_PER_DAEMON: usize = 13;

/// Smallest number of daemons that use an upstream, so that it isn't idle after one of them dies.
const USERS_MIN: usize = 2;

/// One user in this many is in another region, to take over load when a region is full.
const REMOTE_ONE_IN: usize = 4;

/// Largest load of a host in percent of the mean; hashing alone gives some hosts twice the mean.
const LOAD_PERCENT: usize = 125;

/// Returns how many daemons use each upstream.
pub(crate) fn users_count(peers: usize, upstreams: usize) -> usize {
    let wanted = (UPSTREAMS_PER_DAEMON * peers).div_ceil(upstreams.max(1));
    wanted.max(USERS_MIN).min(peers)
}

/// Returns the largest number of parts that a single host takes.
pub(crate) fn load_max(parts: usize, hosts: usize) -> usize {
    (parts * LOAD_PERCENT).div_ceil(hosts.max(1) * 100)
}

/// Returns the indexes of the hosts by descending rendezvous weight, those in the upstream's region
/// first, and the number of hosts in that region.
pub(crate) fn rank(upstream: &str, region: &str, peers: &[Peer]) -> (Vec<usize>, usize) {
    let seed = seed_of(upstream);
    let mut ranked: Vec<usize> = (0..peers.len()).collect();
    ranked.sort_by_cached_key(|&index| {
        let peer = &peers[index];
        (&*peer.region != region, Reverse(weight(seed, &peer.name)))
    });
    let local_count = peers.iter().filter(|peer| &*peer.region == region).count();
    (ranked, local_count)
}

/// Chooses the users of an upstream from its ranked hosts and adds them to `loads`.
///
/// Hosts whose load has reached `load_max` are used only if there are not enough others.
pub(crate) fn choose_users(
    (ranked, local_count): (&[usize], usize),
    count: usize,
    loads: &mut [usize],
    load_max: usize,
) -> Vec<usize> {
    let (local, other_regions) = ranked.split_at(local_count);
    let remote = (count / REMOTE_ONE_IN).max(count.saturating_sub(local.len()));
    let remote = remote.min(other_regions.len());
    let mut users = Vec::with_capacity(count);
    for (hosts, count) in [(local, count - remote), (other_regions, remote)] {
        let end = users.len() + count;
        for limit in [load_max, usize::MAX] {
            for &host in hosts {
                if users.len() < end && loads[host] < limit && !users.contains(&host) {
                    loads[host] += 1;
                    users.push(host);
                }
            }
        }
    }
    users
}

/// Returns the share of the part with this rank when `count` is divided evenly into `parts`.
pub(crate) fn even_share(count: u32, parts: usize, rank: usize) -> u32 {
    let parts = u32::try_from(parts).unwrap_or(u32::MAX).max(1);
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    count / parts + u32::from(rank < count % parts)
}
