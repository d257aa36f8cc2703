use std::sync::Arc;

use crate::{
    Budget, Peer,
    subset::{choose_users, load_max, rank, users_count},
};

/// Home and users of every upstream for one view of the live hosts.
///
/// Hosts are ranked by rendezvous hash, those in the upstream's region first: a partition between
/// regions then separates no upstream from its home. A host that has its share of all upstreams is
/// passed over. All hosts use all upstreams in a small fleet; in a large one each upstream has a few
/// users, one in four of them in another region.
///
/// A plan takes a hash for each pair of host and upstream, 760,000 at the target size, so it is made
/// once for each change of the view and used for both [`Holder`](crate::Holder) and
/// [`Home`](crate::Home).
#[derive(Debug, Clone, Default)]
pub struct Assignments {
    pub(crate) assignments: Vec<Assignment>,
}

/// Home and users of one upstream; sorted by upstream in the plan.
#[derive(Debug, Clone)]
pub(crate) struct Assignment {
    pub(crate) budget: Budget,
    pub(crate) key: u32,
    pub(crate) home: Arc<str>,
    pub(crate) users: Vec<Arc<str>>,
}

impl Assignments {
    /// Assigns all upstreams; without a live host the plan is empty.
    #[must_use]
    pub fn new(budgets: &[Budget], peers: &[Peer]) -> Self {
        let mut plan = Self::default();
        if peers.is_empty() {
            return plan;
        }
        let mut budgets: Vec<&Budget> = budgets.iter().collect();
        budgets.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        let count = users_count(peers.len(), budgets.len());
        let used_max = load_max(count * budgets.len(), peers.len());
        let homed_max = load_max(budgets.len(), peers.len());
        let mut used = vec![0; peers.len()];
        let mut homed = vec![0; peers.len()];
        for budget in budgets {
            let (ranked, near) = rank(&budget.upstream, &budget.region, peers);
            let users = choose_users((&ranked, near), count, &mut used, used_max);
            let near = if near == 0 { peers.len() } else { near };
            let free = ranked[..near].iter().find(|&&host| homed[host] < homed_max);
            let home = *free.unwrap_or(&ranked[0]);
            homed[home] += 1;
            plan.assignments.push(Assignment {
                budget: budget.clone(),
                key: budget.key(),
                home: peers[home].name.clone(),
                users: users
                    .into_iter()
                    .map(|user| peers[user].name.clone())
                    .collect(),
            });
        }
        plan
    }

    /// Returns the home of an upstream.
    #[must_use]
    pub fn home(&self, upstream: &str) -> Option<&Arc<str>> {
        Some(&self.find(upstream)?.home)
    }

    /// Returns the hosts that use an upstream.
    #[must_use]
    pub fn users(&self, upstream: &str) -> &[Arc<str>] {
        self.find(upstream).map_or(&[], |found| &found.users)
    }

    fn find(&self, upstream: &str) -> Option<&Assignment> {
        let index = self
            .assignments
            .binary_search_by(|assignment| (*assignment.budget.upstream).cmp(upstream))
            .ok()?;
        Some(&self.assignments[index])
    }
}
