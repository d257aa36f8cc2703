use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use arc_swap::ArcSwap;
use audit::Step;
use metric::Metrics;
use sched::{Job, JobId, Target};
use settings::{Config, Host};
use tokio::sync::{Notify, mpsc};

use crate::{
    adapter::HeaderAdapter, calls::Calls, clock::Clock, core::Core, directory::ClusterState,
    follow::Releases, handle::JobHandle, peers::Peers, view::View,
};

/// Lowest tier of the dispatcher; engines tell more ranks apart.
const LAST_TIER: u8 = 2;

/// State that all threads of a daemon share.
pub(crate) struct Shared {
    pub(crate) host: Host,
    pub(crate) clock: Clock,
    pub(crate) view: ArcSwap<View>,
    pub(crate) releases: Releases,
    pub(crate) peers: Peers,
    draining: AtomicBool,
    draining_since_us: AtomicU64,
    next_id: AtomicU64,
    pub(crate) metrics: Metrics,
    pub(crate) cluster_state: ClusterState,
    header_adapter: Option<Arc<dyn HeaderAdapter>>,
    pub(crate) calls: Calls,
    /// Distinguishes this start of the daemon from all others in claims.
    start_nonce: u64,
    /// Wakes the ticks of the dispatcher when a job has to wait.
    pub(crate) queued: Notify,
    core: Mutex<Core>,
}

impl Shared {
    pub(crate) fn new(host: Host, peers: Peers) -> Self {
        let core = Core::new(&host);
        Self {
            host,
            clock: Clock::new(),
            view: ArcSwap::from_pointee(View::default()),
            releases: Releases::default(),
            peers,
            draining: AtomicBool::new(false),
            draining_since_us: AtomicU64::new(0),
            next_id: AtomicU64::new(1),
            metrics: Metrics::default(),
            cluster_state: ClusterState::default(),
            header_adapter: None,
            calls: Calls::default(),
            start_nonce: rand::random(),
            queued: Notify::new(),
            core: Mutex::new(core),
        }
    }

    /// Sets the translation of routed requests.
    pub(crate) fn with_header_adapter(mut self, header_adapter: Arc<dyn HeaderAdapter>) -> Self {
        self.header_adapter = Some(header_adapter);
        self
    }

    /// Returns whether the daemon serves routed requests of a platform.
    pub(crate) const fn is_routed(&self) -> bool {
        self.header_adapter.is_some()
    }

    /// Returns the translation of routed requests.
    ///
    /// # Panics
    ///
    /// If there is none; routed requests are served only with one.
    pub(crate) fn header_adapter(&self) -> &dyn HeaderAdapter {
        let adapter = self.header_adapter.as_deref();
        adapter.expect("routed requests are served only with a header adapter")
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns whether the host stops for so long that the balancer must know: what still arrives
    /// could not end in time.
    pub(crate) fn is_closing(&self) -> bool {
        let since_us = self.draining_since_us.load(Ordering::Acquire);
        let drained_us = self.clock.now_us().saturating_sub(since_us);
        self.is_draining() && drained_us >= self.host.drain_min_ms * 1_000
    }

    /// Returns whether the host takes new work.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.view.load().config.version > 0
    }

    /// Takes no new work from now on and announces it to the peers.
    pub(crate) fn set_draining(&self) {
        let now_us = self.clock.now_us();
        self.draining_since_us.store(now_us, Ordering::Release);
        self.draining.store(true, Ordering::Release);
        self.peers.leave(self.clock.now_us());
    }

    pub(crate) fn next_id(&self) -> JobId {
        JobId(self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns an attempt that no other host or start uses.
    pub(crate) fn unique_attempt(&self, id: JobId) -> String {
        format!("{}/{:016x}/{:x}", self.host.name, self.start_nonce, id.0)
    }

    /// Runs a closure with the dispatcher and its channels.
    pub(crate) fn with_core<R, F>(&self, act: F) -> R
    where
        F: FnOnce(u64, &mut Core) -> R,
    {
        let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        // Read under the lock, so that the dispatcher never sees time run backwards.
        act(self.clock.now_us(), &mut core)
    }

    /// Submits a job and returns its handle, which cancels the job when dropped.
    pub(crate) fn submit(self: &Arc<Self>, job: Job) -> JobHandle {
        let (sender, decisions) = mpsc::unbounded_channel();
        let id = job.id;
        self.metrics.received(&job.class);
        let received = received_step(&job);
        let waiting = self.with_core(|now_us, core| {
            core.journal.record(now_us, id.0, received);
            core.register(id, job.tier.min(LAST_TIER), sender);
            core.act(now_us, |dispatcher, actions| {
                dispatcher.submit(now_us, job, actions);
            });
            core.dispatcher.has_queued()
        });
        if waiting {
            self.queued.notify_one();
        }
        JobHandle::new(self.clone(), id, decisions)
    }

    /// Adds a step of a request to the journal.
    pub(crate) fn record(&self, id: JobId, step: Step) {
        self.with_core(|now_us, core| core.journal.record(now_us, id.0, step));
    }

    /// Takes up a configuration if it is newer than the one in force.
    pub(crate) fn configure(&self, config: Config) -> bool {
        if config.version <= self.view.load().config.version {
            return false;
        }
        let view = Arc::new(View::new(config));
        self.with_core(|now_us, core| {
            // Checked again under the lock: another thread may have been faster.
            if view.config.version <= self.view.load().config.version {
                return false;
            }
            core.act(now_us, |dispatcher, actions| {
                dispatcher.configure(now_us, &view.config, actions);
            });
            self.peers.with(|membership| {
                // A configuration does not tell what was seen of its upstreams meanwhile.
                for upstream in membership.upstreams_leaving() {
                    core.dispatcher.set_leaving(upstream);
                }
                membership.set_config_version(view.config.version);
            });
            self.view.store(view);
            true
        })
    }
}

impl Shared {
    /// Puts a configuration in force that is not older, with the upstreams as they are now.
    pub(crate) fn replace_config(&self, config: Config) {
        let view = Arc::new(View::new(config));
        self.with_core(|now_us, core| {
            core.act(now_us, |dispatcher, actions| {
                dispatcher.configure(now_us, &view.config, actions);
            });
            self.peers
                .with(|membership| membership.set_config_version(view.config.version));
            self.view.store(view);
        });
    }
}

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
