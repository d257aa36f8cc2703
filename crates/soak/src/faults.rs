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

use crate::{proxy::Harm, upstreams::Upstreams};

/// Longest pause between two faults.
const PAUSE_MAX_MS: u64 = 400;

/// How the store misbehaves in turn.
const MOODS: [StoreFault; 6] = [
    StoreFault::Unavailable,
    StoreFault::Unresponsive,
    StoreFault::HistoryLost,
    StoreFault::Slow(Duration::from_millis(300)),
    StoreFault::DropsResponses,
    StoreFault::RejectsAlternateConnections,
];

/// How upstreams misbehave in turn.
const FAULTS: [UpstreamFault; 11] = [
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
];

/// One thing that happens.
#[derive(Debug, Clone, Copy)]
enum Event {
    Signal(usize, Signal),
    Restart(usize),
    Harm(usize, Harm),
    Upstream(usize, UpstreamFault),
    /// An engine loses its requests and its memory.
    Forget(usize),
    Store(StoreFault),
    Config,
}

/// Faults of one seed, by the time at which they come.
pub struct Faults {
    events: Vec<(Duration, Event)>,
}

/// Number of faults of each sort.
#[derive(Debug, Default)]
pub struct Counts {
    signals: u32,
    harms: u32,
    upstreams: u32,
    moods: u32,
    configs: u32,
}

impl Faults {
    /// Draws faults that come in series and overlap; every one ends by itself.
    pub fn new<R>(rng: &mut R, length: Duration, daemons: usize, upstreams: usize) -> Self
    where
        R: Rng,
    {
        let mut events = Vec::new();
        let mut at = Duration::ZERO;
        while at < length {
            at += Duration::from_millis(rng.random_range(20..=PAUSE_MAX_MS));
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
                    let harms = [Harm::Delay, Harm::Reset, Harm::CutAnswers, Harm::Silence];
                    let begin = Event::Harm(upstream, harms[number - 4]);
                    (begin, Event::Harm(upstream, Harm::None))
                }
                8..=9 => {
                    let mood = MOODS[rng.random_range(0..MOODS.len())];
                    (Event::Store(mood), Event::Store(StoreFault::None))
                }
                10..=11 => {
                    let fault = FAULTS[rng.random_range(0..FAULTS.len())];
                    let begin = Event::Upstream(upstream, fault);
                    (begin, Event::Upstream(upstream, UpstreamFault::None))
                }
                _ => (Event::Config, Event::Forget(upstream)),
            };
            events.push((at, begin));
            events.push((end, after));
        }
        events.sort_by_key(|&(at, _)| at);
        Self { events }
    }

    /// Plays the faults.
    pub async fn play(
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
                Event::Harm(upstream, harm) => {
                    counts.harms += 1;
                    upstreams.harm(upstream, harm);
                }
                Event::Upstream(upstream, fault) => {
                    counts.upstreams += 1;
                    upstreams.set_fault(upstream, fault);
                }
                Event::Forget(upstream) => upstreams.forget(upstream),
                Event::Store(mood) => {
                    counts.moods += 1;
                    store.set_fault(mood);
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
            self.signals, self.harms, self.upstreams, self.moods, self.configs
        )
    }
}
