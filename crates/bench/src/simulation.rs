//! Discrete-event simulation of daemons, engines, network and callers.

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
    measure::{Counts, RequestRecord, RunResult, measure},
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
const TICK_INTERVAL_US: u64 = 20_000;

/// Interval of the engines' load reports.
const LOAD_REPORT_INTERVAL_US: u64 = 500_000;

/// Delay with which host list and heartbeats show a change of the hosts.
const VIEW_DELAY_US: u64 = 2_000_000;

/// Time until the platform's load balancer stops sending to a suspended daemon.
const BALANCER_DELAY_US: u64 = 1_000_000;

/// Time after which a connection that delivers nothing counts as lost.
const CONNECTION_TIMEOUT_US: u64 = 500_000;

/// Delay before a caller whose daemon was lost sends its request again.
const CALLER_RETRY_US: u64 = 50_000;

/// Longest time that a run continues after the last arrival.
const DRAIN_MAX_US: u64 = 90_000_000;

/// Bytes of one token in a stream of server-sent events.
const TOKEN_BYTES: u64 = 200;

/// Key id, sender, incarnation, sequence and HMAC-SHA256 of a datagram between daemons.
const ENVELOPE_BYTES: u64 = 50;

/// At most one in this many urgent requests may be hedged by a second copy.
const URGENT_REQUESTS_PER_COPY: u64 = 20;

/// Live hosts as the daemons of one region see them.
#[derive(Default)]
struct FleetView {
    live: u32,
    assignments: Assignments,
}

/// Simulation of one run, with everything that changes during it.
pub(crate) struct Simulation {
    setup: Setup,
    config: Config,
    budgets: Vec<Budget>,
    classes: [ClassMix; 3],
    now_us: u64,
    timeline: Timeline<Event>,
    network: Network,
    daemons: Vec<Daemon>,
    engines: Vec<Engine>,
    /// Views of the daemons of each region.
    views: [FleetView; 2],
    /// Daemons that read the load reports of each engine: those that use it.
    pollers: Vec<Vec<usize>>,
    faults: Vec<(u64, Fault)>,
    requests: Vec<Request>,
    records: Vec<RequestRecord>,
    /// Daemon that received each request from its caller.
    origins: Vec<usize>,
    /// Live jobs of each request.
    live_jobs: Vec<Vec<usize>>,
    jobs: Vec<JobInfo>,
    attempts: Vec<Attempt>,
    /// Requests that have not ended for their callers.
    open_requests: usize,
    /// Urgent requests so far, which bound the number of hedges.
    urgent_requests: u64,
    counts: Counts,
}

impl Simulation {
    /// Creates the simulation of a run.
    pub(crate) fn new(setup: Setup) -> Self {
        let config = setup.deployment.config(setup.engines, steady_per_s(&setup));
        let budget = |upstream: &settings::Upstream| {
            Budget::new(&upstream.name, &upstream.region, upstream.slots)
        };
        let engines = config.upstreams.iter().map(|upstream| {
            let locality = Locality::new(&upstream.region, &upstream.zone);
            let slots = upstream.slots;
            Engine::new(&upstream.name, locality, slots, upstream.honours.priority)
        });
        let zones = setup.deployment.zones();
        let regions = setup.deployment.regions();
        let daemons = (0..setup.daemons).map(|index| {
            let (zone, region) = zones[index % zones.len()];
            // Rank of the daemon within its region: two of the three zones are in the first region.
            let rank = if region == 0 {
                index / 3 * 2 + index % 3
            } else {
                index / 3
            };
            let weight = setup.arrival.weight(u32::try_from(rank).unwrap_or(0));
            let locality = Locality::new(regions[region], zone);
            Daemon::new(
                &format!("entry-{index:03}"),
                locality,
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
        let mut simulation = Self {
            budgets: config.upstreams.iter().map(budget).collect(),
            classes: setup.deployment.classes(),
            engines: engines.collect(),
            daemons: daemons.collect(),
            network: Network::new(setup.scale(), regions[0]),
            config,
            now_us: 0,
            timeline: Timeline::default(),
            views: [FleetView::default(), FleetView::default()],
            pollers: Vec::new(),
            faults,
            records: vec![RequestRecord::default(); count],
            origins: vec![0; count],
            live_jobs: vec![Vec::new(); count],
            requests,
            jobs: Vec::new(),
            attempts: Vec::new(),
            open_requests: count,
            urgent_requests: 0,
            counts: Counts::default(),
            setup,
        };
        simulation.schedule_initial_events();
        simulation
    }

    /// Runs until every request has ended and returns the results.
    pub(crate) fn run(mut self) -> RunResult {
        while self.open_requests > 0 {
            let Some((at_us, event)) = self.timeline.next() else {
                break;
            };
            self.now_us = at_us;
            if at_us > self.setup.end_us + DRAIN_MAX_US {
                break;
            }
            self.handle(event);
        }
        let (setup, counts) = (&self.setup, self.counts);
        measure(
            setup,
            &self.requests,
            &self.records,
            &self.faults,
            BURST_ACCOUNT,
            counts,
        )
    }

    /// Schedules arrivals, faults and the first timers, and configures the daemons.
    fn schedule_initial_events(&mut self) {
        for (index, request) in self.requests.iter().enumerate() {
            let arrive = Event::Arrive { request: index };
            self.timeline.add(request.arrive_us, arrive);
            let disconnect = Event::CallerDisconnect { request: index };
            self.timeline
                .add(request.arrive_us + request.patience_us, disconnect);
        }
        for &(at_us, fault) in &self.faults {
            self.timeline.add(at_us, Event::Fault(fault));
        }
        self.timeline.add(0, Event::PublishLoads);
        self.update_views();
        for daemon in 0..self.daemons.len() {
            self.configure(daemon);
            // The timers of the daemons are spread over the interval.
            let offset_us = TICK_INTERVAL_US * daemon as u64 / self.daemons.len() as u64;
            self.timeline.add(offset_us, Event::Tick { daemon });
        }
        self.update_pollers();
    }

    /// Handles an event; a suspended daemon handles its events when it resumes.
    fn handle(&mut self, event: Event) {
        let daemon = match &event {
            Event::Submit { daemon, .. }
            | Event::Tokens { daemon, .. }
            | Event::Tick { daemon } => Some(*daemon),
            Event::Demand { to, .. } | Event::Grants { to, .. } => Some(*to),
            Event::AttemptLost { attempt, .. } => {
                Some(self.jobs[self.attempts[*attempt].job].daemon)
            }
            Event::HedgeTimer { job } => Some(self.jobs[index_of(*job)].daemon),
            Event::DisconnectArrived { request } => {
                let job = self.live_jobs[*request].first();
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
            // A daemon that was suspended checks its shares for expiry before anything else.
            if self.now_us > self.daemons[daemon].ticked_us + 2 * TICK_INTERVAL_US {
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
            Event::CallerDisconnect { request } => self.disconnect_caller(request),
            Event::DisconnectArrived { request } => self.handle_disconnect(request),
            Event::EngineAdd { attempt } => self.engine_add(attempt),
            Event::EngineCancel { attempt } => {
                let engine = self.attempts[attempt].engine;
                self.engines[engine].batch.cancel(attempt as u64);
            }
            Event::StepEnd { engine, epoch } => self.step_end(engine, epoch),
            Event::Tokens { daemon, tokens } => self.handle_tokens(daemon, &tokens),
            Event::AttemptLost { attempt, outcome } => self.handle_lost_attempt(attempt, outcome),
            Event::PublishLoads => self.publish_loads(),
            Event::LoadReport { engine, load } => self.deliver_load_report(engine, load),
            Event::Tick { daemon } => self.tick(daemon),
            Event::Demand { from, to, demand } => self.handle_demand(from, to, &demand),
            Event::Grants { from, to, grants } => self.handle_grants(&from, to, &grants),
            Event::ViewChange => {
                self.update_views();
                for daemon in 0..self.daemons.len() {
                    if self.daemons[daemon].up {
                        self.apply_view(daemon);
                    }
                }
                self.update_pollers();
            }
            Event::HedgeTimer { job } => self.hedge_or_migrate(index_of(job)),
            Event::Fault(fault) => self.apply_fault(fault),
        }
    }
}

/// Returns the size of a datagram with this message.
fn encoded_bytes<T>(message: &T) -> u64
where
    T: serde::Serialize,
{
    let bytes = postcard::experimental::serialized_size(message).unwrap_or(0);
    bytes as u64 + ENVELOPE_BYTES
}

/// Returns the index of a job.
fn index_of(id: JobId) -> usize {
    usize::try_from(id.0).unwrap_or(usize::MAX)
}

/// Returns the tier of a class, which is its index.
fn tier_of(class: usize) -> u8 {
    u8::try_from(class).unwrap_or(u8::MAX)
}
