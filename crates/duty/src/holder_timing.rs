use lease::LeaseTiming;

/// Shortest part of a lease by which clocks may be wrong; see [`LeaseTiming::clock_error_us`].
const CLOCK_ERROR_DIVISOR: u64 = 10;

/// Reads of the row over the length of a lease.
const POLLS: u64 = 2;

/// Times of a [`Holder`](crate::Holder).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderTiming {
    /// Times of the lease.
    pub lease: LeaseTiming,
    /// Time after a hold before which this host does not hold the duties again.
    pub rest_us: u64,
    /// Time after the start of the process before which this host does not hold the duties: the
    /// last call of its earlier run may still be under way when it starts.
    pub start_rest_us: u64,
    /// Number of calls in a row without an answer after which another host shall try.
    pub failures_max: u32,
    /// Rest after a hold that ended because of such calls.
    pub failed_rest_us: u64,
}

impl HolderTiming {
    /// Creates the times for a length of the lease, the time within which late calls of an earlier
    /// holder may still arrive after a suspension, and the time limit of a call.
    #[must_use]
    pub const fn new(length_us: u64, late_call_us: u64, call_us: u64) -> Self {
        let least_us = length_us / CLOCK_ERROR_DIVISOR;
        let half_us = length_us / 2;
        let mut clock_error_us = if late_call_us > least_us {
            late_call_us
        } else {
            least_us
        };
        if clock_error_us > half_us {
            clock_error_us = half_us;
        }
        let rest_us = length_us + late_call_us + clock_error_us;
        Self {
            lease: LeaseTiming {
                length_us,
                clock_error_us,
                poll_us: length_us / POLLS,
                wait_max_us: u64::MAX,
            },
            rest_us,
            start_rest_us: rest_us + call_us + call_us / CLOCK_ERROR_DIVISOR,
            failures_max: 4,
            failed_rest_us: 5 * rest_us,
        }
    }
}
