//! Lanes, upstreams and the groups in which lanes share upstreams.

use std::cmp::Ordering;

use queue::{ReservedShares, TIERS};
use route::Target;
use settings::{Config, Upstream, UpstreamKind, UpstreamLifecycle};

use crate::{group::Group, lane::Lane, member::Member};

/// Lanes, the upstreams that serve them, and the groups of lanes that share slots.
#[derive(Debug, Default)]
pub(crate) struct Topology {
    pub(crate) lanes: Vec<Lane>,
    pub(crate) groups: Vec<Group>,
    /// Sorted by name.
    pub(crate) members: Vec<Member>,
    /// Indexes of the lanes, sorted by target; a lane keeps its index for the lifetime of the
    /// daemon.
    by_target: Vec<usize>,
    /// Percentage of the starts reserved for each tier.
    reserved_percent: [u8; TIERS],
}

impl Topology {
    /// Applies a configuration; the caller then has to add running jobs to the groups again.
    pub(crate) fn configure(&mut self, config: &Config) {
        self.reserved_percent = [0; TIERS];
        for class in &config.classes {
            let percent = &mut self.reserved_percent[usize::from(class.tier).min(TIERS - 1)];
            *percent = percent.saturating_add(class.reserved_percent).min(100);
        }
        let old = std::mem::take(&mut self.members);
        for lane in &mut self.lanes {
            lane.resumable = false;
        }
        for upstream in &config.upstreams {
            let known = old.binary_search_by(|member| (*member.name).cmp(&upstream.name));
            let share = known.ok().and_then(|index| old[index].share);
            let member = self.build_member(upstream, share);
            self.members.push(member);
        }
        self.members.sort_by(|a, b| a.name.cmp(&b.name));
        self.regroup();
    }

    /// Returns the lane of a target, and creates it if the target is new.
    pub(crate) fn lane_of(&mut self, target: &Target) -> usize {
        let lanes = &self.lanes;
        let found = self
            .by_target
            .binary_search_by(|&lane| compare_targets(&lanes[lane].target, target));
        match found {
            Ok(index) => self.by_target[index],
            Err(index) => {
                let number = self.lanes.len();
                let mut lane = Lane::new(target.clone());
                lane.group = self.groups.len();
                self.groups.push(self.new_group(vec![number]));
                self.lanes.push(lane);
                self.by_target.insert(index, number);
                number
            }
        }
    }

    pub(crate) fn member(&self, name: &str) -> Option<&Member> {
        self.member_index(name).map(|index| &self.members[index])
    }

    pub(crate) fn member_mut(&mut self, name: &str) -> Option<&mut Member> {
        self.member_index(name)
            .map(|index| &mut self.members[index])
    }

    /// Recomputes the slots of each group.
    pub(crate) fn count_slots(&mut self) {
        for group in &mut self.groups {
            group.slots = 0;
        }
        for member in &self.members {
            let group = &mut self.groups[member.group];
            group.slots = group.slots.saturating_add(member.capacity());
        }
    }

    /// Clears the full marks of an upstream's lanes, as it may have a slot; returns its group.
    pub(crate) fn clear_full(&mut self, name: &str) -> Option<usize> {
        let index = self.member_index(name)?;
        for &lane in &self.members[index].lanes {
            self.lanes[lane].full = [0; TIERS];
        }
        Some(self.members[index].group)
    }

    /// Clears the full marks of an upstream's lanes after one of its slots became free.
    ///
    /// If the next start takes that slot, [`Self::restore_full_after_start`] restores the marks,
    /// which saves one futile choice of an upstream for each lane. If a second slot becomes free
    /// before that start, the marks can't be restored.
    pub(crate) fn clear_full_for_freed_slot(&mut self, name: &str) {
        let Some(index) = self.member_index(name) else {
            return;
        };
        let member = &self.members[index];
        let group = &mut self.groups[member.group];
        let lanes = &self.lanes;
        let full = group.lanes.iter().map(|&lane| lanes[lane].full);
        let full = full.collect();
        group.freed_slot = match group.freed_slot {
            Some(_) => None,
            None => Some((member.name.clone(), full)),
        };
        self.clear_full(name);
    }

    /// Restores the saved full marks if a start took the freed slot.
    ///
    /// `outstanding` is the number of jobs on the upstream after the start.
    pub(crate) fn restore_full_after_start(&mut self, group: usize, name: &str, outstanding: u32) {
        let Some((freed, full)) = self.groups[group].freed_slot.take() else {
            return;
        };
        let capacity = self.member(name).map_or(0, Member::capacity);
        if *freed != *name || outstanding < capacity {
            return;
        }
        for (&lane, full) in self.groups[group].lanes.iter().zip(full) {
            for (now, before) in self.lanes[lane].full.iter_mut().zip(full) {
                *now |= before;
            }
        }
    }

    /// Clears the full marks of all lanes.
    pub(crate) fn clear_all_full(&mut self) {
        for lane in &mut self.lanes {
            lane.full = [0; TIERS];
        }
    }

    fn member_index(&self, name: &str) -> Option<usize> {
        self.members
            .binary_search_by(|member| (*member.name).cmp(name))
            .ok()
    }

    /// Returns a group of these lanes without upstreams.
    fn new_group(&self, lanes: Vec<usize>) -> Group {
        let mut reserve = ReservedShares::default();
        reserve.set_percent(self.reserved_percent);
        Group {
            lanes,
            reserve,
            ..Group::default()
        }
    }

    /// Returns the state of a configured upstream; its group is set by [`Self::regroup`].
    fn build_member(&mut self, upstream: &Upstream, share: Option<u32>) -> Member {
        let targets: Vec<Target> = match upstream.kind {
            UpstreamKind::Model => {
                let models = upstream.models.iter();
                models
                    .map(|name| Target::Model(name.as_str().into()))
                    .collect()
            }
            UpstreamKind::Service => vec![Target::Service(upstream.service.as_str().into())],
        };
        let lanes: Vec<usize> = targets.iter().map(|target| self.lane_of(target)).collect();
        let live = upstream.state == UpstreamLifecycle::Live;
        for &lane in &lanes {
            self.lanes[lane].resumable |= live && upstream.honours.resume;
        }
        Member {
            name: upstream.name.as_str().into(),
            lanes,
            group: 0,
            slots: upstream.slots,
            share,
            live,
            can_resume: upstream.honours.resume,
            long_running: 0,
        }
    }

    /// Rebuilds the groups as the connected sets of lanes that share upstreams.
    fn regroup(&mut self) {
        let mut labels: Vec<usize> = (0..self.lanes.len()).collect();
        for member in &self.members {
            let Some(&first) = member.lanes.first() else {
                continue;
            };
            for &lane in &member.lanes {
                let (from, to) = (labels[lane], labels[first]);
                if from != to {
                    for label in &mut labels {
                        if *label == from {
                            *label = to;
                        }
                    }
                }
            }
        }
        let old = std::mem::take(&mut self.groups);
        for label in 0..labels.len() {
            let lanes: Vec<usize> = (0..labels.len())
                .filter(|&lane| labels[lane] == label)
                .collect();
            if lanes.is_empty() {
                continue;
            }
            let mut group = self.new_group(lanes);
            for &lane in &group.lanes {
                // Credit for reserved starts survives the change.
                group
                    .reserve
                    .merge_credit(&old[self.lanes[lane].group].reserve);
                self.lanes[lane].group = self.groups.len();
            }
            self.groups.push(group);
        }
        for member in &mut self.members {
            member.group = member
                .lanes
                .first()
                .map_or(0, |&lane| self.lanes[lane].group);
        }
        self.count_slots();
        self.clear_all_full();
    }
}

/// Orders models before services, and both by name.
fn compare_targets(a: &Target, b: &Target) -> Ordering {
    match (a, b) {
        (Target::Model(a), Target::Model(b)) | (Target::Service(a), Target::Service(b)) => a.cmp(b),
        (Target::Model(_), Target::Service(_)) => Ordering::Less,
        (Target::Service(_), Target::Model(_)) => Ordering::Greater,
    }
}
