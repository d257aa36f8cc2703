/// What an item needs beyond its lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemKind {
    /// Starts from the beginning on any upstream.
    Fresh,
    /// Continues a begun answer, which not every upstream can do.
    Resume,
    /// Long answer, begun or expected, behind short work of its tier.
    Long,
}

impl ItemKind {
    /// Mask of all variants.
    pub const ALL: u8 = 0b111;

    /// Mask of the variants that are not demoted.
    pub const SHORT: u8 = 0b011;

    /// Mask of the variants that may continue a begun answer.
    pub const RESUMED: u8 = 0b110;

    /// Number of variants.
    pub(crate) const COUNT: usize = 3;

    /// Returns the bit of this variant in a mask.
    #[must_use]
    pub const fn bit(self) -> u8 {
        1 << self as u8
    }
}
