use std::{collections::BTreeMap, sync::Arc};

use crate::{Head, Item, ItemKind};

/// Waiting items of one client account in one tier of a lane.
#[derive(Debug)]
pub(crate) struct AccountQueue {
    pub(crate) name: Arc<str>,
    /// Virtual time: the service received divided by the weight.
    pub(crate) virtual_time: u64,
    /// Identifiers by arrival number, one map per item kind. Removal from the middle must stay
    /// logarithmic with 100,000 items, which rules out a sorted vector.
    items: [BTreeMap<u64, u64>; ItemKind::COUNT],
}

impl AccountQueue {
    pub(crate) fn new(name: Arc<str>, virtual_time: u64) -> Self {
        Self {
            name,
            virtual_time,
            items: Default::default(),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.items.iter().all(BTreeMap::is_empty)
    }

    /// Returns the oldest item among the kinds in the mask.
    pub(crate) fn head(&self, mask: u8) -> Option<Head> {
        let (&arrival, &id) = self
            .items_in(mask)
            .filter_map(BTreeMap::first_key_value)
            .min_by_key(|(arrival, _)| **arrival)?;
        Some(Head { arrival, id })
    }

    pub(crate) fn push(&mut self, item: &Item) {
        self.items[item.kind as usize].insert(item.arrival, item.id);
    }

    pub(crate) fn remove(&mut self, item: &Item) -> bool {
        self.items[item.kind as usize]
            .remove(&item.arrival)
            .is_some()
    }

    fn items_in(&self, mask: u8) -> impl Iterator<Item = &BTreeMap<u64, u64>> {
        let items = self.items.iter().enumerate();
        items
            .filter(move |(index, _)| mask & (1_u8 << index) != 0)
            .map(|(_, items)| items)
    }
}
