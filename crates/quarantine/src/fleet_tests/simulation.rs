//! Simulated fleet: requests, crashes, messages between daemons, and the row in the store.

use std::{collections::BTreeMap, sync::Arc};

use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use store::StoreVersion;

use super::plan::Plan;
use crate::{Admission, Message, Persistence, PersistenceStep, PromptParts, Quarantine, Snapshot};

const MS_US: u64 = 1_000;
pub(super) const S_US: u64 = 1_000_000;

/// Step of the simulation.
pub(super) const STEP_US: u64 = 10 * MS_US;

/// Time after which killed daemons are back.
const DOWN_US: u64 = S_US;

/// Interval at which a daemon asks whether a call of the store is due.
const STORE_INTERVAL_US: u64 = 500 * MS_US;

/// Time within which the daemons must know of the fifth crash.
const CONTACT_US: u64 = 4 * S_US;

/// Requests with a deadly part that may reach upstreams later than that.
pub(super) const SENDS_MAX: usize = 3;

/// Part that crashes upstreams.
pub(super) const DEADLY: u64 = 1 << 40;

/// Times from which requests have the first and the second deadly part.
const DEADLY_FROM_US: [u64; 2] = [4 * S_US, 7 * S_US];

/// Request on an upstream.
struct Running {
    daemon: usize,
    upstream: usize,
    parts: PromptParts,
    /// Number of its deadly part.
    deadly: Option<usize>,
    attempt: u32,
    sent_us: u64,
    begins_us: u64,
    ends_us: u64,
    reported: bool,
    answer_lost: bool,
}

/// What happened in a run.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    /// Times of the crashes by each deadly part.
    pub(super) crashes_us: [Vec<u64>; 2],
    /// Times at which requests with each deadly part were sent.
    pub(super) deadly_sends_us: [Vec<u64>; 2],
    /// Sound requests with the companions of each deadly part that were sent and refused, late.
    pub(super) companions: [(usize, usize); 2],
    /// Sound requests that were refused at any time.
    pub(super) sound_refused: usize,
    /// Sound parts that were quarantined at the end.
    pub(super) innocent: usize,
    pub(super) messages: usize,
    pub(super) quarantined_us: Option<u64>,
}

impl Outcome {
    /// Counts the sends of a deadly request later than the crashes that suffice can be known to all.
    pub(super) fn late_repeats(&self) -> usize {
        let Some(&third_us) = self.crashes_us[0].get(2) else {
            return 0;
        };
        let sends = self.deadly_sends_us[0].iter();
        sends
            .filter(|&&at_us| at_us > third_us + CONTACT_US)
            .count()
    }

    /// Counts the requests with the deadly part that was sent too late most often. After a restart
    /// the daemons have the same time again.
    pub(super) fn late_sends(&self, plan: &Plan) -> usize {
        let late_sends = (0..2).map(|deadly| self.late_sends_of(plan, deadly));
        late_sends.max().unwrap_or(0)
    }

    fn late_sends_of(&self, plan: &Plan, deadly: usize) -> usize {
        let Some(&fifth_us) = self.crashes_us[deadly].get(4) else {
            return 0;
        };
        let is_excused = |at_us: u64| {
            plan.killed_us.is_some_and(|killed_us| {
                (killed_us..=killed_us + DOWN_US + CONTACT_US).contains(&at_us)
            })
        };
        let sends = self.deadly_sends_us[deadly].iter();
        sends
            .filter(|&&at_us| at_us > fifth_us + CONTACT_US && !is_excused(at_us))
            .count()
    }
}

fn start_daemons(names: &[Arc<str>]) -> Vec<Quarantine> {
    let daemons = names.iter().map(|name| {
        let mut daemon = Quarantine::new(name);
        let others = names.iter().filter(|other| *other != name);
        daemon.set_live(others.cloned().collect());
        daemon
    });
    daemons.collect()
}

pub(super) struct Fleet {
    plan: Plan,
    rng: StdRng,
    pub(super) daemons: Vec<Quarantine>,
    persistence: Vec<Persistence>,
    /// Row of the store with its version.
    row: Option<(StoreVersion, Snapshot)>,
    names: Vec<Arc<str>>,
    /// Number of restarts and the time from which it runs, of each upstream.
    upstreams: Vec<(u64, u64)>,
    running: Vec<Running>,
    /// Messages by their time of arrival.
    in_flight: BTreeMap<(u64, usize), (usize, usize, Message)>,
    outcome: Outcome,
    requests: u64,
}

impl Fleet {
    pub(super) fn new(plan: Plan) -> Self {
        let names: Vec<Arc<str>> = (0..plan.daemons)
            .map(|number| format!("entry-{number}").into())
            .collect();
        Self {
            rng: StdRng::seed_from_u64(plan.seed),
            daemons: start_daemons(&names),
            persistence: vec![Persistence::default(); names.len()],
            row: None,
            names,
            upstreams: vec![(0, 0); plan.upstreams],
            running: Vec::new(),
            in_flight: BTreeMap::new(),
            outcome: Outcome::default(),
            requests: 0,
            plan,
        }
    }

    pub(super) fn run(mut self, length_us: u64) -> Outcome {
        let mut now_us = 0;
        while now_us < length_us {
            now_us += STEP_US;
            if let Some(killed_us) = self.plan.killed_us
                && now_us >= killed_us
                && now_us < killed_us + DOWN_US
            {
                self.kill_all();
                continue;
            }
            self.deliver(now_us);
            let mut arrivals = self.plan.requests_per_s * 0.01;
            while arrivals > 0.0 {
                if self.rng.random_bool(arrivals.min(1.0)) {
                    self.arrive(now_us);
                }
                arrivals -= 1.0;
            }
            self.crash_by_themselves(now_us, length_us);
            self.advance(now_us);
            self.tick(now_us);
        }
        let innocent = self.daemons[0].parts(now_us);
        let innocent = innocent.iter().filter(|part| !is_deadly(part.part));
        self.outcome.innocent = innocent.count();
        self.outcome
    }

    fn kill_all(&mut self) {
        self.daemons = start_daemons(&self.names);
        self.persistence = vec![Persistence::default(); self.names.len()];
        self.running.clear();
        self.in_flight.clear();
    }

    /// Makes the calls of the store that are due at a daemon.
    fn call_store(&mut self, now_us: u64, index: usize) {
        let unix_ms = now_us / MS_US;
        let (daemon, persistence) = (&mut self.daemons[index], &mut self.persistence[index]);
        let stored_version = self.row.as_ref().map(|(version, _)| *version);
        match persistence.next_step(now_us, unix_ms, daemon) {
            PersistenceStep::Wait => {}
            PersistenceStep::Write { version, snapshot } if version == stored_version => {
                let version = StoreVersion::new(0, version.unwrap_or_default().number + 1);
                self.row = Some((version, snapshot));
                persistence.handle_write(now_us, version);
            }
            PersistenceStep::Read | PersistenceStep::Write { .. } => {
                let snapshot = self.row.as_ref().map(|(_, snapshot)| snapshot);
                persistence.handle_read(now_us, unix_ms, stored_version, snapshot, daemon);
            }
        }
    }

    /// Draws a request: a common first part, a subject, and a part of its own. Deadly requests have
    /// a deadly part besides, and always the same other parts.
    pub(super) fn arrive(&mut self, now_us: u64) {
        self.requests += 1;
        let deadly = self.draw_deadly(now_us);
        let (first, subject) = if let Some(number) = deadly {
            (number as u64 + 1, 100 * (number as u64 + 1))
        } else if self.plan.hot_share > 0.0 && self.rng.random_bool(self.plan.hot_share) {
            (3, 300)
        } else {
            let first = self.rng.random_range(1..=4);
            (
                first,
                100 * first + self.rng.random_range(0..self.plan.subjects) * 1_000,
            )
        };
        let mut parts = vec![first, subject];
        let is_repeat = self.plan.deadly_whole && deadly.is_some();
        if let Some(number) = deadly.filter(|_| !is_repeat) {
            parts.insert(self.plan.deadly_position, DEADLY + number as u64);
        }
        let own = (1 << 50) + if is_repeat { 0 } else { self.requests };
        let mut parts = PromptParts::new(parts.into_iter().chain([own]));
        if self.plan.deadly_whole {
            let sound = (1 << 51) + self.requests;
            parts = parts.with_request(if is_repeat { DEADLY } else { sound });
        }
        let daemon = self.rng.random_range(0..self.daemons.len());
        // A sound request with the first part of a deadly one, late.
        let companion = (0..2).find(|&number| {
            let fifth_us = self.outcome.crashes_us[number].get(4);
            deadly.is_none()
                && first == number as u64 + 1
                && fifth_us.is_some_and(|fifth_us| now_us > fifth_us + 2 * CONTACT_US)
        });
        if let Admission::Refused { .. } = self.daemons[daemon].admit(now_us, &parts) {
            if deadly.is_some() {
                self.outcome.quarantined_us.get_or_insert(now_us);
            } else {
                self.outcome.sound_refused += 1;
            }
            if let Some(number) = companion {
                self.outcome.companions[number].1 += 1;
            }
            return;
        }
        if let Some(number) = deadly {
            self.outcome.deadly_sends_us[number].push(now_us);
        }
        if let Some(number) = companion {
            self.outcome.companions[number].0 += 1;
        }
        self.start(now_us, daemon, parts, deadly, 1);
    }

    fn draw_deadly(&mut self, now_us: u64) -> Option<usize> {
        let parts = 0..usize::try_from(self.plan.deadly_parts).unwrap();
        let mut live = parts.filter(|&number| now_us > DEADLY_FROM_US[number]);
        live.find(|_| self.rng.random_bool(self.plan.deadly_share))
    }

    /// Sends a request to an upstream that is up.
    fn start(
        &mut self,
        now_us: u64,
        daemon: usize,
        parts: PromptParts,
        deadly: Option<usize>,
        attempt: u32,
    ) {
        let up: Vec<usize> = (0..self.upstreams.len())
            .filter(|&upstream| self.upstreams[upstream].1 <= now_us)
            .collect();
        if up.is_empty() {
            return;
        }
        let upstream = up[self.rng.random_range(0..up.len())];
        let begins_us = now_us + self.rng.random_range(50..self.plan.begins_max_ms) * MS_US;
        self.running.push(Running {
            daemon,
            upstream,
            parts,
            deadly,
            attempt,
            sent_us: now_us,
            begins_us,
            ends_us: begins_us + self.rng.random_range(200..2_000) * MS_US,
            reported: false,
            answer_lost: self.rng.random_bool(self.plan.lost_answers),
        });
    }

    fn crash_by_themselves(&mut self, now_us: u64, length_us: u64) {
        let count = self.plan.ordinary_crashes;
        if count == 0 || !(now_us / STEP_US).is_multiple_of(length_us / STEP_US / count) {
            return;
        }
        for upstream in 0..self.upstreams.len() {
            if self.rng.random_bool(1.0 / 6.0) {
                self.crash(now_us, upstream);
            }
        }
    }

    fn crash(&mut self, now_us: u64, upstream: usize) {
        let name = format!("engine-{upstream}-{}", self.upstreams[upstream].0);
        self.upstreams[upstream].0 += 1;
        self.upstreams[upstream].1 = now_us + 3 * S_US;
        let lost = self
            .running
            .extract_if(.., |request| request.upstream == upstream);
        for request in lost.collect::<Vec<_>>() {
            if request.deadly.is_some() || request.begins_us >= now_us {
                self.lose(now_us, &name, request);
            }
        }
    }

    /// Records that a request was lost before its answer began, and tries it again.
    fn lose(&mut self, now_us: u64, upstream: &str, request: Running) {
        let daemon = &mut self.daemons[request.daemon];
        let ran_us = now_us - request.sent_us;
        daemon.record_loss(now_us, ran_us, upstream, &request.parts);
        let is_held = daemon.quarantined_part(&request.parts).is_some();
        if request.attempt < self.plan.attempts && !is_held {
            if let Some(number) = request.deadly {
                self.outcome.deadly_sends_us[number].push(now_us);
            }
            let (parts, attempt) = (request.parts, request.attempt + 1);
            self.start(now_us, request.daemon, parts, request.deadly, attempt);
        }
    }

    pub(super) fn advance(&mut self, now_us: u64) {
        let mut index = 0;
        while index < self.running.len() {
            let request = &mut self.running[index];
            if request.begins_us > now_us {
                index += 1;
                continue;
            }
            if let Some(number) = request.deadly {
                let upstream = request.upstream;
                self.outcome.crashes_us[number].push(now_us);
                self.crash(now_us, upstream);
                index = 0;
                continue;
            }
            if request.answer_lost {
                let request = self.running.swap_remove(index);
                let restarts = self.upstreams[request.upstream].0;
                let name = format!("engine-{}-{restarts}", request.upstream);
                self.lose(now_us, &name, request);
                continue;
            }
            if !request.reported && request.begins_us + 100 * MS_US <= now_us {
                request.reported = true;
                self.daemons[request.daemon].record_answer(now_us, &request.parts);
            }
            if request.ends_us <= now_us {
                self.running.swap_remove(index);
            } else {
                index += 1;
            }
        }
    }

    pub(super) fn tick(&mut self, now_us: u64) {
        for index in 0..self.daemons.len() {
            let offset_us = now_us + index as u64 * STEP_US;
            if offset_us.is_multiple_of(STORE_INTERVAL_US) {
                self.call_store(now_us, index);
            }
            if !offset_us.is_multiple_of(10 * STEP_US) {
                continue;
            }
            self.daemons[index].tick(now_us);
            for (to, message) in self.daemons[index].take_messages(now_us, &mut self.rng) {
                let to = self.names.iter().position(|name| *name == to).unwrap();
                self.send(now_us, index, to, message);
            }
        }
    }

    fn send(&mut self, now_us: u64, from: usize, to: usize, message: Message) {
        self.outcome.messages += 1;
        if self.rng.random_bool(self.plan.lost_messages) {
            return;
        }
        let at_us = now_us + self.rng.random_range(1..60) * MS_US;
        let key = (at_us, self.outcome.messages);
        self.in_flight.insert(key, (from, to, message));
    }

    pub(super) fn deliver(&mut self, now_us: u64) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > now_us {
                break;
            }
            let (from, to, message) = entry.remove();
            for reply in self.daemons[to].receive(now_us, &message) {
                self.send(now_us, to, from, reply);
            }
        }
    }
}

fn is_deadly(part: u64) -> bool {
    (DEADLY..DEADLY + 2).contains(&part)
}
