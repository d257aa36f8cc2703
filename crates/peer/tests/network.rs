//! Convergence, spread of changes and traffic of many members on a simulated network with faults.

mod sim;

use peer::{Options, State};
use proptest::prelude::*;
use sim::{Network, listed_hosts, name};

const SECOND_US: u64 = 1_000_000;

/// Limit on the time from the last fault until all views are exact, for up to 12 members: a round
/// of probes (11 s), a suspicion (7 s), pings of dead members (one in 3 s) and the spread of
/// changes.
const SETTLE_US: u64 = 60 * SECOND_US;

/// Part of the 4 KB/s of control traffic that membership may send; it receives about as much.
const SENT_BYTES_PER_S: u64 = 2_048;

fn settle(network: &mut Network) {
    let settled = network.run_until(SETTLE_US, Network::converged);
    assert!(settled.is_some(), "{:?}", network.disagreement());
    assert!(network.revived.is_empty(), "{:?}", network.revived);
}

/// Guards against views that stay wrong after a fault has ended, for each kind of fault.
#[test]
fn peer_views_are_exact_after_faults() {
    type Fault = fn(&mut Network);
    let cases: [(&str, Fault); 9] = [
        ("none", |_| {}),
        ("crash", |network| network.crash(3)),
        ("restart", |network| network.restart(3, 2, &listed_hosts(6))),
        ("restart without host list", |network| {
            network.crash(3);
            network.run_us(20 * SECOND_US);
            network.restart(3, 2, &[]);
        }),
        ("restart with an older clock", |network| {
            network.restart(3, 7, &listed_hosts(6));
            network.run_us(10 * SECOND_US);
            network.restart(3, 2, &listed_hosts(6));
        }),
        ("long pause", |network| {
            network.pause(3);
            network.run_us(30 * SECOND_US);
            network.resume(3);
        }),
        ("partition", |network| {
            network.partition(&[0, 2, 4], &[1, 3, 5]);
            network.run_us(60 * SECOND_US);
            network.cut_links.clear();
        }),
        ("isolated member", |network| {
            network.partition(&[0], &[1, 2, 3, 4, 5]);
            network.run_us(60 * SECOND_US);
            network.cut_links.clear();
        }),
        ("leaving", |network| {
            network.leave(3);
            network.run_us(10 * SECOND_US);
            network.crash(3);
        }),
    ];
    for (case, fault) in cases {
        println!("{case}");
        let mut network = Network::new(6, 7);
        network.run_us(10 * SECOND_US);
        fault(&mut network);
        settle(&mut network);
    }
}

/// Guards against a live member that is suspected because a single link to it fails.
#[test]
fn peer_tells_a_cut_link_from_death() {
    for (case, cut_links) in [
        ("one direction", vec![(0, 1)]),
        ("both directions", vec![(0, 1), (1, 0)]),
    ] {
        let mut network = Network::new(6, 8);
        network.run_us(10 * SECOND_US);
        network.cut_links.extend(cut_links);
        for _ in 0..600 {
            network.run_us(SECOND_US / 10);
            for index in 0..6 {
                let mut seen = network.nodes[index].membership.members();
                let not_live = seen.find(|member| member.state != State::Live);
                assert_eq!(not_live, None, "{case}, seen by {index}");
            }
        }
    }
}

/// Guards against a daemon that acts on an outdated view after a pause, or that accepts an answer
/// to a ping from before the pause as a confirmation of its configuration.
#[test]
fn holds_config_after_a_pause() {
    for seed in 0..40 {
        let mut network = Network::new(6, seed);
        network.run_us(10 * SECOND_US);
        // For some seeds the pause starts between a ping and its acknowledgement.
        network.run_us(seed * 25_000);
        network.pause(3);
        network.run_us(10 * SECOND_US);
        network.nodes[0].membership.set_config_version(2);
        network.run_us(10 * SECOND_US);
        network.resume(3);
        assert_eq!(network.nodes[3].confirmed, 0, "seed {seed}");
        let confirmed = network.run_until(10 * SECOND_US, |network| network.nodes[3].confirmed > 0);
        assert!(confirmed.is_some(), "seed {seed}");
        assert_eq!(network.nodes[3].resumed, 1, "seed {seed}");
        assert_eq!(
            network.nodes[3].membership.me().config_version,
            2,
            "seed {seed}"
        );
        let resumed = network.nodes.iter().map(|node| node.resumed).sum::<u32>();
        assert_eq!(resumed, 1, "seed {seed}: nobody else paused");
    }
}

/// Guards against changes that reach some members late or never, also with packet loss. A
/// configuration must be in force everywhere within 11 s, a leaving upstream known within 5 s.
#[test]
fn holds_config_and_leaving_spread_in_time() {
    for (count, loss_percent) in [(6, 0), (60, 0), (60, 20), (330, 0)] {
        let mut network = Network::new(count, 10);
        network.run_us(20 * SECOND_US);
        network.loss_percent = loss_percent;
        network.nodes[0].membership.set_config_version(2);
        let now_us = network.now_us;
        network.nodes[0].membership.add_leaving(now_us, "engine-1");
        let leaving = network.run_until(5 * SECOND_US, |network| {
            let mut others = network.nodes[1..].iter();
            others.all(|node| node.upstreams_leaving == ["engine-1"])
        });
        assert!(
            leaving.is_some(),
            "leaving: {count} members, {loss_percent}% loss"
        );
        let in_force = network.run_until(6 * SECOND_US, |network| {
            let mut nodes = network.nodes.iter();
            nodes.all(|node| node.membership.me().config_version == 2)
        });
        assert!(
            in_force.is_some(),
            "config: {count} members, {loss_percent}% loss"
        );
    }
}

/// Guards against every daemon of a region fetching a new configuration across the slow link
/// between regions.
#[test]
fn peer_fetches_few_configurations_across_regions() {
    let mut network = Network::new(60, 13);
    network.run_us(20 * SECOND_US);
    network.nodes[0].membership.set_config_version(2);
    network.run_us(11 * SECOND_US);
    let mut nodes = network.nodes.iter();
    assert!(nodes.all(|node| node.membership.me().config_version == 2));
    // Two fetch at once; up to a third of the region may hear of the version only after the delay.
    let fetches = network.cross_region_fetches;
    assert!(fetches <= 10, "{fetches} of 30");
}

/// Guards against payloads that reach the wrong member, arrive twice or name the wrong sender.
#[test]
fn peer_delivers_payloads_to_their_destination() {
    let mut network = Network::new(6, 11);
    network.run_us(10 * SECOND_US);
    network.nodes[0].membership.queue_payload(&name(1), vec![1]);
    network.nodes[0].membership.queue_payload(&name(2), vec![2]);
    network.nodes[0]
        .membership
        .queue_payload(&name(2), vec![0; 801]);
    network.run_us(SECOND_US);
    assert_eq!(network.nodes[1].payloads, [(name(0), vec![1])]);
    assert_eq!(network.nodes[2].payloads, [(name(0), vec![2])]);
    assert!(
        network.nodes[3..]
            .iter()
            .all(|node| node.payloads.is_empty())
    );
}

/// Guards against traffic that grows with the number of members, with a partition and its end, or
/// with the payloads that the application queues.
#[test]
fn peer_stays_within_its_bytes_per_second() {
    const WINDOW_S: u64 = 10;
    for count in [6, 60, 330] {
        let mut network = Network::new(count, 12);
        let bound = SENT_BYTES_PER_S * WINDOW_S + Options::default().send_burst_bytes;
        for phase in 0..4 {
            network.reset_sent();
            match phase {
                1 => {
                    let left: Vec<usize> = (0..count).step_by(2).collect();
                    let right: Vec<usize> = (1..count).step_by(2).collect();
                    network.partition(&left, &right);
                }
                2 => network.cut_links.clear(),
                3 => {
                    for node in &mut network.nodes {
                        for index in 0..count {
                            node.membership.queue_payload(&name(index), vec![0; 800]);
                        }
                    }
                }
                _ => {}
            }
            network.run_us(WINDOW_S * SECOND_US);
            for (index, node) in network.nodes.iter().enumerate() {
                let sent = node.sent_bytes;
                assert!(
                    sent <= bound,
                    "{count}, phase {phase}, {index}: {sent} bytes"
                );
            }
        }
    }
}

#[derive(Debug, Clone)]
enum Step {
    Crash(usize),
    Restart(usize, bool),
    Pause(usize),
    Resume(usize),
    Leave(usize),
    Cut(usize, usize),
    Loss(u32),
    Heal,
    Run(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0_usize..12;
    prop_oneof![
        2 => node.clone().prop_map(Step::Crash),
        2 => (node.clone(), any::<bool>()).prop_map(|(node, listed)| Step::Restart(node, listed)),
        2 => node.clone().prop_map(Step::Pause),
        2 => node.clone().prop_map(Step::Resume),
        1 => node.clone().prop_map(Step::Leave),
        4 => (node.clone(), node).prop_map(|(from, to)| Step::Cut(from, to)),
        1 => (0_u32..60).prop_map(Step::Loss),
        1 => Just(Step::Heal),
        6 => (100_u64..15_000).prop_map(|ms| Step::Run(ms * 1_000)),
    ]
}

fn apply(network: &mut Network, step: &Step) {
    let count = network.nodes.len();
    match *step {
        Step::Crash(node) => network.crash(node % count),
        Step::Restart(node, listed) => {
            let index = node % count;
            let incarnation = network.nodes[index].incarnation + 100;
            network.crash(index);
            let list = if listed {
                listed_hosts(count)
            } else {
                Vec::new()
            };
            network.restart(index, incarnation, &list);
        }
        Step::Pause(node) => network.pause(node % count),
        Step::Resume(node) => network.resume(node % count),
        Step::Leave(node) => network.leave(node % count),
        Step::Cut(from, to) => {
            network.cut_links.insert((from % count, to % count));
        }
        Step::Loss(percent) => network.loss_percent = percent,
        Step::Heal => network.cut_links.clear(),
        Step::Run(duration_us) => network.run_us(duration_us),
    }
}

proptest! {
    /// Guards against combinations of faults after which a live member stays unseen, a dead one
    /// stays seen, or a leaving one comes back under the same incarnation.
    #[test]
    fn holds_leaving_and_views_after_any_faults(
        count in 2_usize..12,
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..24),
    ) {
        let mut network = Network::new(count, seed);
        network.run_us(5 * SECOND_US);
        for step in &steps {
            apply(&mut network, step);
        }
        network.cut_links.clear();
        network.loss_percent = 0;
        for index in 0..count {
            if network.nodes[index].paused {
                network.resume(index);
            }
        }
        // The host list names every host again. Without it, two restarted daemons that no other
        // member knows could not find each other.
        for node in &mut network.nodes {
            node.membership.set_hosts(&listed_hosts(count));
        }
        let settled = network.run_until(SETTLE_US, Network::converged);
        prop_assert!(settled.is_some(), "{:?}", network.disagreement());
        prop_assert!(network.revived.is_empty(), "{:?}", network.revived);
    }
}
