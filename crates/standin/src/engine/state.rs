use batch::{BatchEngine, Event};
use lease::UpstreamState;
use tokio::sync::mpsc;

use super::EngineStats;
use crate::{EngineControl, text};

/// Load of which reports tell, as it was `report_lag_ms` ago.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Sample {
    pub(super) running: usize,
    pub(super) waiting: usize,
}

pub(super) struct Stream {
    pub(super) id: u64,
    pub(super) prompt: String,
    pub(super) first_index: u32,
    pub(super) sent_tokens: u32,
    pub(super) sender: mpsc::UnboundedSender<Token>,
}

pub(super) struct Token {
    pub(super) text: String,
    pub(super) last: bool,
}

/// State of the engine, shared by its server and its tasks.
pub(super) struct Inner {
    pub(super) batch: BatchEngine,
    pub(super) control: EngineControl,
    pub(super) streams: Vec<Stream>,
    pub(super) stats: EngineStats,
    pub(super) next_id: u64,
    pub(super) samples: Vec<Sample>,
    pub(super) state: UpstreamState,
}

impl Inner {
    pub(super) fn deliver(&mut self, event: Event) {
        let Event::Token { id, index, last } = event;
        let Ok(position) = self.streams.binary_search_by_key(&id, |stream| stream.id) else {
            return;
        };
        let stream = &mut self.streams[position];
        stream.sent_tokens += 1;
        let text = text::answer_word(&stream.prompt, stream.first_index + index);
        let gone = stream.sender.send(Token { text, last }).is_err();
        let dropped = self.control.drop_after_tokens > 0
            && stream.sent_tokens >= self.control.drop_after_tokens;
        if gone {
            self.stats.cancelled += 1;
            self.stats.wasted_tokens += 1;
        }
        if gone || dropped || last {
            self.batch.cancel(id);
            self.streams.remove(position);
        }
    }

    /// Cancels the sequences whose caller has left.
    pub(super) fn reap(&mut self) {
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
