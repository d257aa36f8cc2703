use std::sync::Arc;

use crate::{
    Budget, Peer,
    subset::{choose_users, load_max, rank, users_count},
};

/// Home and users of every upstream for one view of the live hosts.
///
/// Hosts are ranked by rendezvous hash, those in the upstream's region first, so that a partition
/// between regions separates no upstream from its home. A host that already has its share of
/// upstreams is skipped. With few hosts, all of them use all upstreams; with many, each upstream
/// has a few users, one in four of them in another region.
///
/// Computing the assignments takes one hash per pair of host and upstream, 760,000 at the target
/// size, so they are computed once per change of the view and used for both
/// [`Holder`](crate::Holder) and [`Home`](crate::Home).
#[derive(Debug, Clone, Default)]
pub struct Assignments {
    /// Sorted by name of the upstream.
    pub(crate) by_upstream: Vec<Assignment>,
}

/// Home and users of one upstream.
#[derive(Debug, Clone)]
pub(crate) struct Assignment {
    pub(crate) budget: Budget,
    pub(crate) key: u32,
    pub(crate) home: Arc<str>,
    pub(crate) users: Vec<Arc<str>>,
}

impl Assignments {
    /// Assigns all upstreams; the result is empty if there are no live hosts.
    #[must_use]
    pub fn new(budgets: &[Budget], peers: &[Peer]) -> Self {
        let mut assignments = Self::default();
        if peers.is_empty() {
            return assignments;
        }
        let mut budgets: Vec<&Budget> = budgets.iter().collect();
        budgets.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        let count = users_count(peers.len(), budgets.len());
        let use_count_max = load_max(count * budgets.len(), peers.len());
        let home_count_max = load_max(budgets.len(), peers.len());
        let mut use_counts = vec![0; peers.len()];
        let mut home_counts = vec![0; peers.len()];
        for budget in budgets {
            let (ranked, local_count) = rank(&budget.upstream, &budget.region, peers);
            let users = choose_users(
                (&ranked, local_count),
                count,
                &mut use_counts,
                use_count_max,
            );
            let local_count = if local_count == 0 {
                peers.len()
            } else {
                local_count
            };
            let free = ranked[..local_count]
                .iter()
                .find(|&&host| home_counts[host] < home_count_max);
            let home = *free.unwrap_or(&ranked[0]);
            home_counts[home] += 1;
            assignments.by_upstream.push(Assignment {
                budget: budget.clone(),
                key: budget.key(),
                home: peers[home].name.clone(),
                users: users
                    .into_iter()
                    .map(|user| peers[user].name.clone())
                    .collect(),
            });
        }
        assignments
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
            .by_upstream
            .binary_search_by(|assignment| (*assignment.budget.upstream).cmp(upstream))
            .ok()?;
        Some(&self.by_upstream[index])
    }
}
