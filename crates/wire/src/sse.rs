/// Data of the last event of a stream.
pub const DONE: &str = "[DONE]";

/// Incremental decoder of server-sent events.
///
/// # Examples
///
/// ```
/// let mut decoder = wire::SseDecoder::default();
/// let mut events = Vec::new();
/// decoder.push(b"data: {\"a\":", &mut events);
/// decoder.push(b"1}\n\ndata: [DONE]\n\n", &mut events);
/// assert_eq!(events, ["{\"a\":1}", "[DONE]"]);
/// ```
#[derive(Debug, Default)]
pub struct SseDecoder {
    line: Vec<u8>,
    data: String,
    has_data: bool,
}

impl SseDecoder {
    /// Decodes bytes and appends the data of every complete event.
    pub fn push(&mut self, bytes: &[u8], events: &mut Vec<String>) {
        for &byte in bytes {
            if byte == b'\n' {
                self.end_line(events);
            } else {
                self.line.push(byte);
            }
        }
    }

    /// Returns the number of bytes that are held for an incomplete event.
    #[must_use]
    pub const fn pending_bytes(&self) -> usize {
        self.line.len() + self.data.len()
    }

    fn end_line(&mut self, events: &mut Vec<String>) {
        if self.line.last() == Some(&b'\r') {
            self.line.pop();
        }
        if self.line.is_empty() {
            if self.has_data {
                events.push(std::mem::take(&mut self.data));
                self.has_data = false;
            }
        } else if let Some(value) = self.line.strip_prefix(b"data:") {
            if self.has_data {
                self.data.push('\n');
            }
            let value = value.strip_prefix(b" ").unwrap_or(value);
            self.data.push_str(&String::from_utf8_lossy(value));
            self.has_data = true;
        }
        self.line.clear();
    }
}

/// Encodes one event.
#[must_use]
pub fn encode_event(data: &str) -> String {
    format!("data: {data}\n\n")
}
