use std::{collections::BTreeMap, sync::Arc};

use crate::{Head, Item, Variant};

/// Virtual time of one token at weight 1; the fixed point keeps fractions of large weights.
const SCALE: u64 = 1_024;

/// Items of one client account in one tier of a lane.
#[derive(Debug)]
pub(crate) struct AccountQueue {
    pub(crate) name: Arc<str>,
    pub(crate) weight: u32,
    /// Service received divided by the weight.
    pub(crate) virtual_time: u64,
    /// Sum of the expected service of the waiting items.
    pub(crate) cost: u64,
    // Removal from the middle has to stay logarithmic with 100,000 items, so no sorted vector.
    items: [BTreeMap<u64, u64>; Variant::COUNT],
}

impl AccountQueue {
    pub(crate) fn new(name: Arc<str>, weight: u32, virtual_time: u64) -> Self {
        Self {
            name,
            weight: weight.max(1),
            virtual_time,
            cost: 0,
            items: Default::default(),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.items.iter().all(BTreeMap::is_empty)
    }

    pub(crate) fn has(&self, mask: u8) -> bool {
        self.chosen(mask).any(|items| !items.is_empty())
    }

    pub(crate) fn head(&self, mask: u8) -> Option<Head> {
        let (&arrival, &id) = self
            .chosen(mask)
            .filter_map(BTreeMap::first_key_value)
            .min_by_key(|(arrival, _)| **arrival)?;
        Some(Head { arrival, id })
    }

    pub(crate) fn push(&mut self, item: &Item) {
        self.items[item.variant as usize].insert(item.arrival, item.id);
        self.cost += item.cost;
    }

    pub(crate) fn remove(&mut self, item: &Item) -> bool {
        let removed = self.items[item.variant as usize].remove(&item.arrival);
        if removed.is_some() {
            self.cost = self.cost.saturating_sub(item.cost);
        }
        removed.is_some()
    }

    pub(crate) fn charge(&mut self, cost: u64) {
        let step = cost.saturating_mul(SCALE) / u64::from(self.weight);
        self.virtual_time = self.virtual_time.saturating_add(step);
    }

    pub(crate) fn refund(&mut self, cost: u64) {
        let step = cost.saturating_mul(SCALE) / u64::from(self.weight);
        self.virtual_time = self.virtual_time.saturating_sub(step);
    }

    fn chosen(&self, mask: u8) -> impl Iterator<Item = &BTreeMap<u64, u64>> {
        let items = self.items.iter().enumerate();
        items
            .filter(move |(index, _)| mask & (1_u8 << index) != 0)
            .map(|(_, items)| items)
    }
}
