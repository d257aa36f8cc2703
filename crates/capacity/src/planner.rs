use settings::Autoscaling;

use crate::{
    Observation, Order, OrderInputs, OrderOutcome, Reason, ZoneUpstreams,
    allocation::{Allocation, FleetSize, ZoneSupply, allocate, distribute, floor},
    demand_window::DemandWindow,
    subject::Subject,
};

/// Share of its time for which an upstream is busy if the fleet has the right size. Demand that jumps
/// by 2.5 still finds the upstreams it needs before new ones have started.
const TARGET_UTILISATION: f64 = 0.4;

/// Share of its time for which an upstream may be busy while the reclaimable upstreams of one zone are
/// gone.
const LOSS_UTILISATION: f64 = 0.6;

/// Share of the demand that the lasting upstreams carry when they are fully busy, so that the most
/// urgent work continues if no reclaimable upstreams are left anywhere.
const LASTING_DEMAND_SHARE: f64 = 0.25;

/// Factor between the upstreams that were there at the start and those for the first requests. No
/// prompt is cached then, and shared parts are read again on each engine.
const EMPTY_CACHES_FACTOR: f64 = 2.0;

/// Factor by which the fleet becomes larger than needed when it grows, so that a slow rise takes few
/// orders.
const MORE_FACTOR: f64 = 1.05;

/// Factor between the size in force and the needed one from which on upstreams are given up.
const FEWER_FACTOR: f64 = 0.8;

/// Largest share of the upstreams that is given up in one step. Each upstream takes cached prompts
/// along.
const STEP_SHARE: f64 = 0.1;

/// Share of the fleet up to which reclaimable upstreams beyond the needed ones stay where they are.
/// Moving them to another zone would cost their cached prompts.
const SPARE_SHARE: f64 = 0.05;

/// Interval between two steps in which upstreams are given up.
const STEP_INTERVAL_US: u64 = 4_000_000;

/// Time for which the largest demand counts, in starts of an upstream: an upstream that is given up and
/// needed again is missing for one.
const WINDOW_STARTS: u64 = 5;

/// Shortest time for which the largest demand counts.
const WINDOW_MIN_US: u64 = 20_000_000;

/// Time by which a change of the demand is known late.
const DEMAND_LAG_US: u64 = 1_000_000;

/// Time for which the list of upstreams has to be up to date before the first order.
const SETTLE_US: u64 = 2_000_000;

/// Share of the ordered upstreams that may be missing in the list while others are given up.
const MISSING_SHARE_MAX: f64 = 0.1;

/// Decides how many upstreams of each kind a service needs in each availability zone.
///
/// Each host follows the demand and the upstreams with [`observe`](Self::observe), so that any of them
/// can begin to [`plan`](Self::plan) at once; only one does at a time.
///
/// ```
/// use capacity::{Demand, Observation, Planner, UpstreamCount, ZoneUpstreams};
/// use settings::{Autoscaling, ZonePrice};
///
/// let autoscaling = Autoscaling {
///     upstreams_min: 1,
///     upstreams_max: 48,
///     start_ms: 4_000,
///     reclaimable_price_permille: 180,
///     zones: vec![ZonePrice { zone: "costa-norte".into(), price_permille: 1_000 }],
/// };
/// let mut planner = Planner::new(&autoscaling);
/// let lasting = UpstreamCount { live: 4, leaving: 0 };
/// let zones = [ZoneUpstreams { zone: "costa-norte".into(), lasting, ..ZoneUpstreams::default() }];
/// let demand = Some(Demand { busy_upstreams: 8.0 });
/// let observation = Observation { demand, is_current: true, zones: &zones };
/// planner.observe(0, &observation);
/// let orders = planner.plan(2_000_000, &observation);
/// assert!(orders.iter().all(|order| order.desired > 4));
/// assert!(!orders.is_empty());
/// ```
#[derive(Debug, Clone)]
pub struct Planner {
    autoscaling: Autoscaling,
    zones: Vec<Zone>,
    window: DemandWindow,
    /// Upstreams of both kinds that the fleet should have; 0 before the first observation.
    fleet: u32,
    /// Upstreams that were there before this host ordered any.
    present: u32,
    /// Whether no upstreams were ordered before this host did.
    is_new: bool,
    /// Time of the last step in which upstreams were given up.
    step_us: u64,
    /// Time since which the list of upstreams has been up to date.
    current_since_us: Option<u64>,
}

/// Upstreams of an availability zone.
#[derive(Debug, Clone)]
struct Zone {
    name: String,
    price: f64,
    /// First of the lasting upstreams, then of the reclaimable ones.
    subjects: [Subject; 2],
}

/// Numbers of upstreams in all zones, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// Upstreams that were ordered.
    pub desired: u32,
    /// Upstreams that take requests.
    pub live: u32,
    /// Upstreams that were ordered and aren't listed yet.
    pub starting: u32,
    /// Upstreams that finish their requests and leave.
    pub leaving: u32,
}

impl Planner {
    /// Creates a planner that has seen nothing yet.
    #[must_use]
    pub fn new(autoscaling: &Autoscaling) -> Self {
        let mut planner = Self {
            autoscaling: autoscaling.clone(),
            zones: Vec::new(),
            window: DemandWindow::default(),
            fleet: 0,
            present: 0,
            is_new: false,
            step_us: 0,
            current_since_us: None,
        };
        planner.configure(autoscaling);
        planner
    }

    /// Applies changed bounds and prices.
    pub fn configure(&mut self, autoscaling: &Autoscaling) {
        if self.autoscaling == *autoscaling && !self.zones.is_empty() {
            return;
        }
        let mut old = std::mem::take(&mut self.zones);
        let zones = autoscaling.zones.iter().map(|listed| {
            let known = old.iter_mut().find(|zone| zone.name == listed.zone);
            Zone {
                name: listed.zone.clone(),
                price: f64::from(listed.price_permille.max(1)),
                subjects: known
                    .map_or_else(Default::default, |zone| std::mem::take(&mut zone.subjects)),
            }
        });
        self.zones = zones.collect();
        self.zones.sort_by(|a, b| a.name.cmp(&b.name));
        self.autoscaling = autoscaling.clone();
    }

    /// Takes what is known now and returns the orders to send, at most one for each zone. The result
    /// of each has to be passed to [`record_outcome`](Self::record_outcome).
    pub fn plan(&mut self, now_us: u64, observation: &Observation<'_>) -> Vec<Order> {
        self.observe(now_us, observation);
        self.resize(now_us, observation.demand.is_some());
        if self.fleet == 0 {
            return Vec::new();
        }
        let wanted = self.wanted(now_us);
        let inputs = OrderInputs {
            busy_upstreams: self.window.latest(),
            expected_busy_upstreams: self.window.expected(),
            fleet: self.fleet,
            ..OrderInputs::default()
        };
        let mut orders = Vec::new();
        let mut gives_up = false;
        let may_give_up = self.may_give_up(now_us);
        for (zone, wanted) in self.zones.iter_mut().zip(&wanted) {
            if zone.subjects.iter().any(Subject::is_busy) {
                continue;
            }
            // More comes before fewer, so that a zone isn't short in between.
            let room = |other: usize| {
                let other = zone.subjects[other].ordered();
                self.autoscaling.upstreams_max.saturating_sub(other)
            };
            let numbers = [
                (0, wanted.lasting.min(room(1))),
                (1, wanted.reclaimable.min(room(0))),
            ];
            let mut candidates: Vec<(usize, u32, Reason)> = numbers
                .into_iter()
                .filter_map(|(kind, desired)| {
                    let reason = zone.subjects[kind].reason(now_us, desired)?;
                    Some((kind, desired, reason))
                })
                .filter(|&(_, _, reason)| reason != Reason::Fewer || may_give_up)
                .collect();
            candidates.sort_by_key(|&(_, _, reason)| reason == Reason::Fewer);
            let Some(&(kind, desired, reason)) = candidates.first() else {
                continue;
            };
            let reason = match reason {
                Reason::More if kind == 0 && wanted.replacements > 0 => Reason::Replacement,
                Reason::Fewer if kind == 0 && wanted.reclaimable > 0 => Reason::OtherKind,
                reason => reason,
            };
            let subject = &mut zone.subjects[kind];
            gives_up |= desired < subject.ordered();
            subject.begin(desired);
            orders.push(Order {
                zone: zone.name.clone(),
                reclaimable: kind == 1,
                desired,
                reason,
                inputs: OrderInputs {
                    live: subject.count.live,
                    leaving: subject.count.leaving,
                    ..inputs
                },
            });
        }
        if gives_up {
            self.step_us = now_us;
        }
        orders
    }

    /// Records the result of an order.
    pub fn record_outcome(
        &mut self,
        now_us: u64,
        zone: &str,
        reclaimable: bool,
        outcome: OrderOutcome,
    ) {
        let start_us = self.start_us();
        if let Ok(index) = self
            .zones
            .binary_search_by(|known| known.name.as_str().cmp(zone))
        {
            let subject = &mut self.zones[index].subjects[usize::from(reclaimable)];
            subject.finish(now_us, outcome, start_us);
        }
    }

    /// Returns the numbers of upstreams of one kind.
    #[must_use]
    pub fn totals(&self, reclaimable: bool) -> Totals {
        let mut totals = Totals::default();
        for zone in &self.zones {
            let subject = &zone.subjects[usize::from(reclaimable)];
            totals.desired += subject.ordered();
            totals.live += subject.count.live;
            totals.leaving += subject.count.leaving;
            totals.starting += subject.ordered().saturating_sub(subject.count.live);
        }
        totals
    }

    /// Forgets this host's orders, because another host orders from now on. What is known of the
    /// demand stays, so that this host can take over again at once.
    pub fn release(&mut self) {
        self.fleet = 0;
        for subject in self.zones.iter_mut().flat_map(|zone| &mut zone.subjects) {
            subject.release();
        }
    }

    /// Takes in the upstreams and the demand without ordering anything.
    pub fn observe(&mut self, now_us: u64, observation: &Observation<'_>) {
        let start_us = self.start_us();
        if observation.is_current {
            self.current_since_us.get_or_insert(now_us);
            for zone in &mut self.zones {
                let upstreams = find(observation.zones, &zone.name);
                for (kind, subject) in zone.subjects.iter_mut().enumerate() {
                    let count = upstreams.map(|upstreams| upstreams.count(kind == 1));
                    let count = count.unwrap_or_default();
                    if kind == 1 {
                        subject.observe_reclaimable(now_us, count, start_us);
                    } else {
                        subject.observe(now_us, count, start_us);
                    }
                }
                // An order by a list that lacked lasting upstreams was too large.
                let [lasting, reclaimable] = &mut zone.subjects;
                let room = self.autoscaling.upstreams_max;
                reclaimable.limit(room.saturating_sub(lasting.ordered()));
            }
        } else {
            self.current_since_us = None;
        }
        if let Some(demand) = observation.demand {
            let busy_upstreams = Some(demand.busy_upstreams).filter(|busy| busy.is_finite());
            let (ahead_us, window_us) = (self.start_us() + DEMAND_LAG_US, self.window_us());
            let busy_upstreams = busy_upstreams.unwrap_or(0.0).max(0.0);
            self.window
                .record(now_us, busy_upstreams, ahead_us, window_us);
        }
    }

    /// Adjusts the size of the fleet to the demand.
    fn resize(&mut self, now_us: u64, has_demand: bool) {
        let (min, max) = self.bounds();
        if self.fleet == 0 && self.is_settled(now_us) {
            let ordered = |zone: &Zone| zone.subjects.iter().map(Subject::ordered).sum::<u32>();
            self.fleet = self.zones.iter().map(ordered).sum();
            self.present = self.fleet;
            let reclaimable = self.zones.iter().map(|zone| zone.subjects[1].ordered());
            self.is_new = reclaimable.sum::<u32>() == 0;
        }
        if self.fleet > 0 && !self.window.has_demand() {
            self.prepare_first_requests();
        }
        if self.fleet == 0 {
            return;
        }
        let needed = self.needed();
        if needed > self.fleet {
            self.fleet = ceil(f64::from(needed) * MORE_FACTOR);
        }
        let is_known = has_demand && self.window.covers(now_us, self.window_us());
        let is_due = now_us >= self.step_us.saturating_add(STEP_INTERVAL_US);
        let too_many = f64::from(needed) < FEWER_FACTOR * f64::from(self.fleet);
        if is_known && is_due && too_many && self.may_give_up(now_us) {
            let step = ceil(f64::from(self.fleet) * STEP_SHARE);
            self.fleet = needed.max(self.fleet - step.min(self.fleet));
            self.step_us = now_us;
        }
        self.fleet = self.fleet.clamp(min, max);
    }

    /// Enlarges a fleet that was never ordered for the first requests, whose prompts are read whole.
    fn prepare_first_requests(&mut self) {
        // Upstreams that were there at the start may be listed late.
        let lasting = self.zones.iter().map(|zone| zone.subjects[0].count.live);
        self.present = self.present.max(lasting.sum());
        let factor = if self.is_new {
            EMPTY_CACHES_FACTOR
        } else {
            1.0
        };
        self.fleet = self.fleet.max(ceil(f64::from(self.present) * factor));
    }

    /// Returns the upstreams that each zone should have now.
    fn wanted(&self, now_us: u64) -> Vec<Allocation> {
        let fleet = f64::from(self.fleet);
        let after_loss = ceil(fleet * TARGET_UTILISATION / LOSS_UTILISATION);
        let mut carries_demand = ceil(self.window.expected() / LOSS_UTILISATION);
        if !self.window.covers(now_us, self.window_us()) {
            carries_demand = carries_demand.max(self.present);
        }
        let size = FleetSize {
            fleet: self.fleet,
            after_loss: after_loss.min(carries_demand),
            lasting: ceil(fleet * TARGET_UTILISATION * LASTING_DEMAND_SHARE),
            lasting_min: self.autoscaling.upstreams_min,
            spare: floor(fleet * SPARE_SHARE),
        };
        let supplies: Vec<ZoneSupply> = self
            .zones
            .iter()
            .map(|zone| self.supply(now_us, zone))
            .collect();
        let mut wanted = allocate(&size, &supplies);
        self.hold_lasting(now_us, &mut wanted);
        wanted
    }

    /// Returns what is to be had in a zone.
    fn supply(&self, now_us: u64, zone: &Zone) -> ZoneSupply {
        let [lasting, reclaimable] = &zone.subjects;
        let limit = |subject: &Subject| {
            if subject.is_available(now_us) {
                self.autoscaling.upstreams_max
            } else {
                subject.count.live
            }
        };
        ZoneSupply {
            price: zone.price,
            upstreams_max: self.autoscaling.upstreams_max,
            lasting_held: lasting.ordered(),
            reclaimable_held: reclaimable.ordered(),
            lasting_max: limit(lasting),
            reclaimable_max: limit(reclaimable),
        }
    }

    /// Keeps lasting upstreams that are given up until reclaimable ones have taken over, and gives them
    /// up step by step.
    fn hold_lasting(&self, now_us: u64, wanted: &mut [Allocation]) {
        let ordered: Vec<u32> = self
            .zones
            .iter()
            .map(|zone| zone.subjects[0].ordered())
            .collect();
        let surplus: Vec<u32> = ordered
            .iter()
            .zip(wanted.iter())
            .map(|(&ordered, wanted)| ordered.saturating_sub(wanted.lasting))
            .collect();
        let surplus_sum: u32 = surplus.iter().sum();
        if surplus_sum == 0 {
            return;
        }
        let live = |kind: usize| -> u32 {
            let counts = self.zones.iter().map(|zone| zone.subjects[kind].count.live);
            counts.sum()
        };
        let wanted_lasting: u32 = wanted.iter().map(|wanted| wanted.lasting).sum();
        let needed = self.needed();
        let enough = if self.window.covers(now_us, self.window_us()) {
            needed
        } else {
            needed.max(self.present)
        };
        let enough = enough.min(self.fleet);
        let needed = enough.saturating_sub(live(1)).max(wanted_lasting);
        let may_give_up = ordered.iter().sum::<u32>().saturating_sub(needed);
        let all = f64::from(live(0) + live(1));
        // Before the first requests no upstream has anything cached.
        let is_idle = !self.window.has_demand();
        let step = if is_idle {
            surplus_sum
        } else if now_us >= self.step_us.saturating_add(STEP_INTERVAL_US) {
            ceil(all * STEP_SHARE)
        } else {
            0
        };
        let given_up = may_give_up.min(step).min(surplus_sum);
        let weights: Vec<f64> = surplus.iter().map(|&surplus| f64::from(surplus)).collect();
        let kept = distribute(surplus_sum - given_up, &weights, &surplus);
        for (wanted, kept) in wanted.iter_mut().zip(kept) {
            wanted.lasting += kept;
        }
    }

    /// Returns whether upstreams may be given up: the list is up to date, and hardly any that were
    /// ordered are missing in it.
    fn may_give_up(&self, now_us: u64) -> bool {
        let subjects = self.zones.iter().flat_map(|zone| &zone.subjects);
        let (ordered, missing) = subjects.fold((0, 0), |(ordered, missing), subject| {
            let lack = subject.ordered().saturating_sub(subject.count.live);
            (ordered + subject.ordered(), missing + lack)
        });
        let is_complete = f64::from(missing) <= f64::from(ordered) * MISSING_SHARE_MAX;
        is_complete && self.is_settled(now_us)
    }

    /// Returns whether the list of upstreams has been up to date for some time.
    fn is_settled(&self, now_us: u64) -> bool {
        self.current_since_us
            .is_some_and(|since_us| now_us >= since_us + SETTLE_US)
    }

    /// Returns the upstreams that the demand needs in all zones.
    fn needed(&self) -> u32 {
        let (min, max) = self.bounds();
        ceil(self.window.expected() / TARGET_UTILISATION).clamp(min, max)
    }

    /// Returns the fewest and the most upstreams of all zones.
    fn bounds(&self) -> (u32, u32) {
        let zones = u32::try_from(self.zones.len()).unwrap_or(u32::MAX);
        let min = zones.saturating_mul(self.autoscaling.upstreams_min);
        let max = zones.saturating_mul(self.autoscaling.upstreams_max);
        (min.max(1).min(max), max)
    }

    const fn start_us(&self) -> u64 {
        self.autoscaling.start_ms.saturating_mul(1_000)
    }

    fn window_us(&self) -> u64 {
        self.start_us()
            .saturating_mul(WINDOW_STARTS)
            .max(WINDOW_MIN_US)
    }
}

/// Returns the upstreams of a zone.
fn find<'a>(zones: &'a [ZoneUpstreams], name: &str) -> Option<&'a ZoneUpstreams> {
    let found = zones.binary_search_by(|zone| zone.zone.as_str().cmp(name));
    found.ok().map(|index| &zones[index])
}

/// Rounds a number of upstreams up.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float that is too large becomes the largest integer"
)]
fn ceil(number: f64) -> u32 {
    number.ceil().max(0.0) as u32
}
