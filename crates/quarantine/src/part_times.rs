/// Largest number of parts; beyond it the one with the oldest time is forgotten.
const PARTS_MAX: usize = 1_024;

/// Last time at which something happened to each of some parts.
#[derive(Debug, Clone, Default)]
pub(crate) struct PartTimes {
    /// Part and time, sorted by part.
    times: Vec<(u64, u64)>,
}

impl PartTimes {
    /// Records a time, unless a later one is known.
    pub(crate) fn note(&mut self, at_us: u64, part: u64) {
        let times = &mut self.times;
        match times.binary_search_by_key(&part, |&(part, _)| part) {
            Ok(index) => times[index].1 = times[index].1.max(at_us),
            Err(index) => times.insert(index, (part, at_us)),
        }
        if times.len() > PARTS_MAX
            && let Some(oldest) = (0..times.len()).min_by_key(|&index| times[index].1)
        {
            times.remove(oldest);
        }
    }

    /// Returns the last time of a part, if it is known.
    pub(crate) fn last_us(&self, part: u64) -> Option<u64> {
        let found = self.times.binary_search_by_key(&part, |&(part, _)| part);
        found.ok().map(|index| self.times[index].1)
    }
}
