//! Task that reports usage while this host holds the duties.

use std::{sync::Arc, time::Duration};

use duty::{CallOutcome, Report, Reporter, ReporterStep};
use log::{error, info, warn};
use settings::DutyKind;
use store::Table;

use crate::{
    adapter::{CallHolder, CallResult, CloudAdapter},
    shared::Shared,
};

/// Row in which reports are written ahead.
const REPORTS_KEY: &str = "duty/usage";

/// Pause before a report without an answer is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Pause while the hold or the rate doesn't allow a call.
const BLOCKED_PAUSE: Duration = Duration::from_millis(100);

/// Reports each window of usage once, in the name of the holder.
pub(crate) async fn report_usage(
    shared: Arc<Shared>,
    table: Box<dyn Table>,
    cloud: Box<dyn CloudAdapter>,
) {
    let Some(counter) = &shared.usage else { return };
    let held = &shared.held;
    let mut reporter = Reporter::default();
    loop {
        let token = held.current().map(|hold| hold.token);
        let now_us = held.now_us();
        reporter.see_era(table.era());
        let step = counter.with(now_us, |unix_us, usage| {
            reporter.step(now_us, unix_us, token, usage)
        });
        let handled = match step {
            ReporterStep::Wait(pause) => {
                tokio::time::sleep(pause).await;
                Ok(())
            }
            ReporterStep::Read => {
                let row = table.read(REPORTS_KEY).await;
                let now_us = held.now_us();
                counter.with(now_us, |unix_us, usage| {
                    reporter.handle_read(now_us, unix_us, usage, row)
                })
            }
            ReporterStep::Write { expect, reports } => {
                let written = table.write(REPORTS_KEY, expect, &reports.to_value()).await;
                let now_us = held.now_us();
                counter.with(now_us, |unix_us, usage| {
                    reporter.handle_write(now_us, unix_us, usage, written)
                })
            }
            ReporterStep::Call(report) => {
                let outcome = call(&shared, &*cloud, &report).await;
                reporter.handle_call(held.now_us(), report.window, outcome);
                Ok(())
            }
        };
        if let Err(error) = handled {
            error!("duty: usage isn't reported, row {REPORTS_KEY} can't be parsed: {error}");
        }
        record_windows(&shared, &mut reporter);
    }
}

/// Sends a report and logs its result.
async fn call(shared: &Shared, cloud: &dyn CloudAdapter, report: &Report) -> CallOutcome {
    let limit = shared.held.call_timeout();
    let limit_us = u64::try_from(limit.as_micros()).unwrap_or(u64::MAX);
    let Some(hold) = shared.held.begin_call(limit_us) else {
        tokio::time::sleep(BLOCKED_PAUSE).await;
        return CallOutcome::Blocked;
    };
    let holder = CallHolder {
        name: &shared.host.name,
        token: hold.token,
    };
    let (window, counts) = (report.window, report.counts.entries());
    let result = cloud.report_usage(holder, window, counts, limit).await;
    shared.held.finish_call(DutyKind::UsageReport, result);
    let kind = DutyKind::UsageReport.name();
    shared.metrics.record_duty_call(kind, result.name());
    let outcome = match result {
        CallResult::Accepted => CallOutcome::Accepted,
        CallResult::Refused(_) | CallResult::Unavailable => CallOutcome::Refused,
        CallResult::Busy(pause) => CallOutcome::Again(pause.unwrap_or(RETRY_PAUSE)),
        CallResult::Failed(_) | CallResult::NotSent | CallResult::Unknown => {
            CallOutcome::Again(RETRY_PAUSE)
        }
    };
    let total = report.counts.total();
    let accounts = counts.len();
    if outcome == CallOutcome::Accepted {
        info!(
            "duty: usage reported window={window} accounts={accounts} requests={total} token={}",
            hold.token
        );
    } else {
        warn!(
            "duty: usage report failed window={window} accounts={accounts} requests={total} token={} result={result:?}",
            hold.token
        );
    }
    outcome
}

/// Counts the windows that were reported or missed since the last time.
fn record_windows(shared: &Shared, reporter: &mut Reporter) {
    let counters = reporter.take_counters();
    for _ in 0..counters.reported {
        shared.metrics.record_usage_window("reported");
    }
    for _ in 0..counters.missed {
        warn!("duty: a window of usage was missed");
        shared.metrics.record_usage_window("missed");
    }
}
