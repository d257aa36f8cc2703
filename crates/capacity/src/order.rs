use std::fmt::{Display, Formatter, Result};

/// Order for a number of upstreams of one kind in an availability zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// Availability zone.
    pub zone: String,
    /// Whether the order is for reclaimable upstreams.
    pub reclaimable: bool,
    /// Number of upstreams that there should be.
    pub desired: u32,
    /// Why it is sent.
    pub reason: Reason,
    /// What it was decided by.
    pub inputs: OrderInputs,
}

/// What an order was decided by.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OrderInputs {
    /// Upstreams that the present work would keep fully busy.
    pub busy_upstreams: f64,
    /// The same as expected by the time at which a new upstream serves.
    pub expected_busy_upstreams: f64,
    /// Upstreams that the service should have in all zones.
    pub fleet: u32,
    /// Live upstreams of this kind in the zone.
    pub live: u32,
    /// Leaving upstreams of this kind in the zone.
    pub leaving: u32,
}

/// Reason of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// More upstreams are needed.
    More,
    /// Fewer upstreams are needed.
    Fewer,
    /// Upstreams of the other kind take over.
    OtherKind,
    /// Reclaimable upstreams aren't to be had elsewhere.
    Replacement,
    /// An earlier order had no visible effect.
    Repeat,
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The platform accepted it.
    Accepted,
    /// No upstreams of the kind are to be had in the zone at the moment.
    Unavailable,
    /// It wasn't carried out, or that isn't known.
    Failed,
}

impl Display for Reason {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        formatter.write_str(match self {
            Self::More => "more",
            Self::Fewer => "fewer",
            Self::OtherKind => "other_kind",
            Self::Replacement => "replacement",
            Self::Repeat => "repeat",
        })
    }
}
