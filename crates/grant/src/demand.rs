use serde::{Deserialize, Serialize};

use crate::TIERS;

/// Report of a daemon's demand to a home, for the upstreams of that home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Time of the report by the sender's clock; the answer echoes it.
    pub sent_us: u64,
    /// Epoch of the home in which it issued the grants that the items acknowledge.
    pub epoch: u32,
    /// One entry for each upstream.
    pub items: Vec<DemandItem>,
}

/// Demand for one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandItem {
    /// Key of the upstream.
    pub upstream: u32,
    /// Sequence number of the last grant that took effect, 0 for none.
    #[serde(rename = "seen")]
    pub acked_sequence: u32,
    /// Requests that run on the upstream, by tier.
    pub running: [u16; TIERS],
    /// Requests that wait for a slot, by tier.
    pub waiting: [u16; TIERS],
}

impl DemandItem {
    /// Returns the number of running requests.
    #[must_use]
    pub fn running_total(&self) -> u32 {
        self.running.iter().copied().map(u32::from).sum()
    }

    /// Returns the slots that the daemon should keep so that its waiting requests can preempt its
    /// running requests of a lower tier.
    ///
    /// The running requests occupy the slots in any case. With a smaller share the daemon could
    /// start nothing after a preemption, and the requests of the lower tier would run to their end.
    pub(crate) fn preemptible_slots(&self) -> u32 {
        let highest = self.waiting.iter().position(|&count| count > 0);
        let lowest = self.running.iter().rposition(|&count| count > 0);
        match (highest, lowest) {
            (Some(highest), Some(lowest)) if highest < lowest => self.running_total(),
            _ => 0,
        }
    }
}
