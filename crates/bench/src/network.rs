use sched::Locality;

use crate::number::{float, whole};

/// One-way delay inside an availability zone.
const ZONE_US: u64 = 300;

/// One-way delay between availability zones of a region.
const REGION_US: u64 = 1_500;

/// One-way delay between regions.
const REMOTE_US: u64 = 30_000;

/// One-way delay between a caller and a daemon.
pub(crate) const CLIENT_US: u64 = 4_000;

/// Capacity of the link between the regions in each direction, 30 Mbit/s.
const LINK_BYTES_PER_S: f64 = 3_750_000.0;

/// Delays, and the link between the regions, which all messages share.
#[derive(Debug)]
pub(crate) struct Network {
    bytes_per_s: f64,
    first_region: String,
    /// Time until which each direction is busy.
    busy_us: [u64; 2],
    pub(crate) cut: bool,
}

impl Network {
    /// Creates the network; the link grows with the fleet.
    pub(crate) fn new(scale: f64, first_region: &str) -> Self {
        Self {
            bytes_per_s: LINK_BYTES_PER_S * scale,
            first_region: first_region.to_owned(),
            busy_us: [0; 2],
            cut: false,
        }
    }

    /// Returns whether a message would arrive.
    pub(crate) fn reaches(&self, from: &Locality, to: &Locality) -> bool {
        !self.cut || from.region == to.region
    }

    /// Returns the time of arrival of a message.
    pub(crate) fn send(&mut self, now_us: u64, from: &Locality, to: &Locality, bytes: u64) -> u64 {
        if from.region == to.region {
            return now_us
                + if from.zone == to.zone {
                    ZONE_US
                } else {
                    REGION_US
                };
        }
        let direction = usize::from(from.region != self.first_region);
        let start_us = self.busy_us[direction].max(now_us);
        self.busy_us[direction] = start_us + whole(float(bytes) * 1e6 / self.bytes_per_s);
        self.busy_us[direction] + REMOTE_US
    }
}
