//! Deterministic network of members in memory.

// Every test program uses another part of it.
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

/// Pause between two ticks of a member.
pub const TICK_US: u64 = 100_000;

/// Headers of IP and UDP.
pub const HEADER_BYTES: u64 = 28;

/// Time in which a configuration is fetched over a connection.
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

/// Daemon of the network.
pub struct Node {
    pub membership: Membership,
    pub up: bool,
    pub paused: bool,
    pub leaving: bool,
    /// Bytes put on the network, with headers, since the last reset.
    pub sent_bytes: u64,
    pub busy: Duration,
    pub upstreams_leaving: Vec<String>,
    pub payloads: Vec<(String, Vec<u8>)>,
    pub resumed: u32,
    pub confirmed: u32,
    pub incarnation: u64,
    heard: (u64, u64),
    fetching: bool,
    held: Vec<(usize, Vec<u8>)>,
}

/// Network with injected faults.
pub struct Network {
    pub now_us: u64,
    pub nodes: Vec<Node>,
    /// Percentage of datagrams lost.
    pub loss_percent: u32,
    /// Directed links that carry nothing.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Configurations fetched from another region.
    pub cross_region_fetches: u32,
    /// Violations of the rule that a leaving member never becomes live under its incarnation.
    pub revived: Vec<String>,
    seen_leaving: BTreeSet<(usize, String, u64)>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
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

pub fn seeds(count: usize) -> Vec<ListedHost> {
    (0..count)
        .map(|index| ListedHost::new(&name(index), address(index)))
        .collect()
}

impl Network {
    /// Starts members that know each other from the host list.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut network = Self {
            now_us: 0,
            nodes: Vec::new(),
            loss_percent: 0,
            cuts: BTreeSet::new(),
            cross_region_fetches: 0,
            revived: Vec::new(),
            seen_leaving: BTreeSet::new(),
            queue: BinaryHeap::new(),
            order: 0,
            rng: StdRng::seed_from_u64(seed),
            options: Options::default(),
        };
        for index in 0..count {
            let mut node = network.start(index, 1);
            node.membership.set_hosts(&seeds(count));
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
            .with_place(region, zone)
            .with_config_version(1);
        Node {
            membership: Membership::new(me, keys(), self.options.clone()),
            up: true,
            paused: false,
            leaving: false,
            sent_bytes: 0,
            busy: Duration::ZERO,
            upstreams_leaving: Vec::new(),
            payloads: Vec::new(),
            resumed: 0,
            confirmed: 0,
            incarnation,
            heard: (0, 0),
            fetching: false,
            held: Vec::new(),
        }
    }

    /// Ends a member without notice.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index].up = false;
        self.nodes[index].held.clear();
    }

    /// Starts a member anew; without seeds it knows nobody.
    pub fn restart(&mut self, index: usize, incarnation: u64, seeds: &[ListedHost]) {
        let mut node = self.start(index, incarnation);
        node.membership.set_hosts(seeds);
        // The view is lost with the process: a new one may hear from a member that does not know
        // yet, as one that was paused, before it hears from one that does.
        self.seen_leaving
            .retain(|(observer, ..)| *observer != index);
        self.nodes[index] = node;
    }

    pub fn pause(&mut self, index: usize) {
        self.nodes[index].paused = true;
    }

    pub fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        for (from, bytes) in std::mem::take(&mut self.nodes[index].held) {
            self.deliver(from, index, &bytes);
        }
    }

    pub fn leave(&mut self, index: usize) {
        self.nodes[index].leaving = true;
        let mut out = Vec::new();
        let membership = &mut self.nodes[index].membership;
        membership.leave(self.now_us, &mut self.rng, &mut out);
        self.carry_out(index, out);
    }

    /// Cuts both directions between two groups of members.
    pub fn partition(&mut self, left: &[usize], right: &[usize]) {
        for &a in left {
            for &b in right {
                self.cuts.extend([(a, b), (b, a)]);
            }
        }
    }

    pub fn reset_sent(&mut self) {
        for node in &mut self.nodes {
            node.sent_bytes = 0;
        }
    }

    /// Runs for a time.
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

    /// Runs until a condition holds and returns the time that it took.
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

    /// Returns the names that a member sees as live, itself excluded.
    pub fn live_at(&self, index: usize) -> Vec<String> {
        self.nodes[index]
            .membership
            .live()
            .map(|member| member.name.clone())
            .collect()
    }

    /// Returns the first member whose view differs from what is true.
    pub fn disagreement(&self) -> Option<String> {
        let takes_work = |index: &usize| self.nodes[*index].up && !self.nodes[*index].leaving;
        let running = (0..self.nodes.len()).filter(|&index| self.nodes[index].up);
        let truth: Vec<String> = (0..self.nodes.len()).filter(takes_work).map(name).collect();
        for index in running {
            let mut seen = self.live_at(index);
            if takes_work(&index) {
                seen.push(name(index));
                seen.sort();
            }
            if seen != truth {
                return Some(format!("{} sees {seen:?}, true is {truth:?}", name(index)));
            }
        }
        None
    }

    pub fn converged(&self) -> bool {
        self.disagreement().is_none()
    }

    /// Returns whether every member was heard of by every other, not only listed.
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
                node.busy += start.elapsed();
                self.carry_out(index, out);
            }
            Event::Deliver { from, to, bytes } => {
                let node = &mut self.nodes[to];
                if node.paused {
                    node.held.push((from, bytes));
                } else if node.up {
                    self.deliver(from, to, &bytes);
                }
            }
            Event::Fetched { node, from } => {
                self.nodes[node].fetching = false;
                let cut = self.cuts.contains(&(node, from)) || self.cuts.contains(&(from, node));
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
        // What a node refuses has no effect, which the tests of datagrams check.
        let _ = node
            .membership
            .receive(now_us, address(from), bytes, &mut self.rng, &mut out);
        node.busy += start.elapsed();
        self.carry_out(to, out);
    }

    fn carry_out(&mut self, index: usize, outputs: Vec<Output>) {
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
                    if version > node.heard.0 {
                        node.heard = (version, now_us);
                    }
                    let wait_us = node.membership.fetch_delay_us(&peer, version);
                    if !node.fetching && now_us >= node.heard.1 + wait_us {
                        node.fetching = true;
                        let from = index_of(address);
                        self.cross_region_fetches += u32::from(from % 2 != index % 2);
                        self.schedule(FETCH_US, Event::Fetched { node: index, from });
                    }
                }
                Output::UpstreamLeaving { name } => self.nodes[index].upstreams_leaving.push(name),
                Output::Payload { from, bytes } => self.nodes[index].payloads.push((from, bytes)),
                Output::Resumed { .. } => self.nodes[index].resumed += 1,
                Output::ConfigConfirmed => self.nodes[index].confirmed += 1,
            }
        }
    }

    fn transmit(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.nodes[from].sent_bytes += bytes.len() as u64 + HEADER_BYTES;
        let lost = self.rng.random_range(0..100) < self.loss_percent;
        if lost || self.cuts.contains(&(from, to)) {
            return;
        }
        // One way between regions takes 30 ms, inside a region 1 to 2 ms.
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
        self.order += 1;
        self.queue
            .push(Reverse((self.now_us + after_us, self.order, event)));
    }
}
