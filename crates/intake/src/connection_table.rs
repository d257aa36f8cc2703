use std::{collections::HashMap, hash::Hash};

use crate::{ProgressFloor, progress::Progress};

/// Time without a byte of a body after which its connection may make room for another one: longer
/// than a lost segment takes to be sent again.
const QUIET_US: u64 = 1_000_000;

/// Limits of a [`ConnectionTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionOptions {
    /// Largest number of open connections.
    pub connections_max: usize,
    /// Time since its last request after which a connection is idle and may make room for another.
    pub idle_us: u64,
    /// Largest number of bytes that were received on all connections and not processed yet.
    pub unread_bytes_max: usize,
    /// Largest number of connections whose callers read more slowly than they are written to.
    pub stalled_max: usize,
    /// Least progress of such callers, and of those that send a body.
    pub floor: ProgressFloor,
}

impl ConnectionOptions {
    /// Returns the limits of one of several threads that share them.
    #[must_use]
    pub fn divided_by(self, threads: usize) -> Self {
        let part = |limit: usize| (limit / threads.max(1)).max(1);
        Self {
            connections_max: part(self.connections_max),
            idle_us: self.idle_us,
            unread_bytes_max: part(self.unread_bytes_max),
            stalled_max: part(self.stalled_max),
            floor: self.floor,
        }
    }
}

/// State of a connection that its socket shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionState {
    /// Whether it is closed.
    pub closed: bool,
    /// Bytes that were received and not processed yet.
    pub unread_bytes: usize,
    /// Whether bytes wait to be sent because the caller doesn't read them yet.
    pub stalled: bool,
    /// Bytes that were sent since the connection was opened.
    pub sent_bytes: u64,
    /// Bytes that were received since the connection was opened.
    pub received_bytes: u64,
    /// Time at which the last of them were received.
    pub received_us: u64,
}

/// Time during which a caller reads more slowly than it is written to.
#[derive(Debug)]
struct Stall {
    /// Time since which nothing was sent.
    since_us: u64,
    sent_bytes: u64,
    progress: Progress,
}

/// Time during which the body of a request is received.
#[derive(Debug)]
struct Receipt {
    /// Bytes that were received on the connection at the last look; `None` before the first one.
    received_bytes: Option<u64>,
    progress: Progress,
    /// Whether the last window had less progress than the floor.
    is_slow: bool,
}

#[derive(Debug)]
struct Entry {
    last_us: u64,
    requests: u32,
    receipt: Option<Receipt>,
    stall: Option<Stall>,
    unread_since_us: Option<u64>,
}

/// Open connections of callers.
#[derive(Debug)]
pub struct ConnectionTable<K> {
    options: ConnectionOptions,
    /// The key of a connection has no order.
    entries: HashMap<K, Entry>,
}

impl<K> ConnectionTable<K>
where
    K: Clone + Eq + Hash,
{
    /// Creates an empty table.
    #[must_use]
    pub fn new(options: ConnectionOptions) -> Self {
        Self {
            options,
            entries: HashMap::new(),
        }
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether another connection exceeds the limit.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.options.connections_max
    }

    /// Adds a connection.
    pub fn insert(&mut self, now_us: u64, key: K) {
        let entry = Entry {
            last_us: now_us,
            requests: 0,
            receipt: None,
            stall: None,
            unread_since_us: None,
        };
        self.entries.insert(key, entry);
    }

    /// Removes a connection.
    pub fn remove(&mut self, key: &K) {
        self.entries.remove(key);
    }

    /// Returns the connection that has been idle for longest, to be closed for a new one; `None` if
    /// all are in use.
    #[must_use]
    pub fn longest_idle(&self, now_us: u64) -> Option<K> {
        let idle = self.entries.iter().filter(|(_, entry)| {
            entry.requests == 0 && now_us.saturating_sub(entry.last_us) >= self.options.idle_us
        });
        let longest = idle.min_by_key(|(_, entry)| entry.last_us);
        longest.map(|(key, _)| key.clone())
    }

    /// Returns the connection to be closed for a new one if none is idle: of those whose body isn't
    /// complete and has come to a halt, or comes below the floor of progress, the one that has sent
    /// nothing for longest. Such a request was not run, and its caller may repeat it.
    #[must_use]
    pub fn slowest_sender<F>(&self, now_us: u64, state_of: F) -> Option<K>
    where
        F: Fn(&K) -> ConnectionState,
    {
        let senders = self.entries.iter().filter_map(|(key, entry)| {
            let receipt = entry.receipt.as_ref()?;
            let last_us = state_of(key).received_us.max(entry.last_us);
            let is_quiet = now_us.saturating_sub(last_us) >= QUIET_US;
            (is_quiet || receipt.is_slow).then_some((last_us, key))
        });
        let slowest = senders.min_by_key(|&(last_us, _)| last_us);
        slowest.map(|(_, key)| key.clone())
    }

    /// Records that a request begins on a connection, whose body isn't complete yet.
    pub fn begin_request(&mut self, now_us: u64, key: &K) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.requests += 1;
            entry.last_us = now_us;
            entry.receipt = Some(Receipt {
                received_bytes: None,
                progress: Progress::new(now_us),
                is_slow: false,
            });
        }
    }

    /// Records that the body of a request is complete: its connection is kept until it ends.
    pub fn end_receipt(&mut self, key: &K) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.receipt = None;
        }
    }

    /// Records that a request has ended on a connection.
    pub fn end_request(&mut self, now_us: u64, key: &K) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.requests = entry.requests.saturating_sub(1);
            entry.receipt = None;
            entry.last_us = now_us;
        }
    }

    /// Looks at all connections; forgets the closed ones and returns those to close: callers that
    /// read less than the floor, and the first of those that make others wait for memory.
    pub fn sweep<F>(&mut self, now_us: u64, state_of: F) -> Vec<K>
    where
        F: Fn(&K) -> ConnectionState,
    {
        let floor = self.options.floor;
        let mut unread_bytes = 0;
        let mut unread = Vec::new();
        let mut stalled = Vec::new();
        let mut closed = Vec::new();
        self.entries.retain(|key, entry| {
            let state = state_of(key);
            if state.closed {
                return false;
            }
            if state.unread_bytes > 0 && entry.requests == 0 {
                let since_us = *entry.unread_since_us.get_or_insert(now_us);
                unread_bytes += state.unread_bytes;
                unread.push((since_us, state.unread_bytes, key.clone()));
            } else {
                entry.unread_since_us = None;
            }
            if let Some(receipt) = &mut entry.receipt {
                receipt.look(now_us, state.received_bytes, floor.pressed());
            }
            if state.stalled {
                let new = || Stall::new(now_us, state.sent_bytes);
                let stall = entry.stall.get_or_insert_with(new);
                if stall.is_below(now_us, state.sent_bytes, floor) {
                    closed.push(key.clone());
                } else {
                    stalled.push((stall.since_us, stall.sent_bytes, key.clone()));
                }
            } else {
                entry.stall = None;
            }
            true
        });
        unread.sort_by_key(|&(since_us, bytes, _)| (since_us, std::cmp::Reverse(bytes)));
        for (_, bytes, key) in unread {
            if unread_bytes <= self.options.unread_bytes_max {
                break;
            }
            unread_bytes -= bytes;
            closed.push(key);
        }
        stalled.sort_by_key(|&(since_us, sent_bytes, _)| (since_us, sent_bytes));
        let surplus = stalled.len().saturating_sub(self.options.stalled_max);
        closed.extend(stalled.into_iter().take(surplus).map(|(.., key)| key));
        closed
    }
}

impl Receipt {
    /// Records what was received since the last look.
    fn look(&mut self, now_us: u64, received_bytes: u64, floor: ProgressFloor) {
        let before_bytes = self.received_bytes.replace(received_bytes);
        let before_bytes = before_bytes.unwrap_or(received_bytes);
        self.progress
            .add(received_bytes.saturating_sub(before_bytes));
        if let Some(is_below) = self.progress.end_window(now_us, floor) {
            self.is_slow = is_below;
        }
    }
}

impl Stall {
    const fn new(now_us: u64, sent_bytes: u64) -> Self {
        Self {
            since_us: now_us,
            sent_bytes,
            progress: Progress::new(now_us),
        }
    }

    /// Records what was sent and returns whether it was less than the floor over a whole window.
    const fn is_below(&mut self, now_us: u64, sent_bytes: u64, floor: ProgressFloor) -> bool {
        let bytes = sent_bytes.saturating_sub(self.sent_bytes);
        if bytes > 0 {
            self.since_us = now_us;
            self.sent_bytes = sent_bytes;
            self.progress.add(bytes);
        }
        self.progress.is_below(now_us, floor)
    }
}
