//! Splits a byte stream into complete server-sent events.

use bytes::{Bytes, BytesMut};

/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Buffer that passes on only complete server-sent events and holds back an incomplete one.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    partial: BytesMut,
    last_event: Bytes,
}

impl EventBuffer {
    /// Adds received bytes and returns the events that are now complete; empty if there are none.
    pub(super) fn push(&mut self, chunk: Bytes) -> Bytes {
        let complete = if self.partial.is_empty() && chunk.ends_with(EVENT_END) {
            chunk
        } else {
            self.partial.extend_from_slice(&chunk);
            let Some(end) = last_event_end(&self.partial) else {
                return Bytes::new();
            };
            self.partial.split_to(end).freeze()
        };
        let body = &complete[..complete.len().saturating_sub(EVENT_END.len())];
        let last = last_event_end(body).unwrap_or(0);
        self.last_event = complete.slice(last..);
        complete
    }

    /// Removes and returns the bytes of an incomplete event.
    pub(super) fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Returns the `id` field of the last event that was passed on.
    pub(super) fn last_id(&self) -> Option<String> {
        let text = std::str::from_utf8(&self.last_event).ok()?;
        let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
        Some(id.trim().to_owned())
    }
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
