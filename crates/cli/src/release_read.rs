use code::Code;
use release::{Record, diff, record_key};
use settings::Config;
use store::Table as _;

use crate::{
    args::{DiffArgs, HistoryArgs, ShowArgs},
    drive,
    failure::Failure,
    print::{format_time, print_table},
    release_apply::read,
};

/// Shows the configuration in force, or the record of a version.
pub(crate) async fn show(args: &ShowArgs) -> Result<(), Failure> {
    let table = drive::open(&args.store).await?;
    let current = drive::read_current(&table).await?.unwrap_or_default();
    drive::complete(&table, &current).await;
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

/// Lists the last releases.
///
/// Rows are read one by one: at 1,800 releases a day, a scan of all of them soon is too large.
pub(crate) async fn history(args: &HistoryArgs) -> Result<(), Failure> {
    let table = drive::open(&args.store).await?;
    let current = drive::read_current(&table).await?.unwrap_or_default();
    drive::complete(&table, &current).await;
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

/// Prints the note that turns what is in force into a configuration file.
pub(crate) async fn print_diff(args: &DiffArgs) -> Result<(), Failure> {
    let text = read(&args.file)?;
    let wanted = Config::parse(&text)
        .map_err(|problems| Failure::in_file(Code::NoteInvalid, &args.file, &problems))?;
    let table = drive::open(&args.store).await?;
    let current = drive::read_current(&table).await?.unwrap_or_default();
    print_json(&diff(&current.config, &wanted, &args.author, &args.reason))
}

fn parse(value: &str) -> Result<Record, Failure> {
    Record::from_text(value).map_err(|error| Failure::new(Code::NoteInvalid, error))
}

pub(crate) fn print_json<T>(value: &T) -> Result<(), Failure>
where
    T: serde::Serialize,
{
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| Failure::new(Code::NoteInvalid, error))?;
    println!("{text}");
    Ok(())
}
