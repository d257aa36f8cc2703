use std::collections::VecDeque;

use crate::{Record, Step};

/// Maximum number of records kept for one request. If there are more, the middle ones are dropped,
/// so that the first and the latest remain.
const RECORDS_MAX: usize = 32;

/// Bounded journal of the latest requests, sorted by request ID.
///
/// A lower ID counts as an older request and is dropped first.
#[derive(Debug, Clone)]
pub struct Journal {
    capacity: usize,
    entries: VecDeque<Entry>,
}

#[derive(Debug, Clone)]
struct Entry {
    id: u64,
    records: Vec<Record>,
}

impl Journal {
    /// Creates a journal that holds at most `capacity` requests.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: VecDeque::new(),
        }
    }

    /// Returns the records of a request, oldest first, or `None` if the request was dropped or
    /// never recorded.
    #[must_use]
    pub fn explain(&self, id: u64) -> Option<&[Record]> {
        let index = self.find(id).ok()?;
        Some(&self.entries[index].records)
    }

    /// Returns the number of requests in the journal.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the journal is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records a step of a request.
    ///
    /// A step is ignored if the journal is full and the request is older than all others in it: the
    /// request was dropped before.
    pub fn record(&mut self, at_us: u64, id: u64, step: Step) {
        let index = match self.find(id) {
            Ok(index) => index,
            Err(0) if self.entries.len() >= self.capacity => return,
            Err(index) => {
                let entry = Entry {
                    id,
                    records: Vec::with_capacity(4),
                };
                self.entries.insert(index, entry);
                index
            }
        };
        let records = &mut self.entries[index].records;
        if records.len() >= RECORDS_MAX {
            records.remove(RECORDS_MAX / 2);
        }
        records.push(Record { at_us, step });
        if self.entries.len() > self.capacity {
            self.entries.pop_front();
        }
    }

    /// Returns the index of a request, or the index at which it would be inserted.
    fn find(&self, id: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&id, |entry| entry.id)
    }
}
