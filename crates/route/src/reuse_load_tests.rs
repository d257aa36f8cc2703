//! Load patterns on model engines that fetch cached prompt parts from each other.

use std::{collections::BTreeSet, net::SocketAddr};

use settings::{Config, EngineCapacity, Honours, Upstream, UpstreamKind, UpstreamLifecycle};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    AttemptOutcome, EngineLoad, LatencyAims, LoadAnnouncement, Locality, PeerLoads, Pick, Pool,
    PromptPart, RouteRequest, Target,
};

/// Prompt tokens that an engine of these tests processes per millisecond.
const TOKENS_PER_MS: u64 = 50;

const SHARED_TOKENS: u32 = 13_000;

const OWN_TOKENS: u32 = 3_000;

/// Engines whose link transfers a cached token in 1.6 µs.
const DECLARED: EngineCapacity = EngineCapacity {
    cache_tokens: 600_000,
    cache_token_bytes: 20_000,
    link_mbps: 100_000,
};

/// Engines of one zone, and the daemon's pool.
struct Fleet {
    engines: Vec<Upstream>,
    pool: Pool,
    jobs: u64,
}

impl Fleet {
    fn new(count: u16, capacity: EngineCapacity) -> Self {
        let engines = (0..count).map(|index| Upstream {
            name: format!("engine-{index:02}"),
            kind: UpstreamKind::Service,
            address: ([127, 0, 0, 1], 7_000 + index).into(),
            region: "costa".to_owned(),
            zone: "norte".to_owned(),
            models: Vec::new(),
            service: "faucet".to_owned(),
            slots: 64,
            honours: Honours::default(),
            state: UpstreamLifecycle::Live,
            engine: Some(capacity),
            started_ms: None,
            reclaimable: false,
        });
        let mut fleet = Self {
            engines: engines.collect(),
            pool: Pool::new(Locality::new("costa", "norte")).with_seed(1),
            jobs: 0,
        };
        let mut config = Config {
            version: 1,
            upstreams: fleet.engines.clone(),
            ..Config::default()
        };
        config.sort();
        fleet.pool.configure(0, &config);
        fleet.learn_speed();
        fleet
    }

    /// Shows the pool the speed of the engines by prompts without shared parts.
    fn learn_speed(&mut self) {
        for round in 0..200 {
            let tokens = if round % 2 == 0 { 500 } else { 8_000 };
            let part = PromptPart {
                id: 5_000_000 + round,
                tokens,
            };
            let (job, pick) = self.send(0, &[part]);
            self.answer(0, job, &pick);
        }
    }

    /// Sends a prompt with a part shared by its subject; returns the job and the choice.
    fn ask(&mut self, now_us: u64, subject: u64) -> (u64, Pick) {
        let shared = PromptPart {
            id: subject,
            tokens: SHARED_TOKENS,
        };
        let own = PromptPart {
            id: 1_000_000 + self.jobs,
            tokens: OWN_TOKENS,
        };
        self.send(now_us, &[shared, own])
    }

    fn send(&mut self, now_us: u64, parts: &[PromptPart]) -> (u64, Pick) {
        self.jobs += 1;
        let target = Target::Service("faucet".into());
        let request = RouteRequest {
            target: &target,
            tier: 1,
            prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
            output_tokens: 100,
            output_tokens_max: 400,
            aims: LatencyAims::new(now_us + 800_000, 400_000),
            deadline_us: now_us + 8_000_000,
            body_bytes: 17_000,
            prefix_hash: 0,
            parts,
            job: self.jobs,
            resume: false,
            avoid: None,
        };
        let pick = self.pool.choose(now_us, &request).expect("a free slot");
        (self.jobs, pick)
    }

    /// Records a complete answer after the time that the engine was expected to take.
    fn answer(&mut self, now_us: u64, job: u64, pick: &Pick) {
        let elapsed_us = u64::from(pick.work_tokens) * 1_000 / TOKENS_PER_MS;
        let (now_us, upstream) = (now_us + elapsed_us, &pick.upstream);
        self.pool
            .record_first_token(now_us, upstream, elapsed_us, pick.work_tokens);
        self.pool.record_prompt_read(now_us, upstream, job);
        self.end(now_us, job, pick, AttemptOutcome::Complete);
    }

    fn end(&mut self, now_us: u64, job: u64, pick: &Pick, outcome: AttemptOutcome) {
        self.pool.prompt_ended(&pick.upstream, job, outcome);
        self.pool
            .end_after_first_token(now_us, &pick.upstream, outcome);
    }

    /// Asks about a subject until an engine keeps its part; returns that engine.
    fn keeper_of(&mut self, now_us: u64, subject: u64) -> Pick {
        let (job, pick) = self.ask(now_us, subject);
        self.answer(now_us, job, &pick);
        pick
    }

    fn address_of(&self, name: &str) -> SocketAddr {
        let mut engines = self.engines.iter();
        engines.find(|engine| engine.name == name).unwrap().address
    }

    /// Puts work of other daemons on engines.
    fn load<F>(&mut self, now_us: u64, load_of: F)
    where
        F: Fn(&str) -> EngineLoad,
    {
        let names = self.engines.iter().map(|engine| engine.name.as_str());
        let loads = names.map(|name| (xxh3_64(name.as_bytes()), load_of(name)));
        let announcement = LoadAnnouncement {
            engines: loads.collect(),
            kinds: Vec::new(),
        };
        let mut peer_loads = PeerLoads::default();
        peer_loads.update(now_us, "other", &announcement);
        self.pool.apply_peer_loads(now_us, &peer_loads);
    }
}

fn unread(tokens: u32) -> EngineLoad {
    EngineLoad {
        unread_tokens: [0, tokens, 0],
        ..EngineLoad::default()
    }
}

/// A hot part in great demand: all requests of a burst are about one subject. Guards against a queue
/// at its keeper while other engines could fetch the part, and against engines that read it anew.
#[test]
fn hot_part_spreads_by_fetches() {
    let mut fleet = Fleet::new(12, DECLARED);
    let keeper = fleet.keeper_of(1_000_000, 1);
    let mut copies = BTreeSet::new();
    for _ in 0..48 {
        let (_, pick) = fleet.ask(2_000_000, 1);
        if pick.upstream != keeper.upstream && copies.insert(pick.upstream.clone()) {
            assert!(pick.fetch_from.is_some(), "{pick:?} reads the part anew");
        }
    }
    assert!(copies.len() >= 4, "{copies:?}");
}

/// Cold parts: light traffic about many subjects. Guards against copies that nobody needs.
#[test]
fn cold_part_stays() {
    let mut fleet = Fleet::new(12, DECLARED);
    let mut used = BTreeSet::new();
    for request in 0..200 {
        let (now_us, subject) = (request * 100_000, request * 7 % 20);
        let pick = fleet.keeper_of(now_us, subject);
        used.insert((subject, pick.upstream));
    }
    assert_eq!(used.len(), 20, "{used:?}");
}

/// A keeper that can't be fetched from: it is leaving, has asked for a pause, or has just failed.
/// Guards against requests that wait for a source that doesn't answer.
#[test]
fn part_is_not_fetched_from_an_engine_in_trouble() {
    for trouble in ["leaving", "paused", "failing"] {
        let mut fleet = Fleet::new(12, DECLARED);
        let keeper = fleet.keeper_of(1_000_000, 1);
        match trouble {
            "leaving" => fleet.pool.set_leaving(&keeper.upstream),
            "paused" => fleet
                .pool
                .pause(1_500_000, &keeper.upstream, None, 60_000_000),
            _ => {
                let (job, pick) = fleet.ask(1_500_000, 1);
                assert_eq!(pick.upstream, keeper.upstream);
                fleet.end(1_500_000, job, &pick, AttemptOutcome::Lost);
            }
        }
        let (_, pick) = fleet.ask(1_600_000, 1);
        assert_ne!(pick.upstream, keeper.upstream, "{trouble}");
        let source = fleet.address_of(&keeper.upstream);
        assert_ne!(pick.fetch_from, Some(source), "{trouble}");
    }
}

/// A long wait at the keeper: it has prompts of others to read. Guards against waiting there longer
/// than another engine takes to fetch the part.
#[test]
fn long_wait_at_the_keeper_is_avoided_by_a_fetch() {
    let mut fleet = Fleet::new(12, DECLARED);
    let keeper = fleet.keeper_of(1_000_000, 1);
    fleet.load(2_000_000, |name| {
        unread(if *name == *keeper.upstream { 60_000 } else { 0 })
    });
    let (_, pick) = fleet.ask(2_000_000, 1);
    assert_ne!(pick.upstream, keeper.upstream);
    assert_eq!(pick.fetch_from, Some(fleet.address_of(&keeper.upstream)));
}

/// A short wait at the keeper. Guards against a copy of a part that saves nothing.
#[test]
fn short_wait_at_the_keeper_is_borne() {
    let mut fleet = Fleet::new(12, DECLARED);
    let keeper = fleet.keeper_of(1_000_000, 1);
    fleet.load(2_000_000, |name| {
        unread(if *name == *keeper.upstream { 300 } else { 0 })
    });
    let (_, pick) = fleet.ask(2_000_000, 1);
    assert_eq!(pick.upstream, keeper.upstream);
}

/// A link over which a token takes longer than reading it. Guards against fetches that delay their
/// request.
#[test]
fn nothing_is_fetched_over_a_slow_link() {
    let slow = EngineCapacity {
        link_mbps: 4_000,
        ..DECLARED
    };
    let mut fleet = Fleet::new(12, slow);
    for request in 0..200 {
        let (_, pick) = fleet.ask(request, request % 3);
        assert_eq!(pick.fetch_from, None);
    }
}

/// Figures that aren't declared: no rate of the link, or no size of a token. Guards against
/// decisions that rest on guessed figures.
#[test]
fn nothing_is_fetched_without_declared_figures() {
    let rate_only = EngineCapacity {
        cache_token_bytes: 0,
        ..DECLARED
    };
    let size_only = EngineCapacity {
        link_mbps: 0,
        ..DECLARED
    };
    let mut picks = Vec::new();
    for capacity in [rate_only, size_only] {
        let mut fleet = Fleet::new(12, capacity);
        for request in 0..200 {
            let (_, pick) = fleet.ask(request, request % 3);
            assert_eq!(pick.fetch_from, None);
            picks.push(pick);
        }
    }
    assert_eq!(picks[..200], picks[200..]);
}

/// Memory that is nearly full at every engine but one. Guards against requests that an engine takes
/// in only by preempting others, while another engine has room.
#[test]
fn request_goes_where_memory_is_left() {
    let mut fleet = Fleet::new(6, DECLARED);
    let held = |held_tokens| EngineLoad {
        running: [0, 10, 0, 0, 0],
        held_tokens,
        ..EngineLoad::default()
    };
    let prompt = |id| PromptPart { id, tokens: 14_000 };
    for free in 0..6 {
        let name = format!("engine-{free:02}");
        fleet.load(3_000_000, |other| {
            held(if other == name { 100_000 } else { 590_000 })
        });
        let (job, pick) = fleet.send(3_000_000, &[prompt(6_000_000 + free)]);
        assert_eq!(*pick.upstream, *name);
        fleet.answer(3_000_000, job, &pick);
    }
    fleet.load(4_000_000, |_| held(900_000));
    let (_, pick) = fleet.send(4_000_000, &[prompt(7_000_000)]);
    assert!(pick.work_tokens > 0, "a full fleet still takes requests");
}
