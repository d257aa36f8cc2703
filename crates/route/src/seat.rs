/// Where a member stands in a group.
#[derive(Debug, Clone, Copy)]
pub struct Seat {
    /// Index of the group.
    pub group: u32,
    /// Lane of the group.
    pub lane: u8,
    /// Position in the lane.
    pub position: u32,
}
