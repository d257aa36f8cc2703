//! Choice of the daemons that may hold the duties, from the live ones, without coordination.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of daemons that try to hold the duties: two may be cut off from the store.
pub const CANDIDATES: usize = 3;

/// Seed of the ranking.
const SEED: u64 = 0x6475_7479;

/// Returns the daemons that try to hold the duties, by rendezvous hashing of the live ones, best
/// first.
///
/// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
#[must_use]
pub fn candidates<'a, I>(live: I) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut ranked: Vec<(u64, &str)> = live
        .into_iter()
        .map(|name| (xxh3_64_with_seed(name.as_bytes(), SEED), name))
        .collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.truncate(CANDIDATES);
    ranked.into_iter().map(|(_, name)| name).collect()
}
