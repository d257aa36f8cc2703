use serde::{Deserialize, Serialize};
use serde_json::Value;
use settings::{Document, Field, Problem, Shape, shapes};

use crate::{Change, Content, Withdrawn};

/// Author and reason are shown in one line of a table.
const LINE_LENGTH: std::ops::RangeInclusive<u64> = 1..=200;

const NAME: Shape = Shape::Name(1..=63);

const ADDED: Shape = Shape::Object(&[
    Field::optional("classes", Shape::List(0, &shapes::CLASS)),
    Field::optional("accounts", Shape::List(0, &shapes::ACCOUNT)),
    Field::optional("upstreams", Shape::List(0, &shapes::UPSTREAM)),
    Field::optional("services", Shape::List(0, &shapes::SERVICE)),
]);

const CHANGE: Shape = Shape::Object(&[
    Field::required(
        "list",
        Shape::OneOf(&["classes", "accounts", "upstreams", "services"]),
    ),
    Field::required("name", NAME),
    Field::required("field", NAME),
    Field::required("before", Shape::Any),
    Field::required("after", Shape::Any),
]);

const WITHDRAWN: Shape = Shape::Object(&[
    Field::optional("classes", Shape::List(0, &NAME)),
    Field::optional("accounts", Shape::List(0, &NAME)),
    Field::optional("upstreams", Shape::List(0, &NAME)),
    Field::optional("services", Shape::List(0, &NAME)),
]);

const NOTE: Shape = Shape::Object(&[
    Field::required("base", Shape::Number(0..=u64::MAX)),
    Field::required("author", Shape::Text(LINE_LENGTH)),
    Field::required("reason", Shape::Text(LINE_LENGTH)),
    Field::optional("added", ADDED),
    Field::optional("changed", Shape::List(0, &CHANGE)),
    Field::optional("withdrawn", WITHDRAWN),
]);

/// Release note: what one release adds, changes and withdraws.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// Version that the note changes, 0 for the first release.
    pub base: u64,
    /// Who made the note.
    pub author: String,
    /// Why the release is made.
    pub reason: String,
    /// Parts that don't exist yet.
    #[serde(default)]
    pub added: Content,
    /// Fields with new values.
    #[serde(default)]
    pub changed: Vec<Change>,
    /// Parts that no longer exist after the release.
    #[serde(default)]
    pub withdrawn: Withdrawn,
}

impl Note {
    /// Parses a note and checks its form.
    ///
    /// # Errors
    ///
    /// Returns every fault of form with its line.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        Self::read(&Document::parse(text)?)
    }

    /// Reads a note from a parsed document.
    ///
    /// # Errors
    ///
    /// Returns every fault of form with its line.
    pub fn read(document: &Document<'_>) -> Result<Self, Vec<Problem>> {
        document.read(&NOTE, |_: &Value, _| {})
    }
}
