//! Responses of the engine stand-in in the OpenAI-compatible format.

use std::io;

use ntex::util::Bytes;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use wire::{DONE, Form, encode_event};

use super::state::Token;

/// Fields that all chunks of a response share.
pub(super) struct ResponseHead {
    pub(super) form: Form,
    pub(super) model: String,
    pub(super) prompt_tokens: u32,
    pub(super) completion_tokens: u32,
}

impl ResponseHead {
    /// Returns the `usage` object.
    pub(super) fn usage(&self, completion_tokens: u32) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": self.prompt_tokens + completion_tokens,
        })
    }

    /// Returns the chunk of one token.
    pub(super) fn chunk(&self, token: &Token) -> Value {
        let reason = token.last.then_some("stop");
        let choice = match self.form {
            Form::Chat => json!({
                "index": 0, "delta": {"content": token.text}, "finish_reason": reason,
            }),
            Form::Text => json!({"index": 0, "text": token.text, "finish_reason": reason}),
        };
        let object = match self.form {
            Form::Chat => "chat.completion.chunk",
            Form::Text => "text_completion",
        };
        json!({
            "id": "engine", "object": object, "created": 0, "model": self.model,
            "choices": [choice],
        })
    }

    /// Returns the response to a request that doesn't stream.
    pub(super) fn full_response(&self, text: &str, completion_tokens: u32) -> Value {
        let mut choice = json!({"index": 0, "finish_reason": "stop"});
        match self.form {
            Form::Chat => choice["message"] = json!({"role": "assistant", "content": text}),
            Form::Text => choice["text"] = json!(text),
        }
        json!({
            "id": "engine", "object": self.form.object(), "created": 0, "model": self.model,
            "choices": [choice], "usage": self.usage(completion_tokens),
        })
    }
}

/// State of a streaming response: its head, the receiver of tokens, and whether it has ended.
pub(super) type StreamState = (ResponseHead, mpsc::UnboundedReceiver<Token>, bool);

/// Waits for the next token and returns its events; usage and `[DONE]` follow the last token.
///
/// If the engine drops the request, the stream ends with an error, which breaks the connection.
pub(super) async fn next_event(
    (mut head, mut receiver, done): StreamState,
) -> Option<(Result<Bytes, io::Error>, StreamState)> {
    if done {
        return None;
    }
    let Some(token) = receiver.recv().await else {
        return Some((
            Err(io::Error::other("injected fault")),
            (head, receiver, true),
        ));
    };
    head.completion_tokens += 1;
    let mut data = encode_event(&head.chunk(&token).to_string());
    if token.last {
        let usage = json!({
            "id": "engine", "object": "chat.completion.chunk", "created": 0,
            "model": head.model, "choices": [], "usage": head.usage(head.completion_tokens),
        });
        data.push_str(&encode_event(&usage.to_string()));
        data.push_str(&encode_event(DONE));
    }
    Some((Ok(Bytes::from(data)), (head, receiver, token.last)))
}
