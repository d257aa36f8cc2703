/// Length of a lease and the time limits that its holder and its observers use.
///
/// Each monotonic clock may run fast or slow by at most the fraction `clock_error_us / length_us`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Length of a lease.
    pub length_us: u64,
    /// Largest error of a clock over the length of a lease.
    pub clock_error_us: u64,
    /// Time between two reads of a lease that another holder has.
    pub poll_us: u64,
    /// Time after which an acquisition gives up on a lease that another holder has.
    pub wait_max_us: u64,
}

impl LeaseTiming {
    /// Returns the largest error of a clock over another length, in proportion.
    ///
    /// A lease in the table may have been written with a longer length, which allows a larger
    /// error.
    #[must_use]
    pub const fn clock_error_over_us(self, length_us: u64) -> u64 {
        let scaled = length_us.saturating_mul(self.clock_error_us);
        match self.length_us {
            0 => scaled,
            own_us => scaled.div_ceil(own_us),
        }
    }
}

impl Default for LeaseTiming {
    /// A command and its two reads take well under 10 s. A clock error of 1 s covers clocks whose
    /// rate is wrong by 10%, far more than the 500 ppm to which system clocks are disciplined.
    fn default() -> Self {
        Self {
            length_us: 10_000_000,
            clock_error_us: 1_000_000,
            poll_us: 500_000,
            wait_max_us: 30_000_000,
        }
    }
}
