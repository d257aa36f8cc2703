//! The commands `release check` and `release apply`.

use std::{
    fs,
    time::{SystemTime, UNIX_EPOCH},
};

use code::Code;
use release::{Apply, Note, Outcome, Step, check};
use settings::{Document, Problem};

use crate::{args::NoteArgs, failure::Failure, key::random_hex, table_calls};

/// Checks a release note against the configuration in force.
pub(crate) async fn check_note(args: &NoteArgs) -> Result<(), Failure> {
    let text = read(&args.note)?;
    let document = parse(&args.note, &text)?;
    let note = read_note(&args.note, &document)?;
    let table = table_calls::open(&args.store).await?;
    let in_force = table_calls::read_current(&table).await?.unwrap_or_default();
    let next = check(&note, &in_force.config)
        .map_err(|problems| mismatch(&args.note, &document, problems))?;
    println!("the note makes version {} from {}", next.version, note.base);
    Ok(())
}

/// Applies a release note.
pub(crate) async fn apply_note(args: NoteArgs) -> Result<(), Failure> {
    let text = read(&args.note)?;
    let document = parse(&args.note, &text)?;
    let note = read_note(&args.note, &document)?;
    let table = table_calls::open(&args.store).await?;
    let is_resumed = args.attempt.is_some();
    let attempt = args.attempt.unwrap_or_else(random_hex::<16>);
    // Printed before the first write, so that the operator can continue the attempt even if this
    // program is killed.
    eprintln!("attempt {attempt}");
    let mut apply = Apply::new(note, attempt.clone(), now_unix_ms());
    if is_resumed {
        apply = apply.resumed();
    }
    let outcome = loop {
        match apply.step() {
            Step::Call(call) => apply.handle_answer(table_calls::execute(&table, call).await),
            Step::Done(outcome) => break outcome,
        }
    };
    match outcome {
        Outcome::Applied { version, recorded } => {
            println!("version {version} is accepted");
            if !recorded {
                println!("release/{version} is not written yet; the next reader completes it");
            }
            Ok(())
        }
        Outcome::Conflict { version } => {
            let detail = format!("version {version} is in force");
            Err(Failure::new(Code::NoteConflict, detail))
        }
        Outcome::Mismatch(problems) => Err(mismatch(&args.note, &document, problems)),
        Outcome::Unreadable(message) => Err(Failure::new(Code::NoteInvalid, message)),
        Outcome::Down => Err(Failure::new(Code::StoreDown, "nothing was applied")),
        Outcome::Unknown => {
            let detail = format!("run the command again with --attempt {attempt}");
            Err(Failure::new(Code::NoteUnknown, detail))
        }
    }
}

/// Reads a file given on the command line.
pub(crate) fn read(file: &str) -> Result<String, Failure> {
    fs::read_to_string(file)
        .map_err(|error| Failure::new(Code::BadArgument, format!("{file}: {error}")))
}

fn parse<'a>(file: &str, text: &'a str) -> Result<Document<'a>, Failure> {
    Document::parse(text).map_err(|problems| Failure::in_file(Code::NoteInvalid, file, &problems))
}

fn read_note(file: &str, document: &Document<'_>) -> Result<Note, Failure> {
    Note::read(document).map_err(|problems| Failure::in_file(Code::NoteInvalid, file, &problems))
}

fn mismatch(file: &str, document: &Document<'_>, problems: Vec<Problem>) -> Failure {
    Failure::in_file(Code::NoteMismatch, file, &document.locate(problems))
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
///
/// It serves timestamps for readers and the age of claims; leases and the order of releases don't
/// depend on it.
pub(crate) fn now_unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
