use serde_json::{Value, json};

use crate::{Chunk, Form};

/// Joins the chunks of a stream into one complete answer.
#[derive(Debug)]
pub struct Assembler {
    form: Form,
    head: Option<Value>,
    text: String,
    finish_reason: Option<String>,
    usage: Option<Value>,
}

impl Assembler {
    /// Creates an empty answer.
    #[must_use]
    pub const fn new(form: Form) -> Self {
        Self {
            form,
            head: None,
            text: String::new(),
            finish_reason: None,
            usage: None,
        }
    }

    /// Adds a chunk.
    pub fn push(&mut self, chunk: &Chunk) {
        if self.head.is_none() {
            self.head = Some(chunk.value.clone());
        }
        self.text.push_str(chunk.text());
        if let Some(reason) = chunk.finish_reason() {
            self.finish_reason = Some(reason.to_owned());
        }
        if let Some(usage) = chunk.usage() {
            self.usage = Some(usage.clone());
        }
    }

    /// Returns the complete answer.
    #[must_use]
    pub fn finish(self) -> Value {
        let head = self.head.unwrap_or_default();
        let mut choice = json!({
            "index": 0,
            "finish_reason": self.finish_reason,
            "logprobs": null,
        });
        match self.form {
            Form::Chat => choice["message"] = json!({"role": "assistant", "content": self.text}),
            Form::Text => choice["text"] = json!(self.text),
        }
        json!({
            "id": head["id"],
            "object": self.form.object(),
            "created": head["created"],
            "model": head["model"],
            "choices": [choice],
            "usage": self.usage,
        })
    }
}
