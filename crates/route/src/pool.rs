use std::sync::Arc;

use settings::{Config, Kind, State, Upstream};

use crate::{Ending, Load, Need, Pick, Place, Target};

/// Upstreams in force, sorted by name.
#[derive(Debug, Default)]
pub struct Pool {
    place: Place,
    members: Vec<Member>,
}

#[derive(Debug)]
struct Member {
    name: Arc<str>,
    settings: Upstream,
    outstanding: u32,
    share: Option<u32>,
}

impl Pool {
    /// Creates an empty pool of a daemon at this place.
    #[must_use]
    pub const fn new(place: Place) -> Self {
        Self {
            place,
            members: Vec::new(),
        }
    }

    /// Takes up a configuration; what is known about upstreams that stay is kept.
    pub fn configure(&mut self, _now_us: u64, config: &Config) {
        let mut old = std::mem::take(&mut self.members);
        for upstream in &config.upstreams {
            let found = old.binary_search_by(|member| member.name.as_ref().cmp(&upstream.name));
            let mut member = match found {
                Ok(index) => old.remove(index),
                Err(_) => Member {
                    name: upstream.name.as_str().into(),
                    settings: upstream.clone(),
                    outstanding: 0,
                    share: None,
                },
            };
            member.settings = upstream.clone();
            self.members.push(member);
        }
    }

    /// Sets how many jobs this daemon may run on an upstream; `None` lifts the limit.
    pub fn set_share(&mut self, upstream: &str, slots: Option<u32>) {
        if let Some(member) = self.member_mut(upstream) {
            member.share = slots;
        }
    }

    /// Marks an upstream as leaving: it gets no new work.
    pub fn set_leaving(&mut self, upstream: &str) {
        if let Some(member) = self.member_mut(upstream) {
            member.settings.state = State::Leaving;
        }
    }

    /// Returns the place of this daemon.
    #[must_use]
    pub const fn place(&self) -> &Place {
        &self.place
    }

    /// Returns the number of jobs that this daemon runs on an upstream.
    #[must_use]
    pub fn outstanding(&self, upstream: &str) -> u32 {
        self.index(upstream)
            .map_or(0, |index| self.members[index].outstanding)
    }

    /// Returns whether some live upstream could serve a target, busy or not.
    #[must_use]
    pub fn serves(&self, target: &Target) -> bool {
        self.members
            .iter()
            .any(|member| member.is_live() && member.fits(target))
    }

    /// Chooses an upstream with a free slot and takes the slot.
    pub fn choose(&mut self, _now_us: u64, need: &Need<'_>) -> Option<Pick> {
        let member = self
            .members
            .iter_mut()
            .filter(|member| member.is_live() && member.fits(need.target) && member.has_room())
            .filter(|member| !need.resume || member.settings.honours.resume)
            .min_by_key(|member| (need.avoid == Some(&member.name), member.outstanding))?;
        member.outstanding += 1;
        Some(Pick {
            upstream: member.name.clone(),
            honours_priority: member.settings.honours.priority,
        })
    }

    /// Notes the first token of an attempt, `elapsed_us` after it was sent.
    pub const fn first_token(
        &mut self,
        _now_us: u64,
        _upstream: &str,
        _elapsed_us: u64,
        _prompt_tokens: u32,
    ) {
    }

    /// Notes `count` further tokens over `elapsed_us`.
    pub const fn tokens(&mut self, _now_us: u64, _upstream: &str, _elapsed_us: u64, _count: u32) {}

    /// Notes the end of an attempt and frees its slot.
    pub fn end(&mut self, _now_us: u64, upstream: &str, _ending: Ending) {
        if let Some(member) = self.member_mut(upstream) {
            member.outstanding = member.outstanding.saturating_sub(1);
        }
    }

    /// Notes a load report, which lags behind reality.
    pub const fn report(&mut self, _now_us: u64, _upstream: &str, _load: &Load) {}

    fn index(&self, upstream: &str) -> Option<usize> {
        self.members
            .binary_search_by(|member| member.name.as_ref().cmp(upstream))
            .ok()
    }

    fn member_mut(&mut self, upstream: &str) -> Option<&mut Member> {
        let index = self.index(upstream)?;
        Some(&mut self.members[index])
    }
}

impl Member {
    fn is_live(&self) -> bool {
        self.settings.state == State::Live
    }

    fn has_room(&self) -> bool {
        self.outstanding < self.share.unwrap_or(self.settings.slots)
    }

    fn fits(&self, target: &Target) -> bool {
        match target {
            Target::Model(model) => {
                let models = &self.settings.models;
                self.settings.kind == Kind::Model && models.iter().any(|name| **name == **model)
            }
            Target::Service(service) => {
                self.settings.kind == Kind::Service && *self.settings.service == **service
            }
        }
    }
}
