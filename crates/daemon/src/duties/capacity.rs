//! Orders upstreams for the services whose configuration asks for it, while this host holds the duty.

use std::{sync::Arc, time::Duration};

use capacity::{Demand, Observation, Order, OrderOutcome, Planner, ZoneUpstreams};
use futures::future::join_all;
use log::{info, warn};
use settings::{Autoscaling, Config, DutyKind, Host, UpstreamLifecycle};

use crate::{
    adapter::{CallHolder, CallResult, CloudAdapter, UpstreamOrder},
    shared::Shared,
};

/// Interval at which the demand is followed and orders are decided.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit for one call. It is far below the length of a hold, so that a slow call doesn't keep
/// a holder from ordering.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Daemons whose load has to be known for an estimate of the demand, unless there are fewer. The
/// callers of a daemon are a small sample of all.
const KNOWN_DAEMONS_MIN: u32 = 4;

/// Service whose upstreams are ordered.
struct OrderedService {
    name: String,
    planner: Planner,
}

/// Follows the demand for each service that asks for it, and orders its upstreams while this host
/// holds the duty.
pub(crate) async fn order_upstreams(shared: Arc<Shared>, cloud: Box<dyn CloudAdapter>) {
    let duties = shared.host.duties.as_ref();
    if !duties.is_some_and(|duties| duties.has(DutyKind::Autoscale)) {
        return;
    }
    let mut services: Vec<OrderedService> = Vec::new();
    let mut token = None;
    loop {
        tokio::time::sleep(PLAN_INTERVAL).await;
        let snapshot = shared.snapshot.load_full();
        configure(&shared.host, &snapshot.config, &mut services);
        let hold = shared.held.current();
        if hold.map(|hold| hold.token) != token {
            token = hold.map(|hold| hold.token);
            for service in &mut services {
                service.planner.release();
            }
            shared.metrics.clear_ordered_upstreams();
        }
        for service in &mut services {
            let orders = follow(&shared, &snapshot.config, service, hold.is_some());
            if hold.is_none() {
                continue;
            }
            let name = service.name.as_str();
            let calls = orders
                .iter()
                .map(|order| send(&shared, cloud.as_ref(), name, order));
            let results = join_all(calls).await;
            let now_us = shared.clock.now_us();
            for (order, result) in orders.iter().zip(results) {
                service.planner.record_outcome(
                    now_us,
                    &order.zone,
                    order.reclaimable,
                    outcome(result),
                );
            }
            set_gauges(&shared, service);
        }
    }
}

/// Adjusts the services to the configuration.
fn configure(host: &Host, config: &Config, services: &mut Vec<OrderedService>) {
    services.retain(|service| {
        let configured = config.service(&service.name);
        configured.is_some_and(|configured| configured.autoscaling.is_some())
    });
    for configured in &config.services {
        let Some(autoscaling) = &configured.autoscaling else {
            continue;
        };
        let autoscaling = orderable(host, autoscaling);
        let found = services.binary_search_by(|service| service.name.cmp(&configured.name));
        match found {
            Ok(index) => services[index].planner.configure(&autoscaling),
            Err(index) => {
                let listed = configured.autoscaling.iter().flat_map(|all| &all.zones);
                for zone in listed.filter(|zone| !autoscaling.zones.contains(zone)) {
                    warn!(
                        "capacity: zone unknown, nothing is ordered there service={} zone={}",
                        configured.name, zone.zone
                    );
                }
                let service = OrderedService {
                    name: configured.name.clone(),
                    planner: Planner::new(&autoscaling),
                };
                services.insert(index, service);
            }
        }
    }
}

/// Leaves out the availability zones that this deployment doesn't have.
fn orderable(host: &Host, autoscaling: &Autoscaling) -> Autoscaling {
    let mut orderable = autoscaling.clone();
    if !host.zones.is_empty() {
        orderable
            .zones
            .retain(|listed| host.zones.iter().any(|zone| zone.zone == listed.zone));
    }
    orderable
}

/// Passes what is known about a service to its planner, and returns the orders if this host is to
/// send them.
fn follow(
    shared: &Shared,
    config: &Config,
    service: &mut OrderedService,
    orders: bool,
) -> Vec<Order> {
    let zones = upstreams_by_zone(config, &service.name);
    let (now_us, demand) =
        shared.with_core(|now_us, core| (now_us, core.dispatcher.engine_demand(&service.name)));
    let demand =
        demand.filter(|demand| demand.known_daemons >= KNOWN_DAEMONS_MIN.min(demand.daemons));
    let observation = Observation {
        demand: demand.map(|demand| Demand {
            busy_upstreams: demand.busy_engines(),
        }),
        is_current: shared.cluster_state.has_current_upstreams(),
        zones: &zones,
    };
    if orders {
        service.planner.plan(now_us, &observation)
    } else {
        service.planner.observe(now_us, &observation);
        Vec::new()
    }
}

/// Counts the upstreams of a service, sorted by availability zone.
fn upstreams_by_zone(config: &Config, service: &str) -> Vec<ZoneUpstreams> {
    let mut zones: Vec<ZoneUpstreams> = Vec::new();
    let upstreams = config.upstreams.iter();
    for upstream in upstreams.filter(|upstream| upstream.service == service) {
        let found = zones.binary_search_by(|zone| zone.zone.cmp(&upstream.zone));
        let index = found.unwrap_or_else(|index| {
            let zone = ZoneUpstreams {
                zone: upstream.zone.clone(),
                ..ZoneUpstreams::default()
            };
            zones.insert(index, zone);
            index
        });
        let zone = &mut zones[index];
        let count = if upstream.reclaimable {
            &mut zone.reclaimable
        } else {
            &mut zone.lasting
        };
        match upstream.state {
            UpstreamLifecycle::Live => count.live += 1,
            UpstreamLifecycle::Leaving => count.leaving += 1,
        }
    }
    zones
}

/// Sends an order in the name of the hold, if it lasts long enough; `None` if it wasn't sent.
async fn send(
    shared: &Shared,
    cloud: &dyn CloudAdapter,
    service: &str,
    order: &Order,
) -> Option<CallResult> {
    let call_us = u64::try_from(CALL_TIMEOUT.as_micros()).unwrap_or(u64::MAX);
    let hold = shared.held.begin_call(call_us)?;
    let holder = CallHolder {
        name: &shared.host.name,
        token: hold.token,
    };
    let upstream_order = UpstreamOrder {
        service,
        zone: &order.zone,
        desired: order.desired,
        reclaimable: order.reclaimable,
    };
    let result = cloud
        .order_upstreams(holder, upstream_order, CALL_TIMEOUT)
        .await;
    shared.held.finish_call(DutyKind::Autoscale, result);
    let kind = kind(order.reclaimable);
    shared
        .metrics
        .record_upstream_order(service, kind, result.name());
    let inputs = &order.inputs;
    info!(
        "capacity: ordered service={service} zone={} kind={kind} desired={} reason={} result={} \
         busy={:.1} expected={:.1} fleet={} live={} leaving={} token={}",
        order.zone,
        order.desired,
        order.reason,
        result.name(),
        inputs.busy_upstreams,
        inputs.expected_busy_upstreams,
        inputs.fleet,
        inputs.live,
        inputs.leaving,
        hold.token
    );
    Some(result)
}

/// Translates the result of a call; an order that wasn't sent is tried again like a failed one.
const fn outcome(result: Option<CallResult>) -> OrderOutcome {
    match result {
        Some(CallResult::Accepted) => OrderOutcome::Accepted,
        Some(CallResult::Unavailable) => OrderOutcome::Unavailable,
        _ => OrderOutcome::Failed,
    }
}

fn set_gauges(shared: &Shared, service: &OrderedService) {
    for reclaimable in [false, true] {
        let totals = service.planner.totals(reclaimable);
        let numbers = [
            ("desired", totals.desired),
            ("live", totals.live),
            ("starting", totals.starting),
            ("leaving", totals.leaving),
        ];
        for (state, count) in numbers {
            shared
                .metrics
                .set_ordered_upstreams(&service.name, kind(reclaimable), state, count);
        }
    }
}

const fn kind(reclaimable: bool) -> &'static str {
    if reclaimable {
        "reclaimable"
    } else {
        "lasting"
    }
}

#[cfg(test)]
#[path = "capacity_tests.rs"]
mod tests;
