//! Upstreams that leave beside drills, and the check that no request reaches them afterwards.

use std::{sync::Arc, time::Duration};

use emulator::{Handler, Ledger, Store, Upstream, UpstreamSpec};
use eyre::Result;
use tokio::time::Instant;

use crate::deployment::PROBE;

/// Longest time from the store's acknowledgement that an upstream leaves until requests no longer
/// reach it (`drain_ms` of the users' sites).
pub const DRAIN_MAX: Duration = Duration::from_secs(3);

/// How an upstream leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// It reports that it is draining.
    Drains,
    /// It removes its row without such a report.
    Deregisters,
}

/// Upstreams of the probes' service: the last one stays, all others leave.
///
/// They get no other requests: a host learns also from an answer that its upstream is leaving, which
/// would hide what it has not learned from the store.
pub struct Departures {
    upstreams: Vec<Upstream>,
}

impl Departures {
    /// Starts `count` upstreams that leave, and one that stays. `heartbeats_change_row` tells whether
    /// their rows change at each heartbeat.
    pub fn start(
        count: usize,
        store: &Store,
        ledger: &Arc<Ledger>,
        heartbeats_change_row: bool,
    ) -> Result<Self> {
        let start = |number| {
            let handler = Handler::Plain {
                service_time_ms: 5,
                body_bytes: 100,
            };
            let spec = UpstreamSpec::new(&format!("{PROBE}-{number}"), PROBE, handler)
                .with_heartbeats_change_row(heartbeats_change_row);
            Upstream::start(spec, store, ledger)
        };
        let upstreams = (0..=count).map(start).collect::<Result<_>>()?;
        Ok(Self { upstreams })
    }

    /// Makes an upstream leave.
    pub fn leave(&self, index: usize, departure: Departure) {
        match departure {
            Departure::Drains => self.upstreams[index].drain(),
            Departure::Deregisters => self.upstreams[index].deregister(),
        }
    }

    /// Makes the upstream leave that leaves beside no drill.
    pub fn leave_last(&self, departure: Departure) {
        self.leave(self.upstreams.len() - 2, departure);
    }

    /// Records requests that reached an upstream too late. `stable_at` is the time from which the
    /// store has been stable.
    pub fn check(&self, stable_at: Instant, ledger: &Ledger) {
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let Some(left_at) = upstream.leaving_since() else {
                continue;
            };
            let bound = left_at.max(stable_at) + DRAIN_MAX;
            for (at, id) in upstream.late_requests() {
                if at > bound {
                    let after_ms = at.duration_since(left_at).as_millis();
                    let when = if left_at < stable_at {
                        "before the store was stable"
                    } else {
                        "while the store was stable"
                    };
                    ledger.record_violation(format!(
                        "{id} reached {PROBE}-{index} {after_ms} ms after it left {when}"
                    ));
                }
            }
        }
    }
}
