//! Construction of the pool's members, cohorts and groups from a configuration.

use std::sync::Arc;

use settings::{Config, Upstream, UpstreamKind};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Pool, choice::unit_interval, is_leaving};
use crate::{
    DepartureSource, Target,
    candidate_tree::CandidateTree,
    cohort::Cohort,
    group::{DISTANCES, Group},
    member::Member,
    tree_position::TreePosition,
};

impl Pool {
    /// Builds members, cohorts and groups from a configuration.
    pub(super) fn layout(&mut self, now_us: u64, config: &Config) {
        self.pauses.expire(now_us);
        self.update_members(now_us, config);
        self.departures.expire(now_us);
        self.known_departures.expire(now_us);
        self.version = self.version.max(config.version);
        self.build_cohorts();
        self.build_groups();
        self.recount(now_us);
    }

    /// Updates the members from a configuration and keeps the history of known ones.
    fn update_members(&mut self, now_us: u64, config: &Config) {
        let mut old: Vec<Option<Member>> = self.members.drain(..).map(Some).collect();
        let mut names: Vec<Arc<str>> = Vec::with_capacity(old.len());
        names.extend(old.iter().flatten().map(|member| member.name.clone()));
        for upstream in &config.upstreams {
            let found = names.binary_search_by(|name| name.as_ref().cmp(&upstream.name));
            let known = found.ok().and_then(|index| old[index].take());
            let mut member = known.unwrap_or_else(|| Member::new(upstream));
            member.set_settings(upstream);
            member.leaving = if is_leaving(upstream.state) {
                self.departures.insert_listed(
                    now_us,
                    &member.name,
                    config.version,
                    upstream.started_ms,
                );
                true
            } else {
                self.departures.still_leaving(
                    now_us,
                    &member.name,
                    config.version,
                    upstream.started_ms,
                )
            };
            if is_leaving(upstream.state) {
                self.known_departures.insert(
                    now_us,
                    &member.name,
                    upstream.started_ms,
                    DepartureSource::Listed,
                );
            } else {
                self.known_departures
                    .record_live(&member.name, upstream.started_ms);
            }
            if let Some(until_us) = self.pauses.until_us(&member.name, upstream.started_ms) {
                member.pause(until_us);
            }
            if member.jitter == 0.0 {
                member.jitter =
                    unit_interval(xxh3_64_with_seed(upstream.name.as_bytes(), self.seed));
            }
            self.members.push(member);
        }
        // An older configuration that still lists a withdrawn upstream must not bring it back.
        if config.version > 0 {
            for member in old.iter().flatten() {
                self.departures
                    .insert(now_us, &member.name, config.version - 1);
                self.known_departures.insert(
                    now_us,
                    &member.name,
                    member.settings.started_ms,
                    DepartureSource::Gone,
                );
            }
        }
        // Attempts on a withdrawn upstream continue; their slots count until they end.
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
            .map(|member| cohort_key(&member.settings))
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
            let key = cohort_key(&member.settings);
            let found = self.cohorts.binary_search_by(|cohort| cohort.key.cmp(&key));
            member.cohort = saturating_u32(found.unwrap_or_default());
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
                group.choices_since_probe = old[index].choices_since_probe;
            }
        }
        for (member, index) in self.members.iter_mut().zip(0..) {
            member.tree_positions.clear();
            if !member.configured {
                continue;
            }
            let settings = &member.settings;
            let distance = match (
                settings.region == self.locality.region,
                settings.zone == self.locality.zone,
            ) {
                (true, true) => 0,
                (true, false) => 1,
                (false, _) => DISTANCES - 1,
            };
            let tree = Group::tree_index(distance, settings.honours.resume);
            for target in targets_of(settings) {
                let found = self
                    .groups
                    .binary_search_by(|group| group.cmp_target(&target));
                let Ok(group) = found else { continue };
                let position = self.groups[group].trees[usize::from(tree)].push(index);
                if distance < DISTANCES - 1 {
                    self.groups[group].ring.push((member.id, index));
                }
                member.tree_positions.push(TreePosition {
                    group: saturating_u32(group),
                    tree,
                    position,
                });
            }
        }
        for group in &mut self.groups {
            group.ring.sort_unstable();
            group.trees.iter_mut().for_each(CandidateTree::build);
        }
        self.reserve_engines_for_short();
    }
}

/// Returns the key of an upstream's cohort.
fn cohort_key(settings: &Upstream) -> (bool, Vec<String>) {
    match settings.kind {
        UpstreamKind::Model => (false, settings.models.clone()),
        UpstreamKind::Service => (true, vec![settings.service.clone()]),
    }
}

/// Returns the models or the plain service that an upstream serves.
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

fn saturating_u32(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}
