//! The command `upstream command`.

use std::time::Duration;

use code::Code;
use lease::{
    Action, Delivery, DeliveryStep, Lease, LeaseTiming, Outcome, Report, UpstreamState, audit_key,
    row_key,
};
use serde_json::json;
use settings::UpstreamKind;
use store::{Expect, StoreError, Table};
use tokio::time::{Instant, sleep};

use crate::{
    args::SendArgs, failure::Failure, key::random_hex, release_apply::now_unix_ms, table_calls,
    upstream_client::UpstreamClient,
};

/// Attempts to write the audit row.
const AUDIT_ATTEMPTS: u32 = 5;

/// Pause between two attempts to write the audit row.
const AUDIT_PAUSE: Duration = Duration::from_millis(200);

/// Sends a command to an upstream under a lease, prints the result and writes the audit row.
pub(crate) async fn send(args: SendArgs) -> Result<(), Failure> {
    let action = parse_action(&args)?;
    let by = args.by.or_else(|| std::env::var("USER").ok());
    let Some(by) = by.filter(|by| !by.is_empty()) else {
        let detail = "--by is missing and $USER is not set";
        return Err(Failure::new(Code::BadArgument, detail));
    };
    let table = table_calls::open(&args.store).await?;
    let current = table_calls::read_current(&table).await?.unwrap_or_default();
    let mut upstreams = current.config.upstreams.iter();
    let upstream = upstreams.find(|upstream| upstream.name == args.upstream);
    let Some(upstream) = upstream.filter(|upstream| upstream.kind == UpstreamKind::Model) else {
        let detail = format!("no model engine {} is in force", args.upstream);
        return Err(Failure::new(Code::BadArgument, detail));
    };
    let client = UpstreamClient::new(upstream.address).await?;
    let timing = LeaseTiming {
        wait_max_us: args.wait_ms.saturating_mul(1_000),
        ..LeaseTiming::default()
    };
    let attempt = random_hex::<16>();
    let delivery = Delivery::new(Lease::new(timing, &by, &attempt, 0), action.clone());
    let (report, other_holder) = deliver(&table, &client, &args.upstream, delivery).await;
    print_report(&action, &report, upstream.honours.fencing);
    let audited = report.token == 0
        || write_audit(&table, &args.upstream, &by, &attempt, &action, &report).await;
    if !audited {
        eprintln!("the audit row of token {} is not written", report.token);
    }
    let other_holder = other_holder.unwrap_or_else(|| "unknown".to_owned());
    let (code, detail) = match report.outcome {
        Outcome::Confirmed if audited => return Ok(()),
        Outcome::Confirmed => (Code::AuditMissing, format!("token {}", report.token)),
        Outcome::Unconfirmed => {
            let detail = format!("sent {} time(s); run the command again", report.sends);
            (Code::CommandUnconfirmed, detail)
        }
        Outcome::Stale => (Code::CommandRefused, "the token is stale".to_owned()),
        Outcome::Refused => (Code::CommandRefused, action.to_string()),
        Outcome::Unreachable => (Code::ConnectFailed, upstream.address.to_string()),
        Outcome::Busy => (Code::LeaseBusy, format!("holder {other_holder}")),
        Outcome::StoreFailed => (Code::StoreDown, "no command was sent".to_owned()),
        Outcome::Unreadable => {
            let detail = format!("{} is no lease", row_key(&args.upstream));
            (Code::LeaseBusy, detail)
        }
    };
    Err(Failure::new(code, detail))
}

/// Returns the action of the only flag among `--load`, `--unload` and `--role`.
fn parse_action(args: &SendArgs) -> Result<Action, Failure> {
    let load = args.load.clone().map(Action::LoadModel);
    let unload = args.unload.clone().map(Action::UnloadModel);
    let role = args.role.clone().map(Action::SetRole);
    let mut actions = [load, unload, role].into_iter().flatten();
    if let (Some(action), None) = (actions.next(), actions.next()) {
        return Ok(action);
    }
    let detail = "expected one of --load, --unload and --role";
    Err(Failure::new(Code::BadArgument, detail))
}

/// Drives a delivery to its end; returns its report and the last other holder of the lease.
async fn deliver(
    table: &dyn Table,
    client: &UpstreamClient,
    upstream: &str,
    mut delivery: Delivery,
) -> (Report, Option<String>) {
    let key = row_key(upstream);
    let start = Instant::now();
    let now_us = || u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
    loop {
        match delivery.step(now_us()) {
            DeliveryStep::Read => {
                let result = table.read(&key).await;
                delivery.see_era(now_us(), table.era());
                delivery.handle_read(now_us(), result);
            }
            DeliveryStep::Write { expect, record } => {
                let result = table.write(&key, expect, &record.to_value()).await;
                delivery.see_era(now_us(), table.era());
                delivery.handle_write(now_us(), result);
            }
            DeliveryStep::Wait { until_us } => {
                sleep(Duration::from_micros(until_us.saturating_sub(now_us()))).await;
            }
            DeliveryStep::ReadState => {
                let state = client.state().await;
                delivery.handle_state(now_us(), state);
            }
            DeliveryStep::Send(command) => {
                let result = client.send(&command).await;
                delivery.handle_send(now_us(), result);
            }
            DeliveryStep::Done(report) => {
                let other_holder = delivery.lease().other_holder().map(str::to_owned);
                return (*report, other_holder);
            }
        }
    }
}

fn print_report(action: &Action, report: &Report, honours_fencing: bool) {
    if report.token == 0 {
        return;
    }
    println!(
        "{action}: token {}, sent {} time(s)",
        report.token, report.sends
    );
    for (name, state) in [("before", &report.before), ("after", &report.after)] {
        if let Some(state) = state {
            println!("{name}: {}", format_state(state));
        }
    }
    if report.repaired > 0 {
        println!(
            "{} read(s) after the command found another state; the command was repeated",
            report.repaired
        );
    }
    if report.late && !honours_fencing {
        println!("the answer came after the lease was over; a later command may be undone");
    }
}

fn format_state(state: &UpstreamState) -> String {
    let UpstreamState {
        models,
        adapters,
        role,
        ..
    } = state;
    format!(
        "models [{}], adapters [{}], role \"{role}\"",
        models.join(", "),
        adapters.join(", ")
    )
}

/// Writes the audit row and returns whether it is stored.
///
/// The key contains the unique lease token, so an existing row with the same value comes from an
/// earlier write whose response was lost.
async fn write_audit(
    table: &dyn Table,
    upstream: &str,
    by: &str,
    attempt: &str,
    action: &Action,
    report: &Report,
) -> bool {
    let key = audit_key(upstream, report.token);
    let value = json!({
        "by": by,
        "attempt": attempt,
        "at_unix_ms": now_unix_ms(),
        "action": action,
        "report": report,
    });
    let value = value.to_string();
    for _ in 0..AUDIT_ATTEMPTS {
        match table.write(&key, Expect::Absent, &value).await {
            Ok(_) => return true,
            Err(StoreError::Conflict(row)) => return row.is_some_and(|row| row.value == value),
            Err(StoreError::Down | StoreError::Unknown) => sleep(AUDIT_PAUSE).await,
        }
    }
    false
}
