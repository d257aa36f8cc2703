use std::{net::SocketAddr, time::Duration};

use code::Code;
use release::{Answer, CURRENT, Call, Complete, Current, Stored};
use store::{Expect, HttpTable, Row, StoreError, Table};

use crate::failure::Failure;

/// Time limit of one call to the table service.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Opens the table service.
pub(crate) async fn open(address: &str) -> Result<HttpTable, Failure> {
    let parsed: SocketAddr = address
        .parse()
        .map_err(|error| Failure::new(Code::BadArgument, format!("--store {address}: {error}")))?;
    HttpTable::new(parsed, STORE_TIMEOUT)
        .await
        .map_err(|error| Failure::new(Code::StoreDown, error))
}

/// Makes a call and converts its answer.
pub(crate) async fn make(table: &dyn Table, call: Call) -> Answer {
    match call {
        Call::Read { key } => match table.read(&key).await {
            Ok(row) => Answer::Row(row.map(stored)),
            Err(StoreError::Unknown) => Answer::Unknown,
            Err(_) => Answer::Down,
        },
        Call::Write { key, expect, value } => {
            let expect = expect.map_or(Expect::Absent, Expect::Version);
            match table.write(&key, expect, &value).await {
                Ok(_) => Answer::Written,
                Err(StoreError::Conflict(row)) => Answer::Conflict(row.map(stored)),
                Err(StoreError::Down) => Answer::Down,
                Err(StoreError::Unknown) => Answer::Unknown,
            }
        }
    }
}

/// Reads what is in force; none before the first release.
pub(crate) async fn read_current(table: &dyn Table) -> Result<Option<Current>, Failure> {
    let row = table.read(CURRENT).await;
    let row = row.map_err(|error| Failure::store(&error))?;
    row.map(|row| Current::from_text(&row.value))
        .transpose()
        .map_err(|message| Failure::new(Code::NoteInvalid, format!("{CURRENT}: {message}")))
}

/// Completes the record of the last change in its own row.
pub(crate) async fn complete(table: &dyn Table, current: &Current) {
    let mut complete = Complete::new(current);
    while let Some(call) = complete.call() {
        let answer = make(table, call).await;
        complete.answer(&answer);
    }
}

fn stored(row: Row) -> Stored {
    Stored {
        version: row.version,
        value: row.value,
    }
}
