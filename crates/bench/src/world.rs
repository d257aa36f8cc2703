use grant::{Assignments, Budget};
use sched::{JobId, Locality};
use settings::Config;

use crate::{
    class_mix::ClassMix,
    daemon::Daemon,
    engine::Engine,
    event::Event,
    fault::{Fault, faults},
    job_info::{Attempt, JobInfo},
    measure::{Counts, Fate, Outcome, measure},
    network::Network,
    request::Request,
    setup::Setup,
    timeline::Timeline,
    workload::{BURST_ACCOUNT, requests, steady_per_s},
};

mod attempts;
mod callers;
mod control;
mod engines;
mod faults;
mod requests;

/// Interval of a daemon's timer.
const TICK_US: u64 = 20_000;

/// Interval of the engines' load reports.
const PUBLISH_US: u64 = 500_000;

/// Delay of the host list and the heartbeats behind the state of the hosts.
const VIEW_LAG_US: u64 = 2_000_000;

/// Time until the platform's load balancer stops sending to a daemon that stands still.
const BALANCER_LAG_US: u64 = 1_000_000;

/// Time until a connection that delivers nothing counts as lost.
const SILENCE_US: u64 = 500_000;

/// Pause before a caller whose daemon was lost sends its request again.
const RETRY_US: u64 = 50_000;

/// Time after the last arrival at which the run ends in any case.
const DRAIN_US: u64 = 90_000_000;

/// Bytes of one token in a stream of server-sent events.
const TOKEN_BYTES: u64 = 200;

/// Key id, sender, incarnation, sequence and HMAC-SHA256 of a datagram between daemons.
const ENVELOPE_BYTES: u64 = 50;

/// Share of urgent requests that may get a second copy, one in this many.
const COPY_ONE_IN: u64 = 20;

/// Live hosts as the daemons of one region see them.
#[derive(Default)]
struct View {
    live: u32,
    plan: Assignments,
}

/// Simulation of one run.
pub(crate) struct World {
    setup: Setup,
    config: Config,
    budgets: Vec<Budget>,
    classes: [ClassMix; 3],
    now_us: u64,
    timeline: Timeline<Event>,
    network: Network,
    daemons: Vec<Daemon>,
    engines: Vec<Engine>,
    /// Live hosts as the daemons of each region see them.
    views: [View; 2],
    /// Daemons that read the load of each engine: those that use it.
    pollers: Vec<Vec<usize>>,
    faults: Vec<(u64, Fault)>,
    requests: Vec<Request>,
    fates: Vec<Fate>,
    /// Daemon that took a request in.
    origins: Vec<usize>,
    /// Live jobs of each request.
    live: Vec<Vec<usize>>,
    jobs: Vec<JobInfo>,
    attempts: Vec<Attempt>,
    open: usize,
    urgent: u64,
    counts: Counts,
}

impl World {
    /// Creates the world of a run.
    pub(crate) fn new(setup: Setup) -> Self {
        let config = setup.deployment.config(setup.engines, steady_per_s(&setup));
        let budget = |upstream: &settings::Upstream| {
            Budget::new(&upstream.name, &upstream.region, upstream.slots)
        };
        let engines = config.upstreams.iter().map(|upstream| {
            let place = Locality::new(&upstream.region, &upstream.zone);
            let slots = upstream.slots;
            Engine::new(&upstream.name, place, slots, upstream.honours.priority)
        });
        let zones = setup.deployment.zones();
        let regions = setup.deployment.regions();
        let daemons = (0..setup.daemons).map(|index| {
            let (zone, region) = zones[index % zones.len()];
            // Rank of the daemon among those of its region: two of three zones are in the first.
            let rank = if region == 0 {
                index / 3 * 2 + index % 3
            } else {
                index / 3
            };
            let weight = setup.arrival.weight(u32::try_from(rank).unwrap_or(0));
            let place = Locality::new(regions[region], zone);
            Daemon::new(
                &format!("entry-{index:03}"),
                place,
                region,
                weight,
                setup.policy,
                setup.engines,
            )
        });
        let requests = requests(&setup);
        let faults = if setup.no_faults {
            Vec::new()
        } else {
            faults(setup.scenario, setup.engines, setup.daemons)
        };
        let count = requests.len();
        let mut world = Self {
            budgets: config.upstreams.iter().map(budget).collect(),
            classes: setup.deployment.classes(),
            engines: engines.collect(),
            daemons: daemons.collect(),
            network: Network::new(setup.scale(), regions[0]),
            config,
            now_us: 0,
            timeline: Timeline::default(),
            views: [View::default(), View::default()],
            pollers: Vec::new(),
            faults,
            fates: vec![Fate::default(); count],
            origins: vec![0; count],
            live: vec![Vec::new(); count],
            requests,
            jobs: Vec::new(),
            attempts: Vec::new(),
            open: count,
            urgent: 0,
            counts: Counts::default(),
            setup,
        };
        world.begin();
        world
    }

    /// Runs until every request has ended and returns the measures.
    pub(crate) fn run(mut self) -> Outcome {
        while self.open > 0 {
            let Some((at_us, event)) = self.timeline.next() else {
                break;
            };
            self.now_us = at_us;
            if at_us > self.setup.end_us + DRAIN_US {
                break;
            }
            self.handle(event);
        }
        let (setup, counts) = (&self.setup, self.counts);
        measure(
            setup,
            &self.requests,
            &self.fates,
            &self.faults,
            BURST_ACCOUNT,
            counts,
        )
    }

    fn begin(&mut self) {
        for (index, request) in self.requests.iter().enumerate() {
            let arrive = Event::Arrive { request: index };
            self.timeline.add(request.arrive_us, arrive);
            let leave = Event::Leave { request: index };
            self.timeline
                .add(request.arrive_us + request.patience_us, leave);
        }
        for &(at_us, fault) in &self.faults {
            self.timeline.add(at_us, Event::Fault(fault));
        }
        self.timeline.add(0, Event::Publish);
        self.update_views();
        for daemon in 0..self.daemons.len() {
            self.configure(daemon);
            // The timers of the daemons are not in step.
            let offset_us = TICK_US * daemon as u64 / self.daemons.len() as u64;
            self.timeline.add(offset_us, Event::Tick { daemon });
        }
        self.update_pollers();
    }

    fn handle(&mut self, event: Event) {
        let daemon = match &event {
            Event::Submit { daemon, .. }
            | Event::Tokens { daemon, .. }
            | Event::Tick { daemon } => Some(*daemon),
            Event::Demand { to, .. } | Event::Grants { to, .. } => Some(*to),
            Event::Lost { attempt, .. } => Some(self.jobs[self.attempts[*attempt].job].daemon),
            Event::Late { job } => Some(self.jobs[index_of(*job)].daemon),
            Event::Disconnect { request } => {
                let job = self.live[*request].first();
                job.map(|&job| self.jobs[job].daemon)
            }
            _ => None,
        };
        if let Some(daemon) = daemon {
            let resume_us = self.daemons[daemon].paused_until_us;
            if resume_us > self.now_us {
                self.timeline.add(resume_us, event);
                return;
            }
            // A daemon that stood still checks its leases before anything else.
            if self.now_us > self.daemons[daemon].ticked_us + 2 * TICK_US {
                self.apply_shares(daemon);
            }
        }
        match event {
            Event::Arrive { request } => self.arrive(request),
            Event::Submit {
                daemon,
                request,
                forwarded,
            } => self.submit(daemon, request, forwarded),
            Event::Leave { request } => self.leave(request),
            Event::Disconnect { request } => self.disconnect(request),
            Event::EngineAdd { attempt } => self.engine_add(attempt),
            Event::EngineCancel { attempt } => {
                let engine = self.attempts[attempt].engine;
                self.engines[engine].batch.cancel(attempt as u64);
            }
            Event::StepEnd { engine, epoch } => self.step_end(engine, epoch),
            Event::Tokens { daemon, tokens } => self.tokens(daemon, &tokens),
            Event::Lost { attempt, outcome } => self.lost(attempt, outcome),
            Event::Publish => self.publish(),
            Event::Report { engine, load } => self.report(engine, load),
            Event::Tick { daemon } => self.tick(daemon),
            Event::Demand { from, to, demand } => self.demand(from, to, &demand),
            Event::Grants { from, to, grants } => self.grants(&from, to, &grants),
            Event::View => {
                self.update_views();
                for daemon in 0..self.daemons.len() {
                    if self.daemons[daemon].up {
                        self.share_out(daemon);
                    }
                }
                self.update_pollers();
            }
            Event::Late { job } => self.late(index_of(job)),
            Event::Fault(fault) => self.fault(fault),
        }
    }
}

fn encoded_bytes<T>(message: &T) -> u64
where
    T: serde::Serialize,
{
    let bytes = postcard::experimental::serialized_size(message).unwrap_or(0);
    bytes as u64 + ENVELOPE_BYTES
}

fn index_of(id: JobId) -> usize {
    usize::try_from(id.0).unwrap_or(usize::MAX)
}

fn tier_of(class: usize) -> u8 {
    u8::try_from(class).unwrap_or(u8::MAX)
}
