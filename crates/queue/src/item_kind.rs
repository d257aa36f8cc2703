/// Kind of an item, which limits where and when it can start within its lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemKind {
    /// Starts from the beginning on any upstream.
    Fresh,
    /// Resumes a partly sent answer, which not every upstream can do.
    Resume,
    /// Long answer, running or expected, which goes after the short work of its tier.
    Long,
}

impl ItemKind {
    /// Mask of all kinds.
    pub const ALL: u8 = 0b111;

    /// Mask of the kinds that aren't demoted behind short work.
    pub const SHORT: u8 = 0b011;

    /// Mask of the kinds that may resume a partly sent answer.
    pub const RESUMED: u8 = 0b110;

    /// Number of kinds.
    pub(crate) const COUNT: usize = 3;

    /// Returns the bit of this kind in a mask.
    #[must_use]
    pub const fn bit(self) -> u8 {
        1 << self as u8
    }
}
