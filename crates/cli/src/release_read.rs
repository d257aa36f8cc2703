//! The commands `release show`, `release history` and `release diff`.

use code::Code;
use release::{Record, diff, record_key};
use settings::Config;
use store::Table as _;

use crate::{
    args::{DiffArgs, HistoryArgs, ShowArgs},
    failure::Failure,
    print::{format_time, print_table},
    release_apply::read,
    table_calls,
};

/// Prints the configuration in force, or the record of a version.
pub(crate) async fn show(args: &ShowArgs) -> Result<(), Failure> {
    let table = table_calls::open(&args.store).await?;
    let current = table_calls::read_current(&table).await?.unwrap_or_default();
    table_calls::complete_record(&table, &current).await;
    let Some(version) = args.version else {
        return print_json(&current.config);
    };
    let row = table.read(&record_key(version)).await;
    let Some(row) = row.map_err(|error| Failure::store(&error))? else {
        let detail = format!("version {version} has no record");
        return Err(Failure::new(Code::NoteInvalid, detail));
    };
    print_json(&parse(&row.value)?)
}

/// Prints the last releases.
///
/// Reads rows one by one, because a scan would return all releases: at 1,800 a day, its response
/// soon becomes too large.
pub(crate) async fn history(args: &HistoryArgs) -> Result<(), Failure> {
    let table = table_calls::open(&args.store).await?;
    let current = table_calls::read_current(&table).await?.unwrap_or_default();
    table_calls::complete_record(&table, &current).await;
    let last = current.config.version;
    let first = last.saturating_sub(args.last) + 1;
    let mut records = Vec::new();
    for version in first..=last {
        let row = table.read(&record_key(version)).await;
        match row.map_err(|error| Failure::store(&error))? {
            Some(row) => records.push(parse(&row.value)?),
            None => eprintln!("version {version} has no record"),
        }
    }
    if args.json {
        return print_json(&records);
    }
    let rows: Vec<Vec<String>> = records
        .iter()
        .map(|record| {
            vec![
                record.version.to_string(),
                format_time(record.written_unix_ms),
                record.note.author.clone(),
                record.digest[..record.digest.len().min(12)].to_owned(),
                record.note.reason.clone(),
            ]
        })
        .collect();
    print_table(&["version", "time", "author", "digest", "reason"], &rows);
    Ok(())
}

/// Prints the release note that changes the configuration in force into that of a file.
pub(crate) async fn print_diff(args: &DiffArgs) -> Result<(), Failure> {
    let text = read(&args.file)?;
    let target = Config::parse(&text)
        .map_err(|problems| Failure::in_file(Code::NoteInvalid, &args.file, &problems))?;
    let table = table_calls::open(&args.store).await?;
    let current = table_calls::read_current(&table).await?.unwrap_or_default();
    print_json(&diff(&current.config, &target, &args.author, &args.reason))
}

fn parse(value: &str) -> Result<Record, Failure> {
    Record::from_text(value).map_err(|error| Failure::new(Code::NoteInvalid, error))
}

/// Prints a value as indented JSON.
pub(crate) fn print_json<T>(value: &T) -> Result<(), Failure>
where
    T: serde::Serialize,
{
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| Failure::new(Code::NoteInvalid, error))?;
    println!("{text}");
    Ok(())
}
