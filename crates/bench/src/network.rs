//! Network model.

use sched::Locality;

use crate::number::{floor_to_u64, to_f64};

/// One-way delay inside an availability zone.
const SAME_ZONE_DELAY_US: u64 = 300;

/// One-way delay between availability zones of a region.
const CROSS_ZONE_DELAY_US: u64 = 1_500;

/// One-way delay between regions.
const CROSS_REGION_DELAY_US: u64 = 30_000;

/// One-way delay between a caller and a daemon.
pub(crate) const CALLER_DELAY_US: u64 = 4_000;

/// Capacity of the link between the regions in each direction, 30 Mbit/s.
const LINK_BYTES_PER_S: f64 = 3_750_000.0;

/// Network with fixed one-way delays and a link of limited capacity between the regions, which all
/// messages share.
#[derive(Debug)]
pub(crate) struct Network {
    bytes_per_s: f64,
    first_region: String,
    /// Time until which each direction of the link is busy.
    busy_until_us: [u64; 2],
    /// Whether the link between the regions is down.
    pub(crate) partitioned: bool,
}

impl Network {
    /// Creates the network; the capacity of the link grows with the fleet by `scale`.
    pub(crate) fn new(scale: f64, first_region: &str) -> Self {
        Self {
            bytes_per_s: LINK_BYTES_PER_S * scale,
            first_region: first_region.to_owned(),
            busy_until_us: [0; 2],
            partitioned: false,
        }
    }

    /// Returns whether a message between two localities would arrive.
    pub(crate) fn reaches(&self, from: &Locality, to: &Locality) -> bool {
        !self.partitioned || from.region == to.region
    }

    /// Sends a message and returns its time of arrival.
    pub(crate) fn send(&mut self, now_us: u64, from: &Locality, to: &Locality, bytes: u64) -> u64 {
        if from.region == to.region {
            return now_us
                + if from.zone == to.zone {
                    SAME_ZONE_DELAY_US
                } else {
                    CROSS_ZONE_DELAY_US
                };
        }
        let direction = usize::from(from.region != self.first_region);
        let start_us = self.busy_until_us[direction].max(now_us);
        self.busy_until_us[direction] =
            start_us + floor_to_u64(to_f64(bytes) * 1e6 / self.bytes_per_s);
        self.busy_until_us[direction] + CROSS_REGION_DELAY_US
    }
}
