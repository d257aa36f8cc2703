//! Timers of the daemons, their shares of slots and the control messages between them.

use std::sync::Arc;

use grant::{Assignments, Budget, Demand, Grants, Peer};

use crate::{
    daemon::Daemon,
    event::Event,
    policy::Policy,
    simulation::{FleetView, Simulation, TICK_INTERVAL_US, encoded_bytes},
};

impl Simulation {
    /// Handles a daemon's timer: applies shares, runs the scheduler and sends demand reports.
    pub(super) fn tick(&mut self, daemon: usize) {
        self.timeline
            .add(self.now_us + TICK_INTERVAL_US, Event::Tick { daemon });
        if !self.daemons[daemon].up {
            return;
        }
        self.daemons[daemon].ticked_us = self.now_us;
        self.apply_shares(daemon);
        self.run_scheduler(daemon, |scheduler, now_us, actions| {
            scheduler.tick(now_us, actions);
        });
        if self.setup.policy != Policy::Grant {
            return;
        }
        let Daemon {
            holder, scheduler, ..
        } = &mut self.daemons[daemon];
        let waiting = [0, 1, 2].map(|tier| u32::try_from(scheduler.queued(tier)).unwrap_or(0));
        if !holder.is_due(self.now_us) {
            return;
        }
        for (home, demand) in holder.demand_reports(self.now_us, waiting) {
            let Some(to) = self.daemons.iter().position(|other| other.name == home) else {
                continue;
            };
            let bytes = encoded_bytes(&demand);
            let at_us = self.send_control(daemon, to, bytes);
            if let Some(at_us) = at_us {
                let from = daemon;
                self.timeline.add(at_us, Event::Demand { from, to, demand });
            }
        }
    }

    /// Handles a demand report at a home daemon, which answers with grants.
    pub(super) fn handle_demand(&mut self, from: usize, to: usize, demand: &Demand) {
        if !self.daemons[to].up {
            return;
        }
        let name = self.daemons[from].name.clone();
        let grants = self.daemons[to]
            .home
            .handle_demand(self.now_us, &name, demand);
        let bytes = encoded_bytes(&grants);
        if let Some(at_us) = self.send_control(to, from, bytes) {
            let answer = Event::Grants {
                from: self.daemons[to].name.clone(),
                to: from,
                grants,
            };
            self.timeline.add(at_us, answer);
        }
    }

    /// Handles grants at the daemon that asked for them.
    pub(super) fn handle_grants(&mut self, from: &Arc<str>, to: usize, grants: &Grants) {
        if self.daemons[to].up {
            self.daemons[to]
                .holder
                .handle_grants(self.now_us, from, grants);
            self.apply_shares(to);
        }
    }

    /// Passes changed shares to a daemon's scheduler.
    pub(super) fn apply_shares(&mut self, daemon: usize) {
        if !matches!(self.setup.policy, Policy::EqualSplit | Policy::Grant) {
            return;
        }
        for (upstream, slots) in self.daemons[daemon].holder.take_changed_shares(self.now_us) {
            self.run_scheduler(daemon, |scheduler, now_us, actions| {
                scheduler.set_share(now_us, &upstream, slots, actions);
            });
        }
    }

    /// Gives a daemon its configuration and its view of the live hosts.
    pub(super) fn configure(&mut self, daemon: usize) {
        let config = self.config.clone();
        // No share before the first grant: the dispatcher would start work on all slots.
        self.run_scheduler(daemon, |scheduler, now_us, actions| {
            scheduler.configure(now_us, &config, actions);
        });
        self.apply_view(daemon);
    }

    /// Applies the current view of the live hosts to a daemon.
    pub(super) fn apply_view(&mut self, daemon: usize) {
        let Daemon { region, .. } = self.daemons[daemon];
        let live = self.views[region].live;
        let now_us = self.now_us;
        self.daemons[daemon]
            .scheduler
            .set_live_daemons(now_us, live);
        if self.setup.policy == Policy::Home {
            for index in 0..self.budgets.len() {
                let Budget {
                    upstream, slots, ..
                } = self.budgets[index].clone();
                let home = self.views[region].assignments.home(&upstream);
                let is_home = home == Some(&self.daemons[daemon].name);
                let slots = if is_home { slots } else { 0 };
                self.run_scheduler(daemon, |scheduler, now_us, actions| {
                    scheduler.set_share(now_us, &upstream, slots, actions);
                });
            }
            return;
        }
        let Self { daemons, views, .. } = self;
        daemons[daemon].holder.configure(&views[region].assignments);
        daemons[daemon].home.configure(&views[region].assignments);
        self.apply_shares(daemon);
    }

    /// Updates the views of the live hosts in both regions.
    pub(super) fn update_views(&mut self) {
        for region in 0..self.views.len() {
            let visible = |daemon: &&Daemon| {
                let paused = daemon.paused_until_us > self.now_us;
                daemon.up && !paused && (!self.network.partitioned || daemon.region == region)
            };
            let peers = self.daemons.iter().filter(visible);
            let peers = peers.map(|daemon| Peer::new(&daemon.name, &daemon.locality.region));
            let peers: Vec<Peer> = peers.collect();
            self.views[region] = FleetView {
                live: u32::try_from(peers.len()).unwrap_or(u32::MAX),
                assignments: Assignments::new(&self.budgets, &peers),
            };
        }
    }

    /// Updates which daemons read the load reports of each engine.
    pub(super) fn update_pollers(&mut self) {
        let all = !matches!(self.setup.policy, Policy::EqualSplit | Policy::Grant);
        let pollers = self.engines.iter().map(|engine| {
            let daemons = self.daemons.iter().enumerate();
            let uses = daemons.filter(|(_, daemon)| all || daemon.holder.uses(&engine.name));
            uses.map(|(index, _)| index).collect()
        });
        self.pollers = pollers.collect();
    }

    /// Sends a message between daemons and returns its time of arrival, if it arrives.
    pub(super) fn send(&mut self, from: usize, to: usize, bytes: u64) -> Option<u64> {
        let (from, to) = (&self.daemons[from].locality, &self.daemons[to].locality);
        let reaches = self.network.reaches(from, to);
        reaches.then(|| self.network.send(self.now_us, from, to, bytes))
    }

    /// Sends a control message, whose bytes are counted, and returns its time of arrival.
    pub(super) fn send_control(&mut self, from: usize, to: usize, bytes: u64) -> Option<u64> {
        if from == to {
            return Some(self.now_us);
        }
        if self.now_us <= self.setup.end_us {
            self.counts.control_bytes += bytes;
        }
        self.send(from, to, bytes)
    }
}
