use std::{collections::BTreeSet, sync::Arc};

use crate::{Head, Item, account_queue::AccountQueue, backlog::Backlog};

/// Start-time fair queue between the client accounts in one tier of a lane.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    /// Positions in `accounts`, sorted by name.
    by_name: Vec<usize>,
    accounts: Vec<AccountQueue>,
    /// In the order of `accounts`.
    backlogs: Vec<Backlog>,
    /// Virtual time and position of each account with waiting items.
    active: BTreeSet<(u64, usize)>,
    /// Virtual time of the account that was served last. An account that was idle starts here, so
    /// that it can't accumulate credit while it is idle.
    virtual_time: u64,
    /// Number of waiting items.
    len: usize,
    /// Expected service of the waiting items.
    cost: u64,
}

impl FairQueue {
    /// Applies the weights; an idle account without one is removed.
    pub(crate) fn set_weights(&mut self, weight_of: impl Fn(&str) -> Option<u32>) {
        let accounts = std::mem::take(&mut self.accounts);
        let backlogs = std::mem::take(&mut self.backlogs);
        self.by_name.clear();
        self.active.clear();
        for (account, mut backlog) in accounts.into_iter().zip(backlogs) {
            let weight = weight_of(&account.name);
            if weight.is_none() && account.is_empty() {
                continue;
            }
            backlog.weight = weight.unwrap_or(1).max(1);
            let position = self.accounts.len();
            if !account.is_empty() {
                self.active.insert((account.virtual_time, position));
            }
            self.accounts.push(account);
            self.backlogs.push(backlog);
            self.by_name.push(position);
        }
        let accounts = &self.accounts;
        self.by_name
            .sort_by(|&a, &b| accounts[a].name.cmp(&accounts[b].name));
    }

    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    pub(crate) const fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns the next item among the kinds in the mask.
    pub(crate) fn head(&self, mask: u8) -> Option<Head> {
        let mut active = self.active.iter();
        active.find_map(|&(_, position)| self.accounts[position].head(mask))
    }

    /// Returns the expected service that fair queueing puts ahead of an account's newest item.
    pub(crate) fn cost_ahead(&self, name: &str, own_cost: u64) -> u64 {
        let Ok(index) = self.find(name) else {
            return self.cost;
        };
        let backlog = self.backlogs[self.by_name[index]];
        let cost_per_weight = backlog.cost.div_ceil(u64::from(backlog.weight));
        let cost_served_before = |other: &Backlog| {
            let share = cost_per_weight.saturating_mul(u64::from(other.weight));
            other.cost.min(share)
        };
        // The sum includes all items of the account itself.
        let all: u64 = self.backlogs.iter().map(cost_served_before).sum();
        all.saturating_sub(own_cost)
    }

    pub(crate) fn push(&mut self, item: &Item, weight: impl FnOnce() -> u32) {
        let position = match self.find(&item.account) {
            Ok(index) => self.by_name[index],
            Err(index) => {
                let position = self.accounts.len();
                let account = AccountQueue::new(item.account.clone(), self.virtual_time);
                self.accounts.push(account);
                self.backlogs.push(Backlog::new(weight()));
                self.by_name.insert(index, position);
                position
            }
        };
        let account = &mut self.accounts[position];
        if account.is_empty() {
            account.virtual_time = account.virtual_time.max(self.virtual_time);
            self.active.insert((account.virtual_time, position));
        }
        account.push(item);
        self.backlogs[position].cost += item.cost;
        self.len += 1;
        self.cost += item.cost;
    }

    pub(crate) fn remove(&mut self, item: &Item) -> bool {
        let Ok(index) = self.find(&item.account) else {
            return false;
        };
        let position = self.by_name[index];
        let account = &mut self.accounts[position];
        if !account.remove(item) {
            return false;
        }
        if account.is_empty() {
            self.active.remove(&(account.virtual_time, position));
        }
        let backlog = &mut self.backlogs[position];
        backlog.cost = backlog.cost.saturating_sub(item.cost);
        self.len -= 1;
        self.cost = self.cost.saturating_sub(item.cost);
        true
    }

    /// Removes an item and charges its expected service to its account.
    pub(crate) fn start(&mut self, item: &Item) -> bool {
        let removed = self.remove(item);
        if removed && let Ok(index) = self.find(&item.account) {
            let position = self.by_name[index];
            let virtual_time = self.accounts[position].virtual_time;
            self.virtual_time = self.virtual_time.max(virtual_time);
            let step = self.backlogs[position].virtual_time(item.cost);
            self.set_virtual_time(position, virtual_time.saturating_add(step));
        }
        removed
    }

    /// Replaces the expected service charged to an account with the actual one.
    pub(crate) fn adjust_charge(&mut self, name: &Arc<str>, expected: u64, actual: u64) {
        if let Ok(index) = self.find(name) {
            let position = self.by_name[index];
            let backlog = self.backlogs[position];
            let virtual_time = self.accounts[position].virtual_time;
            let virtual_time = virtual_time
                .saturating_add(backlog.virtual_time(actual))
                .saturating_sub(backlog.virtual_time(expected));
            self.set_virtual_time(position, virtual_time);
        }
    }

    fn set_virtual_time(&mut self, position: usize, virtual_time: u64) {
        let account = &mut self.accounts[position];
        if self.active.remove(&(account.virtual_time, position)) {
            self.active.insert((virtual_time, position));
        }
        account.virtual_time = virtual_time;
    }

    /// Returns the index in `by_name` of an account, or where it would be inserted.
    fn find(&self, name: &str) -> Result<usize, usize> {
        self.by_name
            .binary_search_by(|&position| (*self.accounts[position].name).cmp(name))
    }
}
