//! Deterministic in-memory simulation of a network of members, with injected faults.

// Each test program uses only a part of this module.
#![allow(dead_code, clippy::struct_excessive_bools)]

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use peer::{Keys, ListedHost, Member, Membership, Options, Output, State};
use rand::{Rng as _, RngExt as _, SeedableRng as _, rngs::StdRng};
use settings::PeerKey;

/// Time between two ticks of a member.
pub const TICK_US: u64 = 100_000;

/// Size of the IPv4 and UDP headers of one datagram.
pub const IP_UDP_HEADER_BYTES: u64 = 28;

/// Simulated time of fetching a configuration over a connection.
const FETCH_US: u64 = 200_000;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Deliver {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Fetched {
        node: usize,
        from: usize,
    },
}

/// Simulated daemon.
pub struct Node {
    pub membership: Membership,
    pub up: bool,
    pub paused: bool,
    pub leaving: bool,
    /// Bytes put on the network, with headers, since the last reset.
    pub sent_bytes: u64,
    /// Real time spent in the membership code.
    pub cpu_time: Duration,
    pub upstreams_leaving: Vec<String>,
    pub payloads: Vec<(String, Vec<u8>)>,
    pub resumed: u32,
    pub confirmed: u32,
    pub incarnation: u64,
    /// Newest configuration version heard of, and when it was first heard of.
    newest_version: (u64, u64),
    fetching: bool,
    /// Datagrams received while paused, with their senders.
    received_while_paused: Vec<(usize, Vec<u8>)>,
}

/// Simulated network and its daemons.
pub struct Network {
    pub now_us: u64,
    pub nodes: Vec<Node>,
    /// Percentage of datagrams that are lost.
    pub loss_percent: u32,
    /// Directed links that drop every datagram.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Configurations fetched from another region.
    pub cross_region_fetches: u32,
    /// Violations of the rule that a leaving member never becomes live under the same incarnation.
    pub revived: Vec<String>,
    seen_leaving: BTreeSet<(usize, String, u64)>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Events so far; orders events of the same time.
    event_count: u64,
    rng: StdRng,
    options: Options,
}

pub fn keys() -> Keys {
    Keys::new(&[PeerKey {
        id: 1,
        secret_hex: "00112233445566778899aabbccddeeff".to_owned(),
    }])
    .expect("key")
}

pub fn name(index: usize) -> String {
    format!("entry-{index:03}")
}

pub fn address(index: usize) -> SocketAddr {
    let [high, low] = u16::try_from(index).expect("index").to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7_000))
}

fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("only IPv4 here");
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}

pub fn listed_hosts(count: usize) -> Vec<ListedHost> {
    (0..count)
        .map(|index| ListedHost::new(&name(index), address(index)))
        .collect()
}

impl Network {
    /// Starts `count` members that know each other from the host list.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut network = Self {
            now_us: 0,
            nodes: Vec::new(),
            loss_percent: 0,
            cut_links: BTreeSet::new(),
            cross_region_fetches: 0,
            revived: Vec::new(),
            seen_leaving: BTreeSet::new(),
            queue: BinaryHeap::new(),
            event_count: 0,
            rng: StdRng::seed_from_u64(seed),
            options: Options::default(),
        };
        for index in 0..count {
            let mut node = network.start(index, 1);
            node.membership.set_hosts(&listed_hosts(count));
            network.nodes.push(node);
            let phase_us = network.rng.random_range(0..TICK_US * 10);
            network.schedule(phase_us, Event::Tick(index));
        }
        network
    }

    fn start(&self, index: usize, incarnation: u64) -> Node {
        let region = ["costa", "sierra"][index % 2];
        let zone = ["costa-norte", "sierra-centro", "costa-sur"][index % 3];
        let me = Member::new(&name(index), address(index), incarnation)
            .with_locality(region, zone)
            .with_config_version(1);
        Node {
            membership: Membership::new(me, keys(), self.options.clone()),
            up: true,
            paused: false,
            leaving: false,
            sent_bytes: 0,
            cpu_time: Duration::ZERO,
            upstreams_leaving: Vec::new(),
            payloads: Vec::new(),
            resumed: 0,
            confirmed: 0,
            incarnation,
            newest_version: (0, 0),
            fetching: false,
            received_while_paused: Vec::new(),
        }
    }

    /// Stops a member without notice.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index].up = false;
        self.nodes[index].received_while_paused.clear();
    }

    /// Restarts a member with this host list; with an empty list it knows no other member.
    pub fn restart(&mut self, index: usize, incarnation: u64, hosts: &[ListedHost]) {
        let mut node = self.start(index, incarnation);
        node.membership.set_hosts(hosts);
        // The view is lost with the process: before the new one hears that a member is leaving, it
        // may hear of that member as live from one that does not know yet, such as one that was
        // paused.
        self.seen_leaving
            .retain(|(observer, ..)| *observer != index);
        self.nodes[index] = node;
    }

    pub fn pause(&mut self, index: usize) {
        self.nodes[index].paused = true;
    }

    pub fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        for (from, bytes) in std::mem::take(&mut self.nodes[index].received_while_paused) {
            self.deliver(from, index, &bytes);
        }
    }

    pub fn leave(&mut self, index: usize) {
        self.nodes[index].leaving = true;
        let mut out = Vec::new();
        let membership = &mut self.nodes[index].membership;
        membership.leave(self.now_us, &mut self.rng, &mut out);
        self.apply_outputs(index, out);
    }

    /// Cuts both directions between two groups of members.
    pub fn partition(&mut self, left: &[usize], right: &[usize]) {
        for &a in left {
            for &b in right {
                self.cut_links.extend([(a, b), (b, a)]);
            }
        }
    }

    pub fn reset_sent(&mut self) {
        for node in &mut self.nodes {
            node.sent_bytes = 0;
        }
    }

    /// Advances the simulation by this time.
    pub fn run_us(&mut self, duration_us: u64) {
        let end_us = self.now_us + duration_us;
        while let Some(Reverse((at_us, ..))) = self.queue.peek() {
            if *at_us > end_us {
                break;
            }
            let Some(Reverse((at_us, _, event))) = self.queue.pop() else {
                break;
            };
            self.now_us = at_us;
            self.handle(event);
        }
        self.now_us = end_us;
    }

    /// Runs until a condition holds and returns the elapsed time, or none at the limit.
    pub fn run_until<F>(&mut self, limit_us: u64, holds: F) -> Option<u64>
    where
        F: Fn(&Self) -> bool,
    {
        let start_us = self.now_us;
        while !holds(self) {
            if self.now_us - start_us >= limit_us {
                return None;
            }
            self.run_us(TICK_US);
        }
        Some(self.now_us - start_us)
    }

    /// Returns the names of the other members that a member sees as live.
    pub fn live_at(&self, index: usize) -> Vec<String> {
        self.nodes[index]
            .membership
            .live()
            .map(|member| member.name.clone())
            .collect()
    }

    /// Describes the first running member whose view differs from the actual state.
    pub fn disagreement(&self) -> Option<String> {
        let is_live = |index: &usize| self.nodes[*index].up && !self.nodes[*index].leaving;
        let running = (0..self.nodes.len()).filter(|&index| self.nodes[index].up);
        let expected: Vec<String> = (0..self.nodes.len()).filter(is_live).map(name).collect();
        for index in running {
            let mut seen = self.live_at(index);
            if is_live(&index) {
                seen.push(name(index));
                seen.sort();
            }
            if seen != expected {
                return Some(format!(
                    "{} sees {seen:?}, true is {expected:?}",
                    name(index)
                ));
            }
        }
        None
    }

    pub fn converged(&self) -> bool {
        self.disagreement().is_none()
    }

    /// Returns whether every member has received a record of every other one.
    pub fn all_heard(&self) -> bool {
        let mut nodes = self.nodes.iter();
        nodes.all(|node| {
            let mut members = node.membership.members();
            members.all(|member| member.incarnation > 0)
        })
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(index) => {
                self.schedule(TICK_US, Event::Tick(index));
                let (now_us, node) = (self.now_us, &mut self.nodes[index]);
                if !node.up || node.paused {
                    return;
                }
                let mut out = Vec::new();
                let start = Instant::now();
                node.membership.tick(now_us, &mut self.rng, &mut out);
                node.cpu_time += start.elapsed();
                self.apply_outputs(index, out);
            }
            Event::Deliver { from, to, bytes } => {
                let node = &mut self.nodes[to];
                if node.paused {
                    node.received_while_paused.push((from, bytes));
                } else if node.up {
                    self.deliver(from, to, &bytes);
                }
            }
            Event::Fetched { node, from } => {
                self.nodes[node].fetching = false;
                let cut = self.cut_links.contains(&(node, from))
                    || self.cut_links.contains(&(from, node));
                if self.nodes[from].up && !cut {
                    let version = self.nodes[from].membership.me().config_version;
                    self.nodes[node].membership.set_config_version(version);
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let (now_us, node) = (self.now_us, &mut self.nodes[to]);
        let mut out = Vec::new();
        let start = Instant::now();
        // A rejected datagram has no effect; `tests/datagrams.rs` checks this.
        let _ = node
            .membership
            .receive(now_us, address(from), bytes, &mut self.rng, &mut out);
        node.cpu_time += start.elapsed();
        self.apply_outputs(to, out);
    }

    fn apply_outputs(&mut self, index: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, bytes } => self.transmit(index, index_of(to), bytes),
                Output::Changed { name, .. } => self.check_revival(index, &name),
                Output::NewerConfig {
                    peer,
                    address,
                    version,
                } => {
                    let (now_us, node) = (self.now_us, &mut self.nodes[index]);
                    if version > node.newest_version.0 {
                        node.newest_version = (version, now_us);
                    }
                    let wait_us = node.membership.fetch_delay_us(&peer, version);
                    if !node.fetching && now_us >= node.newest_version.1 + wait_us {
                        node.fetching = true;
                        let from = index_of(address);
                        self.cross_region_fetches += u32::from(from % 2 != index % 2);
                        self.schedule(FETCH_US, Event::Fetched { node: index, from });
                    }
                }
                Output::UpstreamLeaving { name, .. } => {
                    self.nodes[index].upstreams_leaving.push(name);
                }
                Output::Payload { from, bytes } => self.nodes[index].payloads.push((from, bytes)),
                Output::Resumed { .. } => self.nodes[index].resumed += 1,
                Output::ConfigConfirmed => self.nodes[index].confirmed += 1,
            }
        }
    }

    fn transmit(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.nodes[from].sent_bytes += bytes.len() as u64 + IP_UDP_HEADER_BYTES;
        let lost = self.rng.random_range(0..100) < self.loss_percent;
        if lost || self.cut_links.contains(&(from, to)) {
            return;
        }
        // The delay is 30 to 60 ms between regions and 1.5 to 3 ms within a region.
        let base_us = if from % 2 == to % 2 { 1_500 } else { 30_000 };
        let delay_us = base_us + u64::from(self.rng.next_u32()) % base_us;
        self.schedule(delay_us, Event::Deliver { from, to, bytes });
    }

    fn check_revival(&mut self, index: usize, name: &str) {
        let Some(member) = self.nodes[index].membership.member(name) else {
            return;
        };
        let key = (index, name.to_owned(), member.incarnation);
        match member.state {
            State::Leaving => {
                self.seen_leaving.insert(key);
            }
            State::Live if self.seen_leaving.contains(&key) => {
                self.revived.push(format!("{name} at {index}"));
            }
            _ => {}
        }
    }

    fn schedule(&mut self, after_us: u64, event: Event) {
        self.event_count += 1;
        self.queue
            .push(Reverse((self.now_us + after_us, self.event_count, event)));
    }
}
