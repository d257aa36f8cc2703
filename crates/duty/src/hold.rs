/// Hold of a host on the duties of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold {
    /// Fencing token of the hold; grows with every change of the holder.
    pub token: u64,
    /// Time at which the hold ends, unless it is renewed, by the caller's clock.
    pub until_us: u64,
    /// Time at which the hold began.
    pub since_us: u64,
}

/// Change of a hold, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldChange {
    /// This host holds the duties.
    Gained {
        /// Fencing token.
        token: u64,
    },
    /// This host no longer holds the duties.
    Lost {
        /// Fencing token.
        token: u64,
        /// Why.
        reason: LossReason,
    },
}

/// Why a hold ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossReason {
    /// It was given back, because the host stops.
    Released,
    /// Calls had no answers, so another host shall try.
    CallsFailed,
    /// It could not be renewed in time, or the process was suspended.
    Expired,
}

impl LossReason {
    /// Returns the name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Released => "released",
            Self::CallsFailed => "calls_failed",
            Self::Expired => "expired",
        }
    }
}
