use serde_json::Value;

/// One event of a completion stream.
#[derive(Debug, Clone, PartialEq)]
pub struct Chunk {
    /// The event as it came.
    pub value: Value,
}

impl Chunk {
    /// Parses the data of an event.
    ///
    /// # Errors
    ///
    /// Returns an error if the data is not a JSON object.
    pub fn parse(data: &str) -> Result<Self, serde_json::Error> {
        let value: serde_json::Map<String, Value> = serde_json::from_str(data)?;
        Ok(Self {
            value: Value::Object(value),
        })
    }

    /// Returns the text that the chunk adds to the first choice.
    #[must_use]
    pub fn text(&self) -> &str {
        let choice = &self.value["choices"][0];
        choice["delta"]["content"]
            .as_str()
            .or_else(|| choice["text"].as_str())
            .unwrap_or_default()
    }

    /// Returns why the first choice ended, if it did.
    #[must_use]
    pub fn finish_reason(&self) -> Option<&str> {
        self.value["choices"][0]["finish_reason"].as_str()
    }

    /// Returns the usage block, if the chunk carries one.
    #[must_use]
    pub fn usage(&self) -> Option<&Value> {
        self.value.get("usage").filter(|usage| usage.is_object())
    }

    /// Returns whether the chunk has no choice, as the closing usage chunk.
    #[must_use]
    pub fn is_usage_only(&self) -> bool {
        self.value["choices"].as_array().is_none_or(Vec::is_empty)
    }

    /// Returns the error that the upstream sent instead of a chunk, if any.
    #[must_use]
    pub fn error(&self) -> Option<&Value> {
        self.value.get("error")
    }
}
