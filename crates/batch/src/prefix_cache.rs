use std::collections::VecDeque;

/// Bounded cache of prompt prefixes, least recently used first out.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    capacity_tokens: u64,
    used_tokens: u64,
    entries: VecDeque<(u64, u32)>,
}

impl PrefixCache {
    /// Creates an empty cache.
    #[must_use]
    pub const fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            used_tokens: 0,
            entries: VecDeque::new(),
        }
    }

    /// Returns the cached tokens of a prefix and marks it as used.
    pub fn hit(&mut self, prefix: u64) -> u32 {
        let Some(index) = self.entries.iter().position(|&(id, _)| id == prefix) else {
            return 0;
        };
        let Some(entry) = self.entries.remove(index) else {
            return 0;
        };
        self.entries.push_back(entry);
        entry.1
    }

    /// Adds a prefix and returns the evicted ones.
    pub fn insert(&mut self, prefix: u64, tokens: u32) -> Vec<u64> {
        if self.hit(prefix) == 0 {
            self.entries.push_back((prefix, tokens));
            self.used_tokens += u64::from(tokens);
        }
        let mut evicted = Vec::new();
        while self.used_tokens > self.capacity_tokens {
            let Some((id, tokens)) = self.entries.pop_front() else {
                break;
            };
            self.used_tokens -= u64::from(tokens);
            evicted.push(id);
        }
        evicted
    }
}
