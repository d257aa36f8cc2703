use std::{error::Error, fmt};

use serde_json::{Map, Value, json};

use crate::Form;

/// Characters of English, Spanish or Portuguese text in one token, on average.
const CHARS_PER_TOKEN: usize = 4;

/// Tokens that a vision model spends on one photo.
const TOKENS_PER_IMAGE: u32 = 1_000;

/// Completion request of a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    form: Form,
    body: Map<String, Value>,
    model: String,
    class: Option<String>,
}

/// Why a body is not a valid request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestError {
    /// Which field is wrong and what it has to be.
    pub detail: String,
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl Error for RequestError {}

impl Request {
    /// Parses the body of a request.
    ///
    /// # Errors
    ///
    /// Names the first field that is missing or has a wrong type.
    pub fn parse(form: Form, body: &[u8]) -> Result<Self, RequestError> {
        let body: Map<String, Value> =
            serde_json::from_slice(body).map_err(|error| RequestError {
                detail: format!("JSON: {error}."),
            })?;
        let Some(named) = body.get("model").and_then(Value::as_str) else {
            return Err(invalid("`model` must be a string."));
        };
        let (model, class) = match named.split_once('@') {
            Some((model, class)) => (model.to_owned(), Some(class.to_owned())),
            None => (named.to_owned(), None),
        };
        match form {
            Form::Chat if !body.get("messages").is_some_and(is_filled_array) => {
                return Err(invalid(
                    "`messages` must be a list with at least one message.",
                ));
            }
            Form::Text if !body.get("prompt").is_some_and(Value::is_string) => {
                return Err(invalid("`prompt` must be a string."));
            }
            _ => {}
        }
        if body.get("n").is_some_and(|n| n.as_u64() != Some(1)) {
            return Err(invalid("`n` must be 1."));
        }
        for key in ["max_tokens", "max_completion_tokens"] {
            let valid = |value: &Value| {
                value.is_null() || value.as_u64().is_some_and(|n| (1..=1_000_000).contains(&n))
            };
            if !body.get(key).is_none_or(valid) {
                return Err(RequestError {
                    detail: format!("`{key}` must be 1 to 1000000."),
                });
            }
        }
        if body
            .get("stream")
            .is_some_and(|stream| !stream.is_boolean() && !stream.is_null())
        {
            return Err(invalid("`stream` must be true or false."));
        }
        Ok(Self {
            form,
            body,
            model,
            class,
        })
    }

    /// Returns the form of the request.
    #[must_use]
    pub const fn form(&self) -> Form {
        self.form
    }

    /// Returns the model without the class.
    #[must_use]
    pub fn model(&self) -> &str {
        &self.model
    }

    /// Returns the class of a model alias `model@class`.
    #[must_use]
    pub fn class(&self) -> Option<&str> {
        self.class.as_deref()
    }

    /// Returns whether the caller wants a stream.
    #[must_use]
    pub fn is_stream(&self) -> bool {
        self.body
            .get("stream")
            .and_then(Value::as_bool)
            .unwrap_or(false)
    }

    /// Returns whether the caller wants a usage chunk at the end of the stream.
    #[must_use]
    pub fn wants_usage(&self) -> bool {
        self.body
            .get("stream_options")
            .and_then(|options| options.get("include_usage"))
            .and_then(Value::as_bool)
            .unwrap_or(false)
    }

    /// Returns the longest answer that the caller asks for.
    #[must_use]
    pub fn max_tokens(&self) -> Option<u32> {
        ["max_completion_tokens", "max_tokens"]
            .iter()
            .find_map(|key| self.body.get(*key).and_then(Value::as_u64))
            .map(|tokens| u32::try_from(tokens).unwrap_or(u32::MAX))
    }

    /// Returns an estimate of the prompt's length from its characters and photos.
    #[must_use]
    pub fn prompt_tokens(&self) -> u32 {
        match self.form {
            Form::Text => text_tokens(&self.body["prompt"]),
            Form::Chat => self
                .messages()
                .iter()
                .map(|message| text_tokens(&message["content"]))
                .sum(),
        }
    }

    /// Returns the text before the last message, which requests of one conversation share.
    #[must_use]
    pub fn prefix(&self) -> String {
        match self.form {
            Form::Text => self.body["prompt"]
                .as_str()
                .unwrap_or_default()
                .chars()
                .take(1_024)
                .collect(),
            Form::Chat => {
                let messages = self.messages();
                Value::from(&messages[..messages.len() - 1]).to_string()
            }
        }
    }

    /// Writes the body for an upstream.
    ///
    /// The upstream always streams, so that a lost caller or a lost upstream is noticed at the next
    /// token. `priority` is sent to upstreams that honour it. A non-empty `received` continues an
    /// answer of which the caller already has this text, `received_tokens` long.
    #[must_use]
    pub fn upstream_body(
        &self,
        priority: Option<i32>,
        received: &str,
        received_tokens: u32,
    ) -> String {
        let mut body = self.body.clone();
        body.insert("model".into(), json!(self.model));
        body.insert("stream".into(), json!(true));
        body.insert("stream_options".into(), json!({"include_usage": true}));
        if let Some(priority) = priority {
            body.insert("priority".into(), json!(priority));
        }
        if !received.is_empty() {
            self.continue_from(&mut body, received, received_tokens);
        }
        Value::Object(body).to_string()
    }

    fn continue_from(&self, body: &mut Map<String, Value>, received: &str, received_tokens: u32) {
        for key in ["max_completion_tokens", "max_tokens"] {
            if let Some(tokens) = body.get(key).and_then(Value::as_u64) {
                let left = tokens.saturating_sub(u64::from(received_tokens)).max(1);
                body.insert(key.into(), json!(left));
            }
        }
        match self.form {
            Form::Text => {
                let prompt = body["prompt"].as_str().unwrap_or_default();
                body.insert("prompt".into(), json!(format!("{prompt}{received}")));
            }
            Form::Chat => {
                let partial_answer = json!({"role": "assistant", "content": received});
                if let Some(messages) = body.get_mut("messages").and_then(Value::as_array_mut) {
                    messages.push(partial_answer);
                }
                body.insert("continue_final_message".into(), json!(true));
                body.insert("add_generation_prompt".into(), json!(false));
            }
        }
    }

    fn messages(&self) -> &[Value] {
        self.body
            .get("messages")
            .and_then(Value::as_array)
            .map_or(&[], Vec::as_slice)
    }
}

fn invalid(detail: &str) -> RequestError {
    RequestError {
        detail: detail.to_owned(),
    }
}

fn is_filled_array(value: &Value) -> bool {
    value.as_array().is_some_and(|list| !list.is_empty())
}

fn text_tokens(content: &Value) -> u32 {
    match content {
        Value::String(text) => u32::try_from(text.len() / CHARS_PER_TOKEN + 1).unwrap_or(u32::MAX),
        Value::Array(parts) => parts
            .iter()
            .map(|part| match part["type"].as_str() {
                Some("image_url") => TOKENS_PER_IMAGE,
                _ => text_tokens(&part["text"]),
            })
            .sum(),
        _ => 0,
    }
}
