//! Chance that a predicted time exceeds its target.

/// Returns the chance that a time exceeds its target, if `expected_us` is its predicted median.
///
/// Times on an engine are predicted up to a factor: other work arrives, and an engine is slow for a
/// while. The factor is taken to be log-logistic with shape 4, whose survival function is
/// `1 / (1 + x^4)` at `x` times the median (Johnson, Kotz and Balakrishnan, *Continuous Univariate
/// Distributions*, volume 2, chapter 23).
pub fn late_chance(expected_us: f64, target_us: f64) -> f64 {
    if target_us <= 0.0 {
        return 1.0;
    }
    let ratio = expected_us / target_us;
    let fourth = ratio * ratio * ratio * ratio;
    fourth / (1.0 + fourth)
}

#[cfg(test)]
#[path = "lateness_tests.rs"]
mod tests;
