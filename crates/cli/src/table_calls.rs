//! Connects to the table service and makes the calls that the state machines of `release` ask for.

use std::{net::SocketAddr, time::Duration};

use code::Code;
use release::{CURRENT_KEY, CurrentRelease, RecordCompletion, StoredRow, TableAnswer, TableCall};
use store::{Expect, HttpTable, Row, StoreError, Table};

use crate::failure::Failure;

/// Time limit of one call to the table service.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Creates a client of the table service.
pub(crate) async fn open(address: &str) -> Result<HttpTable, Failure> {
    let parsed: SocketAddr = address
        .parse()
        .map_err(|error| Failure::new(Code::BadArgument, format!("--store {address}: {error}")))?;
    HttpTable::new(parsed, STORE_TIMEOUT)
        .await
        .map_err(|error| Failure::new(Code::StoreDown, error))
}

/// Executes a call on the table service and converts its result.
pub(crate) async fn execute(table: &dyn Table, call: TableCall) -> TableAnswer {
    match call {
        TableCall::Read { key } => match table.read(&key).await {
            Ok(row) => TableAnswer::Row(row.map(stored_row)),
            Err(StoreError::Unknown) => TableAnswer::Unknown,
            Err(_) => TableAnswer::Down,
        },
        TableCall::Write { key, expect, value } => {
            let expect = expect.map_or(Expect::Absent, Expect::Version);
            match table.write(&key, expect, &value).await {
                Ok(_) => TableAnswer::Written,
                Err(StoreError::Conflict(row)) => TableAnswer::Conflict(row.map(stored_row)),
                Err(StoreError::Down) => TableAnswer::Down,
                Err(StoreError::Unknown) => TableAnswer::Unknown,
            }
        }
    }
}

/// Reads the release in force; `None` before the first release.
pub(crate) async fn read_current(table: &dyn Table) -> Result<Option<CurrentRelease>, Failure> {
    let row = table.read(CURRENT_KEY).await;
    let row = row.map_err(|error| Failure::store(&error))?;
    row.map(|row| CurrentRelease::from_text(&row.value))
        .transpose()
        .map_err(|message| Failure::new(Code::NoteInvalid, format!("{CURRENT_KEY}: {message}")))
}

/// Writes the record of the last release to its own row, if that is missing.
pub(crate) async fn complete_record(table: &dyn Table, current: &CurrentRelease) {
    let mut completion = RecordCompletion::new(current);
    while let Some(call) = completion.call() {
        let answer = execute(table, call).await;
        completion.handle_answer(&answer);
    }
}

fn stored_row(row: Row) -> StoredRow {
    StoredRow {
        version: row.version,
        value: row.value,
    }
}
