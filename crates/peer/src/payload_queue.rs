/// Largest application payload.
pub(crate) const PAYLOAD_MAX_BYTES: usize = 800;

/// Payloads kept for one destination; an older one is outdated by then.
const PER_DESTINATION: usize = 4;

/// Payloads kept in all.
const KEPT_MAX: usize = 512;

/// Application payloads that wait for a datagram to their destination.
#[derive(Debug, Clone, Default)]
pub(crate) struct PayloadQueue {
    waiting: Vec<(String, Vec<u8>)>,
}

impl PayloadQueue {
    /// Queues a payload; the oldest one gives way where a bound is reached.
    pub(crate) fn push(&mut self, to: &str, bytes: Vec<u8>) {
        if bytes.len() > PAYLOAD_MAX_BYTES {
            return;
        }
        let same = self.waiting.iter().filter(|(name, _)| name == to).count();
        if same >= PER_DESTINATION {
            if let Some(index) = self.waiting.iter().position(|(name, _)| name == to) {
                self.waiting.remove(index);
            }
        } else if self.waiting.len() >= KEPT_MAX {
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

    /// Takes the oldest payloads for a destination that fit into this many bytes.
    pub(crate) fn take(&mut self, to: &str, bytes_max: usize) -> Vec<Vec<u8>> {
        let mut left = bytes_max;
        let mut taken = Vec::new();
        let mut full = false;
        self.waiting.retain_mut(|(name, bytes)| {
            if full || name != to {
                return true;
            }
            // The length prefix takes at most 2 bytes.
            let Some(rest) = left.checked_sub(bytes.len() + 2) else {
                full = true;
                return true;
            };
            left = rest;
            taken.push(std::mem::take(bytes));
            false
        });
        taken
    }
}
