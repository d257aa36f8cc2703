use std::sync::Arc;

use crate::{Head, Item, account_queue::AccountQueue};

/// One tier of a lane, fair between client accounts; start-time fair queueing.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// Sorted by name.
    accounts: Vec<AccountQueue>,
    /// Virtual time of the account that was served last; an account that was idle starts here, so
    /// that it gains no claim on service from the time when it asked for none.
    virtual_time: u64,
    len: usize,
    cost: u64,
}

impl FairQueue {
    pub(crate) fn set_weights(&mut self, weight_of: impl Fn(&str) -> Option<u32>) {
        self.accounts.retain_mut(|account| {
            let weight = weight_of(&account.name);
            account.weight = weight.unwrap_or(1).max(1);
            weight.is_some() || !account.is_empty()
        });
    }

    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    pub(crate) const fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns the next item among the variants in the mask.
    pub(crate) fn head(&self, mask: u8) -> Option<Head> {
        if self.len == 0 {
            return None;
        }
        let waiting = self.accounts.iter().filter(|account| account.has(mask));
        waiting
            .min_by_key(|account| account.virtual_time)?
            .head(mask)
    }

    /// Returns the expected service that fair order puts before the newest item of an account.
    pub(crate) fn cost_ahead(&self, name: &str, own_cost: u64) -> u64 {
        let Ok(own) = self.index(name) else {
            return self.cost;
        };
        let own = &self.accounts[own];
        let others = self
            .accounts
            .iter()
            .filter(|account| *account.name != *name);
        let share = |account: &AccountQueue| {
            let fair = own.cost.saturating_mul(u64::from(account.weight)) / u64::from(own.weight);
            account.cost.min(fair)
        };
        own.cost.saturating_sub(own_cost) + others.map(share).sum::<u64>()
    }

    pub(crate) fn push(&mut self, item: &Item, weight: impl FnOnce() -> u32) {
        let index = self.index(&item.account).unwrap_or_else(|index| {
            let account = AccountQueue::new(item.account.clone(), weight(), self.virtual_time);
            self.accounts.insert(index, account);
            index
        });
        let account = &mut self.accounts[index];
        if account.is_empty() {
            account.virtual_time = account.virtual_time.max(self.virtual_time);
        }
        account.push(item);
        self.len += 1;
        self.cost += item.cost;
    }

    pub(crate) fn remove(&mut self, item: &Item) -> bool {
        let Ok(index) = self.index(&item.account) else {
            return false;
        };
        let removed = self.accounts[index].remove(item);
        if removed {
            self.len -= 1;
            self.cost = self.cost.saturating_sub(item.cost);
        }
        removed
    }

    /// Removes an item and charges its expected service to its account.
    pub(crate) fn start(&mut self, item: &Item) -> bool {
        if !self.remove(item) {
            return false;
        }
        if let Ok(index) = self.index(&item.account) {
            let account = &mut self.accounts[index];
            self.virtual_time = self.virtual_time.max(account.virtual_time);
            account.charge(item.cost);
        }
        true
    }

    /// Replaces the expected by the actual service.
    pub(crate) fn settle(&mut self, name: &Arc<str>, expected: u64, actual: u64) {
        if let Ok(index) = self.index(name) {
            let account = &mut self.accounts[index];
            if actual > expected {
                account.charge(actual - expected);
            } else {
                account.refund(expected - actual);
            }
        }
    }

    fn index(&self, name: &str) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|account| account.name.as_ref().cmp(name))
    }
}
