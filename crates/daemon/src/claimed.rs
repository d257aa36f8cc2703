//! Runs a non-idempotent call under a claim: drives the claim's state machine with I/O.

use std::{future::Future, time::Duration};

use claim::{CallResult, Claim, ClaimStep, Record, Reply};
use log::warn;
use store::Table;

use crate::clock::unix_ms;

/// Margin after a service's response time limit before a claim counts as abandoned.
const BUSY_MARGIN_MS: u64 = 10_000;

/// Runs one call under a claim, which is stored in the row `row_key`.
///
/// `send` executes the call; it is invoked at most once.
pub(crate) async fn run_claimed<F, S>(
    table: &dyn Table,
    row_key: &str,
    record: Record,
    answer_max_ms: u64,
    send: S,
) -> Reply
where
    F: Future<Output = CallResult>,
    S: FnOnce() -> F,
{
    let now_unix_ms = unix_ms();
    let record = record.with_claimed_unix_ms(now_unix_ms);
    let mut claim = Claim::new(record, now_unix_ms, answer_max_ms + BUSY_MARGIN_MS);
    let mut send = Some(send);
    let mut next = claim.start();
    loop {
        next = match next {
            ClaimStep::Write {
                expect,
                record,
                after_ms,
            } => {
                pause(after_ms).await;
                let result = table.write(row_key, expect, &record.to_value()).await;
                if let Err(error) = &result {
                    warn!("claim: write of {row_key}: {error}");
                }
                claim.handle_write(result)
            }
            ClaimStep::Read { after_ms } => {
                pause(after_ms).await;
                claim.handle_read(table.read(row_key).await)
            }
            ClaimStep::Send => match send.take() {
                Some(send) => claim.handle_send(send().await),
                None => claim.handle_send(CallResult::Lost),
            },
            ClaimStep::Finish(reply) => return reply,
        };
    }
}

async fn pause(after_ms: u64) {
    if after_ms > 0 {
        tokio::time::sleep(Duration::from_millis(after_ms)).await;
    }
}
