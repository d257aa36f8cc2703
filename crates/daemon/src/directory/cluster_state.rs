//! Merges the configuration and the list of upstreams, and puts the result in force.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use log::info;
use settings::{Config, Upstream, UpstreamLifecycle};
use tokio::sync::Notify;

use super::roster::Roster;
use crate::shared::Shared;

/// Newest known configuration and list of upstreams, from the store or from peers.
#[derive(Debug, Default)]
pub(crate) struct ClusterState {
    inner: Mutex<Inner>,
    /// Notified when the list of upstreams can be read again after an outage. A pending long poll
    /// for the configuration may hang on a connection that the outage broke, and is then restarted.
    pub(crate) store_returned: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    config: Option<Config>,
    roster: Roster,
}

impl ClusterState {
    /// Puts a configuration in force if it is newer; returns whether it was.
    ///
    /// The upstreams that a peer sends with it are used only until the store has been read once.
    pub(crate) fn offer_config(&self, shared: &Shared, mut config: Config, source: &str) -> bool {
        // Locked until the configuration is in force, so that concurrent updates stay in order.
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let in_force = inner.config.as_ref().map_or(0, |config| config.version);
        if config.version <= in_force {
            return false;
        }
        let (version, routes) = (config.version, config.routes.len());
        let accounts = config.accounts.len();
        let began_us = shared.clock.now_us();
        let upstreams = std::mem::take(&mut config.upstreams);
        if inner.roster.upstreams().is_empty() {
            inner.roster.update(shared.clock.now_us(), upstreams);
        }
        inner.config = Some(config);
        shared.replace_config(inner.merged());
        info!(
            "config: in force version={version} before={in_force} routes={routes} \
             accounts={accounts} source={source} apply_ms={}",
            shared.clock.now_us().saturating_sub(began_us) / 1_000
        );
        true
    }

    /// Updates the upstreams to those that the store lists.
    ///
    /// If upstreams whose rows are missing are kept for a grace period, returns the time until it
    /// ends: the list must be read again then.
    pub(crate) fn update_upstreams(
        &self,
        shared: &Shared,
        mut listed: Vec<Upstream>,
    ) -> Option<Duration> {
        for upstream in &mut listed {
            upstream.region = shared.host.region_of(&upstream.zone).to_owned();
        }
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let before = inner.roster.upstreams().to_vec();
        let now_us = shared.clock.now_us();
        if inner.roster.update(now_us, listed) {
            log_changes(&before, inner.roster.upstreams());
            if inner.config.is_some() {
                shared.replace_config(inner.merged());
            }
        }
        let grace_ends_us = inner.roster.grace_ends_us()?;
        Some(Duration::from_micros(grace_ends_us.saturating_sub(now_us)))
    }

    /// Records that the store could not be read.
    pub(crate) fn record_failure(&self) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.roster.record_failure();
    }
}

impl Inner {
    /// Returns the configuration with the listed upstreams and the engine settings of their
    /// services.
    fn merged(&self) -> Config {
        let mut config = self.config.clone().unwrap_or_default();
        let known = self.roster.upstreams().iter().cloned();
        config.upstreams = known
            .map(|mut upstream| {
                let service = config.service(&upstream.service);
                upstream.engine = service.and_then(|service| service.engine);
                upstream
            })
            .collect();
        config
    }
}

/// Logs upstreams that are new, changed or gone.
fn log_changes(before: &[Upstream], after: &[Upstream]) {
    let find = |list: &[Upstream], name: &str| -> Option<(UpstreamLifecycle, u32)> {
        let index = list.binary_search_by(|upstream| upstream.name.as_str().cmp(name));
        index
            .ok()
            .map(|index| (list[index].state, list[index].slots))
    };
    for upstream in after {
        let known = find(before, &upstream.name);
        if known != Some((upstream.state, upstream.slots)) {
            info!(
                "upstream: listed name={} service={} address={} zone={} state={:?}",
                upstream.name, upstream.service, upstream.address, upstream.zone, upstream.state
            );
        }
    }
    for upstream in before {
        if find(after, &upstream.name).is_none() {
            info!(
                "upstream: gone name={} service={}",
                upstream.name, upstream.service
            );
        }
    }
}
