use code::Code;
use futures::future::join_all;
use serde_json::{Value, json};

use crate::{
    admin::Admin, args::StatusArgs, drive, failure::Failure, hosts::admin_addresses,
    print::print_table,
};

/// Compares each host with the release in force.
pub(crate) async fn status(args: &StatusArgs) -> Result<(), Failure> {
    let addresses = admin_addresses(args)?;
    let table = drive::open(&args.store).await?;
    let current = drive::read_current(&table).await?.unwrap_or_default();
    let (version, digest) = (current.config.version, current.config.digest());
    let admin = Admin::new().await?;
    let asked = addresses
        .iter()
        .map(async |address| match admin.status(address).await {
            Ok(status) => compare(address, &status, version, &digest),
            Err(failure) => json!({
                "address": address, "equals_note": false, "state": failure.to_string(),
            }),
        });
    let hosts = join_all(asked).await;
    if args.json {
        let answer = json!({"version": version, "digest": digest, "hosts": hosts});
        println!("{answer:#}");
    } else {
        println!("in force: version {version}, digest {}", short(&digest));
        let head = ["address", "host", "version", "digest", "confirmed", "state"];
        let rows: Vec<Vec<String>> = hosts.iter().map(row).collect();
        print_table(&head, &rows);
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

fn compare(address: &str, status: &Value, version: u64, digest: &str) -> Value {
    let equals = status["version"] == version && status["digest"] == digest;
    json!({
        "address": address,
        "host": status["host"],
        "version": status["version"],
        "digest": status["digest"],
        "confirmed_ms_ago": status["confirmed_ms_ago"],
        "equals_note": equals,
        "state": if equals { "equals the note" } else { "differs" },
    })
}

fn row(host: &Value) -> Vec<String> {
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
        short(&text("digest")).to_owned(),
        confirmed,
        text("state"),
    ]
}

fn short(digest: &str) -> &str {
    &digest[..digest.len().min(12)]
}
