//! Task that acquires, keeps and gives back the duties of the fleet.

use std::{sync::Arc, time::Duration};

use duty::{HoldChange, HolderStep, candidates};
use log::{info, warn};
use store::Table;

use crate::shared::Shared;

/// Row of the lease on the duties.
const LEASE_KEY: &str = "duty/lease";

/// Longest pause of a host that holds the duties or tries to: a stop is noticed within it.
const BUSY_PAUSE_US: u64 = 250_000;

/// Longest pause of the other hosts, which only check whether they are candidates.
const IDLE_PAUSE_US: u64 = 1_000_000;

/// Acquires the duties of the fleet when this host is a candidate, renews the hold, and gives it
/// back when the host stops.
pub(crate) async fn hold_duties(shared: Arc<Shared>, table: Box<dyn Table>) {
    let held = &shared.held;
    loop {
        let is_candidate = is_candidate(&shared);
        let (step, changes) = held.step(is_candidate, shared.is_draining(), table.era());
        for change in changes {
            log_change(&shared, change);
        }
        match step {
            HolderStep::Read => {
                let row = table.read(LEASE_KEY).await;
                held.handle_read(table.era(), row);
            }
            HolderStep::Write { expect, record } => {
                let value = record.to_value();
                let written = table.write(LEASE_KEY, expect, &value).await;
                held.handle_write(table.era(), written);
            }
            HolderStep::Wait { until_us } => {
                let is_busy = is_candidate || held.current().is_some();
                let longest_us = if is_busy {
                    BUSY_PAUSE_US
                } else {
                    IDLE_PAUSE_US
                };
                let pause_us = until_us.saturating_sub(held.now_us()).min(longest_us);
                tokio::time::sleep(Duration::from_micros(pause_us.max(1_000))).await;
            }
        }
    }
}

/// Returns whether this host is one of those that try to hold the duties.
fn is_candidate(shared: &Shared) -> bool {
    let own = shared.host.name.as_str();
    shared.peers.with(|membership| {
        let live = membership.live().map(|member| member.name.as_str());
        candidates(live.chain([own])).contains(&own)
    })
}

fn log_change(shared: &Shared, change: HoldChange) {
    shared.metrics.record_duty_holder_change();
    match change {
        HoldChange::Gained { token } => info!("duty: held by this host token={token}"),
        HoldChange::Lost { token, reason } => {
            warn!(
                "duty: no longer held by this host token={token} reason={}",
                reason.name()
            );
        }
    }
}
