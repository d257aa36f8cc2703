use crate::{Counts, Origin, Page};

/// Sums of one origin in one window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sums {
    /// Number of the window.
    pub window: u64,
    /// Run that counted.
    pub origin: Origin,
    /// Counts by account.
    pub counts: Counts,
    /// Sum over all accounts at the end of the window, once it is known.
    pub closed_total: Option<u64>,
}

impl Sums {
    /// Returns whether the window is over at the origin and all of its counts are known.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.closed_total
            .is_some_and(|total| self.counts.total() >= total)
    }
}

/// Sums of all origins in the windows that aren't reported yet.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Sorted by window and origin.
    sums: Vec<Sums>,
}

impl Tally {
    /// Returns the sums of an origin in a window, which are created if there are none.
    pub fn entry(&mut self, window: u64, origin: &Origin) -> &mut Sums {
        let index = match self.find(window, origin) {
            Ok(index) => index,
            Err(index) => {
                let sums = Sums {
                    window,
                    origin: origin.clone(),
                    counts: Counts::default(),
                    closed_total: None,
                };
                self.sums.insert(index, sums);
                index
            }
        };
        &mut self.sums[index]
    }

    /// Adds what a page says.
    pub fn merge(&mut self, page: &Page) {
        let sums = self.entry(page.window, &page.origin);
        sums.closed_total = sums.closed_total.max(page.closed_total);
        for (account, sum) in &page.sums {
            sums.counts.raise(account, *sum);
        }
    }

    /// Returns all sums, sorted by window and origin.
    #[must_use]
    pub fn sums(&self) -> &[Sums] {
        &self.sums
    }

    /// Returns the sums of a window.
    #[must_use]
    pub fn of_window(&self, window: u64) -> &[Sums] {
        let start = self.sums.partition_point(|sums| sums.window < window);
        let end = self.sums.partition_point(|sums| sums.window <= window);
        &self.sums[start..end]
    }

    /// Returns the counts of a window over all origins.
    #[must_use]
    pub fn counts(&self, window: u64) -> Counts {
        let mut counts = Counts::default();
        for sums in self.of_window(window) {
            for (account, count) in sums.counts.entries() {
                counts.add(account, *count);
            }
        }
        counts
    }

    /// Returns whether each of these hosts has told all of its counts of a window.
    ///
    /// A run that has ended never closes its window, so one complete run of a host suffices.
    #[must_use]
    pub fn is_complete<'a, I>(&self, window: u64, hosts: I) -> bool
    where
        I: IntoIterator<Item = &'a str>,
    {
        let of_window = self.of_window(window);
        hosts.into_iter().all(|host| {
            let mut of_host = of_window.iter().filter(|sums| sums.origin.host == host);
            of_host.any(Sums::is_complete)
        })
    }

    /// Returns whether a host has told counts of several runs.
    #[must_use]
    pub fn has_restarted(&self, host: &str) -> bool {
        let mut runs = self.sums.iter().filter(|sums| sums.origin.host == host);
        let first = runs.next();
        first.is_some_and(|first| runs.any(|sums| sums.origin.run != first.origin.run))
    }

    /// Forgets the windows before this one.
    pub fn forget_before(&mut self, window: u64) {
        self.sums.retain(|sums| sums.window >= window);
    }

    fn find(&self, window: u64, origin: &Origin) -> Result<usize, usize> {
        self.sums
            .binary_search_by(|sums| (sums.window, &sums.origin).cmp(&(window, origin)))
    }
}
