use crate::{Allowance, LimitExceeded, account_limit::AccountLimit};

/// This daemon's share of the limits of all client accounts.
///
/// All daemons have equal shares. Local demand says nothing about the demand at other daemons, so
/// shares that followed it without coordination could exceed the fleet-wide limit by a factor of
/// the number of daemons. Rounding up exceeds it by less than one request per daemon.
#[derive(Debug)]
pub struct Limits {
    /// Sorted by name.
    accounts: Vec<AccountLimit>,
    daemons: u32,
}

impl Limits {
    /// Sets the limits of all client accounts; an account that isn't listed is not limited.
    pub fn configure<'a, I>(&mut self, now_us: u64, accounts: I)
    where
        I: IntoIterator<Item = (&'a str, Allowance)>,
    {
        let mut old = std::mem::take(&mut self.accounts);
        for (name, fleet) in accounts {
            let found = old.binary_search_by(|account| account.name.as_ref().cmp(name));
            let account = match found {
                Ok(index) => {
                    let mut account = old.remove(index);
                    account.set_allowance(now_us, fleet, self.daemons);
                    account
                }
                Err(_) => AccountLimit::new(now_us, name, fleet, self.daemons),
            };
            self.accounts.push(account);
        }
        self.accounts.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// Sets the number of live daemons. 0 means that no peer is reachable and keeps the shares.
    pub fn set_live_daemons(&mut self, now_us: u64, live_daemons: u32) {
        if live_daemons == 0 || live_daemons == self.daemons {
            return;
        }
        self.daemons = live_daemons;
        for account in &mut self.accounts {
            let fleet = account.fleet;
            account.set_allowance(now_us, fleet, live_daemons);
        }
    }

    /// Counts a request against the limits of its client account.
    ///
    /// # Errors
    ///
    /// Returns the first limit that the request would exceed; the request isn't counted then.
    pub fn admit(&mut self, now_us: u64, account: &str, tokens: u64) -> Result<(), LimitExceeded> {
        match self.account_mut(account) {
            Some(account) => account.admit(now_us, tokens),
            None => Ok(()),
        }
    }

    /// Ends a request that was admitted with the same number of tokens.
    pub fn release(&mut self, account: &str, tokens: u64) {
        if let Some(account) = self.account_mut(account) {
            account.release(tokens);
        }
    }

    /// Returns the number of requests in flight of a client account.
    #[must_use]
    pub fn in_flight(&self, account: &str) -> u32 {
        self.index(account)
            .map_or(0, |index| self.accounts[index].requests)
    }

    fn index(&self, account: &str) -> Option<usize> {
        self.accounts
            .binary_search_by(|other| other.name.as_ref().cmp(account))
            .ok()
    }

    fn account_mut(&mut self, account: &str) -> Option<&mut AccountLimit> {
        let index = self.index(account)?;
        Some(&mut self.accounts[index])
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            accounts: Vec::new(),
            daemons: 1,
        }
    }
}
