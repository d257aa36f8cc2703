//! The command `release status`.

use code::Code;
use futures::future::join_all;
use serde_json::{Value, json};

use crate::{
    admin::Admin, args::StatusArgs, failure::Failure, hosts::admin_addresses, print::print_table,
    table_calls,
};

/// Compares the configuration of each host with the release in force.
///
/// If the store is down, the hosts are listed without a comparison.
pub(crate) async fn status(args: &StatusArgs) -> Result<(), Failure> {
    let addresses = admin_addresses(args)?;
    let table = table_calls::open(&args.store).await?;
    let (in_force, failure) = match table_calls::read_current(&table).await {
        Ok(current) => (Some(current.unwrap_or_default().config), None),
        Err(failure) => (None, Some(failure)),
    };
    let in_force = in_force.map(|config| (config.version, config.digest()));
    let admin = Admin::new().await?;
    let queries = addresses
        .iter()
        .map(async |address| match admin.status(address).await {
            Ok(status) => compare(address, &status, in_force.as_ref()),
            Err(failure) => json!({
                "address": address, "equals_note": false, "state": failure.to_string(),
            }),
        });
    let hosts = join_all(queries).await;
    let (version, digest) = in_force.unzip();
    if args.json {
        println!(
            "{:#}",
            json!({"version": version, "digest": digest, "hosts": hosts})
        );
    } else {
        match (version, &digest) {
            (Some(version), Some(digest)) => {
                println!(
                    "in force: version {version}, digest {}",
                    short_digest(digest)
                );
            }
            _ => println!("in force: not known, the store does not answer"),
        }
        let headings = ["address", "host", "version", "digest", "confirmed", "state"];
        let rows: Vec<Vec<String>> = hosts.iter().map(table_row).collect();
        print_table(&headings, &rows);
    }
    if let Some(failure) = failure {
        return Err(failure);
    }
    let differ = hosts.iter().filter(|host| host["equals_note"] != true);
    match differ.count() {
        0 => Ok(()),
        count => Err(Failure::new(
            Code::NoteMismatch,
            format!("{count} of {} hosts differ", hosts.len()),
        )),
    }
}

/// Returns the status of a host as a JSON object, with the result of the comparison.
fn compare(address: &str, status: &Value, in_force: Option<&(u64, String)>) -> Value {
    let is_equal = in_force
        .map(|(version, digest)| status["version"] == *version && status["digest"] == **digest);
    json!({
        "address": address,
        "host": status["host"],
        "version": status["version"],
        "digest": status["digest"],
        "confirmed_ms_ago": status["confirmed_ms_ago"],
        "equals_note": is_equal,
        "state": match is_equal {
            Some(true) => "equals the note",
            Some(false) => "differs",
            None => "not compared",
        },
    })
}

/// Returns the cells of a host in the printed table.
fn table_row(host: &Value) -> Vec<String> {
    let text = |field: &str| match &host[field] {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let confirmed = match host["confirmed_ms_ago"].as_u64() {
        Some(ms) => format!("{ms} ms ago"),
        None => "-".to_owned(),
    };
    vec![
        text("address"),
        text("host"),
        text("version"),
        short_digest(&text("digest")).to_owned(),
        confirmed,
        text("state"),
    ]
}

/// Returns the first digits of a digest, enough to tell releases apart.
fn short_digest(digest: &str) -> &str {
    &digest[..digest.len().min(12)]
}
