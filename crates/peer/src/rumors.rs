/// Records that are spread at a time. Beyond it, as after a start of the whole fleet, comparing
/// views costs less than rumors.
const KEPT_MAX: usize = 32;

/// Names of members whose records are news, with the number of times each was sent.
#[derive(Debug, Clone, Default)]
pub(crate) struct Rumors {
    names: Vec<(String, u32)>,
}

impl Rumors {
    /// Starts to spread the record of a member, or starts anew.
    pub(crate) fn add(&mut self, name: &str) {
        self.remove(name);
        if self.names.len() >= KEPT_MAX {
            let most_sent = (0..KEPT_MAX).max_by_key(|&index| self.names[index].1);
            self.names.remove(most_sent.unwrap_or(0));
        }
        self.names.push((name.to_owned(), 0));
    }

    /// Stops to spread the record of a member.
    pub(crate) fn remove(&mut self, name: &str) {
        self.names.retain(|(other, _)| other != name);
    }

    /// Returns whether a record was sent fewer than this many times.
    pub(crate) fn is_hot(&self, sends: u32) -> bool {
        self.names.iter().any(|(_, sent)| *sent < sends)
    }

    /// Returns the names in the order in which they are to be sent.
    pub(crate) fn order(&self) -> Vec<String> {
        let mut order: Vec<&(String, u32)> = self.names.iter().collect();
        order.sort_by_key(|(_, sent)| *sent);
        order.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// Notes that a record was sent; it is dropped after this many times.
    pub(crate) fn sent(&mut self, name: &str, sends_max: u32) {
        if let Some(index) = self.names.iter().position(|(other, _)| other == name) {
            self.names[index].1 += 1;
            if self.names[index].1 >= sends_max {
                self.names.swap_remove(index);
            }
        }
    }
}
