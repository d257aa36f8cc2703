use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use duty::{Message, Usage, WallClock};
use settings::{DutyKind, Host};
use tokio::time::Instant;

use crate::clock::unix_us;

/// Messages for one daemon that are sent in one round; the membership keeps few for each.
const ROUND_MAX: usize = 3;

/// Messages that wait to be sent.
const OUTBOX_MAX: usize = 4_096;

/// Counts of the requests that began to run on this host, and of those that others have told.
#[derive(Debug)]
pub(crate) struct UsageCounter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    usage: Usage,
    wall_clock: WallClock,
    /// Shortest time to open a connection to an upstream of a region.
    round_trips: Vec<(String, Duration)>,
    outbox: VecDeque<(String, Message)>,
}

impl UsageCounter {
    /// Creates the counts of a host, if it is a duty of the deployment to report them.
    pub(crate) fn new(host: &Host, run: u64) -> Option<Self> {
        let duties = host.duties.as_ref();
        let duties = duties.filter(|duties| duties.has(DutyKind::UsageReport))?;
        let windows = duties.usage?;
        Some(Self {
            state: Mutex::new(State {
                usage: Usage::new(windows.window_s, windows.late_s, &host.name, run),
                wall_clock: WallClock::default(),
                round_trips: Vec::new(),
                outbox: VecDeque::new(),
            }),
        })
    }

    /// Records how long a connection to an upstream of a region took to open.
    pub(crate) fn record_round_trip(&self, region: &str, round_trip: Duration) {
        let mut state = self.state();
        let found = state
            .round_trips
            .binary_search_by(|(name, _)| name.as_str().cmp(region));
        match found {
            Ok(index) => {
                let shortest = &mut state.round_trips[index].1;
                *shortest = round_trip.min(*shortest);
            }
            Err(index) => state
                .round_trips
                .insert(index, (region.to_owned(), round_trip)),
        }
    }

    /// Counts a request of an account whose first token arrived now from a region.
    pub(crate) fn record_first_token(&self, now_us: u64, account: &str, region: &str) {
        let mut state = self.state();
        let unix_us = state.unix_us(now_us);
        let one_way_us = state.one_way_us(region);
        let began_us = unix_us.saturating_sub(one_way_us);
        state.usage.record(account, began_us);
    }

    /// Counts a request of an account that was sent to a region at this time and was run.
    pub(crate) fn record_sent(&self, now_us: u64, account: &str, region: &str, sent_at: Instant) {
        let mut state = self.state();
        let unix_us = state.unix_us(now_us);
        let elapsed_us = u64::try_from(sent_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        let one_way_us = state.one_way_us(region).min(elapsed_us);
        let began_us = unix_us.saturating_sub(elapsed_us - one_way_us);
        state.usage.record(account, began_us);
    }

    /// Updates the live hosts and returns the messages that are due.
    pub(crate) fn tick(
        &self,
        now_us: u64,
        live: Vec<String>,
        token: Option<u64>,
        stops: bool,
    ) -> Vec<(String, Message)> {
        let mut state = self.state();
        let unix_us = state.unix_us(now_us);
        state.usage.set_live(live);
        if stops {
            state.usage.stop();
        }
        let messages = state.usage.tick(now_us, unix_us, token);
        state.outbox.extend(messages);
        state.take_round()
    }

    /// Handles a message of another daemon; the replies are sent with the next round.
    pub(crate) fn receive(&self, from: &str, message: &Message) {
        let mut state = self.state();
        let replies = state.usage.receive(message);
        let replies = replies.into_iter().map(|reply| (from.to_owned(), reply));
        state.outbox.extend(replies);
    }

    /// Runs a closure with the Unix time and the counts.
    pub(crate) fn with<F, R>(&self, now_us: u64, access: F) -> R
    where
        F: FnOnce(u64, &mut Usage) -> R,
    {
        let mut state = self.state();
        let unix_us = state.unix_us(now_us);
        access(unix_us, &mut state.usage)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn unix_us(&mut self, now_us: u64) -> u64 {
        self.wall_clock.unix_us(now_us, unix_us())
    }

    fn one_way_us(&self, region: &str) -> u64 {
        let found = self
            .round_trips
            .binary_search_by(|(name, _)| name.as_str().cmp(region));
        let round_trip = found.map_or(Duration::ZERO, |index| self.round_trips[index].1);
        u64::try_from(round_trip.as_micros() / 2).unwrap_or(0)
    }

    /// Returns the messages of the next round; the rest stays in the outbox.
    fn take_round(&mut self) -> Vec<(String, Message)> {
        let mut round: Vec<(String, Message)> = Vec::new();
        let mut later = VecDeque::new();
        for message in self.outbox.drain(..) {
            let same = round.iter().filter(|(to, _)| *to == message.0).count();
            if same < ROUND_MAX {
                round.push(message);
            } else {
                later.push_back(message);
            }
        }
        while later.len() > OUTBOX_MAX {
            later.pop_front();
        }
        self.outbox = later;
        round
    }
}
