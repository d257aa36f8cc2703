//! State that all threads and tasks of a daemon share.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use audit::Step;
use code::Code;
use intake::{HostLimits, ProgressFloor};
use metric::Metrics;
use sched::{Job, JobId, Target};
use settings::{Config, Host, Upstream};
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

use crate::{
    adapter::HeaderAdapter,
    clock::Clock,
    config_snapshot::ConfigSnapshot,
    core::Core,
    directory::ClusterState,
    duties::{Held, UsageCounter},
    fingerprint::FingerprintKey,
    follow::ReleaseState,
    handle::JobHandle,
    holds::Holds,
    peers::Peers,
    pending_work::PendingWork,
};

/// Lowest tier of the dispatcher; engines distinguish more ranks.
const LAST_TIER: u8 = 2;

/// Bytes in a megabyte of the settings.
const MEGABYTE_BYTES: u64 = 1_000_000;

/// Returns the limits of what is held for callers.
pub(crate) fn host_limits(host: &Host) -> HostLimits {
    let memory_bytes = host
        .memory_max_mb
        .map(|memory_mb| memory_mb * MEGABYTE_BYTES);
    let floor = ProgressFloor {
        bytes_per_s: host.caller_min_bytes_per_s,
        window_us: host.caller_window_ms * 1_000,
    };
    HostLimits::new(
        memory_bytes,
        host.descriptors_max,
        host.descriptors_reserved,
    )
    .with_floor(floor)
}

/// State that all threads and tasks of a daemon share.
pub(crate) struct Shared {
    pub(crate) host: Host,
    pub(crate) clock: Clock,
    pub(crate) snapshot: ArcSwap<ConfigSnapshot>,
    pub(crate) release_state: ReleaseState,
    pub(crate) peers: Peers,
    /// Hold of this host on the duties of the fleet.
    pub(crate) held: Held,
    /// Counts of the usage reports, if it is a duty of the deployment to send them.
    pub(crate) usage: Option<UsageCounter>,
    draining: AtomicBool,
    draining_since_us: AtomicU64,
    /// Cancelled when a graceful stop has used up its time: whoever still waits is answered now.
    pub(crate) stop_expired: CancellationToken,
    next_id: AtomicU64,
    pub(crate) metrics: Metrics,
    pub(crate) cluster_state: ClusterState,
    header_adapter: Option<Arc<dyn HeaderAdapter>>,
    /// Key of the fingerprints of requests.
    pub(crate) fingerprint_key: FingerprintKey,
    pub(crate) pending_work: PendingWork,
    /// What is held for callers.
    pub(crate) holds: Arc<Holds>,
    /// Number of open connections of callers; of one thread if several serve.
    pub(crate) caller_connections: AtomicU64,
    /// Distinguishes this run of the daemon from all others in claims.
    start_nonce: u64,
    /// Wakes the task that exchanges evidence about prompts.
    pub(crate) evidence: Notify,
    /// Wakes the task that tells others about upstreams that can't be reached.
    pub(crate) upstream_evidence: Notify,
    /// Wakes the dispatcher's tick task when a job has to wait.
    pub(crate) queued: Notify,
    core: Mutex<Core>,
}

impl Shared {
    /// Creates the state of a host without a configuration.
    pub(crate) fn new(host: Host, peers: Peers) -> Self {
        let core = Core::new(&host);
        let fingerprint_key = FingerprintKey::new(&host);
        let start_nonce = rand::random();
        let held = Held::new(&host, start_nonce);
        let usage = UsageCounter::new(&host, start_nonce);
        let holds = Holds::new(host_limits(&host).budget());
        Self {
            host,
            clock: Clock::new(),
            snapshot: ArcSwap::from_pointee(ConfigSnapshot::default()),
            release_state: ReleaseState::default(),
            peers,
            held,
            usage,
            draining: AtomicBool::new(false),
            draining_since_us: AtomicU64::new(0),
            stop_expired: CancellationToken::new(),
            next_id: AtomicU64::new(1),
            metrics: Metrics::default(),
            cluster_state: ClusterState::default(),
            header_adapter: None,
            fingerprint_key,
            pending_work: PendingWork::default(),
            holds: Arc::new(holds),
            caller_connections: AtomicU64::new(0),
            start_nonce,
            evidence: Notify::new(),
            upstream_evidence: Notify::new(),
            queued: Notify::new(),
            core: Mutex::new(core),
        }
    }

    /// Sets the header adapter of routed requests.
    pub(crate) fn with_header_adapter(mut self, header_adapter: Arc<dyn HeaderAdapter>) -> Self {
        self.header_adapter = Some(header_adapter);
        self
    }

    /// Returns whether the daemon serves routed requests of a platform.
    pub(crate) const fn is_routed(&self) -> bool {
        self.header_adapter.is_some()
    }

    /// Returns the header adapter of routed requests.
    ///
    /// # Panics
    ///
    /// If there is none; routed requests are served only with one.
    pub(crate) fn header_adapter(&self) -> &dyn HeaderAdapter {
        let adapter = self.header_adapter.as_deref();
        adapter.expect("routed requests are served only with a header adapter")
    }

    /// Returns whether a graceful stop has started.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns whether the host has been draining for `drain_min_ms`. The load balancer must have
    /// noticed by then, and requests that still arrive could not finish in time.
    pub(crate) fn is_closing(&self) -> bool {
        let since_us = self.draining_since_us.load(Ordering::Acquire);
        let drained_us = self.clock.now_us().saturating_sub(since_us);
        self.is_draining() && drained_us >= self.host.drain_min_ms * 1_000
    }

    /// Returns whether a new request with this deadline could still run when the drain is out of
    /// time.
    ///
    /// Callers that send before the load balancer has noticed the stop are served all the same.
    pub(crate) fn outlasts_drain(&self, deadline_us: u64) -> bool {
        let since_us = self.draining_since_us.load(Ordering::Acquire);
        let drain_max_us = u64::try_from(self.host.drain_max().as_micros()).unwrap_or(u64::MAX);
        self.is_closing() && deadline_us > since_us.saturating_add(drain_max_us)
    }

    /// Returns whether the host accepts new work.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.snapshot.load().config.version > 0
    }

    /// Stops accepting new work and announces it to the peers.
    pub(crate) fn set_draining(&self) {
        let now_us = self.clock.now_us();
        self.draining_since_us.store(now_us, Ordering::Release);
        self.draining.store(true, Ordering::Release);
        self.peers.leave(self.clock.now_us());
    }

    /// Refuses the waiting jobs whose answers aren't expected to end within this time.
    pub(crate) fn stop_within(&self, remaining: Duration) {
        let remaining_us = u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX);
        self.with_core(|now_us, core| {
            core.dispatch(now_us, |dispatcher, actions| {
                dispatcher.stop_by(now_us, now_us.saturating_add(remaining_us), actions);
            });
        });
    }

    /// Waits for the answer to a job; returns the code for its caller if a graceful stop uses up its
    /// time first.
    pub(crate) async fn until_stop_expires<F>(
        &self,
        id: JobId,
        answer: F,
    ) -> Result<F::Output, Code>
    where
        F: Future,
    {
        tokio::select! {
            biased;
            answer = answer => Ok(answer),
            () = self.stop_expired.cancelled() => {
                Err(self.with_core(|_, core| core.dispatcher.code_at_stop(id)))
            }
        }
    }

    /// Returns a new job identifier.
    pub(crate) fn next_id(&self) -> JobId {
        JobId(self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns an attempt identifier that is unique among all hosts and runs of the daemon.
    pub(crate) fn unique_attempt(&self, id: JobId) -> String {
        format!("{}/{:016x}/{:x}", self.host.name, self.start_nonce, id.0)
    }

    /// Runs a closure with the current time and the locked core.
    pub(crate) fn with_core<R, F>(&self, access: F) -> R
    where
        F: FnOnce(u64, &mut Core) -> R,
    {
        let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is read under the lock, so that the dispatcher never sees it go backwards.
        access(self.clock.now_us(), &mut core)
    }

    /// Submits a job and returns its handle, which cancels the job when dropped.
    pub(crate) fn submit(self: &Arc<Self>, job: Job) -> JobHandle {
        let (sender, decisions) = mpsc::unbounded_channel();
        let id = job.id;
        self.metrics.record_accepted(&job.class);
        let received = received_step(&job);
        let has_queued = self.with_core(|now_us, core| {
            core.journal.record(now_us, id.0, received);
            core.add_waiter(id, job.tier.min(LAST_TIER), sender);
            core.dispatch(now_us, |dispatcher, actions| {
                dispatcher.submit(now_us, job, actions);
            });
            core.dispatcher.has_queued()
        });
        if has_queued {
            self.queued.notify_one();
        }
        JobHandle::new(self.clone(), id, decisions)
    }

    /// Returns whether requests may be sent to an upstream as it was listed when it was chosen for a
    /// job.
    pub(crate) fn accepts_attempt(&self, upstream: &Upstream) -> bool {
        self.with_core(|_, core| core.dispatcher.accepts_attempt(upstream))
    }

    /// Records a step of a request in the journal.
    pub(crate) fn record(&self, id: JobId, step: Step) {
        self.with_core(|now_us, core| core.journal.record(now_us, id.0, step));
    }

    /// Puts a configuration in force if it is newer than the present one; returns whether it was.
    pub(crate) fn apply_if_newer(&self, config: Config) -> bool {
        if config.version <= self.snapshot.load().config.version {
            return false;
        }
        let snapshot = Arc::new(ConfigSnapshot::new(config));
        self.with_core(|now_us, core| {
            // Checked again under the lock, as another thread may have put a newer one in force.
            if snapshot.config.version <= self.snapshot.load().config.version {
                return false;
            }
            core.dispatch(now_us, |dispatcher, actions| {
                dispatcher.configure(now_us, &snapshot.config, actions);
            });
            self.peers.with(|membership| {
                // The configuration does not include the upstreams that peers reported as leaving.
                for upstream in membership.upstreams_leaving() {
                    core.dispatcher.set_leaving(upstream);
                }
                membership.set_config_version(snapshot.config.version);
            });
            self.snapshot.store(snapshot);
            true
        })
    }
}

impl Shared {
    /// Puts a configuration in force that has the same or a newer version, with its current
    /// upstreams.
    pub(crate) fn replace_config(&self, config: Config) {
        let snapshot = Arc::new(ConfigSnapshot::new(config));
        self.with_core(|now_us, core| {
            core.dispatch(now_us, |dispatcher, actions| {
                dispatcher.configure(now_us, &snapshot.config, actions);
            });
            self.peers
                .with(|membership| membership.set_config_version(snapshot.config.version));
            self.snapshot.store(snapshot);
        });
    }
}

/// Returns the journal's step for a submitted job.
fn received_step(job: &Job) -> Step {
    let target = match &job.target {
        Target::Model(name) | Target::Service(name) => name.clone(),
    };
    Step::Received {
        account: job.account.clone(),
        class: job.class.clone(),
        tier: job.tier,
        target,
        prompt_tokens: job.prompt_tokens,
    }
}
