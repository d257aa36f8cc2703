use crate::PromptPart;

/// Share of an engine's memory that is assumed to hold cached parts; running requests use the
/// rest.
const CACHED_PERCENT: u64 = 70;

/// Prompt part that an engine is believed to have cached.
#[derive(Debug, Clone, Copy)]
struct CachedPart {
    id: u64,
    tokens: u32,
    used_us: u64,
    /// Time from which it is expected to be complete, so that others can fetch it.
    complete_us: u64,
}

/// Model of an engine's prompt cache, with least-recently-used eviction.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    /// Sorted by identifier.
    entries: Vec<CachedPart>,
    tokens: u64,
}

impl PrefixCache {
    /// Returns the prompt tokens that the engine has to process: the first part that isn't cached
    /// and all parts after it.
    pub fn unread_tokens(&self, parts: &[PromptPart]) -> u32 {
        let missing = parts.iter().position(|part| self.find(part.id).is_err());
        let unread = missing.map_or(&[][..], |index| &parts[index..]);
        unread.iter().map(|part| part.tokens).sum()
    }

    /// Returns the tokens of the leading parts that are cached.
    pub fn kept_tokens(&self, parts: &[PromptPart]) -> u32 {
        let kept = parts.iter().take_while(|part| self.find(part.id).is_ok());
        kept.map(|part| part.tokens).sum()
    }

    /// Returns the tokens of the leading parts that other engines can fetch.
    pub fn complete_tokens(&self, now_us: u64, parts: &[PromptPart]) -> u32 {
        let is_complete = |part: &&PromptPart| {
            let found = self.find(part.id);
            found.is_ok_and(|index| self.entries[index].complete_us <= now_us)
        };
        let complete = parts.iter().take_while(is_complete);
        complete.map(|part| part.tokens).sum()
    }

    /// Records that a prompt is processed until `complete_us`, and evicts parts beyond the cache's
    /// share of memory.
    pub fn insert(
        &mut self,
        now_us: u64,
        complete_us: u64,
        parts: &[PromptPart],
        kv_capacity_tokens: u64,
    ) {
        for part in parts {
            let entry = CachedPart {
                id: part.id,
                tokens: part.tokens,
                used_us: now_us,
                complete_us,
            };
            match self.find(part.id) {
                Ok(index) => self.entries[index].used_us = now_us,
                Err(index) => {
                    self.entries.insert(index, entry);
                    self.tokens += u64::from(part.tokens);
                }
            }
        }
        self.evict(kv_capacity_tokens / 100 * CACHED_PERCENT);
    }

    /// Removes all parts, as after a restart of the engine.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.tokens = 0;
    }

    fn evict(&mut self, limit_tokens: u64) {
        while self.tokens > limit_tokens {
            let oldest = (0..self.entries.len()).min_by_key(|&index| self.entries[index].used_us);
            let Some(oldest) = oldest else { break };
            let entry = self.entries.remove(oldest);
            self.tokens -= u64::from(entry.tokens);
        }
    }

    fn find(&self, id: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&id, |entry| entry.id)
    }
}
