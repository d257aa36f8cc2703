use std::{collections::BTreeMap, sync::Arc};

use grant::{Assignments, Budget, Demand, Grants, Holder, Home, Peer};
use sched::{EngineLoad, JobId, PeerLoads};
use serde::{Deserialize, Serialize};
use settings::{Config, UpstreamKind, UpstreamLifecycle};

/// Message between the holder and the home of grants, the payload of a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Report of a holder.
    Demand(Demand),
    /// Answer of a home.
    Grants(Grants),
    /// Sender's own work on engines, by the hash of their names.
    Loads(Vec<(u64, EngineLoad)>),
}

/// This daemon's part in sharing upstream slots: it holds grants, and is the home of some.
#[derive(Debug)]
pub(crate) struct Sharing {
    host: Arc<str>,
    region: Arc<str>,
    holder: Holder,
    home: Home,
    planned: Option<(u64, Vec<Peer>)>,
    running: BTreeMap<JobId, (Arc<str>, u8)>,
    /// Work of the other daemons on engines.
    pub(crate) peer_loads: PeerLoads,
}

impl Sharing {
    /// Creates the part of a host; `epoch` differs from the one before a restart.
    pub(crate) fn new(host: &str, region: &str, epoch: u32) -> Self {
        Self {
            host: host.into(),
            region: region.into(),
            holder: Holder::new(host),
            home: Home::new(host, epoch),
            planned: None,
            running: BTreeMap::new(),
            peer_loads: PeerLoads::default(),
        }
    }

    /// Takes up the engines and the live peers if either has changed.
    pub(crate) fn plan(&mut self, config: &Config, mut peers: Vec<Peer>) {
        peers.push(Peer::new(&self.host, &self.region));
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        let planned = (config.version, peers);
        if self.planned.as_ref() == Some(&planned) {
            return;
        }
        let live = |upstream: &&settings::Upstream| {
            upstream.kind == UpstreamKind::Model && upstream.state == UpstreamLifecycle::Live
        };
        let budgets: Vec<Budget> = config
            .upstreams
            .iter()
            .filter(live)
            .map(|upstream| Budget::new(&upstream.name, &upstream.region, upstream.slots))
            .collect();
        let plan = Assignments::new(&budgets, &planned.1);
        self.holder.configure(&plan);
        self.home.configure(&plan);
        self.planned = Some(planned);
    }

    /// Notes the start of an attempt.
    pub(crate) fn started(&mut self, id: JobId, upstream: &Arc<str>, tier: u8) {
        self.holder.request_started(upstream, tier);
        self.running.insert(id, (upstream.clone(), tier));
    }

    /// Notes the end of an attempt, if one runs.
    pub(crate) fn ended(&mut self, id: JobId) {
        if let Some((upstream, tier)) = self.running.remove(&id) {
            self.holder.request_ended(&upstream, tier);
        }
    }

    /// Returns the reports that are due, with their destinations; the own one is answered at once.
    pub(crate) fn reports(&mut self, now_us: u64, waiting: [u32; 3]) -> Vec<(Arc<str>, Message)> {
        if !self.holder.is_due(now_us) {
            return Vec::new();
        }
        let mut messages = Vec::new();
        for (home, demand) in self.holder.demand_reports(now_us, waiting) {
            if home == self.host {
                let grants = self.home.handle_demand(now_us, &home, &demand);
                self.holder.handle_grants(now_us, &home, &grants);
            } else {
                messages.push((home, Message::Demand(demand)));
            }
        }
        messages
    }

    /// Takes a message of a peer and returns the answer, if there is one.
    pub(crate) fn receive(
        &mut self,
        now_us: u64,
        from: &str,
        message: &Message,
    ) -> Option<Message> {
        match message {
            Message::Demand(demand) => Some(Message::Grants(
                self.home.handle_demand(now_us, from, demand),
            )),
            Message::Grants(grants) => {
                self.holder.handle_grants(now_us, from, grants);
                None
            }
            Message::Loads(loads) => {
                self.peer_loads.update(now_us, from, loads);
                None
            }
        }
    }

    /// Returns the shares that have changed.
    pub(crate) fn shares(&mut self, now_us: u64) -> Vec<(Arc<str>, u32)> {
        self.holder.take_changed_shares(now_us)
    }
}
