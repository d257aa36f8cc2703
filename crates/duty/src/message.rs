//! Messages between daemons about usage.

use serde::{Deserialize, Serialize};

/// Run of a daemon whose requests are counted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// Name of the host.
    pub host: String,
    /// Distinguishes this run from all others.
    pub run: u64,
}

/// Page of the sums of one origin in one window.
///
/// Sums only grow, so a receiver keeps the largest that it was told: loss, repeats and reordering
/// of pages change nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Number of the window.
    pub window: u64,
    /// Run that counted.
    pub origin: Origin,
    /// Sum over all accounts, if the window is over at the origin.
    pub closed_total: Option<u64>,
    /// Sums of some accounts.
    pub sums: Vec<(String, u64)>,
}

/// Message between daemons about usage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Sums of an origin, for a daemon that keeps them.
    Page(Page),
    /// The holder has not got all sums of a window.
    Want {
        /// Number of the window.
        window: u64,
        /// Whether it wants what the receiver keeps of hosts that are gone, too.
        orphans: bool,
        /// The sender.
        holder: HolderNotice,
    },
    /// The sender holds the duties.
    Holder(HolderNotice),
}

/// Who holds the duties.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderNotice {
    /// Name of the host.
    pub host: String,
    /// Its fencing token; the highest one is the newest.
    pub token: u64,
}
