use std::time::Duration;

use futures::future::LocalBoxFuture;

/// Holder of a duty, in whose name a call is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallHolder<'a> {
    /// Name of the daemon that holds the duty.
    pub name: &'a str,
    /// Fencing token of the hold; grows with every change of the holder.
    pub token: u64,
}

/// Number of upstreams that is ordered for a service in an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamOrder<'a> {
    /// Service.
    pub service: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// Wanted number of upstreams of this kind.
    pub desired: u32,
    /// Whether the platform may reclaim the upstreams.
    pub reclaimable: bool,
}

/// Result of a call to the platform's control service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// The call took effect.
    Accepted,
    /// Upstreams of this kind aren't available there at present; nothing was done.
    Unavailable,
    /// Too many calls; nothing was done. The service may say how long to wait.
    Busy(Option<Duration>),
    /// The service refused the call with this HTTP status; nothing was done.
    Refused(u16),
    /// The service failed with this HTTP status; the call may have taken effect.
    Failed(u16),
    /// The service could not be reached; nothing was sent.
    NotSent,
    /// No answer arrived; the call may have taken effect or may do so later.
    Unknown,
}

impl CallResult {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Unavailable => "unavailable",
            Self::Busy(_) => "busy",
            Self::Refused(_) => "refused",
            Self::Failed(_) => "failed",
            Self::NotSent => "not_sent",
            Self::Unknown => "unknown",
        }
    }

    /// Returns whether the service answered.
    #[must_use]
    pub const fn is_answered(self) -> bool {
        !matches!(self, Self::Failed(_) | Self::NotSent | Self::Unknown)
    }

    /// Returns whether the call may have taken effect without a confirmation.
    #[must_use]
    pub const fn is_uncertain(self) -> bool {
        matches!(self, Self::Failed(_) | Self::Unknown)
    }
}

/// Calls to the platform's control service that only the holder of a duty may make.
///
/// A call that has no answer within `timeout` ends with [`CallResult::Unknown`], and what of it has
/// not reached the service yet is dropped: it must not arrive after the hold has ended.
pub trait CloudAdapter {
    /// Reports how many requests of each client account began to run in a window.
    ///
    /// `counts` are sorted by the name of the account. A repeat with the same counts changes
    /// nothing; one with other counts must never be sent.
    fn report_usage<'a>(
        &'a self,
        holder: CallHolder<'a>,
        window: u64,
        counts: &'a [(String, u64)],
        timeout: Duration,
    ) -> LocalBoxFuture<'a, CallResult>;

    /// Orders a number of upstreams of one kind; the same order again changes nothing.
    fn order_upstreams<'a>(
        &'a self,
        holder: CallHolder<'a>,
        order: UpstreamOrder<'a>,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, CallResult>;
}
