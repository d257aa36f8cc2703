use std::sync::Arc;

use settings::{Config, Upstream, UpstreamKind};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Pool, choice::unit, is_leaving};
use crate::{
    Target,
    cohort::Cohort,
    group::{DISTANCES, Group},
    lane::Lane,
    member::Member,
    seat::Seat,
};

impl Pool {
    /// Builds members, peers and groups from a configuration.
    pub(super) fn layout(&mut self, now_us: u64, config: &Config) {
        self.departures.expire(now_us);
        self.take_up_members(now_us, config);
        self.version = self.version.max(config.version);
        self.build_cohorts();
        self.build_groups();
        self.recount(now_us);
    }

    fn take_up_members(&mut self, now_us: u64, config: &Config) {
        let mut old: Vec<Option<Member>> = self.members.drain(..).map(Some).collect();
        let mut names: Vec<Arc<str>> = Vec::with_capacity(old.len());
        names.extend(old.iter().flatten().map(|member| member.name.clone()));
        for upstream in &config.upstreams {
            let found = names.binary_search_by(|name| name.as_ref().cmp(&upstream.name));
            let known = found.ok().and_then(|index| old[index].take());
            let mut member = known.unwrap_or_else(|| Member::new(upstream));
            member.set_settings(upstream);
            member.leaving = if is_leaving(upstream.state) {
                self.departures.insert(now_us, &member.name, config.version);
                true
            } else {
                self.departures.overrides(&member.name, config.version)
            };
            if member.jitter == 0.0 {
                member.jitter = unit(xxh3_64_with_seed(upstream.name.as_bytes(), self.seed));
            }
            self.members.push(member);
        }
        // An older configuration that still lists a withdrawn upstream doesn't bring it back.
        if config.version > 0 {
            for member in old.iter().flatten() {
                self.departures
                    .insert(now_us, &member.name, config.version - 1);
            }
        }
        // Attempts on a withdrawn upstream go on; their slots stay counted until they end.
        for mut member in old.into_iter().flatten() {
            if member.outstanding > 0 {
                member.configured = false;
                self.members.push(member);
            }
        }
        self.members.sort_by(|a, b| a.name.cmp(&b.name));
        let ids = self.members.iter().zip(0..);
        self.ids = ids.map(|(member, index)| (member.id, index)).collect();
        self.ids.sort_unstable();
    }

    fn build_cohorts(&mut self) {
        let mut old = std::mem::take(&mut self.cohorts);
        let mut keys: Vec<_> = self
            .members
            .iter()
            .map(|member| key_of(&member.settings))
            .collect();
        keys.sort_unstable();
        keys.dedup();
        for key in keys {
            let known = old.iter().position(|cohort| cohort.key == key);
            let cohort = known.map(|index| old.swap_remove(index));
            self.cohorts
                .push(cohort.unwrap_or_else(|| Cohort::new(key)));
        }
        for member in &mut self.members {
            let key = key_of(&member.settings);
            let found = self.cohorts.binary_search_by(|cohort| cohort.key.cmp(&key));
            member.cohort = narrow(found.unwrap_or_default());
        }
    }

    fn build_groups(&mut self) {
        let old = std::mem::take(&mut self.groups);
        let configured = self.members.iter().filter(|member| member.configured);
        let mut targets: Vec<Target> = configured
            .flat_map(|member| targets_of(&member.settings))
            .collect();
        self.groups = targets.drain(..).map(Group::new).collect();
        self.groups.sort_by(|a, b| a.cmp_target(&b.target));
        self.groups.dedup_by(|a, b| a.target == b.target);
        for group in &mut self.groups {
            if let Ok(index) = old.binary_search_by(|old| old.cmp_target(&group.target)) {
                group.since_probe = old[index].since_probe;
            }
        }
        for (member, index) in self.members.iter_mut().zip(0..) {
            member.seats.clear();
            if !member.configured {
                continue;
            }
            let settings = &member.settings;
            let distance = match (
                settings.region == self.place.region,
                settings.zone == self.place.zone,
            ) {
                (true, true) => 0,
                (true, false) => 1,
                (false, _) => DISTANCES - 1,
            };
            let lane = Group::lane_of(distance, settings.honours.resume);
            for target in targets_of(settings) {
                let found = self
                    .groups
                    .binary_search_by(|group| group.cmp_target(&target));
                let Ok(group) = found else { continue };
                let position = self.groups[group].lanes[usize::from(lane)].push(index);
                if distance < DISTANCES - 1 {
                    self.groups[group].ring.push((member.id, index));
                }
                member.seats.push(Seat {
                    group: narrow(group),
                    lane,
                    position,
                });
            }
        }
        for group in &mut self.groups {
            group.ring.sort_unstable();
            group.lanes.iter_mut().for_each(Lane::build);
        }
        self.keep_engines_for_short();
    }
}

fn key_of(settings: &Upstream) -> (bool, Vec<String>) {
    match settings.kind {
        UpstreamKind::Model => (false, settings.models.clone()),
        UpstreamKind::Service => (true, vec![settings.service.clone()]),
    }
}

fn targets_of(settings: &Upstream) -> Vec<Target> {
    match settings.kind {
        UpstreamKind::Model => {
            let models = settings.models.iter();
            models
                .map(|model| Target::Model(model.as_str().into()))
                .collect()
        }
        UpstreamKind::Service => vec![Target::Service(settings.service.as_str().into())],
    }
}

fn narrow(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}
