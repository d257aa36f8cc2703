//! Release notes and the schema of their documents.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use settings::{Document, Field, Problem, Schema, schemas};

use crate::{Additions, Change, Withdrawals};

/// Length of the author and the reason, which are shown in one line of a table.
const LINE_LENGTH: std::ops::RangeInclusive<u64> = 1..=200;

const NAME: Schema = Schema::Name(1..=63);

const ADDED: Schema = Schema::Object(&[
    Field::optional("classes", Schema::List(0, &schemas::CLASS)),
    Field::optional("accounts", Schema::List(0, &schemas::ACCOUNT)),
    Field::optional("upstreams", Schema::List(0, &schemas::UPSTREAM)),
    Field::optional("services", Schema::List(0, &schemas::SERVICE)),
]);

const CHANGE: Schema = Schema::Object(&[
    Field::required(
        "list",
        Schema::OneOf(&["classes", "accounts", "upstreams", "services"]),
    ),
    Field::required("name", NAME),
    Field::required("field", NAME),
    Field::required("before", Schema::Any),
    Field::required("after", Schema::Any),
]);

const WITHDRAWN: Schema = Schema::Object(&[
    Field::optional("classes", Schema::List(0, &NAME)),
    Field::optional("accounts", Schema::List(0, &NAME)),
    Field::optional("upstreams", Schema::List(0, &NAME)),
    Field::optional("services", Schema::List(0, &NAME)),
]);

const NOTE: Schema = Schema::Object(&[
    Field::required("base", Schema::Number(0..=u64::MAX)),
    Field::required("author", Schema::Text(LINE_LENGTH)),
    Field::required("reason", Schema::Text(LINE_LENGTH)),
    Field::optional("added", ADDED),
    Field::optional("changed", Schema::List(0, &CHANGE)),
    Field::optional("withdrawn", WITHDRAWN),
]);

/// Release note: what one release adds, changes and withdraws.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// Configuration version that the note applies to; 0 for the first release.
    pub base: u64,
    /// Author of the note.
    pub author: String,
    /// Reason for the release.
    pub reason: String,
    /// Items to add.
    #[serde(default)]
    pub added: Additions,
    /// Fields to change.
    #[serde(default)]
    pub changed: Vec<Change>,
    /// Items to remove.
    #[serde(default)]
    pub withdrawn: Withdrawals,
}

impl Note {
    /// Parses a note and checks it against the schema.
    ///
    /// # Errors
    ///
    /// Returns every syntax or schema error with its line.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        Self::read(&Document::parse(text)?)
    }

    /// Reads a note from a parsed document.
    ///
    /// # Errors
    ///
    /// Returns every schema error with its line.
    pub fn read(document: &Document<'_>) -> Result<Self, Vec<Problem>> {
        document.read(&NOTE, |_: &Value, _| {})
    }
}
