//! Runs the script cases of the review: `review-cases CASE FOLDER ROOT`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With `TROUBLE=0`
//! the disruption is left out.

mod body_memory;
mod client;
mod daemon;
mod drain_queue;
mod drain_upload;
mod record;
mod server;
mod site;
mod upgrade;

use std::{path::PathBuf, process::ExitCode, time::Duration};

use eyre::{Result, eyre};
use record::Record;
use tokio::{runtime::Builder, task::LocalSet, time::timeout};

/// Longest duration of a case.
const CASE_MAX: Duration = Duration::from_secs(110);

/// Verdict of a case.
pub enum Verdict {
    Held,
    Broken,
}

/// What a case needs.
pub struct Case {
    /// Root of the repository.
    pub root: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    match run() {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case couldn't run: {error:?}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<Verdict> {
    let mut args = std::env::args().skip(1);
    let mut next = || {
        args.next()
            .ok_or_else(|| eyre!("review-cases CASE FOLDER ROOT"))
    };
    let (name, folder, root) = (next()?, PathBuf::from(next()?), PathBuf::from(next()?));
    let case = Case {
        root: root.canonicalize()?,
        record: Record::create(&folder)?,
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    case.record
        .line(&format!("case {name}, disruption: {}", case.trouble));
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let verdict = local.block_on(&runtime, async {
        let verdict = async {
            match name.as_str() {
                "drain-queue" => drain_queue::run(&case).await,
                "body-memory" => body_memory::run(&case).await,
                "upgrade" => upgrade::run(&case).await,
                "drain-upload" => drain_upload::run(&case).await,
                _ => Err(eyre!("no case {name}")),
            }
        };
        timeout(CASE_MAX, verdict).await?
    })?;
    case.record.say(match verdict {
        Verdict::Held => "the rule held",
        Verdict::Broken => "the rule was broken",
    });
    Ok(verdict)
}
