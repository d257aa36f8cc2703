//! Cache of prefilled parts of prompts.

use std::collections::VecDeque;

/// One cached part of a prompt.
#[derive(Debug, Clone, Copy)]
struct Entry {
    id: u64,
    tokens: u32,
    /// Number of running sequences with this part, which isn't evicted while there are any.
    pins: u32,
}

/// Bounded cache of prefilled parts of prompts with LRU eviction.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    used_tokens: u64,
    /// Least recently used first.
    entries: VecDeque<Entry>,
}

impl PrefixCache {
    /// Creates an empty cache.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            used_tokens: 0,
            entries: VecDeque::new(),
        }
    }

    /// Returns the number of tokens of all cached parts.
    #[must_use]
    pub const fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    /// Returns the number of tokens of the parts that running sequences use.
    #[must_use]
    pub fn pinned_tokens(&self) -> u64 {
        let pinned = self.entries.iter().filter(|entry| entry.pins > 0);
        pinned.map(|entry| u64::from(entry.tokens)).sum()
    }

    /// Returns the number of cached tokens at the start of a prompt.
    ///
    /// A part counts only if all parts before it are cached.
    #[must_use]
    pub fn cached_tokens(&self, parts: &[(u64, u32)]) -> u32 {
        let cached = parts.iter().map_while(|&(id, tokens)| {
            let entry = self.entries.iter().find(|entry| entry.id == id);
            entry.map(|entry| entry.tokens.min(tokens))
        });
        cached.sum()
    }

    /// Adds the parts of a prompt that starts to run, pins them and marks them as recently used.
    pub fn pin(&mut self, parts: &[(u64, u32)]) {
        for &(id, tokens) in parts {
            let entry = match self.entries.iter().position(|entry| entry.id == id) {
                Some(index) => self.entries.remove(index),
                None => None,
            };
            let mut entry = entry.unwrap_or_else(|| {
                self.used_tokens += u64::from(tokens);
                Entry {
                    id,
                    tokens,
                    pins: 0,
                }
            });
            entry.pins += 1;
            self.entries.push_back(entry);
        }
    }

    /// Unpins the parts of a prompt that no longer runs; they stay cached until evicted.
    pub fn unpin(&mut self, parts: &[(u64, u32)]) {
        for &(id, _) in parts {
            if let Some(entry) = self.entries.iter_mut().find(|entry| entry.id == id) {
                entry.pins = entry.pins.saturating_sub(1);
            }
        }
    }

    /// Evicts unpinned parts until at most `tokens` are used or no such part is left.
    pub fn shrink(&mut self, tokens: u64) {
        let mut used_tokens = self.used_tokens;
        self.entries.retain(|entry| {
            let evict = used_tokens > tokens && entry.pins == 0;
            if evict {
                used_tokens -= u64::from(entry.tokens);
            }
            !evict
        });
        self.used_tokens = used_tokens;
    }
}
