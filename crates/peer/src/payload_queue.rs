/// Size of the largest application payload.
pub(crate) const PAYLOAD_MAX_BYTES: usize = 800;

/// Largest number of payloads for one destination; newer payloads supersede older ones.
const PER_DESTINATION_MAX: usize = 4;

/// Largest number of payloads for all destinations.
const PAYLOADS_MAX: usize = 512;

/// Queue of application payloads that wait for a datagram to their destination.
#[derive(Debug, Clone, Default)]
pub(crate) struct PayloadQueue {
    waiting: Vec<(String, Vec<u8>)>,
}

impl PayloadQueue {
    /// Queues a payload; at a limit the oldest one is dropped.
    pub(crate) fn push(&mut self, to: &str, bytes: Vec<u8>) {
        if bytes.len() > PAYLOAD_MAX_BYTES {
            return;
        }
        let same = self.waiting.iter().filter(|(name, _)| name == to).count();
        if same >= PER_DESTINATION_MAX {
            if let Some(index) = self.waiting.iter().position(|(name, _)| name == to) {
                self.waiting.remove(index);
            }
        } else if self.waiting.len() >= PAYLOADS_MAX {
            self.waiting.remove(0);
        }
        self.waiting.push((to.to_owned(), bytes));
    }

    /// Returns the destination of the oldest payload and its size.
    pub(crate) fn first(&self) -> Option<(&str, usize)> {
        let (name, bytes) = self.waiting.first()?;
        Some((name, bytes.len()))
    }

    /// Returns the number of waiting payloads.
    pub(crate) const fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Drops the oldest payload.
    pub(crate) fn drop_first(&mut self) {
        if !self.waiting.is_empty() {
            self.waiting.remove(0);
        }
    }

    /// Drops all payloads for a destination.
    pub(crate) fn drop_all(&mut self, to: &str) {
        self.waiting.retain(|(name, _)| name != to);
    }

    /// Removes and returns the oldest payloads for a destination that fit into `bytes_max`.
    pub(crate) fn take(&mut self, to: &str, bytes_max: usize) -> Vec<Vec<u8>> {
        let mut remaining = bytes_max;
        let mut taken = Vec::new();
        let mut full = false;
        self.waiting.retain_mut(|(name, bytes)| {
            if full || name != to {
                return true;
            }
            // The length prefix takes at most 2 bytes.
            let Some(rest) = remaining.checked_sub(bytes.len() + 2) else {
                full = true;
                return true;
            };
            remaining = rest;
            taken.push(std::mem::take(bytes));
            false
        });
        taken
    }
}
