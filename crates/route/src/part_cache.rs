use crate::PromptPart;

/// Share of an engine's memory that is taken to hold cached parts; running requests use the rest.
const CACHED_PERCENT: u64 = 70;

/// Part that an engine is believed to keep.
#[derive(Debug, Clone, Copy)]
struct Kept {
    id: u64,
    tokens: u32,
    used_us: u64,
}

/// Parts of prompts that an engine is believed to keep, the least recently used of which yield.
#[derive(Debug, Clone, Default)]
pub struct PartCache {
    /// Sorted by identifier.
    kept: Vec<Kept>,
    tokens: u64,
}

impl PartCache {
    /// Returns the tokens of a prompt that have to be read: those behind its first missing part.
    pub fn unread_tokens(&self, parts: &[PromptPart]) -> u32 {
        let missing = parts.iter().position(|part| self.find(part.id).is_err());
        let unread = missing.map_or(&[][..], |index| &parts[index..]);
        unread.iter().map(|part| part.tokens).sum()
    }

    /// Notes that a prompt was read.
    pub fn insert(&mut self, now_us: u64, parts: &[PromptPart], memory_tokens: u64) {
        for part in parts {
            let kept = Kept {
                id: part.id,
                tokens: part.tokens,
                used_us: now_us,
            };
            match self.find(part.id) {
                Ok(index) => self.kept[index].used_us = now_us,
                Err(index) => {
                    self.kept.insert(index, kept);
                    self.tokens += u64::from(part.tokens);
                }
            }
        }
        self.evict(memory_tokens / 100 * CACHED_PERCENT);
    }

    /// Drops all parts, as after a restart of the engine.
    pub fn clear(&mut self) {
        self.kept.clear();
        self.tokens = 0;
    }

    fn evict(&mut self, limit_tokens: u64) {
        while self.tokens > limit_tokens {
            let oldest = (0..self.kept.len()).min_by_key(|&index| self.kept[index].used_us);
            let Some(oldest) = oldest else { break };
            let kept = self.kept.remove(oldest);
            self.tokens -= u64::from(kept.tokens);
        }
    }

    fn find(&self, id: u64) -> Result<usize, usize> {
        self.kept.binary_search_by_key(&id, |kept| kept.id)
    }
}
