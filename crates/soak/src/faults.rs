//! Random schedule of faults and their injection.

use std::{
    fmt,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use emulator::{Hosts, Operator, Store, StoreFault, UpstreamFault};
use eyre::Result;
use rand::{Rng, RngExt as _};
use rustix::process::Signal;
use tokio::time::{Instant, sleep_until};

use crate::{proxy::ConnectionFault, upstreams::Upstreams};

/// Longest interval between the beginnings of two faults.
const INTERVAL_MAX_MS: u64 = 400;

/// Faults of the store to choose from.
const STORE_FAULTS: [StoreFault; 6] = [
    StoreFault::Unavailable,
    StoreFault::Unresponsive,
    StoreFault::HistoryLost,
    StoreFault::Slow(Duration::from_millis(300)),
    StoreFault::DropsResponses,
    StoreFault::RejectsAlternateConnections,
];

/// Faults of upstreams to choose from.
const UPSTREAM_FAULTS: [UpstreamFault; 12] = [
    UpstreamFault::Garbled,
    UpstreamFault::Truncated,
    UpstreamFault::Unframed,
    UpstreamFault::ExtraResponse,
    UpstreamFault::EarlyResponse,
    UpstreamFault::Unresponsive,
    UpstreamFault::ResetsConnections,
    UpstreamFault::DropsResponses,
    UpstreamFault::AlternateErrors,
    UpstreamFault::BreaksStreams,
    UpstreamFault::FailsHealthChecks,
    UpstreamFault::AsksForPause(Duration::from_millis(700)),
];

/// Beginning or end of a fault.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// Sends a signal to a daemon.
    Signal(usize, Signal),
    /// Restarts a daemon if its process has ended.
    Restart(usize),
    /// Sets the fault of the proxy in front of an upstream.
    ConnectionFault(usize, ConnectionFault),
    /// Sets the fault of an upstream.
    Upstream(usize, UpstreamFault),
    /// Empties an engine: its requests and its cache are lost.
    ClearEngine(usize),
    /// Sets the fault of the store.
    Store(StoreFault),
    /// Publishes a configuration with new paths.
    Config,
}

/// Schedule of the faults of one seed, in order of time.
pub struct Faults {
    events: Vec<(Duration, Event)>,
}

/// Number of events of each kind.
#[derive(Debug, Default)]
pub struct Counts {
    signals: u32,
    proxy_changes: u32,
    upstream_changes: u32,
    store_changes: u32,
    configs: u32,
}

impl Faults {
    /// Draws overlapping faults; each one ends after a time.
    pub fn new<R>(rng: &mut R, length: Duration, daemons: usize, upstreams: usize) -> Self
    where
        R: Rng,
    {
        let mut events = Vec::new();
        let mut at = Duration::ZERO;
        while at < length {
            at += Duration::from_millis(rng.random_range(20..=INTERVAL_MAX_MS));
            let end = at + Duration::from_millis(rng.random_range(100..=1_500));
            let (daemon, upstream) = (rng.random_range(0..daemons), rng.random_range(0..upstreams));
            let (begin, after) = match rng.random_range(0..13) {
                0 => (Event::Signal(daemon, Signal::TERM), Event::Restart(daemon)),
                1 => (Event::Signal(daemon, Signal::KILL), Event::Restart(daemon)),
                2 => (
                    Event::Signal(daemon, Signal::STOP),
                    Event::Signal(daemon, Signal::CONT),
                ),
                3 => (Event::Signal(daemon, Signal::HUP), Event::Restart(daemon)),
                number @ 4..=7 => {
                    let connection_faults = [
                        ConnectionFault::Delay,
                        ConnectionFault::Reset,
                        ConnectionFault::DropResponses,
                        ConnectionFault::DropAll,
                    ];
                    let begin = Event::ConnectionFault(upstream, connection_faults[number - 4]);
                    (
                        begin,
                        Event::ConnectionFault(upstream, ConnectionFault::None),
                    )
                }
                8..=9 => {
                    let fault = STORE_FAULTS[rng.random_range(0..STORE_FAULTS.len())];
                    (Event::Store(fault), Event::Store(StoreFault::None))
                }
                10..=11 => {
                    let fault = UPSTREAM_FAULTS[rng.random_range(0..UPSTREAM_FAULTS.len())];
                    let begin = Event::Upstream(upstream, fault);
                    (begin, Event::Upstream(upstream, UpstreamFault::None))
                }
                _ => (Event::Config, Event::ClearEngine(upstream)),
            };
            events.push((at, begin));
            events.push((end, after));
        }
        events.sort_by_key(|&(at, _)| at);
        Self { events }
    }

    /// Injects the faults at their times.
    pub async fn run(
        &self,
        hosts: &mut Hosts,
        upstreams: &Upstreams,
        store: &Store,
        operator: &Mutex<Operator>,
    ) -> Result<Counts> {
        let begin = Instant::now();
        let mut counts = Counts::default();
        for &(at, event) in &self.events {
            sleep_until(begin + at).await;
            match event {
                Event::Signal(daemon, signal) => {
                    counts.signals += 1;
                    hosts.signal(daemon, signal)?;
                }
                Event::Restart(daemon) => hosts.restart_if_ended(daemon)?,
                Event::ConnectionFault(upstream, fault) => {
                    counts.proxy_changes += 1;
                    upstreams.set_connection_fault(upstream, fault);
                }
                Event::Upstream(upstream, fault) => {
                    counts.upstream_changes += 1;
                    upstreams.set_upstream_fault(upstream, fault);
                }
                Event::ClearEngine(upstream) => upstreams.clear_engine(upstream),
                Event::Store(fault) => {
                    counts.store_changes += 1;
                    store.set_fault(fault);
                }
                Event::Config => {
                    counts.configs += 1;
                    let mut operator = operator.lock().unwrap_or_else(PoisonError::into_inner);
                    operator.rotate_routes();
                }
            }
        }
        Ok(counts)
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} signals, {} changes of proxies, {} of upstreams, {} of the store, {} configurations",
            self.signals,
            self.proxy_changes,
            self.upstream_changes,
            self.store_changes,
            self.configs
        )
    }
}
