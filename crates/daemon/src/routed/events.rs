//! Splits a byte stream into complete server-sent events.

use std::fmt;

use bytes::{Bytes, BytesMut};

use crate::answer::EVENT_MAX_BYTES;

/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Reason why received bytes aren't passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EventError {
    /// An event is longer than is held back.
    TooLarge,
    /// A resumed stream doesn't go on with an event after the last one.
    NotNext,
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "event without end",
            Self::NotNext => "resumed with another event than the next",
        })
    }
}

/// Buffer that passes on only complete server-sent events and holds back an incomplete one.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    partial: BytesMut,
    last_event: Bytes,
    /// Whether the next event is the first one of a resumed stream.
    resumes: bool,
}

impl EventBuffer {
    /// Adds received bytes and returns the events that are now complete; empty if there are none.
    ///
    /// # Errors
    ///
    /// [`EventError::TooLarge`] if the incomplete event exceeds its limit; the buffer is empty then.
    /// [`EventError::NotNext`] if the first event of a resumed stream has no greater `id` than the
    /// last event before.
    pub(super) fn push(&mut self, chunk: Bytes) -> Result<Bytes, EventError> {
        let complete = if self.partial.is_empty() && chunk.ends_with(EVENT_END) {
            chunk
        } else {
            // A terminator may begin in the bytes before the chunk; the rest was searched before.
            let searched = self.partial.len().saturating_sub(EVENT_END.len() - 1);
            self.partial.extend_from_slice(&chunk);
            let end = last_event_end(&self.partial[searched..]);
            let complete = self.partial.split_to(end.map_or(0, |end| searched + end));
            if complete.is_empty() && self.partial.len() > EVENT_MAX_BYTES {
                self.partial = BytesMut::new();
                return Err(EventError::TooLarge);
            }
            complete.freeze()
        };
        if complete.is_empty() {
            return Ok(complete);
        }
        if std::mem::take(&mut self.resumes) && !self.is_next(&complete) {
            self.partial = BytesMut::new();
            return Err(EventError::NotNext);
        }
        let body = &complete[..complete.len().saturating_sub(EVENT_END.len())];
        let last = last_event_end(body).unwrap_or(0);
        self.last_event = complete.slice(last..);
        Ok(complete)
    }

    /// Begins to read from another upstream; a stream that had begun goes on after its last event.
    pub(super) fn restart(&mut self) {
        self.partial.clear();
        self.resumes = !self.last_event.is_empty();
    }

    /// Returns whether the first event has a greater `id` than the last one that was passed on.
    ///
    /// Identifiers that aren't numbers can't be compared.
    fn is_next(&self, events: &[u8]) -> bool {
        let Some(id) = id_of(events) else {
            return false;
        };
        let number = |id: &str| id.parse::<u64>().ok();
        match (number(&id), self.last_id().as_deref().and_then(number)) {
            (Some(id), Some(last)) => id > last,
            _ => true,
        }
    }

    /// Removes and returns the bytes of an incomplete event.
    pub(super) fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Returns the `id` field of the last event that was passed on.
    pub(super) fn last_id(&self) -> Option<String> {
        id_of(&self.last_event)
    }
}

/// Returns the `id` field of the first of some events.
fn id_of(events: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(events).ok()?;
    let mut lines = text.lines().take_while(|line| !line.is_empty());
    let id = lines.find_map(|line| line.strip_prefix("id:"))?;
    Some(id.trim().to_owned())
}

/// Returns the index after the last event terminator.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let windows = bytes.windows(EVENT_END.len());
    windows
        .enumerate()
        .rev()
        .find(|(_, window)| *window == EVENT_END)
        .map(|(index, _)| index + EVENT_END.len())
}

#[cfg(test)]
#[path = "events_tests.rs"]
mod tests;
