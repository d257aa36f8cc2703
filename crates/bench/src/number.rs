//! Conversions and rounding for statistics.

/// Converts a count for statistics; counts of the bench stay far below 2^52.
#[expect(clippy::cast_precision_loss, reason = "counts stay below 2^52")]
pub(crate) const fn to_f64(count: u64) -> f64 {
    count as f64
}

/// Rounds a non-negative value down to a count.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "values are non-negative and small"
)]
pub(crate) const fn floor_to_u64(value: f64) -> u64 {
    value as u64
}

/// Rounds to four decimals, so that the output does not depend on the last bits.
pub(crate) fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

/// Returns `part` divided by `all`, or 0 if `all` is 0.
pub(crate) fn ratio(part: u64, all: u64) -> f64 {
    if all == 0 {
        return 0.0;
    }
    to_f64(part) / to_f64(all)
}
