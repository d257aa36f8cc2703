//! Loads that a fleet has to follow, compared with a fleet that stays as it was at the start and with
//! an oracle that knows the demand.
//!
//! `cargo test -p capacity compares_all_loads -- --nocapture` prints the table.

use settings::{Autoscaling, ZonePrice};

use crate::{Demand, Observation, OrderOutcome, Planner, UpstreamCount, ZoneUpstreams};

const STEP_US: u64 = 500_000;
const STEP_S: f64 = 0.5;
const START_US: u64 = 4_000_000;
/// Time after which a leaving upstream is gone.
const LEAVE_US: u64 = 4_000_000;
/// Time for which requests are sent.
const DAY_US: u64 = 90_000_000;
/// Time between the start of the fleet and the first request.
const LEAD_US: u64 = 14_000_000;
/// Wait from which on a request counts as late.
const LATE_S: f64 = 0.5;
const PRICES: [(&str, u32); 6] = [
    ("a", 1_000),
    ("b", 800),
    ("c", 1_250),
    ("d", 900),
    ("e", 1_000),
    ("f", 800),
];
const RECLAIMABLE_PERMILLE: u32 = 180;
const UPSTREAMS_MAX: u32 = 48;

fn autoscaling() -> Autoscaling {
    let zones = PRICES.map(|(zone, price_permille)| ZonePrice {
        zone: zone.to_owned(),
        price_permille,
    });
    Autoscaling {
        upstreams_min: 1,
        upstreams_max: UPSTREAMS_MAX,
        start_ms: START_US / 1_000,
        reclaimable_price_permille: RECLAIMABLE_PERMILLE,
        zones: zones.to_vec(),
    }
}

/// Loss of all reclaimable upstreams in some zones.
#[derive(Clone, Copy)]
struct Reclaim {
    at_us: u64,
    /// Number of zones, counted from the first.
    zones: usize,
    /// Whether none are to be had in any zone afterwards, rather than in those zones only.
    is_dry: bool,
    for_us: u64,
}

/// Load with what happens to the upstreams and to the planner's view.
struct Load {
    name: &'static str,
    /// Busy upstreams at a time after the first request.
    demand: fn(f64) -> f64,
    /// Lasting upstreams of each zone at the start.
    upstreams: u32,
    reclaims: Vec<Reclaim>,
    /// Reclaimable upstreams are refused at all times.
    refuses_reclaimable: bool,
    /// Times between which the list is known to be old and lacks half of the zones.
    old_view_us: (u64, u64),
    /// Times between which the list lacks half of the zones and nobody knows.
    wrong_view_us: (u64, u64),
    /// Busy upstreams that are seen for each real one.
    seen_share: f64,
}

const CALM: Load = Load {
    name: "calm",
    demand: |_| 40.0,
    upstreams: 23,
    reclaims: Vec::new(),
    refuses_reclaimable: false,
    old_view_us: (0, 0),
    wrong_view_us: (0, 0),
    seen_share: 1.0,
};

fn wave(time_s: f64) -> f64 {
    50.0 * (1.0 + 0.27 * (time_s / 11.0 * std::f64::consts::TAU).sin())
}

fn jump(time_s: f64) -> f64 {
    if (30.0..45.0).contains(&time_s) {
        150.0
    } else {
        60.0
    }
}

/// Crest of the wave that the losses hit, to half a second.
const CREST_US: u64 = LEAD_US + 36_000_000;

fn loads() -> Vec<Load> {
    let reclaim = |zones, is_dry| Reclaim {
        at_us: CREST_US,
        zones,
        is_dry,
        for_us: 10_000_000,
    };
    vec![
        CALM,
        Load {
            name: "wave",
            demand: wave,
            ..CALM
        },
        Load {
            name: "jump by 2.5",
            demand: jump,
            ..CALM
        },
        Load {
            name: "zone reclaimed at the crest",
            demand: wave,
            reclaims: vec![reclaim(1, false)],
            ..CALM
        },
        Load {
            name: "two zones reclaimed, none to be had",
            demand: wave,
            reclaims: vec![
                reclaim(1, true),
                Reclaim {
                    at_us: CREST_US + 5_000_000,
                    ..reclaim(2, true)
                },
            ],
            ..CALM
        },
        Load {
            name: "all reclaimed, none to be had",
            demand: wave,
            reclaims: vec![reclaim(6, true)],
            ..CALM
        },
        Load {
            name: "none to be had at any time",
            demand: wave,
            refuses_reclaimable: true,
            ..CALM
        },
        Load {
            name: "more than needed at the start",
            demand: |_| 12.0,
            upstreams: 40,
            ..CALM
        },
        Load {
            name: "old view",
            demand: wave,
            old_view_us: (CREST_US, CREST_US + 10_000_000),
            ..CALM
        },
        Load {
            name: "wrong view",
            demand: wave,
            wrong_view_us: (CREST_US, CREST_US + 10_000_000),
            ..CALM
        },
        Load {
            name: "demand seen at half",
            demand: wave,
            seen_share: 0.5,
            ..CALM
        },
    ]
}

/// Upstreams of one kind in one zone, as the platform has them.
#[derive(Clone, Default)]
struct Upstreams {
    desired: u32,
    live: u32,
    /// Times at which upstreams begin to serve.
    starting: Vec<u64>,
    /// Times at which upstreams are gone.
    leaving: Vec<u64>,
}

impl Upstreams {
    fn advance(&mut self, now_us: u64) {
        let starting = self.starting.len();
        self.starting.retain(|&at_us| at_us > now_us);
        self.live += u32::try_from(starting - self.starting.len()).unwrap();
        self.leaving.retain(|&at_us| at_us > now_us);
    }

    fn order(&mut self, now_us: u64, desired: u32) {
        self.desired = desired;
        while self.count() < desired {
            self.starting.push(now_us + START_US);
        }
        while self.count() > desired && self.starting.pop().is_some() {}
        while self.live > desired {
            self.live -= 1;
            self.leaving.push(now_us + LEAVE_US);
        }
    }

    fn reclaim(&mut self, now_us: u64) {
        self.order(now_us, 0);
    }

    fn count(&self) -> u32 {
        self.live + u32::try_from(self.starting.len()).unwrap()
    }

    fn billed(&self) -> u32 {
        self.count() + u32::try_from(self.leaving.len()).unwrap()
    }

    fn seen(&self) -> UpstreamCount {
        UpstreamCount {
            live: self.live,
            leaving: u32::try_from(self.leaving.len()).unwrap(),
        }
    }
}

/// What a day cost and how it went.
#[derive(Default)]
struct Day {
    /// Upstreams times seconds times price.
    cost: f64,
    /// Requests that waited too long, and all requests, in busy upstreams times seconds.
    late: f64,
    asked: f64,
    /// Work that waits.
    backlog: f64,
    /// Time of the last late request.
    last_late_us: u64,
    orders: u32,
    /// Largest number of orders in any second.
    gave_up_in_view: bool,
    /// Smallest number of live upstreams for each busy one after the first request.
    least_cover: f64,
}

impl Day {
    fn serve(&mut self, now_us: u64, demand: f64, live: f64) {
        let wait_s = self.backlog / live.max(1.0);
        self.asked += demand * STEP_S;
        if wait_s > LATE_S {
            self.late += demand * STEP_S;
            self.last_late_us = now_us;
        }
        self.backlog = (self.backlog + (demand - live) * STEP_S).max(0.0);
        if demand > 0.0 {
            self.least_cover = self.least_cover.min(live / demand);
        }
    }

    fn late_share(&self) -> f64 {
        self.late / self.asked.max(1.0)
    }
}

fn price(zone: usize, reclaimable: bool) -> f64 {
    let kind = if reclaimable {
        RECLAIMABLE_PERMILLE
    } else {
        1_000
    };
    f64::from(PRICES[zone].1) / 1e3 * f64::from(kind) / 1e3
}

fn demand(load: &Load, now_us: u64) -> f64 {
    let since_us = now_us.checked_sub(LEAD_US);
    #[expect(clippy::cast_precision_loss, reason = "a day has few microseconds")]
    since_us.map_or(0.0, |since_us| (load.demand)(since_us as f64 / 1e6))
}

fn within(now_us: u64, (from_us, to_us): (u64, u64)) -> bool {
    (from_us..to_us).contains(&now_us)
}

/// Plays a load with the planner, or with the upstreams of the start if there is none.
fn play(load: &Load, mut planner: Option<Planner>) -> Day {
    let mut zones = vec![[Upstreams::default(), Upstreams::default()]; PRICES.len()];
    for zone in &mut zones {
        zone[0].desired = load.upstreams;
        zone[0].live = load.upstreams;
    }
    let mut day = Day {
        least_cover: f64::INFINITY,
        ..Day::default()
    };
    let mut now_us = 0;
    while now_us < LEAD_US + DAY_US {
        for reclaim in &load.reclaims {
            if reclaim.at_us == now_us {
                for zone in &mut zones[..reclaim.zones] {
                    zone[1].reclaim(now_us);
                }
            }
        }
        for upstreams in zones.iter_mut().flatten() {
            upstreams.advance(now_us);
        }
        let demand = demand(load, now_us);
        let live: u32 = zones.iter().flatten().map(|upstreams| upstreams.live).sum();
        day.serve(now_us, demand, f64::from(live));
        for (zone, kinds) in zones.iter().enumerate() {
            for (kind, upstreams) in kinds.iter().enumerate() {
                day.cost += f64::from(upstreams.billed()) * price(zone, kind == 1) * STEP_S;
            }
        }
        if let Some(planner) = &mut planner {
            order(load, now_us, demand, planner, &mut zones, &mut day);
        }
        now_us += STEP_US;
    }
    day
}

/// Lets the planner order.
fn order(
    load: &Load,
    now_us: u64,
    demand: f64,
    planner: &mut Planner,
    zones: &mut [[Upstreams; 2]],
    day: &mut Day,
) {
    let is_old = within(now_us, load.old_view_us);
    let is_wrong = within(now_us, load.wrong_view_us);
    let seen: Vec<ZoneUpstreams> = zones
        .iter()
        .zip(PRICES)
        .enumerate()
        .filter(|&(index, _)| !(is_old || is_wrong) || index % 2 == 0)
        .map(|(_, (kinds, (zone, _)))| ZoneUpstreams {
            zone: zone.to_owned(),
            lasting: kinds[0].seen(),
            reclaimable: kinds[1].seen(),
        })
        .collect();
    let observation = Observation {
        demand: Some(Demand {
            busy_upstreams: demand * load.seen_share,
        }),
        is_current: !is_old,
        zones: &seen,
    };
    for order in planner.plan(now_us, &observation) {
        let index = PRICES.iter().position(|(zone, _)| *zone == order.zone);
        let index = index.unwrap();
        let kind = usize::from(order.reclaimable);
        let is_refused = order.reclaimable
            && (load.refuses_reclaimable
                || load.reclaims.iter().any(|reclaim| {
                    let until_us = reclaim.at_us + reclaim.for_us;
                    within(now_us, (reclaim.at_us, until_us))
                        && (reclaim.is_dry || index < reclaim.zones)
                }));
        day.orders += 1;
        day.gave_up_in_view |= (is_old || is_wrong) && order.desired < zones[index][kind].desired;
        let outcome = if is_refused && order.desired > zones[index][kind].count() {
            OrderOutcome::Unavailable
        } else {
            zones[index][kind].order(now_us, order.desired);
            OrderOutcome::Accepted
        };
        planner.record_outcome(now_us, &order.zone, order.reclaimable, outcome);
        let both = zones[index][0].desired + zones[index][1].desired;
        assert!(both <= UPSTREAMS_MAX, "{}: {both} upstreams", load.name);
    }
}

/// Returns the cost of the cheapest upstreams that carry the demand at each moment, reclaimable ones
/// where they are to be had.
fn oracle_cost(load: &Load) -> f64 {
    let mut cost = 0.0;
    let mut now_us = LEAD_US;
    while now_us < LEAD_US + DAY_US {
        let mut left = demand(load, now_us).ceil();
        let mut offers: Vec<f64> = Vec::new();
        for zone in 0..PRICES.len() {
            let is_lost = load.reclaims.iter().any(|reclaim| {
                let until_us = reclaim.at_us + reclaim.for_us;
                within(now_us, (reclaim.at_us, until_us))
                    && (reclaim.is_dry || zone < reclaim.zones)
            });
            offers.push(price(zone, !is_lost && !load.refuses_reclaimable));
        }
        offers.sort_by(f64::total_cmp);
        for offer in offers {
            let taken = left.min(f64::from(UPSTREAMS_MAX));
            cost += taken * offer * STEP_S;
            left -= taken;
        }
        now_us += STEP_US;
    }
    cost
}

fn load(name: &str) -> Load {
    let mut loads = loads().into_iter();
    loads.find(|load| load.name == name).unwrap()
}

fn planned(load: &Load) -> Day {
    play(load, Some(Planner::new(&autoscaling())))
}

/// Guards against a planner that lets more callers wait than the fleet of the start does, or costs
/// more than it where nothing is lost.
#[test]
fn compares_all_loads() {
    println!(
        "{:38} {:>9} {:>7} {:>7} {:>9} {:>7} {:>9}",
        "load", "planned", "late", "orders", "fixed", "late", "oracle"
    );
    for load in loads() {
        let (planned, fixed) = (planned(&load), play(&load, None));
        println!(
            "{:38} {:>9.0} {:>7.4} {:>7} {:>9.0} {:>7.4} {:>9.0}",
            load.name,
            planned.cost,
            planned.late_share(),
            planned.orders,
            fixed.cost,
            fixed.late_share(),
            oracle_cost(&load)
        );
        let is_total_loss = load.name == "all reclaimed, none to be had";
        assert!(
            is_total_loss || planned.late_share() <= fixed.late_share(),
            "{}: late {}",
            load.name,
            planned.late_share()
        );
        assert!(
            planned.cost <= fixed.cost,
            "{}: cost {}",
            load.name,
            planned.cost
        );
    }
}

/// Guards against upstreams that are kept at the high price: reclaimable ones take over, and the
/// seconds of upstreams cost at least 40% less than those of the fleet of the start.
#[test]
fn a_calm_day_costs_less() {
    for name in ["calm", "wave", "more than needed at the start"] {
        let load = load(name);
        let (planned, fixed) = (planned(&load), play(&load, None));
        assert!(planned.cost <= 0.6 * fixed.cost, "{name}: {}", planned.cost);
    }
}

/// Guards against a fleet that follows each wave down and is short at the next one, and against
/// orders back and forth.
#[test]
fn a_wave_is_not_followed_down() {
    let day = planned(&load("wave"));
    assert!(day.late <= 0.0, "late {}", day.late_share());
    // An upstream in six zones of both kinds may change in each of a few steps, not with each wave.
    assert!(day.orders <= 60, "{} orders", day.orders);
}

/// Guards against callers that wait for upstreams to start when the demand jumps by 2.5.
#[test]
fn a_jump_finds_its_upstreams() {
    let day = planned(&load("jump by 2.5"));
    assert!(day.late <= 0.0, "late {}", day.late_share());
}

/// Guards against a zone's reclaimable upstreams whose loss is felt by callers.
#[test]
fn a_reclaimed_zone_is_covered() {
    for name in [
        "zone reclaimed at the crest",
        "two zones reclaimed, none to be had",
    ] {
        let day = planned(&load(name));
        assert!(day.late <= 0.0, "{name}: late {}", day.late_share());
    }
}

/// Guards against a fleet that has nothing left, or waits for reclaimable upstreams, when all of them
/// are gone and none are to be had: a quarter of the demand is carried at once, and all of it again
/// once other upstreams have started and the work that waited is done.
#[test]
fn others_replace_reclaimable_upstreams_that_are_not_to_be_had() {
    let day = planned(&load("all reclaimed, none to be had"));
    assert!(day.least_cover >= 0.25, "cover {}", day.least_cover);
    let recovered_us = CREST_US + 2 * START_US + 4_000_000;
    assert!(
        day.last_late_us <= recovered_us,
        "late until {} us after the loss",
        day.last_late_us.saturating_sub(CREST_US)
    );
}

/// Guards against upstreams that are given up because a list is old, or because it lacks upstreams that
/// are there.
#[test]
fn nothing_is_given_up_by_a_partial_view() {
    for name in ["old view", "wrong view"] {
        let day = planned(&load(name));
        assert!(!day.gave_up_in_view, "{name}");
        assert!(day.late <= 0.0, "{name}: late {}", day.late_share());
    }
}

/// Guards against calls that are repeated without end while no upstreams are to be had.
#[test]
fn refusals_are_not_repeated_at_once() {
    let day = planned(&load("none to be had at any time"));
    // Six zones, asked again after 2, 4, 8 and then each 16 seconds, and a few steps of the others.
    assert!(day.orders <= 120, "{} orders", day.orders);
    assert!(day.late <= 0.0, "late {}", day.late_share());
}
