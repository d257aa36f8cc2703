/// Latency targets of one request, as its route declares them.
///
/// ```
/// # use route::LatencyAims;
/// let aims = LatencyAims::new(1_250_000, 100_000);
/// assert_eq!(aims.event_gap_us, 100_000);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LatencyAims {
    /// Time at which the first event is due; 0 if there is no target.
    pub first_event_due_us: u64,
    /// Longest gap between two events; 0 if there is no target.
    pub event_gap_us: u64,
}

impl LatencyAims {
    /// Creates the targets of a request.
    #[must_use]
    pub const fn new(first_event_due_us: u64, event_gap_us: u64) -> Self {
        Self {
            first_event_due_us,
            event_gap_us,
        }
    }
}
