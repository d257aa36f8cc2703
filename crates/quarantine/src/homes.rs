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
    let mut ranked: Vec<(u64, &str)> = live
        .into_iter()
        .map(|name| (xxh3_64_with_seed(name.as_bytes(), HOMES_SEED), name))
        .collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.truncate(HOMES);
    ranked.into_iter().map(|(_, name)| name).collect()
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
