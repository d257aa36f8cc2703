//! Event queue of the simulation.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

/// Event queue, ordered by time and, at the same time, by insertion.
#[derive(Debug)]
pub(crate) struct Timeline<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    inserted: u64,
}

#[derive(Debug)]
struct Entry<E> {
    at_us: u64,
    sequence: u64,
    event: E,
}

impl<E> Default for Timeline<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            inserted: 0,
        }
    }
}

impl<E> Timeline<E> {
    /// Adds an event.
    pub(crate) fn add(&mut self, at_us: u64, event: E) {
        self.inserted += 1;
        self.heap.push(Reverse(Entry {
            at_us,
            sequence: self.inserted,
            event,
        }));
    }

    /// Removes the next event and returns it with its time.
    pub(crate) fn next(&mut self) -> Option<(u64, E)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at_us, entry.event))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at_us, self.sequence).cmp(&(other.at_us, other.sequence))
    }
}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for Entry<E> {}
