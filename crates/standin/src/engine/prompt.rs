//! Prompt and output length of a request to the engine stand-in.

use serde_json::Value;

use crate::text;

/// Prompt of a request, and which words of its answer to generate.
pub(super) struct Prompt {
    pub(super) text: String,
    pub(super) input_tokens: u32,
    /// Words of the whole answer, including those that a resumed request already has.
    pub(super) output_tokens: u32,
    /// Index of the first word to generate; above 0 for a resumed request.
    pub(super) first_index: u32,
}

impl Prompt {
    /// Reads the body of a chat completion; `continue_final_message` marks a resumed request.
    pub(super) fn from_chat(body: &Value) -> Self {
        let messages = body["messages"]
            .as_array()
            .map(Vec::as_slice)
            .unwrap_or_default();
        let (messages, generated) = match messages.split_last() {
            Some((last, rest)) if body["continue_final_message"] == true => {
                (rest, last["content"].as_str().unwrap_or_default())
            }
            _ => (messages, ""),
        };
        let text = messages
            .iter()
            .map(|message| content_text(&message["content"]))
            .collect();
        Self::new(body, text, generated)
    }

    /// Reads the body of a text completion.
    pub(super) fn from_text(body: &Value) -> Self {
        let (text, generated) = text::split_generated(body["prompt"].as_str().unwrap_or_default());
        Self::new(body, text.to_owned(), generated)
    }

    /// Creates a prompt from its text and the part of the answer that was already generated.
    pub(super) fn new(body: &Value, text: String, generated: &str) -> Self {
        let first_index = u32::try_from(generated.split_whitespace().count()).unwrap_or(0);
        let limit = body["max_completion_tokens"]
            .as_u64()
            .or_else(|| body["max_tokens"].as_u64());
        let limit = limit
            .and_then(|limit| u32::try_from(limit).ok())
            .unwrap_or(u32::MAX);
        let output_tokens = text::answer_tokens(&text).min(limit.saturating_add(first_index));
        let input_tokens = u32::try_from(text.len() / 4 + 1).unwrap_or(u32::MAX);
        Self {
            text,
            input_tokens,
            output_tokens,
            first_index,
        }
    }
}

/// Returns the text of a message's content, which is a string or a list of parts.
fn content_text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts
            .iter()
            .filter_map(|part| part["text"].as_str())
            .collect::<Vec<_>>()
            .join(" "),
        _ => String::new(),
    }
}
