use code::Code;
use release::{PREFIX, Record, diff, record_key, version_of_key};
use settings::Config;
use store::Table as _;

use crate::{
    args::{DiffArgs, ShowArgs, StoreArgs},
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

/// Lists all releases.
pub(crate) async fn history(args: &StoreArgs) -> Result<(), Failure> {
    let table = drive::open(&args.store).await?;
    if let Some(current) = drive::read_current(&table).await? {
        drive::complete(&table, &current).await;
    }
    let rows = table.scan(PREFIX, 0).await;
    let rows = rows.map_err(|error| Failure::store(&error))?;
    let mut records = Vec::new();
    for row in rows.iter().filter(|row| version_of_key(&row.key).is_some()) {
        records.push(parse(&row.value)?);
    }
    records.sort_by_key(|record| record.version);
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

fn print_json<T>(value: &T) -> Result<(), Failure>
where
    T: serde::Serialize,
{
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| Failure::new(Code::NoteInvalid, error))?;
    println!("{text}");
    Ok(())
}
