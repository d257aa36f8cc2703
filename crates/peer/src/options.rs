/// Periods and bounds of the protocol.
///
/// # Examples
///
/// ```
/// use peer::Options;
///
/// let options = Options::default();
/// assert_eq!(options.suspicion_us(6), 6_000_000);
/// assert_eq!(options.suspicion_us(330), 12_000_000);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Pause between two probes.
    pub probe_interval_us: u64,
    /// Wait for an answer before others are asked to probe. Two round trips across regions.
    pub ack_timeout_us: u64,
    /// Members that are asked to probe on this member's behalf.
    pub indirect_probes: usize,
    /// Pause between two additional pings while there is news to spread.
    pub gossip_interval_us: u64,
    /// Pause between two pings of dead members.
    pub dead_probe_interval_us: u64,
    /// Gap between two ticks that counts as a pause of this process.
    pub pause_threshold_us: u64,
    /// Time after which a dead member that the host list no longer names is forgotten.
    pub forget_dead_after_us: u64,
    /// Bytes sent a second, with 28 bytes of IP and UDP headers for each datagram.
    pub send_bytes_per_s: u64,
    /// Bytes that may be sent at once after a quiet time.
    pub send_burst_bytes: u64,
    /// Largest datagram. Below the smallest IPv6 packet, so it is never fragmented.
    pub datagram_max_bytes: usize,
    /// Largest number of members kept.
    pub members_max: usize,
}

impl Options {
    /// Returns how long a member of a fleet of this size is suspected before it counts as dead.
    ///
    /// Grows with the logarithm, as the time does in which rumor and refutation spread.
    #[must_use]
    pub fn suspicion_us(&self, members: usize) -> u64 {
        self.probe_interval_us * (3 + u64::from(log2(members)))
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            probe_interval_us: 1_000_000,
            ack_timeout_us: 300_000,
            indirect_probes: 3,
            gossip_interval_us: 300_000,
            dead_probe_interval_us: 3_000_000,
            // Shorter than the shortest suspicion: a process that pauses longer may be dead to
            // others; below this its view is no older than one poll of the store.
            pause_threshold_us: 2_000_000,
            forget_dead_after_us: 3_600_000_000,
            // Half of a daemon's 4 KB/s, as a daemon receives about as much as it sends.
            send_bytes_per_s: 2_000,
            send_burst_bytes: 4_000,
            datagram_max_bytes: 1_200,
            members_max: 2_048,
        }
    }
}

/// Returns the logarithm to base 2, rounded up, at least 1.
pub(crate) fn log2(count: usize) -> u32 {
    count.max(2).next_power_of_two().ilog2()
}
