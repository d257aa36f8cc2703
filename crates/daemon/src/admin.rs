//! HTTP handlers of the admin address: health, readiness, status, metrics and drain.

use std::sync::{Arc, atomic::Ordering};

use intake::Kind;
use log::info;
use metric::{Gauges, ReuseFigures};
use ntex::web::{
    HttpResponse,
    types::{Path, State},
};
use quarantine::{CrashEvidence, QuarantinedPart, VerdictState};
use sched::{ReuseTotals, UpstreamStatus};
use serde_json::json;

use crate::{duties, prompt_evidence, shared::Shared};

/// Serves `/healthz`: succeeds as long as the process can respond.
pub(crate) async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// Serves `/readyz`: succeeds while the host accepts new work.
pub(crate) async fn readyz(shared: State<Arc<Shared>>) -> HttpResponse {
    if !shared.is_ready() {
        return HttpResponse::ServiceUnavailable().body("not ready\n");
    }
    HttpResponse::Ok().body("ready\n")
}

/// Serves `/admin/status`: versions, queue lengths, and the members known from peers.
pub(crate) async fn status(shared: State<Arc<Shared>>) -> HttpResponse {
    let (queued, in_flight) = shared.with_core(|_, core| {
        let dispatcher = &core.dispatcher;
        (
            [0, 1, 2].map(|tier| dispatcher.queued(tier)),
            dispatcher.in_flight(),
        )
    });
    let (version, digest, confirmed_us) = shared.release_state.status();
    let now_us = shared.clock.now_us();
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
        "version": version,
        "digest": digest,
        "confirmed_ms_ago": confirmed_us.map(|at_us| now_us.saturating_sub(at_us) / 1_000),
        "draining": shared.is_draining(),
        "uptime_ms": u64::try_from(shared.clock.elapsed().as_millis()).unwrap_or(u64::MAX),
        "queued": queued,
        "in_flight": in_flight,
        "incarnation": incarnation,
        "members": members,
        "upstreams_leaving": upstreams_leaving,
        "peer_traffic": traffic,
        "duties": duties::status(&shared),
    }))
}

/// Serves `/admin/upstreams`: weight, slowdown and load of each upstream as this host measures
/// them.
pub(crate) async fn upstreams(shared: State<Arc<Shared>>) -> HttpResponse {
    let statuses = shared.with_core(|_, core| core.dispatcher.upstream_statuses());
    let entry = |status: &UpstreamStatus| {
        json!({
            "upstream": &*status.upstream,
            "weight": status.weight,
            "slowdown": status.slowdown,
            "ejected": status.ejected,
            "is_down": status.is_down,
            "outstanding": status.outstanding,
        })
    };
    HttpResponse::Ok().json(&statuses.iter().map(entry).collect::<Vec<_>>())
}

/// Serves `/metrics` in the `OpenMetrics` text format.
pub(crate) async fn metrics(shared: State<Arc<Shared>>) -> HttpResponse {
    let mut gauges = shared.with_core(|now_us, core| Gauges {
        queued: [0, 1, 2].map(|tier| core.dispatcher.queued(tier) as u64),
        oldest_wait_us: core.dispatcher.oldest_waits_us(now_us),
        in_flight: core.dispatcher.in_flight() as u64,
        stragglers: core
            .dispatcher
            .upstream_statuses()
            .iter()
            .filter(|status| status.ejected)
            .count() as u64,
        quarantined_parts: core
            .dispatcher
            .quarantine()
            .parts(now_us)
            .iter()
            .filter(|part| part.state == VerdictState::Quarantined)
            .count() as u64,
        reuse: reuse_figures(&core.dispatcher.reuse_totals()),
        ..Gauges::default()
    });
    let held = shared.holds.held();
    let kinds = Kind::ALL.map(Kind::as_str).into_iter();
    gauges.held_bytes = kinds.zip(held.by_kind).collect();
    gauges.memory_waits = held.waiting;
    gauges.caller_connections = shared.caller_connections.load(Ordering::Relaxed);
    gauges.live_peers = shared.peers.with(|membership| membership.live().count()) as u64;
    gauges.config_version = shared.snapshot.load().config.version;
    let upstreams_version = shared.cluster_state.upstreams_store_version();
    gauges.upstreams_version = upstreams_version.unwrap_or_default().number;
    gauges.store_era = shared.cluster_state.era().borrow().unwrap_or_default();
    gauges.ready = shared.is_ready();
    gauges.duties_held = shared.held.current().is_some();
    HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(shared.metrics.encode(&gauges))
}

/// Converts sums about the reuse of shared prompt parts for the metrics.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "sums are positive and far below 2^64"
)]
const fn reuse_figures(totals: &ReuseTotals) -> ReuseFigures {
    ReuseFigures {
        fetches: totals.fetches,
        fetched_tokens: totals.fetched_tokens as u64,
        judged: totals.judged,
        expected: totals.expected_hits as u64,
        missed: totals.misses,
    }
}

/// Serves `/admin/explain/ID`: the recorded decisions of one request.
pub(crate) async fn explain(id: Path<String>, shared: State<Arc<Shared>>) -> HttpResponse {
    // A request ID is the host name, a hyphen and the number of the request in hexadecimal.
    let number = id
        .rsplit('-')
        .next()
        .and_then(|digits| u64::from_str_radix(digits, 16).ok());
    let records = number.and_then(|number| {
        shared.with_core(|_, core| core.journal.explain(number).map(<[_]>::to_vec))
    });
    match records {
        Some(records) => HttpResponse::Ok().json(&json!({"id": *id, "records": records})),
        None => HttpResponse::NotFound().json(&json!({"id": *id, "records": []})),
    }
}

/// Serves `/admin/prompts`: the parts of prompts, and the whole requests, that are suspected or
/// quarantined.
pub(crate) async fn prompts(shared: State<Arc<Shared>>) -> HttpResponse {
    let parts = shared.with_core(|now_us, core| core.dispatcher.quarantine().parts(now_us));
    let crash = |crash: &CrashEvidence| {
        let requests = crash.requests.iter();
        let requests: Vec<String> = requests.map(|own| format!("{own:016x}")).collect();
        json!({
            "age_ms": crash.age_ms,
            "upstream_hash": format!("{:016x}", crash.upstream),
            "last_parts": requests,
        })
    };
    let entry = |part: &QuarantinedPart| {
        json!({
            "part": format!("{:016x}", part.part),
            "whole_request": part.is_request,
            "quarantined": part.state == VerdictState::Quarantined,
            "age_ms": part.age_ms,
            "crashes": part.crashes,
            "failed_trials": part.failed_trials,
            "evidence": part.evidence.iter().map(crash).collect::<Vec<_>>(),
        })
    };
    HttpResponse::Ok().json(&parts.iter().map(entry).collect::<Vec<_>>())
}

/// Serves `DELETE /admin/prompts/PART`: releases a part on all daemons.
pub(crate) async fn release_prompt(part: Path<String>, shared: State<Arc<Shared>>) -> HttpResponse {
    let Ok(number) = u64::from_str_radix(&part, 16) else {
        return HttpResponse::BadRequest().body("not a part\n");
    };
    info!("prompt: release by an operator part={number:016x}");
    if prompt_evidence::release(&shared, number) {
        HttpResponse::Ok().body("released\n")
    } else {
        HttpResponse::NotFound().body("neither suspected nor quarantined\n")
    }
}

/// Serves `/admin/drain`: stops accepting new work.
pub(crate) async fn drain(shared: State<Arc<Shared>>) -> HttpResponse {
    shared.set_draining();
    HttpResponse::Ok().body("draining\n")
}
