use std::cmp::Reverse;

use crate::{
    Peer,
    hash::{seed_of, weight},
};

/// Upstreams that one daemon uses on average, at most.
///
/// Each costs a demand and a grant per report, about 170 bytes together at one report a second; the
/// limit for all control traffic of a daemon is 4 KB/s.
const UPSTREAMS_PER_DAEMON: usize = 13;

/// Daemons that use an upstream at least, so that one dead daemon does not leave it idle.
const USERS_MIN: usize = 2;

/// One user in this many comes from another region, to carry load over when a region is full.
const REMOTE_ONE_IN: usize = 4;

/// Largest load of a host in percent of the mean; hashing alone gives some hosts twice the mean.
const LOAD_PERCENT: usize = 125;

/// Returns how many daemons use each upstream.
pub(crate) fn users_count(peers: usize, upstreams: usize) -> usize {
    let wanted = (UPSTREAMS_PER_DAEMON * peers).div_ceil(upstreams.max(1));
    wanted.max(USERS_MIN).min(peers)
}

/// Returns the largest number of parts that one of the hosts takes.
pub(crate) fn load_max(parts: usize, hosts: usize) -> usize {
    (parts * LOAD_PERCENT).div_ceil(hosts.max(1) * 100)
}

/// Returns the indexes of the hosts by descending rendezvous weight, those in the upstream's region
/// first, and how many these are.
pub(crate) fn rank(upstream: &str, region: &str, peers: &[Peer]) -> (Vec<usize>, usize) {
    let seed = seed_of(upstream);
    let mut ranked: Vec<usize> = (0..peers.len()).collect();
    ranked.sort_by_cached_key(|&index| {
        let peer = &peers[index];
        (&*peer.region != region, Reverse(weight(seed, &peer.name)))
    });
    let near = peers.iter().filter(|peer| &*peer.region == region).count();
    (ranked, near)
}

/// Chooses the users of an upstream from its ranked hosts and counts them in `loads`.
pub(crate) fn choose_users(
    (ranked, near): (&[usize], usize),
    count: usize,
    loads: &mut [usize],
    load_max: usize,
) -> Vec<usize> {
    let (near, far) = ranked.split_at(near);
    let remote = (count / REMOTE_ONE_IN).max(count.saturating_sub(near.len()));
    let remote = remote.min(far.len());
    let mut users = Vec::with_capacity(count);
    for (hosts, count) in [(near, count - remote), (far, remote)] {
        let end = users.len() + count;
        for below in [load_max, usize::MAX] {
            for &host in hosts {
                if users.len() < end && loads[host] < below && !users.contains(&host) {
                    loads[host] += 1;
                    users.push(host);
                }
            }
        }
    }
    users
}

/// Returns the part of `count` with this rank when it is divided into `parts`.
pub(crate) fn part(count: u32, parts: usize, rank: usize) -> u32 {
    let parts = u32::try_from(parts).unwrap_or(u32::MAX).max(1);
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    count / parts + u32::from(rank < count % parts)
}
