//! Allowed range of each numeric field and of the length of each text, named after the field.

use std::ops::RangeInclusive;

type Range = RangeInclusive<u64>;

/// Names are used in row keys, paths and metric labels.
pub(crate) const NAME_LENGTH: Range = 1..=63;
/// Names that a platform gives to upstreams, services and availability zones; they are sent as
/// headers.
pub(crate) const PLATFORM_NAME_LENGTH: Range = 1..=200;
/// Model names are those of the engines and may contain a path.
pub(crate) const MODEL_LENGTH: Range = 1..=128;
pub(crate) const PATH_LENGTH: Range = 1..=1_024;
pub(crate) const DIGEST_LENGTH: Range = 64..=64;
/// In hexadecimal digits. At least 16 bytes, to resist guessing; at most 64 bytes, one block of
/// SHA-256.
pub(crate) const SECRET_LENGTH: Range = 32..=128;

/// The router has three priority tiers.
pub(crate) const TIER: Range = 0..=2;
/// Engines distinguish ten priorities.
pub(crate) const ENGINE_PRIORITY: Range = 0..=9;
pub(crate) const FIRST_TOKEN_MS: Range = 1..=600_000;
pub(crate) const TOKEN_GAP_MS: Range = 1..=60_000;
pub(crate) const MAX_WAIT_MS: Range = 1..=3_600_000;
/// At least a tenth of the slots is never reserved, and is assigned by the order of the tiers.
pub(crate) const RESERVED_PERCENT: Range = 0..=90;

pub(crate) const REQUESTS_PER_S: Range = 1..=100_000;
pub(crate) const REQUESTS_IN_FLIGHT: Range = 1..=1_000_000;
pub(crate) const TOKENS_IN_FLIGHT: Range = 1..=1_000_000_000;
pub(crate) const WEIGHT: Range = 1..=1_000;

/// Domain names have at most 253 characters (RFC 1035).
pub(crate) const HOST_LENGTH: Range = 1..=253;
pub(crate) const SHARE_WEIGHT: Range = 0..=1_000_000;
pub(crate) const ATTEMPTS_MAX: Range = 1..=16;
/// The largest engines hold a few hundred million tokens.
pub(crate) const CACHE_TOKENS: Range = 1..=1_000_000_000;
/// The cache of the largest models takes some MB for each token.
pub(crate) const CACHE_TOKEN_BYTES: Range = 0..=100_000_000;
/// Up to 100 Tbit/s.
pub(crate) const LINK_MBPS: Range = 0..=100_000_000;
pub(crate) const SLOTS: Range = 1..=65_536;
pub(crate) const ANSWER_MAX_MS: Range = 1..=3_600_000;

/// Upstreams of a service in one availability zone.
pub(crate) const UPSTREAMS_MIN: Range = 0..=10_000;
pub(crate) const UPSTREAMS_MAX: Range = 1..=10_000;
/// Time from an order until the upstream serves.
pub(crate) const UPSTREAM_START_MS: Range = 0..=3_600_000;
/// Relative to the usual price of an upstream.
pub(crate) const PRICE_PERMILLE: Range = 0..=1_000_000;
/// Reclaimable upstreams cost at most as much as the others.
pub(crate) const RECLAIMABLE_PRICE_PERMILLE: Range = 1..=1_000;

pub(crate) const WORKERS: Range = 1..=256;
pub(crate) const BODY_MAX_BYTES: Range = 1_024..=268_435_456;
pub(crate) const RECEIVE_MAX_MS: Range = 1..=600_000;
/// A process without callers needs some 20 MiB; up to 1 TiB.
pub(crate) const MEMORY_MAX_MB: Range = 48..=1_048_576;
pub(crate) const DESCRIPTORS: Range = 16..=1_048_576;
/// At most half of what a caller gets of a link of 10 Mbit/s that a hundred share.
pub(crate) const CALLER_BYTES_PER_S: Range = 1..=6_250;
/// A sound caller may be cut off from its host for a few seconds.
pub(crate) const CALLER_WINDOW_MS: Range = 5_000..=600_000;
/// With 5 s, a change is in force on every host within 11 s even if one read is lost.
pub(crate) const STORE_POLL_MS: Range = 1..=5_000;
/// Shorter leases end while a call or a write of the store is still under way.
pub(crate) const LEASE_MS: Range = 500..=600_000;
pub(crate) const THAW_MS: Range = 0..=60_000;
pub(crate) const WINDOW_S: Range = 1..=86_400;
/// Calls a second and shares are numbers with a fraction.
pub(crate) const CALLS_PER_S: RangeInclusive<f64> = 0.01..=100_000.0;
pub(crate) const TOLERANCE: RangeInclusive<f64> = 0.0..=1.0;
pub(crate) const DRAIN_MAX_MS: Range = 0..=3_600_000;
/// Up to 10 Gbit/s, the fastest network port of a small host.
pub(crate) const CROSS_REGION_BYTES_PER_S: Range = 0..=1_250_000_000;
pub(crate) const KEY_ID: Range = 0..=255;
/// Up to 2^53 - 1: JSON readers that use floating point represent these versions and Unix times
/// exactly.
pub(crate) const SAFE_INTEGER: Range = 0..=9_007_199_254_740_991;
