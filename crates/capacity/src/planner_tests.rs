//! Orders of a single planner: who sends them, how often, and what is remembered.

use proptest::prelude::*;
use settings::{Autoscaling, ZonePrice};

use crate::{
    Demand, Observation, Order, OrderOutcome, Planner, Reason, UpstreamCount, ZoneUpstreams,
};

const SECOND_US: u64 = 1_000_000;
const START_US: u64 = 4 * SECOND_US;

fn autoscaling() -> Autoscaling {
    let zones = ["a", "b", "c"].map(|zone| ZonePrice {
        zone: zone.to_owned(),
        price_permille: 1_000,
    });
    Autoscaling {
        upstreams_min: 1,
        upstreams_max: 40,
        start_ms: START_US / 1_000,
        reclaimable_price_permille: 200,
        zones: zones.to_vec(),
    }
}

fn upstreams(lasting: u32, reclaimable: u32) -> Vec<ZoneUpstreams> {
    let count = |live| UpstreamCount { live, leaving: 0 };
    let zones = ["a", "b", "c"].map(|zone| ZoneUpstreams {
        zone: zone.to_owned(),
        lasting: count(lasting),
        reclaimable: count(reclaimable),
    });
    zones.to_vec()
}

/// Plans each half second for some seconds, with one outcome for all orders.
fn run(
    planner: &mut Planner,
    from_s: u64,
    to_s: u64,
    zones: &[ZoneUpstreams],
    busy_upstreams: f64,
    outcome: Option<OrderOutcome>,
) -> Vec<Order> {
    let mut sent = Vec::new();
    for step in 2 * from_s..2 * to_s {
        let now_us = step * SECOND_US / 2;
        let observation = Observation {
            demand: Some(Demand { busy_upstreams }),
            is_current: true,
            zones,
        };
        for order in planner.plan(now_us, &observation) {
            if let Some(outcome) = outcome {
                planner.record_outcome(now_us, &order.zone, order.reclaimable, outcome);
            }
            sent.push(order);
        }
    }
    sent
}

/// Guards against a second order for a service and zone before the first one was answered.
#[test]
fn one_order_is_under_way_for_each_zone() {
    let mut planner = Planner::new(&autoscaling());
    let orders = run(&mut planner, 0, 20, &upstreams(10, 0), 12.0, None);
    let zones: Vec<&str> = orders.iter().map(|order| order.zone.as_str()).collect();
    assert_eq!(zones, ["a", "b", "c"]);
}

/// Guards against orders by a list that was just begun to be read.
#[test]
fn the_list_settles_before_the_first_order() {
    let mut planner = Planner::new(&autoscaling());
    let accepted = Some(OrderOutcome::Accepted);
    assert_eq!(run(&mut planner, 0, 2, &upstreams(1, 0), 0.0, accepted), []);
}

/// Guards against calls that are repeated although the upstreams are there, and against an order
/// without effect that is never sent again.
#[test]
fn an_order_is_repeated_only_while_upstreams_are_missing() {
    let accepted = Some(OrderOutcome::Accepted);
    let mut planner = Planner::new(&autoscaling());
    let orders = run(&mut planner, 0, 5, &upstreams(10, 0), 12.0, accepted);
    let wanted = |zone: &str, reclaimable: bool| {
        let last = orders
            .iter()
            .rfind(|order| order.zone == zone && order.reclaimable == reclaimable);
        last.map_or(0, |order| order.desired)
    };
    let mut full = upstreams(10, 0);
    for zone in &mut full {
        zone.reclaimable.live = wanted(&zone.zone, true);
    }
    let satisfied = run(&mut planner, 5, 8, &full, 12.0, accepted);
    assert!(
        satisfied.iter().all(|order| !order.reclaimable),
        "{satisfied:?}"
    );
    full[1].reclaimable.live -= 1;
    let repeated = run(&mut planner, 8, 60, &full, 12.0, accepted);
    let repeated: Vec<&Order> = repeated
        .iter()
        .filter(|order| order.reason == Reason::Repeat)
        .collect();
    assert!(!repeated.is_empty());
    assert!(repeated.len() <= 4, "{}", repeated.len());
    assert!(
        repeated
            .iter()
            .all(|order| order.zone == "b" && order.reclaimable)
    );
}

/// Guards against a refused or failed call that is sent again at once, without end.
#[test]
fn pauses_grow_with_refusals_and_failures() {
    for (outcome, most) in [(OrderOutcome::Unavailable, 8), (OrderOutcome::Failed, 16)] {
        let mut planner = Planner::new(&autoscaling());
        let orders = run(&mut planner, 0, 60, &upstreams(10, 0), 12.0, Some(outcome));
        let in_zone = orders
            .iter()
            .filter(|order| order.zone == "a" && order.reclaimable);
        let count = in_zone.count();
        assert!((2..=most).contains(&count), "{outcome:?}: {count}");
    }
}

/// Guards against a new holder that gives up upstreams, or orders many more, because it doesn't know
/// the orders of its predecessor: the upstreams are right for the demand, and it orders nothing.
#[test]
fn a_new_holder_goes_on_where_the_last_one_ended() {
    let accepted = Some(OrderOutcome::Accepted);
    let mut planner = Planner::new(&autoscaling());
    let zones = upstreams(1, 9);
    for step in 0..60 {
        let observation = Observation {
            demand: Some(Demand {
                busy_upstreams: 11.5,
            }),
            is_current: true,
            zones: &zones,
        };
        planner.observe(step * SECOND_US / 2, &observation);
    }
    let orders = run(&mut planner, 30, 40, &zones, 11.5, accepted);
    assert_eq!(orders, []);
    planner.release();
    assert_eq!(run(&mut planner, 40, 50, &zones, 11.5, accepted), []);
}

/// Guards against orders for a zone that a new configuration no longer lists, and against a planner
/// that forgets the others.
#[test]
fn zones_follow_the_configuration() {
    let accepted = Some(OrderOutcome::Accepted);
    let mut planner = Planner::new(&autoscaling());
    run(&mut planner, 0, 5, &upstreams(10, 0), 12.0, accepted);
    let mut without_b = autoscaling();
    without_b.zones.retain(|zone| zone.zone != "b");
    planner.configure(&without_b);
    assert!(planner.totals(true).desired > 0);
    let orders = run(&mut planner, 5, 15, &upstreams(10, 10), 30.0, accepted);
    assert!(!orders.is_empty());
    assert!(orders.iter().all(|order| order.zone != "b"));
}

/// Guards against numbers that can't be meant: they order nothing beyond the bounds and nothing
/// breaks.
#[test]
fn odd_demands_stay_within_the_bounds() {
    let accepted = Some(OrderOutcome::Accepted);
    for busy_upstreams in [f64::NAN, f64::INFINITY, -5.0, 1e300] {
        let mut planner = Planner::new(&autoscaling());
        for order in run(
            &mut planner,
            0,
            10,
            &upstreams(10, 0),
            busy_upstreams,
            accepted,
        ) {
            assert!(order.desired <= 40, "{busy_upstreams}: {order:?}");
        }
    }
}

/// Guards against upstreams that are given up while nobody knows the demand.
#[test]
fn an_unknown_demand_keeps_the_upstreams() {
    let mut planner = Planner::new(&autoscaling());
    let zones = upstreams(1, 20);
    for step in 0..200 {
        let observation = Observation {
            demand: (step < 60).then_some(Demand {
                busy_upstreams: 25.0,
            }),
            is_current: true,
            zones: &zones,
        };
        let now_us = step * SECOND_US / 2;
        for order in planner.plan(now_us, &observation) {
            assert!(order.desired >= 20 || !order.reclaimable, "{order:?}");
            planner.record_outcome(
                now_us,
                &order.zone,
                order.reclaimable,
                OrderOutcome::Accepted,
            );
        }
    }
}

/// Guards against a fleet that is sized by a list that lacked most upstreams when it was first read,
/// and against first requests that find only the upstreams of the start, whose caches are empty.
#[test]
fn the_first_requests_find_twice_the_upstreams_of_the_start() {
    let accepted = Some(OrderOutcome::Accepted);
    let mut planner = Planner::new(&autoscaling());
    let mut orders = run(&mut planner, 0, 4, &upstreams(4, 0), 0.0, accepted);
    orders.extend(run(&mut planner, 4, 8, &upstreams(12, 0), 0.0, accepted));
    let last = orders.iter().rfind(|order| order.reclaimable);
    let inputs = last.map(|order| order.inputs.fleet);
    assert_eq!(inputs, Some(72));
    // A tenth of the fleet is lasting: a quarter of the demand for which it has the right size.
    assert_eq!(planner.totals(true).desired, 72 - 8);
}

/// Guards against lasting upstreams that are kept because reclaimable ones count as missing that the
/// platform never had room for: they were ordered by a list that lacked upstreams.
#[test]
fn an_order_beyond_the_room_of_a_zone_holds_nothing_up() {
    let accepted = Some(OrderOutcome::Accepted);
    let mut planner = Planner::new(&autoscaling());
    run(&mut planner, 0, 3, &upstreams(16, 0), 0.0, accepted);
    run(&mut planner, 3, 7, &upstreams(24, 0), 0.0, accepted);
    let orders = run(&mut planner, 7, 9, &upstreams(24, 16), 0.0, accepted);
    let gives_up = |order: &&Order| !order.reclaimable && order.reason == Reason::OtherKind;
    assert_eq!(orders.iter().filter(gives_up).count(), 3, "{orders:?}");
}

/// What a planner meets in half a second: upstreams of each zone, demand, whether the list is up to
/// date, and the result of its orders; `None` leaves them unanswered until the next step.
type Step = (
    [(u32, u32, u32, u32); 3],
    Option<f64>,
    bool,
    Option<OrderOutcome>,
);

fn step() -> impl Strategy<Value = Step> {
    let counts = || (0_u32..50, 0_u32..20, 0_u32..50, 0_u32..20);
    let outcome = prop::option::weighted(
        0.8,
        prop_oneof![
            3 => Just(OrderOutcome::Accepted),
            1 => Just(OrderOutcome::Unavailable),
            1 => Just(OrderOutcome::Failed),
        ],
    );
    let demand = prop::option::weighted(0.8, 0.0..200.0);
    (
        [counts(), counts(), counts()],
        demand,
        prop::bool::weighted(0.8),
        outcome,
    )
}

proptest! {
    /// Guards against orders beyond the bounds, a second order for a zone while one is under way, and
    /// upstreams that are given up by an old list, whatever the lists, results and demands are.
    #[test]
    fn orders_stay_within_their_bounds(steps in prop::collection::vec(step(), 1..120)) {
        let mut planner = Planner::new(&autoscaling());
        let mut open: Vec<Order> = Vec::new();
        for (number, (counts, demand, is_current, outcome)) in steps.iter().enumerate() {
            let now_us = number as u64 * SECOND_US / 2;
            let zones = ["a", "b", "c"].iter().zip(counts);
            let zones = zones.map(|(zone, &(lasting, lasting_leaving, reclaimable, leaving))| {
                ZoneUpstreams {
                    zone: (*zone).to_owned(),
                    lasting: UpstreamCount { live: lasting, leaving: lasting_leaving },
                    reclaimable: UpstreamCount { live: reclaimable, leaving },
                }
            });
            let zones: Vec<ZoneUpstreams> = zones.collect();
            let observation = Observation {
                demand: demand.map(|busy_upstreams| Demand { busy_upstreams }),
                is_current: *is_current,
                zones: &zones,
            };
            for order in planner.plan(now_us, &observation) {
                prop_assert!(order.desired <= 40, "{order:?}");
                prop_assert!(open.iter().all(|open| open.zone != order.zone), "{order:?}");
                prop_assert!(*is_current || order.desired >= order.inputs.live, "{order:?}");
                open.push(order);
            }
            if let Some(outcome) = outcome {
                for order in open.drain(..) {
                    planner.record_outcome(now_us, &order.zone, order.reclaimable, *outcome);
                }
            }
        }
    }
}
