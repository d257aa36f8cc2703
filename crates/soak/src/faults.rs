use std::{fmt, time::Duration};

use eyre::Result;
use rand::{Rng, RngExt as _};
use rustix::process::Signal;
use tokio::time::{Instant, sleep_until};

use crate::{
    daemons::Daemons,
    proxy::Harm,
    store::{Mood, Store},
    upstream::Upstreams,
};

/// Longest pause between two faults.
const PAUSE_MAX_MS: u64 = 400;

/// One thing that happens.
#[derive(Debug, Clone, Copy)]
enum Event {
    Signal(usize, Signal),
    Restart(usize),
    Harm(usize, Harm),
    Store(Mood),
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
            let (begin, after) = match rng.random_range(0..10) {
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
                8 => {
                    let moods = [Mood::Busy, Mood::Silent, Mood::Forgetful];
                    let mood = moods[rng.random_range(0..moods.len())];
                    (Event::Store(mood), Event::Store(Mood::Sound))
                }
                _ => (Event::Config, Event::Config),
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
        daemons: &mut Daemons,
        upstreams: &Upstreams,
        store: &Store,
    ) -> Result<Counts> {
        let begin = Instant::now();
        let mut counts = Counts::default();
        for &(at, event) in &self.events {
            sleep_until(begin + at).await;
            match event {
                Event::Signal(daemon, signal) => {
                    counts.signals += 1;
                    daemons.signal(daemon, signal)?;
                }
                Event::Restart(daemon) => daemons.restart_if_ended(daemon)?,
                Event::Harm(upstream, harm) => {
                    counts.harms += 1;
                    upstreams.harm(upstream, harm);
                }
                Event::Store(mood) => {
                    counts.moods += 1;
                    store.set_mood(mood);
                }
                Event::Config => {
                    counts.configs += 1;
                    store.change_config();
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
            "{} signals, {} changes of proxies, {} of the store, {} configurations",
            self.signals, self.harms, self.moods, self.configs
        )
    }
}
