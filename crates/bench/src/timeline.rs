use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

use crate::event::Event;

/// Events in order of time, and in order of insertion at the same time.
#[derive(Debug, Default)]
pub(crate) struct Timeline {
    heap: BinaryHeap<Reverse<Entry>>,
    inserted: u64,
}

#[derive(Debug)]
struct Entry {
    at_us: u64,
    sequence: u64,
    event: Event,
}

impl Timeline {
    /// Adds an event.
    pub(crate) fn add(&mut self, at_us: u64, event: Event) {
        self.inserted += 1;
        self.heap.push(Reverse(Entry {
            at_us,
            sequence: self.inserted,
            event,
        }));
    }

    /// Removes the next event and returns it with its time.
    pub(crate) fn next(&mut self) -> Option<(u64, Event)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at_us, entry.event))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at_us, self.sequence).cmp(&(other.at_us, other.sequence))
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Entry {}
