//! Choice of the daemons with a role, from the live ones, without coordination.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of daemons that gather the evidence of all others. One may be frozen and one cut off
/// while two more agree.
const HOMES: usize = 4;

/// Seed of the ranking of daemons that gather evidence.
const HOMES_SEED: u64 = 0x686f_6d65;

/// Returns the daemons that gather the evidence of all, by rendezvous hashing of the live ones.
///
/// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
#[must_use]
pub fn homes<'a, I>(live: I) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut ranked: Vec<(u64, &str)> = live.into_iter().map(weighed).collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.truncate(HOMES);
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// Returns the position of a daemon among [`homes`], if it is one; `others` are the other live
/// daemons.
#[must_use]
pub fn home_rank<'a, I>(name: &str, others: I) -> Option<usize>
where
    I: IntoIterator<Item = &'a str>,
{
    let own = weighed(name);
    let better = others.into_iter().filter(|other| weighed(other) < own);
    let rank = better.take(HOMES).count();
    (rank < HOMES).then_some(rank)
}

/// Returns a name with its weight in the ranking.
fn weighed(name: &str) -> (u64, &str) {
    (xxh3_64_with_seed(name.as_bytes(), HOMES_SEED), name)
}

/// Returns the daemon that tries a quarantined part again.
#[must_use]
pub fn trial_home<'a, I>(live: I, part: u64) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    live.into_iter()
        .min_by_key(|name| (xxh3_64_with_seed(name.as_bytes(), part), *name))
}
