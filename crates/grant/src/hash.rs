//! Hashes that identify upstreams in messages and rank hosts.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the key that identifies an upstream in messages.
///
/// Two of 2,300 names share a key with a probability of 0.06%; they would then share grants.
pub(crate) fn key_of(upstream: &str) -> u32 {
    let [a, b, c, d, ..] = xxh3_64(upstream.as_bytes()).to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

/// Returns the seed of the rendezvous hashes of an upstream.
pub(crate) fn seed_of(upstream: &str) -> u64 {
    xxh3_64(upstream.as_bytes())
}

/// Returns the rendezvous weight of a host for the upstream with this seed.
pub(crate) fn weight(seed: u64, host: &str) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), seed)
}
