/// Position of a member in one of a group's trees.
#[derive(Debug, Clone, Copy)]
pub struct TreePosition {
    /// Index of the group.
    pub group: u32,
    /// Index of the tree in the group.
    pub tree: u8,
    /// Position in the tree.
    pub position: u32,
}
