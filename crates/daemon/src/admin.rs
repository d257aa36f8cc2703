use std::sync::Arc;

use ntex::web::{HttpResponse, types::State};
use serde_json::json;

use crate::shared::Shared;

/// Serves `/healthz`: the process answers.
pub(crate) async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// Serves `/readyz`: the host takes new work.
pub(crate) async fn readyz(shared: State<Arc<Shared>>) -> HttpResponse {
    if shared.is_draining() || shared.view.load().config.version == 0 {
        return HttpResponse::ServiceUnavailable().body("not ready\n");
    }
    HttpResponse::Ok().body("ready\n")
}

/// Serves `/admin/status`.
pub(crate) async fn status(shared: State<Arc<Shared>>) -> HttpResponse {
    let (queued, in_flight) = shared.with_core(|_, core| {
        let dispatcher = &core.dispatcher;
        (
            [0, 1, 2].map(|tier| dispatcher.queued(tier)),
            dispatcher.in_flight(),
        )
    });
    let (incarnation, members, upstreams_leaving, traffic) = shared.peers.with(|membership| {
        let members: Vec<_> = membership.members().cloned().collect();
        let leaving: Vec<_> = membership.upstreams_leaving().map(str::to_owned).collect();
        let incarnation = membership.me().incarnation;
        (incarnation, members, leaving, membership.counters())
    });
    HttpResponse::Ok().json(&json!({
        "host": shared.host.name,
        "region": shared.host.region,
        "zone": shared.host.zone,
        "version": shared.view.load().config.version,
        "draining": shared.is_draining(),
        "uptime_ms": u64::try_from(shared.clock.elapsed().as_millis()).unwrap_or(u64::MAX),
        "queued": queued,
        "in_flight": in_flight,
        "incarnation": incarnation,
        "members": members,
        "upstreams_leaving": upstreams_leaving,
        "peer_traffic": traffic,
    }))
}

/// Serves `/admin/drain`.
pub(crate) async fn drain(shared: State<Arc<Shared>>) -> HttpResponse {
    shared.set_draining();
    HttpResponse::Ok().body("draining\n")
}
