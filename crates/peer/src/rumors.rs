/// Largest number of records that are spread at a time. When more change, as after a start of all
/// daemons, synchronising the views costs less than rumors.
const RUMORS_MAX: usize = 32;

/// Names of the members whose records are spread by gossip, with the number of times each was sent.
#[derive(Debug, Clone, Default)]
pub(crate) struct Rumors {
    names: Vec<(String, u32)>,
}

impl Rumors {
    /// Starts to spread the record of a member; resets its count if it is being spread already.
    pub(crate) fn add(&mut self, name: &str) {
        self.remove(name);
        if self.names.len() >= RUMORS_MAX {
            let most_sent = (0..RUMORS_MAX).max_by_key(|&index| self.names[index].1);
            self.names.remove(most_sent.unwrap_or(0));
        }
        self.names.push((name.to_owned(), 0));
    }

    /// Stops spreading the record of a member.
    pub(crate) fn remove(&mut self, name: &str) {
        self.names.retain(|(other, _)| other != name);
    }

    /// Returns whether any record was sent fewer than this many times.
    pub(crate) fn is_hot(&self, sends: u32) -> bool {
        self.names.iter().any(|(_, sent)| *sent < sends)
    }

    /// Returns the names in sending order: least often sent first.
    pub(crate) fn order(&self) -> Vec<String> {
        let mut order: Vec<&(String, u32)> = self.names.iter().collect();
        order.sort_by_key(|(_, sent)| *sent);
        order.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// Counts a sent record; it is dropped after `sends_max` times.
    pub(crate) fn sent(&mut self, name: &str, sends_max: u32) {
        if let Some(index) = self.names.iter().position(|(other, _)| other == name) {
            self.names[index].1 += 1;
            if self.names[index].1 >= sends_max {
                self.names.swap_remove(index);
            }
        }
    }
}
