use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{Head, Item, TIERS, fair_queue::FairQueue};

/// Waiting jobs of one daemon, by lane and tier.
///
/// Selection and removal are logarithmic in the number of items and client accounts, except that a
/// selection has to skip accounts without an item of the wanted kind. [`Queue::cost_ahead`] is
/// linear in the number of client accounts. Costs are expected service in tokens.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: Vec<[FairQueue; TIERS]>,
    /// Weights of the client accounts, sorted by name.
    weights: Vec<(Arc<str>, u32)>,
    /// Deadline and identifier of each item.
    deadlines: BTreeSet<(u64, u64)>,
    /// Identifiers of the items that count towards the bound on the queue's length, by tier and
    /// arrival number.
    bounded: [BTreeMap<u64, u64>; TIERS],
    /// Number of items by tier.
    len: [usize; TIERS],
}

impl Queue {
    /// Sets the weights of the client accounts; an account without one has weight 1.
    pub fn set_weights<'a, I>(&mut self, weights: I)
    where
        I: IntoIterator<Item = (&'a str, u32)>,
    {
        self.weights = weights
            .into_iter()
            .map(|(name, weight)| (name.into(), weight))
            .collect();
        self.weights.sort();
        let weights = &self.weights;
        for tier in self.lanes.iter_mut().flatten() {
            tier.set_weights(|name| weight_of(weights, name));
        }
    }

    /// Adds an item. One that was queued before keeps its position through its arrival number.
    pub fn push(&mut self, item: &Item) {
        if self.lanes.len() <= item.lane {
            self.lanes.resize_with(item.lane + 1, Default::default);
        }
        let weights = &self.weights;
        self.lanes[item.lane][tier_of(item)]
            .push(item, || weight_of(weights, &item.account).unwrap_or(1));
        self.deadlines.insert((item.deadline_us, item.id));
        self.len[tier_of(item)] += 1;
        if item.bounded {
            self.bounded[tier_of(item)].insert(item.arrival, item.id);
        }
    }

    /// Removes an item that won't start; returns whether it was waiting.
    pub fn remove(&mut self, item: &Item) -> bool {
        let lane = self.lanes.get_mut(item.lane);
        let removed = lane.is_some_and(|lane| lane[tier_of(item)].remove(item));
        if removed {
            self.unindex(item);
        }
        removed
    }

    /// Removes an item that starts and charges its expected service to its client account; returns
    /// whether it was waiting.
    pub fn start(&mut self, item: &Item) -> bool {
        let lane = self.lanes.get_mut(item.lane);
        let started = lane.is_some_and(|lane| lane[tier_of(item)].start(item));
        if started {
            self.unindex(item);
        }
        started
    }

    /// Replaces the expected service charged for a started item with the actual one.
    pub fn adjust_charge(&mut self, item: &Item, actual: u64) {
        if let Some(lane) = self.lanes.get_mut(item.lane) {
            lane[tier_of(item)].adjust_charge(&item.account, item.cost, actual);
        }
    }

    /// Returns the next item of a lane's tier among the kinds in the mask, which is a union of
    /// [`ItemKind`](crate::ItemKind) bits.
    #[must_use]
    pub fn head(&self, lane: usize, tier: usize, mask: u8) -> Option<Head> {
        self.lanes.get(lane)?[tier].head(mask)
    }

    /// Returns whether an item is waiting; it is looked up by its deadline and identifier.
    #[must_use]
    pub fn contains(&self, item: &Item) -> bool {
        self.deadlines.contains(&(item.deadline_us, item.id))
    }

    /// Returns the expected service of the waiting items in higher tiers of an item's lane.
    #[must_use]
    pub fn cost_of_higher_tiers(&self, item: &Item) -> u64 {
        let lane = self.lanes.get(item.lane);
        lane.map_or(0, |lane| {
            let higher = lane[..tier_of(item)].iter();
            higher.map(FairQueue::cost).sum()
        })
    }

    /// Returns the expected service that fair queueing puts ahead of a waiting item in its tier.
    #[must_use]
    pub fn cost_ahead(&self, item: &Item) -> u64 {
        let lane = self.lanes.get(item.lane);
        lane.map_or(0, |lane| {
            lane[tier_of(item)].cost_ahead(&item.account, item.cost)
        })
    }

    /// Returns the newest item that counts towards the bound, from the lowest tier below `tier`
    /// that has one.
    #[must_use]
    pub fn newest_below(&self, tier: u8) -> Option<Head> {
        let first = usize::from(tier).min(TIERS - 1) + 1;
        let newest = self.bounded[first..]
            .iter()
            .rev()
            .find_map(BTreeMap::last_key_value);
        newest.map(|(&arrival, &id)| Head { arrival, id })
    }

    /// Returns the deadlines up to `until_us` with the identifiers of their items, earliest first.
    pub fn due(&self, until_us: u64) -> impl Iterator<Item = (u64, u64)> {
        self.deadlines.range(..=(until_us, u64::MAX)).copied()
    }

    /// Returns the number of waiting items in a tier of a lane.
    #[must_use]
    pub fn waiting(&self, lane: usize, tier: usize) -> usize {
        self.lanes.get(lane).map_or(0, |lane| lane[tier].len())
    }

    /// Returns the number of waiting items of a tier.
    #[must_use]
    pub const fn len(&self, tier: usize) -> usize {
        self.len[tier]
    }

    /// Returns the number of waiting items that count towards the bound.
    #[must_use]
    pub fn bounded_len(&self) -> usize {
        self.bounded.iter().map(BTreeMap::len).sum()
    }

    /// Removes an item from the indexes by deadline, tier and arrival.
    fn unindex(&mut self, item: &Item) {
        self.deadlines.remove(&(item.deadline_us, item.id));
        self.len[tier_of(item)] -= 1;
        self.bounded[tier_of(item)].remove(&item.arrival);
    }
}

fn tier_of(item: &Item) -> usize {
    usize::from(item.tier).min(TIERS - 1)
}

fn weight_of(weights: &[(Arc<str>, u32)], name: &str) -> Option<u32> {
    let index = weights.binary_search_by(|(other, _)| other.as_ref().cmp(name));
    index.ok().map(|index| weights[index].1)
}
