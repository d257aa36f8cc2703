/// Reference to a queued item, such as the next one in a tier of a lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// Arrival number.
    pub arrival: u64,
    /// Identifier of the job.
    pub id: u64,
}
