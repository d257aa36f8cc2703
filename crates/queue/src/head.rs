/// Item that is next in one tier of a lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// Number of the arrival.
    pub arrival: u64,
    /// Identifier of the job.
    pub id: u64,
}
