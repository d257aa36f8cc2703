//! Sharing of upstream slots among daemons by grants, and the messages for it.

use std::{collections::BTreeMap, sync::Arc};

use grant::{Assignments, Budget, Demand, Grants, Holder, Home, Peer};
use sched::{JobId, LoadAnnouncement, PeerLoads};
use serde::{Deserialize, Serialize};
use settings::{Config, UpstreamKind, UpstreamLifecycle};

/// Message between daemons, sent as the payload of a heartbeat.
///
/// The home of an upstream divides its slots among the daemons, which hold grants for them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Demand that a holder reports to a home.
    Demand(Demand),
    /// Reply of a home with the holder's grants.
    Grants(Grants),
    /// The sender's work on engines.
    Loads(LoadAnnouncement),
    /// Evidence and verdicts about parts of prompts.
    Quarantine(quarantine::Message),
    /// Counts of the usage reports.
    Usage(duty::Message),
    /// Evidence about upstreams that can't be reached.
    Health(health::Message),
}

/// This daemon's roles in sharing upstream slots: holder of grants, and home of some upstreams.
#[derive(Debug)]
pub(crate) struct SlotSharing {
    host: Arc<str>,
    region: Arc<str>,
    holder: Holder,
    home: Home,
    /// Configuration version and live daemons to which the present assignments belong.
    assigned_for: Option<(u64, Vec<Peer>)>,
    /// Upstream and tier of each running attempt.
    running: BTreeMap<JobId, (Arc<str>, u8)>,
    /// Load that the other daemons put on engines.
    pub(crate) peer_loads: PeerLoads,
}

impl SlotSharing {
    /// Creates the state of a host; `epoch` must differ from that of its previous run.
    pub(crate) fn new(host: &str, region: &str, epoch: u32) -> Self {
        Self {
            host: host.into(),
            region: region.into(),
            holder: Holder::new(host),
            home: Home::new(host, epoch),
            assigned_for: None,
            running: BTreeMap::new(),
            peer_loads: PeerLoads::default(),
        }
    }

    /// Assigns the engines to the live daemons again if the configuration or the live daemons have
    /// changed.
    pub(crate) fn assign(&mut self, config: &Config, mut peers: Vec<Peer>) {
        peers.push(Peer::new(&self.host, &self.region));
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        let assigned_for = (config.version, peers);
        if self.assigned_for.as_ref() == Some(&assigned_for) {
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
        let assignments = Assignments::new(&budgets, &assigned_for.1);
        self.holder.configure(&assignments);
        self.home.configure(&assignments);
        self.assigned_for = Some(assigned_for);
    }

    /// Records the start of an attempt.
    pub(crate) fn started(&mut self, id: JobId, upstream: &Arc<str>, tier: u8) {
        self.holder.request_started(upstream, tier);
        self.running.insert(id, (upstream.clone(), tier));
    }

    /// Records the end of an attempt, if one is running.
    pub(crate) fn ended(&mut self, id: JobId) {
        if let Some((upstream, tier)) = self.running.remove(&id) {
            self.holder.request_ended(&upstream, tier);
        }
    }

    /// Returns the reports that are due, with their destinations; a report to this daemon itself is
    /// handled at once.
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

    /// Handles a message of a peer and returns the reply, if there is one.
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
            // They concern no slots; `receive_payload` handles them.
            Message::Quarantine(_) | Message::Health(_) | Message::Usage(_) => None,
        }
    }

    /// Returns the shares that have changed.
    pub(crate) fn shares(&mut self, now_us: u64) -> Vec<(Arc<str>, u32)> {
        self.holder.take_changed_shares(now_us)
    }
}
