/// Converts a count for statistics; counts of the bench stay far below 2^52.
#[expect(clippy::cast_precision_loss, reason = "counts stay below 2^52")]
pub(crate) const fn float(count: u64) -> f64 {
    count as f64
}

/// Rounds a non-negative value down to a count.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "values are non-negative and small"
)]
pub(crate) const fn whole(value: f64) -> u64 {
    value as u64
}

/// Rounds to four decimals, for output that does not depend on the last bits.
pub(crate) fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

/// Returns the share of `part` in `all`, 0 if there is nothing.
pub(crate) fn ratio(part: u64, all: u64) -> f64 {
    if all == 0 {
        return 0.0;
    }
    float(part) / float(all)
}
