//! The `explain` command.

use std::{fs, path::Path};

use code::Code;
use story::{Explanation, Log};

use crate::{admin, args::ExplainArgs, failure::Failure};

/// Explains the outcome of a request from the decision records of one host, or from the logs of any
/// number of daemons.
pub(crate) async fn explain(args: &ExplainArgs) -> Result<(), Failure> {
    match (&args.words[..], &args.log[..]) {
        ([host, id], []) => admin::explain(host, id).await,
        ([id], logs) if !logs.is_empty() => explain_from_logs(id, logs),
        _ => {
            let usage = "usage: explain ADMIN ID, or explain ID --log FILE [--log FILE ...]";
            Err(Failure::new(Code::BadRequest, usage))
        }
    }
}

fn explain_from_logs(id: &str, files: &[String]) -> Result<(), Failure> {
    let mut texts = Vec::new();
    for file in files {
        let bytes = fs::read(file)
            .map_err(|error| Failure::new(Code::BadRequest, format!("{file}: {error}")))?;
        texts.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    let logs = files.iter().zip(&texts).map(|(file, text)| Log {
        name: daemon_name(file),
        text,
    });
    let logs: Vec<Log<'_>> = logs.collect();
    let Some(explanation) = Explanation::from_logs(&logs, id) else {
        let count = files.len();
        let detail = format!("no line about request {id} in {count} logs");
        return Err(Failure::new(Code::BadRequest, detail));
    };
    print!("{explanation}");
    Ok(())
}

/// Returns the name of the daemon that wrote a log file: the file name without its extension.
fn daemon_name(file: &str) -> &str {
    let stem = Path::new(file).file_stem();
    stem.and_then(|stem| stem.to_str()).unwrap_or(file)
}
