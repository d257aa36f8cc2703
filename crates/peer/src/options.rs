/// Intervals and limits of the membership protocol.
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
    /// Time between two probes.
    pub probe_interval_us: u64,
    /// Time without an answer after which other members are asked to probe: two round trips across
    /// regions.
    pub ack_timeout_us: u64,
    /// Number of members that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// Time between two additional pings while there are changes to spread.
    pub gossip_interval_us: u64,
    /// Time between two pings of dead members, which detect that one has come back.
    pub dead_probe_interval_us: u64,
    /// Time between two calls above which this process counts as suspended.
    pub pause_threshold_us: u64,
    /// Time after which a dead member that is no longer in the host list is removed.
    pub forget_dead_after_us: u64,
    /// Sending rate in bytes per second, with 28 bytes of IP and UDP headers for each datagram.
    pub send_bytes_per_s: u64,
    /// Bytes that may be sent in one burst after an idle time.
    pub send_burst_bytes: u64,
    /// Sending rate of urgent payloads in bytes per second, beside the rate of all others.
    pub urgent_bytes_per_s: u64,
    /// Bytes of urgent payloads that may be sent in one burst.
    pub urgent_burst_bytes: u64,
    /// Size of the largest datagram. With headers it is below the minimum MTU of IPv6 (1280 bytes),
    /// so it is never fragmented.
    pub datagram_max_bytes: usize,
    /// Largest number of members in the view.
    pub members_max: usize,
}

impl Options {
    /// Returns how long a member is suspected before it is declared dead, for this number of
    /// members.
    ///
    /// Grows with the logarithm of the number, like the time that a rumor and its refutation take
    /// to spread.
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
            // Shorter than the shortest suspicion: others may have declared a process dead that was
            // suspended for longer. After a shorter pause its view is no older than one poll of the
            // store.
            pause_threshold_us: 2_000_000,
            forget_dead_after_us: 3_600_000_000,
            // Half of the 4 KB/s of a daemon, as it receives about as much as it sends.
            send_bytes_per_s: 2_000,
            send_burst_bytes: 4_000,
            // Urgent payloads are rare, as they follow losses of upstreams, or few, as the counts of
            // usage.
            urgent_bytes_per_s: 8_000,
            urgent_burst_bytes: 16_000,
            datagram_max_bytes: 1_200,
            members_max: 2_048,
        }
    }
}

/// Returns the logarithm to base 2, rounded up, at least 1.
pub(crate) fn log2(count: usize) -> u32 {
    count.max(2).next_power_of_two().ilog2()
}
