/// Parts in one generation. Two generations take 256 KB, and hold the parts of some minutes on a
/// busy daemon.
const GENERATION_MAX: usize = 8_192;

/// Parts to which an answer began, with the time of the last one.
///
/// The number of parts is bounded: when the younger of two generations is full, the older one is
/// forgotten.
#[derive(Debug, Clone, Default)]
pub(crate) struct AnsweredParts {
    /// Sorted by part.
    young: Vec<(u64, u64)>,
    /// Sorted by part.
    old: Vec<(u64, u64)>,
}

impl AnsweredParts {
    /// Records that an answer to a part began.
    pub(crate) fn insert(&mut self, now_us: u64, part: u64) {
        match self.young.binary_search_by_key(&part, |&(part, _)| part) {
            Ok(index) => self.young[index].1 = now_us,
            Err(index) => {
                self.young.insert(index, (part, now_us));
                if self.young.len() >= GENERATION_MAX {
                    self.old = std::mem::take(&mut self.young);
                }
            }
        }
    }

    /// Returns when an answer to a part last began, if that is still known.
    pub(crate) fn last_us(&self, part: u64) -> Option<u64> {
        let find = |parts: &[(u64, u64)]| {
            let found = parts.binary_search_by_key(&part, |&(part, _)| part);
            found.ok().map(|index| parts[index].1)
        };
        find(&self.young).or_else(|| find(&self.old))
    }
}
