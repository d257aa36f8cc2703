use std::cmp::Ordering;

use queue::{ReservedShares, TIERS};
use route::Target;
use settings::{Config, Upstream, UpstreamKind, UpstreamLifecycle};

use crate::{group::Group, lane::Lane, member::Member};

/// Models, services and upstreams, and which of them share slots.
#[derive(Debug, Default)]
pub(crate) struct Topology {
    pub(crate) lanes: Vec<Lane>,
    pub(crate) groups: Vec<Group>,
    /// Sorted by name.
    pub(crate) members: Vec<Member>,
    /// Lanes sorted by target. A lane keeps its number for the life of the daemon.
    by_target: Vec<usize>,
    percent: [u8; TIERS],
}

impl Topology {
    /// Takes up a configuration; running jobs have to be counted again.
    pub(crate) fn configure(&mut self, config: &Config) {
        self.percent = [0; TIERS];
        for class in &config.classes {
            let percent = &mut self.percent[usize::from(class.tier).min(TIERS - 1)];
            *percent = percent.saturating_add(class.reserved_percent).min(100);
        }
        let old = std::mem::take(&mut self.members);
        for lane in &mut self.lanes {
            lane.resumable = false;
        }
        for upstream in &config.upstreams {
            let known = old.binary_search_by(|member| (*member.name).cmp(&upstream.name));
            let share = known.ok().and_then(|index| old[index].share);
            let member = self.member_of(upstream, share);
            self.members.push(member);
        }
        self.members.sort_by(|a, b| a.name.cmp(&b.name));
        self.regroup();
    }

    /// Returns the lane of a target, which is created if it is new.
    pub(crate) fn lane_of(&mut self, target: &Target) -> usize {
        let lanes = &self.lanes;
        let found = self
            .by_target
            .binary_search_by(|&lane| compare(&lanes[lane].target, target));
        match found {
            Ok(index) => self.by_target[index],
            Err(index) => {
                let number = self.lanes.len();
                let mut lane = Lane::new(target.clone());
                lane.group = self.groups.len();
                self.groups.push(self.group(vec![number]));
                self.lanes.push(lane);
                self.by_target.insert(index, number);
                number
            }
        }
    }

    pub(crate) fn member(&self, name: &str) -> Option<&Member> {
        self.index(name).map(|index| &self.members[index])
    }

    pub(crate) fn member_mut(&mut self, name: &str) -> Option<&mut Member> {
        self.index(name).map(|index| &mut self.members[index])
    }

    /// Counts the slots of each group again.
    pub(crate) fn count_slots(&mut self) {
        for group in &mut self.groups {
            group.slots = 0;
        }
        for member in &self.members {
            self.groups[member.group].slots += member.room();
        }
    }

    /// Notes that an upstream may have room again; returns its group.
    pub(crate) fn reopen(&mut self, name: &str) -> Option<usize> {
        let index = self.index(name)?;
        for &lane in &self.members[index].lanes {
            self.lanes[lane].full = [0; TIERS];
        }
        Some(self.members[index].group)
    }

    /// Notes that one slot of an upstream became free.
    ///
    /// If the next start takes it, [`Self::close_taken`] restores what was full, which saves one
    /// vain choice for each lane. A second slot before that start makes this impossible.
    pub(crate) fn reopen_freed(&mut self, name: &str) {
        let Some(index) = self.index(name) else {
            return;
        };
        let member = &self.members[index];
        let group = &mut self.groups[member.group];
        let lanes = &self.lanes;
        let full = group.lanes.iter().map(|&lane| lanes[lane].full);
        let full = full.collect();
        group.freed = match group.freed {
            Some(_) => None,
            None => Some((member.name.clone(), full)),
        };
        self.reopen(name);
    }

    /// Notes a start, after which an upstream has `outstanding` jobs.
    pub(crate) fn close_taken(&mut self, group: usize, name: &str, outstanding: u32) {
        let Some((freed, full)) = self.groups[group].freed.take() else {
            return;
        };
        let room = self.member(name).map_or(0, Member::room);
        if *freed != *name || outstanding < room {
            return;
        }
        for (&lane, full) in self.groups[group].lanes.iter().zip(full) {
            for (now, before) in self.lanes[lane].full.iter_mut().zip(full) {
                *now |= before;
            }
        }
    }

    /// Notes that any upstream may have room again.
    pub(crate) fn reopen_all(&mut self) {
        for lane in &mut self.lanes {
            lane.full = [0; TIERS];
        }
    }

    fn index(&self, name: &str) -> Option<usize> {
        self.members
            .binary_search_by(|member| (*member.name).cmp(name))
            .ok()
    }

    fn group(&self, lanes: Vec<usize>) -> Group {
        let mut reserve = ReservedShares::default();
        reserve.set_percent(self.percent);
        Group {
            lanes,
            reserve,
            ..Group::default()
        }
    }

    fn member_of(&mut self, upstream: &Upstream, share: Option<u32>) -> Member {
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
            resume: upstream.honours.resume,
            long: 0,
        }
    }

    /// Joins the lanes that share an upstream into groups.
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
            let mut group = self.group(lanes);
            for &lane in &group.lanes {
                // A share that was owed before the change is still owed after it.
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
        self.reopen_all();
    }
}

fn compare(a: &Target, b: &Target) -> Ordering {
    match (a, b) {
        (Target::Model(a), Target::Model(b)) | (Target::Service(a), Target::Service(b)) => a.cmp(b),
        (Target::Model(_), Target::Service(_)) => Ordering::Less,
        (Target::Service(_), Target::Model(_)) => Ordering::Greater,
    }
}
