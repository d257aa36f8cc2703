//! The command `claim settle`.

use std::time::Duration;

use claim::{Settle, SettleOutcome, SettleStep, row_key};
use code::Code;
use store::Table as _;

use crate::{
    args::SettleArgs, claim_read::state_name, failure::Failure, release_apply::now_unix_ms,
    table_calls,
};

/// Age below which the holder of a claim may still be running the call; far longer than any
/// deadline of a call.
const IN_PROGRESS_MS: u64 = 600_000;

/// Writes an operator's decision whether the call of a claim ran.
pub(crate) async fn settle(args: &SettleArgs) -> Result<(), Failure> {
    let ran = match args.ran.as_str() {
        "yes" => true,
        "no" => false,
        other => {
            let detail = format!("--ran {other}: expected yes or no");
            return Err(Failure::new(Code::BadArgument, detail));
        }
    };
    if args.by.trim().is_empty() || args.reason.trim().is_empty() {
        let detail = "--by and --reason must not be empty";
        return Err(Failure::new(Code::BadArgument, detail));
    }
    let table = table_calls::open(&args.store).await?;
    let key = row_key(&args.account, &args.key);
    let mut settle = Settle::new(&args.by, &args.reason, ran, now_unix_ms(), IN_PROGRESS_MS);
    let mut step = settle.start();
    let outcome = loop {
        step = match step {
            SettleStep::Read { after_ms } => {
                tokio::time::sleep(Duration::from_millis(after_ms)).await;
                settle.handle_read(table.read(&key).await)
            }
            SettleStep::Write {
                expect,
                record,
                after_ms,
            } => {
                tokio::time::sleep(Duration::from_millis(after_ms)).await;
                settle.handle_write(table.write(&key, expect, &record.to_value()).await)
            }
            SettleStep::Done(outcome) => break outcome,
        };
    };
    let (code, detail) = match outcome {
        SettleOutcome::Applied => {
            println!("settled: {}", if ran { "ran" } else { "did not run" });
            return Ok(());
        }
        SettleOutcome::Absent => (Code::UnknownClaim, args.key.clone()),
        SettleOutcome::Conflict(found) => {
            let state = state_name(&found.state);
            (Code::ClaimConflict, format!("the claim is {state}"))
        }
        SettleOutcome::InProgress(found) => {
            let detail = format!("claimed by {} less than 10 minutes ago", found.host);
            (Code::ClaimConflict, detail)
        }
        SettleOutcome::Unreadable => (Code::ClaimConflict, "the row is no claim".to_owned()),
        SettleOutcome::Down => (Code::StoreDown, "nothing was settled".to_owned()),
        SettleOutcome::Unknown => (Code::SettleUnknown, "run the command again".to_owned()),
    };
    Err(Failure::new(code, detail))
}
