use bytes::{Bytes, BytesMut};

/// End of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Bytes of an event stream, cut so that only whole events are passed on.
#[derive(Debug, Default)]
pub(super) struct Events {
    partial: BytesMut,
    last_event: Bytes,
}

impl Events {
    /// Takes in bytes and returns the events that are whole by now; empty if there are none.
    pub(super) fn push(&mut self, chunk: Bytes) -> Bytes {
        let whole = if self.partial.is_empty() && chunk.ends_with(EVENT_END) {
            chunk
        } else {
            self.partial.extend_from_slice(&chunk);
            let Some(end) = rfind(&self.partial) else {
                return Bytes::new();
            };
            self.partial.split_to(end).freeze()
        };
        let body = &whole[..whole.len().saturating_sub(EVENT_END.len())];
        let last = rfind(body).unwrap_or(0);
        self.last_event = whole.slice(last..);
        whole
    }

    /// Returns the bytes of an event that broke off, and drops them.
    pub(super) fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Returns the identifier of the last event that was passed on.
    pub(super) fn last_id(&self) -> Option<String> {
        let text = std::str::from_utf8(&self.last_event).ok()?;
        let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
        Some(id.trim().to_owned())
    }
}

/// Returns the index behind the last end of an event.
fn rfind(bytes: &[u8]) -> Option<usize> {
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
