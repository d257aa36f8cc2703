use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use log::info;
use settings::{Config, Upstream, UpstreamLifecycle};
use tokio::sync::Notify;

use super::roster::Roster;
use crate::shared::Shared;

/// Newest configuration and upstreams that this daemon knows, from the store or from peers.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    known: Mutex<Known>,
    /// Told when the list of upstreams can be read again: a read of the configuration that is held back
    /// may belong to a connection that the outage has silenced.
    pub(crate) store_returned: Notify,
}

#[derive(Debug, Default)]
struct Known {
    config: Option<Config>,
    roster: Roster,
}

impl Fleet {
    /// Puts a configuration in force if it is newer; returns whether it was.
    ///
    /// The upstreams that a peer passes on with it count only while the store was never read.
    pub(crate) fn offer_config(&self, shared: &Shared, mut config: Config, source: &str) -> bool {
        // Held while the configuration is put in force, so that two offers can't swap places.
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let in_force = known.config.as_ref().map_or(0, |config| config.version);
        if config.version <= in_force {
            return false;
        }
        info!(
            "config: in force version={} before={in_force} routes={} accounts={} source={source}",
            config.version,
            config.routes.len(),
            config.accounts.len()
        );
        let upstreams = std::mem::take(&mut config.upstreams);
        if known.roster.upstreams().is_empty() {
            known.roster.take(shared.clock.now_us(), upstreams);
        }
        known.config = Some(config);
        shared.replace_config(known.merged());
        true
    }

    /// Takes in the upstreams that the store lists.
    ///
    /// Returns the time until upstreams whose rows are missing are gone, if there are any: the list has
    /// to be read again then.
    pub(crate) fn offer_upstreams(
        &self,
        shared: &Shared,
        mut listed: Vec<Upstream>,
    ) -> Option<Duration> {
        for upstream in &mut listed {
            upstream.region = shared.host.region_of(&upstream.zone).to_owned();
        }
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let before = known.roster.upstreams().to_vec();
        let now_us = shared.clock.now_us();
        if known.roster.take(now_us, listed) {
            note_changes(&before, known.roster.upstreams());
            if known.config.is_some() {
                shared.replace_config(known.merged());
            }
        }
        let settles_us = known.roster.settles_us()?;
        Some(Duration::from_micros(settles_us.saturating_sub(now_us)))
    }

    /// Notes that the store could not be read.
    pub(crate) fn note_failure(&self) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.roster.note_failure();
    }
}

impl Known {
    /// Returns the configuration with its upstreams.
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

fn note_changes(before: &[Upstream], after: &[Upstream]) {
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
