//! Property tests of several daemons whose messages are lost, delayed, repeated and reordered.

use proptest::prelude::*;

use crate::{Assignments, Budget, Demand, Grants, Holder, Home, LEASE_US, Peer};

const UPSTREAM: &str = "engine-1";
const SLOTS: u32 = 12;
const HOSTS: [&str; 4] = ["a", "b", "c", "d"];

/// One step of the simulated daemons and their messages.
#[derive(Debug, Clone)]
enum Step {
    Wait { us: u64 },
    Report { host: usize, waiting: [u32; 3] },
    Run { host: usize, tier: u8 },
    End { host: usize, tier: u8 },
    DeliverDemand { index: usize },
    DeliverGrants { index: usize },
    Drop { index: usize },
    RestartHome,
}

struct Fleet {
    now_us: u64,
    holders: Vec<Holder>,
    homes: Vec<Home>,
    demands: Vec<(usize, usize, Demand)>,
    grants: Vec<(usize, usize, Grants)>,
    restarts: u32,
}

fn budgets() -> [Budget; 1] {
    [Budget::new(UPSTREAM, "costa", SLOTS)]
}

fn peers() -> Vec<Peer> {
    HOSTS.iter().map(|name| Peer::new(name, "costa")).collect()
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Self {
            // Later than the length of a lease, so that saturation at 0 hides no wrong subtraction.
            now_us: 10 * LEASE_US,
            holders: HOSTS.iter().map(|name| Holder::new(name)).collect(),
            homes: HOSTS.iter().map(|name| Home::new(name, 1)).collect(),
            demands: Vec::new(),
            grants: Vec::new(),
            restarts: 1,
        };
        fleet.configure(&peers());
        fleet
    }

    fn configure(&mut self, peers: &[Peer]) {
        for holder in &mut self.holders {
            holder.configure(&Assignments::new(&budgets(), peers));
        }
        for home in &mut self.homes {
            home.configure(&Assignments::new(&budgets(), peers));
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Wait { us } => self.now_us += us,
            Step::Report { host, waiting } => {
                for (home, demand) in self.holders[host].demand_reports(self.now_us, waiting) {
                    let to = HOSTS.iter().position(|name| **name == *home).unwrap();
                    self.demands.push((host, to, demand));
                }
            }
            Step::Run { host, tier } => self.holders[host].request_started(UPSTREAM, tier),
            Step::End { host, tier } => self.holders[host].request_ended(UPSTREAM, tier),
            Step::DeliverDemand { index } if !self.demands.is_empty() => {
                // The message stays in the list and may be delivered again.
                let (from, to, demand) = self.demands[index % self.demands.len()].clone();
                let grants = self.homes[to].handle_demand(self.now_us, HOSTS[from], &demand);
                self.grants.push((to, from, grants));
            }
            Step::DeliverGrants { index } if !self.grants.is_empty() => {
                let (from, to, grants) = self.grants[index % self.grants.len()].clone();
                self.holders[to].handle_grants(self.now_us, HOSTS[from], &grants);
            }
            Step::Drop { index } if !self.grants.is_empty() => {
                let index = index % self.grants.len();
                self.grants.remove(index);
            }
            Step::RestartHome => {
                self.restarts += 1;
                for (home, name) in self.homes.iter_mut().zip(HOSTS) {
                    *home = Home::new(name, self.restarts);
                    home.configure(&Assignments::new(&budgets(), &peers()));
                }
            }
            Step::DeliverDemand { .. } | Step::DeliverGrants { .. } | Step::Drop { .. } => {}
        }
    }

    /// Every daemon reports and receives its answer.
    fn round(&mut self, waiting: [u32; 3]) {
        for (holder, host) in self.holders.iter_mut().zip(HOSTS) {
            for (home, demand) in holder.demand_reports(self.now_us, waiting) {
                let to = HOSTS.iter().position(|name| **name == *home).unwrap();
                let grants = self.homes[to].handle_demand(self.now_us, host, &demand);
                holder.handle_grants(self.now_us, HOSTS[to], &grants);
            }
        }
    }

    fn leased(&self) -> u32 {
        let leases = self.holders.iter();
        leases
            .filter_map(|holder| holder.granted(self.now_us, UPSTREAM))
            .sum()
    }

    fn shares(&self) -> u32 {
        let holders = self.holders.iter();
        holders
            .map(|holder| holder.share(self.now_us, UPSTREAM))
            .sum()
    }
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS.len();
    prop_oneof![
        2 => (0..LEASE_US / 2).prop_map(|us| Step::Wait { us }),
        4 => (host.clone(), [0_u32..20, 0..20, 0..20])
            .prop_map(|(host, waiting)| Step::Report { host, waiting }),
        2 => (host.clone(), 0_u8..3).prop_map(|(host, tier)| Step::Run { host, tier }),
        2 => (host, 0_u8..3).prop_map(|(host, tier)| Step::End { host, tier }),
        4 => any::<usize>().prop_map(|index| Step::DeliverDemand { index }),
        4 => any::<usize>().prop_map(|index| Step::DeliverGrants { index }),
        1 => any::<usize>().prop_map(|index| Step::Drop { index }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// Guards against unexpired grants of one home that add up to more than the slots, at the home
    /// or at the daemons, under any loss, delay, repetition or reordering of messages.
    #[test]
    fn grants_never_exceed_the_slots(steps in prop::collection::vec(step(), 1..120)) {
        let mut fleet = Fleet::new();
        for step in &steps {
            fleet.apply(step);
            for home in &fleet.homes {
                prop_assert!(home.granted(fleet.now_us, UPSTREAM) <= SLOTS, "{step:?}");
            }
            prop_assert!(fleet.leased() <= SLOTS, "{step:?}");
        }
    }

    /// Guards against an over-commitment that exceeds twice the slots or lasts longer than a lease,
    /// after a home was restarted without its state or moved to another host.
    #[test]
    fn overcommitment_after_a_change_of_home_ends_with_the_lease(
        before in prop::collection::vec(step(), 1..60),
        changes_host in any::<bool>(),
        waiting in prop::collection::vec([0_u32..20, 0..20, 0..20], 30),
        pause_us in 10_000..LEASE_US / 4,
    ) {
        let mut fleet = Fleet::new();
        for step in &before {
            fleet.apply(step);
        }
        // No earlier messages are still in transit.
        fleet.demands.clear();
        fleet.grants.clear();
        fleet.round([5, 5, 5]);
        let changed_us = fleet.now_us;
        if changes_host {
            let home = Assignments::new(&budgets(), &peers()).home(UPSTREAM).unwrap().clone();
            let left: Vec<Peer> = peers().into_iter().filter(|peer| peer.name != home).collect();
            fleet.configure(&left);
        } else {
            fleet.apply(&Step::RestartHome);
        }
        for waiting in waiting {
            fleet.round(waiting);
            prop_assert!(fleet.shares() <= 2 * SLOTS);
            if fleet.now_us >= changed_us + LEASE_US {
                prop_assert!(fleet.shares() <= SLOTS, "{} us after", fleet.now_us - changed_us);
            }
            fleet.now_us += pause_us;
        }
    }
}

/// Guards against a message that postcard cannot encode and decode.
#[test]
fn messages_survive_the_codec() {
    let mut fleet = Fleet::new();
    let (_, demand) = fleet.holders[0].demand_reports(7, [1, 2, 3]).remove(0);
    let bytes = postcard::to_stdvec(&demand).unwrap();
    assert_eq!(postcard::from_bytes::<Demand>(&bytes).unwrap(), demand);
    for home in &mut fleet.homes {
        let grants = home.handle_demand(9, HOSTS[0], &demand);
        let bytes = postcard::to_stdvec(&grants).unwrap();
        assert_eq!(postcard::from_bytes::<Grants>(&bytes).unwrap(), grants);
    }
}
