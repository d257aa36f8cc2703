use crate::{BudgetOptions, ConnectionOptions, ProgressFloor};

/// Memory of a process without callers: code, threads, configuration and the view of a large fleet.
const PROCESS_BYTES: u64 = 24_000_000;

/// Memory of one connection with the head of a request and the buffers of its sockets.
const CONNECTION_BYTES: u64 = 32 * 1024;

/// Memory of a connection whose body waits to be read: the buffers of the server are full.
const WAITING_BYTES: u64 = 64 * 1024;

/// Memory of a connection whose caller doesn't read: the buffers of both of its sides are full.
const STALLED_BYTES: u64 = 200 * 1024;

/// Least number of connections, so that a small host can serve at all.
const CONNECTIONS_MIN: usize = 32;

/// Time since its last request after which a connection of a caller is idle: its answer has been
/// flushed.
const IDLE_US: u64 = 500_000;

/// The same for a connection of an operator, whose requests are answered at once. A crowd that comes
/// again and again must not shut out the question whether the host is ready.
const OPERATOR_IDLE_US: u64 = 0;

/// Connections to each of the ports for operators and for metrics: those of the load balancer, of a
/// collector of metrics and of a few people.
const OPERATOR_CONNECTIONS_MAX: usize = 16;

/// Largest number of bytes of requests of operators that were received and not processed yet.
const OPERATOR_UNREAD_MAX_BYTES: usize = 256 * 1024;

/// Least progress in calm: a hundredth of what a caller gets of a link of 10 Mbit/s that a hundred
/// share.
const FLOOR: ProgressFloor = ProgressFloor {
    bytes_per_s: 1_024,
    window_us: 10_000_000,
};

/// Declared limits of a host and the budgets that follow from them.
///
/// Half of the memory that the process itself doesn't need is for bodies and answers, a quarter for
/// connections; the rest covers the allocator and work in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLimits {
    memory_bytes: Option<u64>,
    descriptors: Option<u64>,
    floor: ProgressFloor,
}

impl HostLimits {
    /// Creates limits from the memory, the descriptors and those of them that callers never get;
    /// `None` means no limit.
    #[must_use]
    pub const fn new(
        memory_bytes: Option<u64>,
        descriptors_max: Option<u64>,
        descriptors_reserved: u64,
    ) -> Self {
        let descriptors = match descriptors_max {
            Some(max) => Some(max.saturating_sub(descriptors_reserved)),
            None => None,
        };
        Self {
            memory_bytes,
            descriptors,
            floor: FLOOR,
        }
    }

    /// Sets the least progress of callers.
    #[must_use]
    pub const fn with_floor(mut self, floor: ProgressFloor) -> Self {
        self.floor = floor;
        self
    }

    /// Returns the limits of bytes, or `None` if the memory is not limited.
    #[must_use]
    pub fn budget(&self) -> Option<BudgetOptions> {
        let memory_bytes = self.callers_bytes()?;
        Some(BudgetOptions {
            bytes_max: memory_bytes / 2,
            waiting_max: count(memory_bytes / 8 / WAITING_BYTES),
            floor: self.floor,
        })
    }

    /// Returns the limits of connections, or `None` if neither memory nor descriptors are limited.
    ///
    /// A third of the descriptors is kept for the connections to upstreams.
    #[must_use]
    pub fn connections(&self) -> Option<ConnectionOptions> {
        let memory_bytes = self.callers_bytes();
        let by_memory = memory_bytes.map(|bytes| count(bytes / 4 / CONNECTION_BYTES));
        let by_descriptors = self
            .descriptors
            .map(|descriptors| count(descriptors / 3 * 2));
        let connections_max = match (by_memory, by_descriptors) {
            (None, None) => return None,
            (Some(count), None) | (None, Some(count)) => count,
            (Some(memory), Some(descriptors)) => memory.min(descriptors),
        };
        let bytes = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
        Some(ConnectionOptions {
            connections_max: connections_max.max(CONNECTIONS_MIN),
            idle_us: IDLE_US,
            unread_bytes_max: memory_bytes.map_or(usize::MAX, |memory| bytes(memory / 8)),
            stalled_max: memory_bytes
                .map_or(usize::MAX, |memory| count(memory / 8 / STALLED_BYTES)),
            floor: self.floor,
        })
    }

    /// Returns the limits of connections to a port for operators, which take neither memory nor
    /// descriptors from callers.
    #[must_use]
    pub const fn operator_connections(&self) -> ConnectionOptions {
        ConnectionOptions {
            connections_max: OPERATOR_CONNECTIONS_MAX,
            idle_us: OPERATOR_IDLE_US,
            unread_bytes_max: OPERATOR_UNREAD_MAX_BYTES,
            stalled_max: OPERATOR_CONNECTIONS_MAX / 2,
            floor: self.floor,
        }
    }

    /// Returns the memory that is left for callers.
    fn callers_bytes(&self) -> Option<u64> {
        self.memory_bytes
            .map(|bytes| bytes.saturating_sub(PROCESS_BYTES))
    }
}

/// Returns a number of connections, at least one.
fn count(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX).max(1)
}
