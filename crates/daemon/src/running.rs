//! Running daemon and its graceful stop.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::future::{AbortHandle, abortable};
use log::{debug, info};
use ntex::{rt::JoinHandle, server::Server};

use crate::shared::Shared;

/// Interval at which the jobs in flight are checked during a graceful stop.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Time limit to flush the last responses, after all work in flight has ended.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time to answer the callers that still wait when the drain has used up its time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Running daemon with its servers and background tasks.
pub struct RunningDaemon {
    pub(crate) shared: Arc<Shared>,
    pub(crate) listen: SocketAddr,
    pub(crate) admin_listen: SocketAddr,
    peer_listen: SocketAddr,
    callers: Server,
    admin: Server,
    metrics: Option<Server>,
    tasks: Vec<(AbortHandle, JoinHandle<()>)>,
}

impl RunningDaemon {
    pub(crate) const fn new(
        shared: Arc<Shared>,
        listen: SocketAddr,
        admin_listen: SocketAddr,
        peer_listen: SocketAddr,
        callers: Server,
        admin: Server,
        metrics: Option<Server>,
    ) -> Self {
        Self {
            shared,
            listen,
            admin_listen,
            peer_listen,
            callers,
            admin,
            metrics,
            tasks: Vec::new(),
        }
    }

    /// Returns the address for callers.
    #[must_use]
    pub const fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Returns the address for operators.
    #[must_use]
    pub const fn admin_listen(&self) -> SocketAddr {
        self.admin_listen
    }

    /// Returns the settings that the daemon was started with.
    #[must_use]
    pub fn host(&self) -> &settings::Host {
        &self.shared.host
    }

    /// Returns the version of the configuration in force, 0 before the first one.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.shared.snapshot.load().config.version
    }

    /// Returns whether the daemon accepts new work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Returns the address for other daemons.
    #[must_use]
    pub const fn peer_listen(&self) -> SocketAddr {
        self.peer_listen
    }

    /// Stops gracefully: accepts no new work, finishes what is running and what can still be
    /// answered, then ends.
    ///
    /// Requests that can't be answered before the end of the drain ([`settings::Host::drain_max`])
    /// are refused instead of waiting. Those that run until then get an answer that says so; only
    /// streams are broken off.
    pub async fn stop(self) {
        self.shared.set_draining();
        let drain_max = self.shared.host.drain_max();
        self.log_drain("started");
        self.shared.stop_within(drain_max);
        let drain_min = tokio::time::sleep(Duration::from_millis(self.shared.host.drain_min_ms));
        let drained = async {
            // Callers that have not noticed the stop yet are still served.
            drain_min.await;
            self.wait_idle().await;
        };
        if tokio::time::timeout(drain_max, drained).await.is_ok() {
            info!("drain: finished");
        } else {
            self.log_drain("out of time");
            self.shared.stop_within(Duration::ZERO);
            self.shared.stop_expired.cancel();
            if tokio::time::timeout(ANSWER_TIMEOUT, self.wait_idle())
                .await
                .is_err()
            {
                self.log_drain("cut off");
            }
        }
        // Without this limit, idle connections that callers keep open would delay the stop for much
        // longer.
        let metrics = async {
            if let Some(metrics) = &self.metrics {
                metrics.stop(false).await;
            }
        };
        let (callers, admin) = (self.callers.stop(true), self.admin.stop(false));
        let stop = futures::future::join3(callers, admin, metrics);
        if tokio::time::timeout(CLOSE_TIMEOUT, stop).await.is_err() {
            debug!("drain: callers keep idle connections open");
        }
        for (handle, joined) in self.tasks {
            handle.abort();
            let _ = joined.await;
        }
    }

    /// Spawns a background task that ends with the daemon.
    pub(crate) fn spawn<F>(&mut self, task: F)
    where
        F: Future<Output = ()> + 'static,
    {
        let (task, handle) = abortable(task);
        let joined = ntex::rt::spawn(async move {
            let _ = task.await;
        });
        self.tasks.push((handle, joined));
    }

    /// Returns the number of queued and running jobs.
    fn jobs(&self) -> usize {
        self.shared.with_core(|_, core| core.dispatcher.in_flight())
    }

    /// Waits until no work is in flight.
    async fn wait_idle(&self) {
        while self.shared.pending_work.count() + self.jobs() > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    /// Logs a step of the stop with the work that is in flight.
    fn log_drain(&self, step: &str) {
        let (pending, jobs) = (self.shared.pending_work.count(), self.jobs());
        info!("drain: {step} pending={pending} jobs={jobs}");
    }
}
