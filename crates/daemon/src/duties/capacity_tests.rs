//! The task that orders upstreams, with a fake control service and the runtime's clock.

use std::{cell::RefCell, rc::Rc, sync::Weak};

use futures::future::{LocalBoxFuture, join, ready};
use settings::{Honours, Service, Upstream, UpstreamKind, ZonePrice};
use store::{MemoryTable, StoreVersion};
use tokio::time::timeout;

use super::*;
use crate::{
    adapter::{ConfigRead, UpstreamRead, UpstreamRow},
    duties::hold_duties,
    peers::Peers,
};

/// Call of the fake control service: service, availability zone, number, whether reclaimable.
type Call = (String, String, u32, bool);

/// Accepts every order and remembers it.
#[derive(Clone, Default)]
struct FakeCloud {
    calls: Rc<RefCell<Vec<Call>>>,
}

impl CloudAdapter for FakeCloud {
    fn report_usage<'a>(
        &'a self,
        _: CallHolder<'a>,
        _: u64,
        _: &'a [(String, u64)],
        _: Duration,
    ) -> LocalBoxFuture<'a, CallResult> {
        Box::pin(ready(CallResult::Accepted))
    }

    fn order_upstreams<'a>(
        &'a self,
        _: CallHolder<'a>,
        order: UpstreamOrder<'a>,
        _: Duration,
    ) -> LocalBoxFuture<'a, CallResult> {
        let call = (
            order.service.to_owned(),
            order.zone.to_owned(),
            order.desired,
            order.reclaimable,
        );
        self.calls.borrow_mut().push(call);
        Box::pin(ready(CallResult::Accepted))
    }
}

fn shared() -> Arc<Shared> {
    let host = r#"{
        "name": "entry-1", "region": "costa", "zone": "costa-norte",
        "listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
        "store": "127.0.0.1:1",
        "peer_keys": [{"id": 1, "secret_hex": "00112233445566778899aabbccddeeff"}],
        "zones": [{"zone": "norte", "region": "costa"}, {"zone": "sur", "region": "costa"}],
        "duties": {"address": "127.0.0.1:9", "kinds": ["autoscale"], "calls_per_s": 50.0,
            "lease_ms": 3000}
    }"#;
    let host = Host::parse(host).unwrap();
    let peers = Peers::new(&host, Weak::new(), host.peer_listen).unwrap();
    Arc::new(Shared::new(host, peers))
}

fn autoscaling() -> Autoscaling {
    let zones = ["elsewhere", "norte", "sur"].map(|zone| ZonePrice {
        zone: zone.to_owned(),
        price_permille: 1_000,
    });
    Autoscaling {
        upstreams_min: 1,
        upstreams_max: 40,
        start_ms: 4_000,
        reclaimable_price_permille: 200,
        zones: zones.to_vec(),
    }
}

fn upstream(number: u16, zone: &str, reclaimable: bool, state: UpstreamLifecycle) -> Upstream {
    Upstream {
        name: format!("i-{number:03}"),
        kind: UpstreamKind::Service,
        address: ([10, 0, 0, 1], 1_000 + number).into(),
        region: String::new(),
        zone: zone.to_owned(),
        models: Vec::new(),
        service: "drafts".to_owned(),
        slots: 8,
        honours: Honours::default(),
        state,
        engine: None,
        started_ms: None,
        reclaimable,
    }
}

/// Puts a service in force with ten upstreams in each of two zones.
fn configure(shared: &Shared, autoscaling: Option<Autoscaling>) {
    let service = Service {
        name: "drafts".to_owned(),
        answer_max_ms: 1_000,
        non_idempotent: Vec::new(),
        engine: None,
        autoscaling,
    };
    let config = Config {
        version: 1,
        services: vec![service],
        ..Config::default()
    };
    let read = ConfigRead {
        store_version: StoreVersion::new(1, 1),
        is_whole: true,
        config: Some(config),
    };
    shared.cluster_state.apply_config(shared, read);
    let rows = (0..20).map(|number| {
        let zone = if number < 10 { "norte" } else { "sur" };
        let upstream = upstream(number, zone, false, UpstreamLifecycle::Live);
        UpstreamRow {
            name: upstream.name.clone(),
            store_version: StoreVersion::new(1, 2),
            upstream: Some(upstream),
        }
    });
    let read = UpstreamRead {
        store_version: StoreVersion::new(1, 2),
        is_whole: true,
        rows: rows.collect(),
    };
    shared.cluster_state.apply_upstreams(shared, read);
}

/// Runs the task for some seconds and returns the calls.
async fn calls(shared: &Arc<Shared>, holds: bool) -> Vec<Call> {
    let cloud = FakeCloud::default();
    let orders = order_upstreams(shared.clone(), Box::new(cloud.clone()));
    let hold = async {
        if holds {
            hold_duties(shared.clone(), Box::new(MemoryTable::default())).await;
        }
    };
    let _ = timeout(Duration::from_secs(20), join(orders, hold)).await;
    cloud.calls.take()
}

/// Guards against a service that asks for orders and gets none, and against orders in a zone that
/// this deployment doesn't have.
#[tokio::test(start_paused = true)]
async fn the_holder_orders_in_the_zones_of_the_deployment() {
    let shared = shared();
    configure(&shared, Some(autoscaling()));
    let calls = calls(&shared, true).await;
    for zone in ["norte", "sur"] {
        let in_zone = |call: &&Call| call.1 == zone && call.3;
        assert!(calls.iter().any(|call| in_zone(&call)), "{zone}: {calls:?}");
    }
    assert!(calls.iter().all(|call| call.0 == "drafts"), "{calls:?}");
    assert!(calls.iter().all(|call| call.1 != "elsewhere"), "{calls:?}");
}

/// Guards against orders of a host that doesn't hold the duty.
#[tokio::test(start_paused = true)]
async fn only_the_holder_orders() {
    let shared = shared();
    configure(&shared, Some(autoscaling()));
    assert_eq!(calls(&shared, false).await, []);
}

/// Guards against orders for a service that doesn't ask for them.
#[tokio::test(start_paused = true)]
async fn a_service_without_autoscaling_is_never_ordered() {
    let shared = shared();
    configure(&shared, None);
    assert_eq!(calls(&shared, true).await, []);
}

/// Guards against upstreams that are counted in the wrong zone, kind or state.
#[test]
fn upstreams_are_counted_by_zone_and_kind() {
    let live = UpstreamLifecycle::Live;
    let leaving = UpstreamLifecycle::Leaving;
    let config = Config {
        upstreams: vec![
            upstream(1, "sur", false, live),
            upstream(2, "norte", true, live),
            upstream(3, "norte", true, leaving),
            upstream(4, "norte", false, leaving),
            Upstream {
                service: "other".to_owned(),
                ..upstream(5, "norte", false, live)
            },
        ],
        ..Config::default()
    };
    let zones = upstreams_by_zone(&config, "drafts");
    let counts = zones.iter().map(|zone| {
        let kinds = [zone.lasting, zone.reclaimable];
        let kinds = kinds.map(|count| (count.live, count.leaving));
        (zone.zone.as_str(), kinds)
    });
    let expected = [("norte", [(0, 1), (1, 1)]), ("sur", [(1, 0), (0, 0)])];
    assert!(counts.eq(expected));
}
