/// Number of sets; with eight ways the table holds 8,192 entries in about 260 KB.
const SETS: usize = 1_024;

/// Entries per set.
const WAYS: usize = 8;

/// Age at which an upstream has probably evicted an unused prefix.
const ENTRY_MAX_AGE_US: u64 = 300_000_000;

#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    prefix_hash: u64,
    upstream: u64,
    used_us: u64,
}

/// Set-associative table of the upstreams that recently served each prompt prefix.
///
/// A new entry replaces the least recently used one of its set. Entries are only hints: if one is
/// wrong, the upstream computes the prefix again.
#[derive(Debug, Clone, Default)]
pub struct PrefixTable {
    entries: Vec<Entry>,
}

impl PrefixTable {
    /// Records that an upstream, identified by the hash of its name, holds a prefix.
    pub fn insert(&mut self, now_us: u64, prefix_hash: u64, upstream: u64) {
        if prefix_hash == 0 {
            return;
        }
        if self.entries.is_empty() {
            self.entries = vec![Entry::default(); SETS * WAYS];
        }
        let set = &mut self.entries[set_start(prefix_hash)..][..WAYS];
        let same = set
            .iter()
            .position(|entry| entry.prefix_hash == prefix_hash && entry.upstream == upstream);
        let oldest = (0..WAYS).min_by_key(|&way| set[way].used_us);
        if let Some(way) = same.or(oldest) {
            set[way] = Entry {
                prefix_hash,
                upstream,
                used_us: now_us,
            };
        }
    }

    /// Removes the record that an upstream holds a prefix.
    pub fn remove(&mut self, prefix_hash: u64, upstream: u64) {
        if self.entries.is_empty() || prefix_hash == 0 {
            return;
        }
        for entry in &mut self.entries[set_start(prefix_hash)..][..WAYS] {
            if entry.prefix_hash == prefix_hash && entry.upstream == upstream {
                *entry = Entry::default();
            }
        }
    }

    /// Returns the upstreams that probably hold a prefix.
    pub fn find(&self, now_us: u64, prefix_hash: u64) -> impl Iterator<Item = u64> {
        let known = !self.entries.is_empty() && prefix_hash != 0;
        let set = if known {
            &self.entries[set_start(prefix_hash)..][..WAYS]
        } else {
            &[]
        };
        set.iter()
            .filter(move |entry| {
                entry.prefix_hash == prefix_hash
                    && now_us.saturating_sub(entry.used_us) < ENTRY_MAX_AGE_US
            })
            .map(|entry| entry.upstream)
    }
}

/// Returns the index of the first entry of a prefix's set.
fn set_start(prefix_hash: u64) -> usize {
    (prefix_hash.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize % SETS * WAYS
}
