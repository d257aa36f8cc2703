//! The commands `claim list` and `claim show`.

use claim::{Record, State, row_key, row_prefix};
use code::Code;
use store::{Row, StoreVersion, Table as _};

use crate::{
    args::{ClaimListArgs, ClaimShowArgs},
    failure::Failure,
    print::{format_time, print_table},
    release_apply::now_unix_ms,
    release_read::print_json,
    table_calls,
};

/// Lists the claims of an account that need an operator's decision.
pub(crate) async fn list(args: &ClaimListArgs) -> Result<(), Failure> {
    let table = table_calls::open(&args.store).await?;
    let rows = table
        .scan(&row_prefix(&args.account), StoreVersion::default())
        .await;
    let rows = rows.map_err(|error| Failure::store(&error))?;
    let now_ms = now_unix_ms();
    let mut undecided = Vec::new();
    for row in &rows {
        let record = parse(row)?;
        let age_ms = now_ms.saturating_sub(record.claimed_unix_ms);
        if record.state == State::Unknown
            || (record.state == State::Claimed && age_ms >= args.older_s * 1_000)
        {
            undecided.push(record);
        }
    }
    if args.json {
        return print_json(&undecided);
    }
    let rows: Vec<Vec<String>> = undecided
        .iter()
        .map(|record| {
            vec![
                record.key.clone(),
                state_name(&record.state).to_owned(),
                format_time(record.claimed_unix_ms),
                record.host.clone(),
                format!("{} {}", record.fingerprint.method, record.fingerprint.path),
            ]
        })
        .collect();
    print_table(&["key", "state", "claimed", "host", "call"], &rows);
    Ok(())
}

/// Prints a claim as JSON.
pub(crate) async fn show(args: &ClaimShowArgs) -> Result<(), Failure> {
    let table = table_calls::open(&args.store).await?;
    let row = table.read(&row_key(&args.account, &args.key)).await;
    match row.map_err(|error| Failure::store(&error))? {
        Some(row) => print_json(&parse(&row)?),
        None => Err(Failure::new(Code::UnknownClaim, &args.key)),
    }
}

/// Returns the name of a state as printed in tables and messages.
pub(crate) const fn state_name(state: &State) -> &'static str {
    match state {
        State::Claimed => "claimed",
        State::NotRun => "not run",
        State::Done { .. } => "done",
        State::Unknown => "sent without an answer",
        State::Settled { ran: true, .. } => "settled: ran",
        State::Settled { ran: false, .. } => "settled: did not run",
    }
}

fn parse(row: &Row) -> Result<Record, Failure> {
    Record::parse(&row.value).map_err(|error| {
        let detail = format!("{}: {error}", row.key);
        Failure::new(Code::ClaimConflict, detail)
    })
}
