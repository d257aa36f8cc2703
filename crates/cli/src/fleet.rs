//! The commands `hosts` and `upstreams`.

use serde::Serialize;
use store::HostList as _;

use crate::{args::StoreArgs, failure::Failure, print::print_table, table_calls};

/// Prints the hosts that the platform reports.
pub(crate) async fn print_hosts(args: &StoreArgs) -> Result<(), Failure> {
    let table = table_calls::open(&args.store).await?;
    let hosts = table.list().await.map_err(|error| Failure::store(&error))?;
    if args.json {
        println!("{:#}", serde_json::json!(hosts));
        return Ok(());
    }
    let rows: Vec<Vec<String>> = hosts
        .iter()
        .map(|host| {
            vec![
                host.name.clone(),
                host.address.to_string(),
                serialized_name(&host.state),
            ]
        })
        .collect();
    print_table(&["host", "address", "state"], &rows);
    Ok(())
}

/// Prints the upstreams of the configuration in force.
pub(crate) async fn print_upstreams(args: &StoreArgs) -> Result<(), Failure> {
    let table = table_calls::open(&args.store).await?;
    let current = table_calls::read_current(&table).await?.unwrap_or_default();
    let upstreams = &current.config.upstreams;
    if args.json {
        println!("{:#}", serde_json::json!(upstreams));
        return Ok(());
    }
    let rows: Vec<Vec<String>> = upstreams
        .iter()
        .map(|upstream| {
            let serves = match upstream.service.as_str() {
                "" => upstream.models.join(","),
                service => service.to_owned(),
            };
            vec![
                upstream.name.clone(),
                serialized_name(&upstream.kind),
                upstream.address.to_string(),
                upstream.zone.clone(),
                upstream.slots.to_string(),
                serialized_name(&upstream.state),
                serves,
            ]
        })
        .collect();
    let headings = [
        "upstream", "kind", "address", "zone", "slots", "state", "serves",
    ];
    print_table(&headings, &rows);
    Ok(())
}

/// Returns the name that an enum variant has in JSON documents.
fn serialized_name<T>(value: &T) -> String
where
    T: Serialize,
{
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
