//! Days of the users' sheets: long prompts with shared parts beside urgent streams.
//!
//! Daemons with uneven shares of the callers decide alone, know of each other's work only what they
//! were told, and place prompts on engines that keep parts, batch and preempt.

mod attempts;
mod daemon;
mod report;
mod requests;
mod setup;
#[cfg(test)]
mod tests;

use sched::{Action, EngineLoad, LoadReport, Outcome};

use crate::{policy::Policy, timeline::Timeline};

pub(crate) use self::setup::{DaySetup, Trouble};
use self::{
    attempts::Attempt,
    daemon::{Daemon, daemons, engine_hash},
    report::{Report, RequestRecord},
    requests::{Request, requests},
};

/// Interval of a daemon's timer.
const TICK_US: u64 = 20_000;

/// Interval at which a daemon tells others its work, as in the daemon.
const TELL_US: u64 = 250_000;

/// Daemons that each message goes to, as in the daemon.
const TOLD_MAX: usize = 8;

/// One way between availability zones, from the users' sheet.
const ZONE_US: u64 = 1_400;

/// One way between regions, from the users' sheet.
const REGION_US: u64 = 30_000;

/// Time for which crashed engines are away.
const CRASH_US: u64 = 3_000_000;

/// Callers return once after a refusal, as on the users' sheet.
const SUBMITS_MAX: u32 = 2;

/// Longest part of the time left for which a caller waits before it returns.
const RETURN_SHARE: u64 = 3;

/// What happens at a time.
#[derive(Debug)]
enum Event {
    /// A caller sends its request.
    Submit { request: usize },
    /// The caller's time is over.
    Deadline { request: usize },
    /// A request reaches an engine.
    EngineAdd { attempt: usize },
    /// The cancellation of a request reaches an engine.
    EngineCancel { attempt: usize },
    /// An engine ends a step.
    StepEnd { engine: usize, epoch: u32 },
    /// Tokens reach the daemon.
    Tokens { attempt: usize, last: bool },
    /// The end of a connection reaches the daemon.
    Lost { attempt: usize, sent: bool },
    /// A daemon's timer.
    Tick { daemon: usize },
    /// A daemon tells others its work.
    Tell { daemon: usize },
    /// What a daemon told reaches another one.
    Told {
        from: usize,
        to: usize,
        loads: Vec<(u64, EngineLoad)>,
    },
    /// A quarter of the engines crash, or return.
    Crash { back: bool },
}

/// Engine of the simulation.
struct Engine {
    name: String,
    zone: usize,
    batch: batch::BatchEngine,
    up: bool,
    /// Counts crashes, so that the end of a step before one is ignored.
    epoch: u32,
    /// What the step in progress will have produced at its end.
    step: Option<Vec<batch::Event>>,
}

/// Simulation of one day.
pub(crate) struct Day {
    setup: DaySetup,
    now_us: u64,
    timeline: Timeline<Event>,
    daemons: Vec<Daemon>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    records: Vec<RequestRecord>,
    /// Daemon and live job of each request.
    live: Vec<Option<(usize, sched::JobId)>>,
    attempts: Vec<Attempt>,
    /// Request of each job, by its number.
    jobs: Vec<usize>,
    /// Attempt of each job that runs, by its number.
    running: Vec<Option<usize>>,
}

impl Day {
    /// Creates a day.
    pub(crate) fn new(setup: DaySetup) -> Self {
        let requests = requests(&setup);
        let engines = (0..setup.engines).map(|index| Engine {
            name: format!("engine-{index:04}"),
            zone: index % setup::ZONES,
            batch: batch::BatchEngine::new(setup.sheet.profile.clone()),
            up: true,
            epoch: 0,
            step: None,
        });
        let engines: Vec<Engine> = engines.collect();
        let mut day = Self {
            daemons: daemons(&setup),
            now_us: 0,
            timeline: Timeline::default(),
            records: vec![RequestRecord::default(); requests.len()],
            live: vec![None; requests.len()],
            requests,
            engines,
            attempts: Vec::new(),
            jobs: Vec::new(),
            running: Vec::new(),
            setup,
        };
        day.begin();
        day
    }

    /// Runs until every request has ended.
    pub(crate) fn run(mut self) -> Report {
        let end_us = self.setup.end_us + self.setup.longest_us();
        while let Some((at_us, event)) = self.timeline.next() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.handle(event);
        }
        let read_tokens = self
            .engines
            .iter()
            .map(|engine| engine.batch.prefilled_tokens());
        let preemptions = self.engines.iter().map(|engine| engine.batch.preemptions());
        let (read_tokens, preemptions) = (read_tokens.sum(), preemptions.sum());
        Report::new(
            &self.setup,
            &self.requests,
            &self.records,
            read_tokens,
            preemptions,
        )
    }

    fn begin(&mut self) {
        for (index, request) in self.requests.iter().enumerate() {
            let submit = Event::Submit { request: index };
            self.timeline.add(request.arrive_us, submit);
            let deadline = Event::Deadline { request: index };
            self.timeline.add(request.deadline_us, deadline);
        }
        let config = setup::config(&self.setup);
        for index in 0..self.daemons.len() {
            let mut actions = Vec::new();
            self.daemons[index]
                .scheduler
                .configure(0, &config, &mut actions);
            // The timers of the daemons are not in step.
            let part = |interval_us: u64| interval_us * index as u64 / self.daemons.len() as u64;
            self.timeline
                .add(part(TICK_US), Event::Tick { daemon: index });
            self.timeline
                .add(part(TELL_US), Event::Tell { daemon: index });
        }
        if self.setup.trouble == Trouble::Crash {
            let middle_us = self.setup.end_us / 2;
            self.timeline.add(middle_us, Event::Crash { back: false });
            self.timeline
                .add(middle_us + CRASH_US, Event::Crash { back: true });
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit { request } => self.submit(request),
            Event::Deadline { request } => self.end_late(request),
            Event::EngineAdd { attempt } => self.engine_add(attempt),
            Event::EngineCancel { attempt } => {
                let engine = self.attempts[attempt].engine;
                self.engines[engine].batch.cancel(attempt as u64);
            }
            Event::StepEnd { engine, epoch } => self.step_end(engine, epoch),
            Event::Tokens { attempt, last } => self.token(attempt, last),
            Event::Lost { attempt, sent } => self.lost(attempt, sent),
            Event::Tick { daemon } => {
                self.timeline
                    .add(self.now_us + TICK_US, Event::Tick { daemon });
                self.act(daemon, |scheduler, now_us, actions| {
                    scheduler.tick(now_us, actions);
                });
            }
            Event::Tell { daemon } => self.tell(daemon),
            Event::Told { from, to, loads } => {
                let name = self.daemons[from].name.clone();
                self.daemons[to]
                    .peer_loads
                    .update(self.now_us, &name, &loads);
            }
            Event::Crash { back } => self.crash(back),
        }
    }

    /// Passes the work of others to a daemon's scheduler and tells its own, as the daemon does.
    fn tell(&mut self, index: usize) {
        self.timeline
            .add(self.now_us + TELL_US, Event::Tell { daemon: index });
        let daemon = &mut self.daemons[index];
        daemon.peer_loads.expire(self.now_us);
        for engine in &self.engines {
            let load = daemon.peer_loads.total_on(engine_hash(&engine.name));
            daemon
                .scheduler
                .set_foreign_load(self.now_us, &engine.name, load);
        }
        if self.setup.policy == Policy::Least {
            self.report(index);
        }
        let loads = self.daemons[index].scheduler.engine_loads();
        let loads = loads.iter().map(|(name, load)| (engine_hash(name), *load));
        let loads: Vec<(u64, EngineLoad)> = loads.collect();
        let count = self.daemons.len();
        // Each message goes to the next few daemons, so that all are told in turn.
        let turn = usize::try_from(self.now_us / TELL_US).unwrap_or(0);
        for step in 0..TOLD_MAX.min(count - 1) {
            let to = (index + 1 + (turn * TOLD_MAX + step) % (count - 1)) % count;
            let loads = loads.clone();
            let at_us = self.now_us + way_us(self.daemons[index].zone, self.daemons[to].zone);
            self.timeline.add(
                at_us,
                Event::Told {
                    from: index,
                    to,
                    loads,
                },
            );
        }
    }

    /// Tells a baseline the load of the engines, which it has to go by.
    fn report(&mut self, daemon: usize) {
        for engine in 0..self.engines.len() {
            let batch = &self.engines[engine].batch;
            let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
            let load = LoadReport {
                running: count(batch.running()),
                waiting: count(batch.waiting()),
                cache_used_permille: 0,
            };
            let name = self.engines[engine].name.as_str().into();
            self.act(daemon, |scheduler, now_us, actions| {
                scheduler.report_load(now_us, &name, &load, actions);
            });
        }
    }

    fn act<F>(&mut self, daemon: usize, event: F)
    where
        F: FnOnce(&mut dyn crate::scheduler::Scheduler, u64, &mut Vec<Action>),
    {
        let mut actions = Vec::new();
        let scheduler = self.daemons[daemon].scheduler.as_mut();
        event(scheduler, self.now_us, &mut actions);
        for action in actions {
            match action {
                Action::Start { id, upstream, .. } => self.start(daemon, id, &upstream),
                Action::Refuse {
                    id, retry_after_ms, ..
                } => self.refuse(id, retry_after_ms),
                Action::Cancel { id, .. } => self.cancel_attempt(id),
                Action::Queued { .. } => {}
            }
        }
    }

    fn finish(&mut self, attempt: usize, outcome: Outcome) {
        let Attempt { daemon, id, .. } = self.attempts[attempt];
        self.act(daemon, |scheduler, now_us, actions| {
            scheduler.finish(now_us, id, outcome, actions);
        });
    }
}

/// Returns the time of one way between availability zones.
const fn way_us(from: usize, to: usize) -> u64 {
    if setup::region(from) == setup::region(to) {
        ZONE_US
    } else {
        REGION_US
    }
}
