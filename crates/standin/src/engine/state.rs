//! State of the engine stand-in.

use batch::{BatchEngine, Event};
use lease::UpstreamState;
use tokio::sync::mpsc;

use super::EngineStats;
use crate::{EngineControl, text};

/// Load of the engine at one time; `/metrics` reports the sample that is `report_lag_ms` old.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LoadSample {
    pub(super) running: usize,
    pub(super) waiting: usize,
}

/// Running or waiting request and the channel for its tokens.
pub(super) struct Stream {
    pub(super) id: u64,
    pub(super) prompt: String,
    /// Index of the first word to generate; above 0 for a resumed request.
    pub(super) first_index: u32,
    pub(super) sent_tokens: u32,
    pub(super) sender: mpsc::UnboundedSender<Token>,
}

/// Generated token.
pub(super) struct Token {
    pub(super) text: String,
    pub(super) last: bool,
}

/// State that the server and the tasks of an engine share.
pub(super) struct Inner {
    pub(super) batch: BatchEngine,
    pub(super) control: EngineControl,
    pub(super) streams: Vec<Stream>,
    pub(super) stats: EngineStats,
    pub(super) next_id: u64,
    pub(super) samples: Vec<LoadSample>,
    pub(super) state: UpstreamState,
}

impl Inner {
    /// Sends a generated token to its request; removes the request if the token is the last, the
    /// client has disconnected or a fault drops the connection.
    pub(super) fn handle_event(&mut self, event: Event) {
        let Event::Token { id, index, last } = event;
        let Ok(position) = self.streams.binary_search_by_key(&id, |stream| stream.id) else {
            return;
        };
        let stream = &mut self.streams[position];
        stream.sent_tokens += 1;
        let text = text::answer_word(&stream.prompt, stream.first_index + index);
        let is_disconnected = stream.sender.send(Token { text, last }).is_err();
        let is_dropped = self.control.drop_after_tokens > 0
            && stream.sent_tokens >= self.control.drop_after_tokens;
        if is_disconnected {
            self.stats.cancelled += 1;
            self.stats.wasted_tokens += 1;
        }
        if is_disconnected || is_dropped || last {
            self.batch.cancel(id);
            self.streams.remove(position);
        }
    }

    /// Cancels the sequences whose clients have disconnected.
    pub(super) fn cancel_disconnected(&mut self) {
        let batch = &mut self.batch;
        let stats = &mut self.stats;
        self.streams.retain(|stream| {
            if !stream.sender.is_closed() {
                return true;
            }
            batch.cancel(stream.id);
            stats.cancelled += 1;
            false
        });
    }
}
