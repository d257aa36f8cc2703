//! The `check` command, which validates files without a connection.

use std::fs;

use code::Code;
use release::{Note, check};
use settings::{Config, Document, Host, Problem};

use crate::failure::Failure;

/// Checks files offline; the keys of each tell what kind of document it is.
pub(crate) fn check_files(files: &[String]) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for file in files {
        match fs::read_to_string(file) {
            Err(error) => lines.push(format!("{file}:0: {error}")),
            Ok(text) => match check_text(&text) {
                Ok(kind) => println!("{file}: {kind}, no faults"),
                Err(problems) => {
                    lines.extend(problems.iter().map(|problem| problem.in_file(file)));
                }
            },
        }
    }
    if lines.is_empty() {
        return Ok(());
    }
    Err(Failure::in_lines(Code::NoteInvalid, lines))
}

/// Checks one document and returns its kind as printed.
pub(crate) fn check_text(text: &str) -> Result<&'static str, Vec<Problem>> {
    let document = Document::parse(text)?;
    let has = |key: &str| document.value().get(key).is_some();
    if has("base") {
        let note = Note::read(&document)?;
        // The note of the first release can be checked alone; a later one only against the
        // configuration that it changes.
        if note.base == 0 {
            check(&note, &Config::default()).map_err(|problems| document.locate(problems))?;
        }
        return Ok("release note");
    }
    if has("listen") {
        return Host::parse(text).map(|_| "host settings");
    }
    if has("version") || has("classes") {
        return Config::parse(text).map(|_| "configuration");
    }
    let message = "expected a release note (with \"base\"), host settings (with \"listen\") \
        or a configuration (with \"version\")";
    Err(vec![Problem::new(1, "", message)])
}
