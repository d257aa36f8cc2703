//! Prints the traffic, CPU time, memory and convergence times of membership for several numbers of
//! daemons, measured on a simulated network.
//!
//! `cargo run --release -p peer --example slopes`

#[path = "../tests/sim/mod.rs"]
mod sim;

use std::time::Duration;

use peer::Counters;
use sim::Network;

const SECOND_US: u64 = 1_000_000;

/// Time over which traffic is measured.
const WINDOW_S: u64 = 60;

fn main() {
    println!(
        "members state sent_B/s received_B/s max_sent_B/s sent/s received/s cpu_us/s memory_B"
    );
    for count in [6, 60, 330] {
        let mut network = Network::new(count, 1);
        let start = network.run_until(120 * SECOND_US, Network::all_heard);
        print_usage(&mut network, "steady", |_| {});
        print_usage(&mut network, "churn", |network| {
            // The expected churn is 16 failures and 470 restarts a day among 330 hosts, one in
            // three minutes; this simulates one in ten seconds.
            let index = usize::try_from(network.now_us / (10 * SECOND_US)).unwrap_or(0) % count;
            let incarnation = network.nodes[index].incarnation + 1_000;
            network.restart(index, incarnation, &sim::listed_hosts(count));
        });
        print_usage(&mut network, "payload", |network| {
            for node in &mut network.nodes {
                for index in 0..10 {
                    node.membership
                        .queue_payload(&sim::name(index % 3), vec![0; 300]);
                }
            }
        });
        network.run_us(60 * SECOND_US);

        let mut join = |hosts: &[peer::ListedHost]| {
            let incarnation = network.nodes[0].incarnation + 1_000;
            network.restart(0, incarnation, hosts);
            let joined = network.run_until(120 * SECOND_US, Network::converged);
            network.run_us(60 * SECOND_US);
            joined
        };
        let join_listed = join(&sim::listed_hosts(count));
        let join_unlisted = join(&[]);

        network.cross_region_fetches = 0;
        let version = network.now_us;
        network.nodes[0].membership.set_config_version(version);
        let config = network.run_until(60 * SECOND_US, |network| {
            let mut nodes = network.nodes.iter();
            nodes.all(|node| node.membership.me().config_version == version)
        });
        let cross_region_fetches = network.cross_region_fetches;
        let now_us = network.now_us;
        network.nodes[0].membership.add_leaving(now_us, "engine-1");
        let upstream = network.run_until(60 * SECOND_US, |network| {
            let mut nodes = network.nodes.iter().skip(1);
            nodes.all(|node| !node.upstreams_leaving.is_empty())
        });
        network.leave(1);
        let leaving = network.run_until(120 * SECOND_US, Network::converged);
        network.crash(2);
        let suspected = network.run_until(120 * SECOND_US, Network::converged);
        let dead = network.run_until(120 * SECOND_US, |network| {
            let mut running = network.nodes.iter().filter(|node| node.up);
            running.all(|node| {
                let member = node.membership.member(&sim::name(2));
                member.is_some_and(|member| member.state == peer::State::Dead)
            })
        });
        network.restart(
            2,
            network.nodes[2].incarnation + 1_000,
            &sim::listed_hosts(count),
        );
        network.run_us(60 * SECOND_US);
        let (left, right): (Vec<usize>, Vec<usize>) = (0..count).partition(|index| index % 2 == 0);
        network.partition(&left, &right);
        network.run_us(120 * SECOND_US);
        network.cut_links.clear();
        let heal = network.run_until(600 * SECOND_US, Network::converged);
        let times = [
            ("start", start),
            ("join", join_listed),
            ("join_without_host_list", join_unlisted),
            ("config", config),
            ("upstream_leaving", upstream),
            ("host_leaving", leaving),
            ("suspicion", suspected),
            ("death_after_suspicion", dead),
            ("heal_after_partition", heal),
        ];
        print!("{count} until all know, s:");
        for (name, time_us) in times {
            match time_us {
                Some(time_us) => {
                    print!(" {name} {}.{}", time_us / SECOND_US, time_us / 100_000 % 10);
                }
                None => print!(" {name} never"),
            }
        }
        println!("; configurations fetched across regions {cross_region_fetches}");
    }
}

/// Prints the traffic, CPU time and memory of a daemon while `fault` is applied every 10 s.
fn print_usage<F>(network: &mut Network, state: &str, fault: F)
where
    F: Fn(&mut Network),
{
    network.run_us(30 * SECOND_US);
    let count = network.nodes.len() as u64;
    let mut total = Counters::default();
    let mut cpu_time = Duration::ZERO;
    let mut most = 0;
    for _ in 0..WINDOW_S / 10 {
        fault(network);
        network.reset_sent();
        let before: Vec<Counters> = counters(network);
        network
            .nodes
            .iter_mut()
            .for_each(|node| node.cpu_time = Duration::ZERO);
        network.run_us(10 * SECOND_US);
        for (node, before) in network.nodes.iter().zip(before) {
            let after = node.membership.counters();
            total.sent += after.sent - before.sent;
            total.sent_bytes += after.sent_bytes - before.sent_bytes;
            total.received += after.received - before.received;
            total.received_bytes += after.received_bytes - before.received_bytes;
            cpu_time += node.cpu_time;
            most = most.max(node.sent_bytes / 10);
        }
    }
    let per_second = |sum: u64| sum / count / WINDOW_S;
    let tenths_per_second = |sum: u64| sum * 10 / count / WINDOW_S;
    let memory = network
        .nodes
        .iter()
        .map(|node| node.membership.memory_bytes())
        .max()
        .unwrap_or(0);
    println!(
        "{count} {state} {} {} {most} {}.{} {}.{} {} {memory}",
        per_second(total.sent_bytes),
        per_second(total.received_bytes),
        tenths_per_second(total.sent) / 10,
        tenths_per_second(total.sent) % 10,
        tenths_per_second(total.received) / 10,
        tenths_per_second(total.received) % 10,
        per_second(u64::try_from(cpu_time.as_micros()).unwrap_or(u64::MAX)),
    );
}

fn counters(network: &Network) -> Vec<Counters> {
    let nodes = network.nodes.iter();
    nodes.map(|node| node.membership.counters()).collect()
}
