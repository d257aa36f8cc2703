//! Division of a fleet into kinds of upstreams and availability zones.

use proptest::prelude::*;

use crate::allocation::{Allocation, FleetSize, ZoneSupply, allocate, distribute};

const UPSTREAMS_MAX: u32 = 48;

fn zone(price: f64) -> ZoneSupply {
    ZoneSupply {
        price,
        upstreams_max: UPSTREAMS_MAX,
        lasting_held: 0,
        reclaimable_held: 0,
        lasting_max: UPSTREAMS_MAX,
        reclaimable_max: UPSTREAMS_MAX,
    }
}

fn size(fleet: u32) -> FleetSize {
    FleetSize {
        fleet,
        after_loss: fleet * 2 / 3,
        lasting: fleet / 10,
        lasting_min: 1,
        spare: fleet / 20,
    }
}

fn sums(allocated: &[Allocation]) -> (u32, u32) {
    let lasting = allocated.iter().map(|zone| zone.lasting).sum();
    let reclaimable = allocated.iter().map(|zone| zone.reclaimable).sum();
    (lasting, reclaimable)
}

/// Guards against a cheap zone that gets all reclaimable upstreams, and against a dear one that gets
/// as many as a cheap one.
#[test]
fn cheap_zones_get_more_but_not_all() {
    let allocated = allocate(&size(120), &[0.8, 1.0, 1.25].map(zone));
    let reclaimable: Vec<u32> = allocated.iter().map(|zone| zone.reclaimable).collect();
    assert!(reclaimable.is_sorted_by(|a, b| a > b), "{reclaimable:?}");
    assert_eq!(sums(&allocated), (12, 108));
    assert!(reclaimable[0] <= 40, "{reclaimable:?}");
}

/// Guards against a fleet whose only zone can be reclaimed as a whole.
#[test]
fn lasting_upstreams_cover_the_loss_of_the_only_zone() {
    let allocated = allocate(&size(30), &[zone(1.0)]);
    assert_eq!(sums(&allocated), (20, 10));
}

/// Guards against lasting upstreams that are ordered although the loss of a zone is covered, and
/// against none where more is lost.
#[test]
fn lasting_upstreams_replace_only_what_is_needed() {
    let mut zones = [1.0; 6].map(zone);
    zones[0].reclaimable_max = 0;
    let allocated = allocate(&size(120), &zones);
    assert_eq!(sums(&allocated), (12, 108), "five zones have room for all");
    for zone in &mut zones {
        zone.reclaimable_max = 0;
    }
    let allocated = allocate(&size(120), &zones);
    assert_eq!(sums(&allocated), (80, 0), "what has to stay after a loss");
}

/// Guards against reclaimable upstreams that move to another zone, with the loss of what they have
/// cached, because a price or a rounding differs.
#[test]
fn upstreams_stay_where_they_are() {
    let mut zones = [1.0; 6].map(zone);
    let held = [24, 12, 18, 18, 18, 18];
    for (zone, held) in zones.iter_mut().zip(held) {
        zone.reclaimable_held = held;
    }
    for fleet in [118, 120] {
        let allocated = allocate(&size(fleet), &zones);
        let reclaimable: Vec<u32> = allocated.iter().map(|zone| zone.reclaimable).collect();
        assert_eq!(reclaimable, held, "{fleet}");
    }
    let fewer = allocate(&size(100), &zones);
    let stays = fewer.iter().zip(held);
    assert!(stays.clone().all(|(zone, held)| zone.reclaimable <= held));
    assert_eq!(sums(&fewer).1, 90);
}

/// Guards against warm upstreams that are given up at the crest because a full zone should have more
/// lasting ones.
#[test]
fn a_full_zone_gives_nothing_up_for_lasting_upstreams() {
    let mut zones = [1.0; 6].map(zone);
    for zone in &mut zones {
        zone.lasting_held = 3;
        zone.reclaimable_held = 45;
    }
    let full = FleetSize {
        lasting: 60,
        ..size(6 * 48)
    };
    let allocated = allocate(&full, &zones);
    assert!(
        allocated.iter().all(|zone| zone.reclaimable == 45),
        "{allocated:?}"
    );
}

prop_compose! {
    fn supplies()(zones in prop::collection::vec((1_u32..5_000, 0_u32..60, 0_u32..60, 0_u32..60, 0_u32..60), 1..8)) -> Vec<ZoneSupply> {
        zones.into_iter().map(|(price, lasting, reclaimable, lasting_max, reclaimable_max)| ZoneSupply {
            price: f64::from(price) / 1e3,
            upstreams_max: UPSTREAMS_MAX,
            lasting_held: lasting,
            reclaimable_held: reclaimable,
            lasting_max: lasting_max.min(UPSTREAMS_MAX),
            reclaimable_max: reclaimable_max.min(UPSTREAMS_MAX),
        }).collect()
    }
}

proptest! {
    /// Guards against a zone that gets more than its largest number or more than is to be had, and
    /// against a division that doesn't end.
    #[test]
    fn no_zone_gets_too_many(fleet in 0_u32..500, lasting_min in 0_u32..4, zones in supplies()) {
        let size = FleetSize { lasting_min, ..size(fleet) };
        for (zone, allocated) in zones.iter().zip(allocate(&size, &zones)) {
            prop_assert!(allocated.lasting + allocated.reclaimable <= zone.upstreams_max);
            prop_assert!(allocated.reclaimable <= zone.reclaimable_max);
            prop_assert!(allocated.lasting <= zone.lasting_max.max(lasting_min));
        }
    }

    /// Guards against a number that isn't distributed although there is room, or is more than once.
    #[test]
    fn all_is_distributed(total in 0_u32..1_000, shares in prop::collection::vec((1_u32..100, 0_u32..100), 0..9)) {
        let weights: Vec<f64> = shares.iter().map(|&(weight, _)| f64::from(weight)).collect();
        let caps: Vec<u32> = shares.iter().map(|&(_, cap)| cap).collect();
        let given = distribute(total, &weights, &caps);
        prop_assert_eq!(given.iter().sum::<u32>(), total.min(caps.iter().sum()));
        prop_assert!(given.iter().zip(&caps).all(|(given, cap)| given <= cap));
    }
}
