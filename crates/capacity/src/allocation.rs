//! Division of a fleet into kinds of upstreams and availability zones.

use std::cmp::Ordering;

/// Availability zone to which upstreams are allocated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneSupply {
    /// Price of an upstream, relative to other zones.
    pub price: f64,
    /// Most upstreams of both kinds.
    pub upstreams_max: u32,
    /// Lasting upstreams that can't be given up yet.
    pub lasting_held: u32,
    /// Reclaimable upstreams that were ordered.
    pub reclaimable_held: u32,
    /// Most lasting upstreams that are to be had.
    pub lasting_max: u32,
    /// Most reclaimable upstreams that are to be had.
    pub reclaimable_max: u32,
}

/// Sizes from which a fleet is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Upstreams of both kinds.
    pub fleet: u32,
    /// Upstreams that have to stay when the reclaimable upstreams of any one zone are gone.
    pub after_loss: u32,
    /// Lasting upstreams of all zones.
    pub lasting: u32,
    /// Lasting upstreams of each zone.
    pub lasting_min: u32,
    /// Reclaimable upstreams beyond the needed ones that are kept rather than moved to other zones.
    pub spare: u32,
}

/// Upstreams of one zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Allocation {
    /// Upstreams that the platform doesn't reclaim.
    pub lasting: u32,
    /// Upstreams that the platform may reclaim.
    pub reclaimable: u32,
    /// Lasting upstreams among them that stand in for reclaimable ones.
    pub replacements: u32,
}

/// Divides a fleet into kinds and zones.
///
/// Both kinds are spread in inverse proportion to the price, so that cheap zones get more without
/// getting all. No zone gets more reclaimable upstreams than the fleet can lose at once. Where too few
/// are to be had, lasting upstreams replace them as far as the fleet needs them to carry its work.
pub fn allocate(size: &FleetSize, zones: &[ZoneSupply]) -> Vec<Allocation> {
    let weights: Vec<f64> = zones
        .iter()
        .map(|zone| 1.0 / zone.price.max(f64::EPSILON))
        .collect();
    let caps: Vec<u32> = zones.iter().map(|zone| zone.lasting_max).collect();
    let zone_count = u32::try_from(zones.len()).unwrap_or(u32::MAX);
    let loss_max = size.fleet.saturating_sub(size.after_loss).max(1);
    let lasting_sum = size
        .fleet
        .saturating_sub(loss_max.saturating_mul(zone_count));
    let lasting = distribute(size.lasting.max(lasting_sum), &weights, &caps);
    let lasting: Vec<u32> = lasting
        .iter()
        .zip(zones)
        .map(|(&lasting, zone)| {
            // Reclaimable upstreams aren't given up to make room for lasting ones.
            let beside = zone.upstreams_max.saturating_sub(zone.reclaimable_held);
            lasting
                .min(beside)
                .max(size.lasting_min)
                .min(zone.upstreams_max)
        })
        .collect();
    let lasting_sum: u32 = lasting.iter().sum();
    let caps: Vec<u32> = zones
        .iter()
        .zip(&lasting)
        .map(|(zone, &lasting)| {
            let room = zone.upstreams_max - lasting.max(zone.lasting_held).min(zone.upstreams_max);
            room.min(zone.reclaimable_max).min(loss_max)
        })
        .collect();
    let held: Vec<u32> = zones
        .iter()
        .zip(&caps)
        .map(|(zone, &cap)| zone.reclaimable_held.min(cap))
        .collect();
    let needed = size.fleet.saturating_sub(lasting_sum);
    let reclaimable = adjust(needed, size.spare, &held, &weights, &caps);
    let total = lasting_sum + reclaimable.iter().sum::<u32>();
    // The cover for the loss of a zone is there to be used while one is lost.
    let missing = size.after_loss.saturating_sub(total);
    let caps: Vec<u32> = zones
        .iter()
        .zip(lasting.iter().zip(&reclaimable))
        .map(|(zone, (&lasting, &reclaimable))| {
            let room = zone.upstreams_max.saturating_sub(lasting + reclaimable);
            room.min(zone.lasting_max.saturating_sub(lasting))
        })
        .collect();
    let held: Vec<u32> = zones
        .iter()
        .zip(lasting.iter().zip(&caps))
        .map(|(zone, (&lasting, &cap))| zone.lasting_held.saturating_sub(lasting).min(cap))
        .collect();
    let kept_weights: Vec<f64> = held.iter().map(|&held| f64::from(held)).collect();
    let kept = distribute(missing, &kept_weights, &held);
    let replacements = adjust(missing, 0, &kept, &weights, &caps);
    let allocated = lasting.iter().zip(&reclaimable).zip(&replacements);
    allocated
        .map(|((&lasting, &reclaimable), &replacements)| Allocation {
            lasting: lasting + replacements,
            reclaimable,
            replacements,
        })
        .collect()
}

/// Distributes a number with as few changes of what is held as possible. Up to `spare` more than the
/// number stays where it is.
fn adjust(total: u32, spare: u32, held: &[u32], weights: &[f64], caps: &[u32]) -> Vec<u32> {
    let held_sum: u32 = held.iter().sum();
    if held_sum > total.saturating_add(spare) {
        let ideal = distribute(total, weights, caps);
        let excess: Vec<u32> = held
            .iter()
            .zip(&ideal)
            .map(|(&held, &ideal)| held.saturating_sub(ideal))
            .collect();
        let excess_weights: Vec<f64> = excess.iter().map(|&excess| f64::from(excess)).collect();
        let given_up = distribute(held_sum - total, &excess_weights, &excess);
        let left = held.iter().zip(given_up);
        return left.map(|(&held, given_up)| held - given_up).collect();
    }
    let room: Vec<u32> = caps
        .iter()
        .zip(held)
        .map(|(&cap, &held)| cap - held)
        .collect();
    let ideal = distribute(total, weights, caps);
    let lack: Vec<f64> = ideal
        .iter()
        .zip(held)
        .map(|(&ideal, &held)| f64::from(ideal.saturating_sub(held)))
        .collect();
    let mut added = distribute(total.saturating_sub(held_sum), &lack, &room);
    let added_sum: u32 = added.iter().sum();
    let room: Vec<u32> = room
        .iter()
        .zip(&added)
        .map(|(&room, &added)| room - added)
        .collect();
    let rest = total.saturating_sub(held_sum).saturating_sub(added_sum);
    for (added, more) in added.iter_mut().zip(distribute(rest, weights, &room)) {
        *added += more;
    }
    held.iter()
        .zip(added)
        .map(|(&held, added)| held + added)
        .collect()
}

/// Distributes a number in proportion to weights, at most `caps` to each. What is left over is
/// dropped.
pub fn distribute(total: u32, weights: &[f64], caps: &[u32]) -> Vec<u32> {
    let mut given = vec![0_u32; weights.len()];
    let mut left = total;
    while left > 0 {
        let open = |index: &usize| given[*index] < caps[*index] && weights[*index] > 0.0;
        let open: Vec<usize> = (0..weights.len()).filter(open).collect();
        let sum: f64 = open.iter().map(|&index| weights[index]).sum();
        if open.is_empty() {
            break;
        }
        let round = left;
        for &index in &open {
            let share = floor(f64::from(round) * weights[index] / sum);
            let share = share.min(caps[index] - given[index]).min(left);
            given[index] += share;
            left -= share;
        }
        if left == round {
            // Less than one is left for each: the largest weights get one more.
            let mut order = open;
            order.sort_by(|&a, &b| {
                let by_weight = weights[b].partial_cmp(&weights[a]);
                by_weight.unwrap_or(Ordering::Equal).then(a.cmp(&b))
            });
            for index in order {
                if left > 0 && given[index] < caps[index] {
                    given[index] += 1;
                    left -= 1;
                }
            }
        }
    }
    given
}

/// Rounds a number of upstreams down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "numbers of upstreams are small and not negative"
)]
pub const fn floor(number: f64) -> u32 {
    number as u32
}
