use serde::{Deserialize, Serialize};

/// Counts by client account, sorted by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Counts {
    entries: Vec<(String, u64)>,
}

impl Counts {
    /// Adds to the count of an account.
    pub fn add(&mut self, account: &str, count: u64) {
        let entry = self.entry(account);
        *entry = entry.saturating_add(count);
    }

    /// Raises the count of an account to a newer, never lower one.
    pub fn raise(&mut self, account: &str, count: u64) {
        let entry = self.entry(account);
        *entry = (*entry).max(count);
    }

    /// Returns the count of an account.
    #[must_use]
    pub fn get(&self, account: &str) -> u64 {
        self.find(account).map_or(0, |index| self.entries[index].1)
    }

    /// Returns the entries, sorted by account.
    #[must_use]
    pub fn entries(&self) -> &[(String, u64)] {
        &self.entries
    }

    /// Returns the sum over all accounts.
    #[must_use]
    pub fn total(&self) -> u64 {
        let counts = self.entries.iter().map(|(_, count)| count);
        counts.fold(0, |sum, &count| sum.saturating_add(count))
    }

    fn find(&self, account: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|(name, _)| name.as_str().cmp(account))
    }

    fn entry(&mut self, account: &str) -> &mut u64 {
        let index = match self.find(account) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, (account.to_owned(), 0));
                index
            }
        };
        &mut self.entries[index].1
    }
}
