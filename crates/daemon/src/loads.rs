//! Reads the load that engines report in their metrics.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use link::{ConnectionPool, Full, Request, header};
use log::debug;
use sched::LoadReport;
use settings::{Upstream, UpstreamKind};
use wire::EngineMetrics;

use crate::{
    services::{IDLE_MAX, UNTAGGED},
    shared::Shared,
};

/// Pause between two reads of an engine's load.
///
/// Engines are read one after the other, so that the cost does not grow with the number of engines.
/// The daemon's own observations take precedence over these reports, which lag anyway.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// Time limit of one read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest metrics page that is read.
const PAGE_MAX_BYTES: usize = 256 * 1024;

/// Reads the load of the engines of this region, one after the other.
pub(crate) async fn read_loads(shared: Arc<Shared>, pool: Rc<ConnectionPool>) {
    let mut last = String::new();
    loop {
        tokio::time::sleep(READ_PAUSE).await;
        let snapshot = shared.snapshot.load_full();
        let region = shared.host.region.as_str();
        let Some(engine) = next_engine(&snapshot.config.upstreams, region, &last) else {
            continue;
        };
        last.clone_from(&engine.name);
        match tokio::time::timeout(READ_TIMEOUT, read_load(&pool, engine)).await {
            Ok(Some(load)) => {
                let load = LoadReport {
                    running: load.running,
                    waiting: load.waiting,
                    cache_used_permille: load.cache_used_permille,
                };
                shared.with_core(|now_us, core| {
                    core.dispatch(now_us, |dispatcher, actions| {
                        dispatcher.report_load(now_us, &engine.name, &load, actions);
                    });
                });
            }
            Ok(None) | Err(_) => debug!("load: {} does not report", engine.name),
        }
    }
}

/// Returns the engine of a region that follows a name in name order, wrapping around at the end.
fn next_engine<'a>(upstreams: &'a [Upstream], region: &str, last: &str) -> Option<&'a Upstream> {
    let start = upstreams.partition_point(|upstream| upstream.name.as_str() <= last);
    let (before, after) = upstreams.split_at(start);
    let fits =
        |upstream: &&Upstream| upstream.kind == UpstreamKind::Model && upstream.region == region;
    after.iter().chain(before).find(fits)
}

/// Reads and parses the metrics page of one engine.
async fn read_load(pool: &Rc<ConnectionPool>, engine: &Upstream) -> Option<EngineMetrics> {
    let request = Request::builder()
        .uri("/metrics")
        .header(header::HOST, engine.address.to_string())
        .body(Full::from(Bytes::new()))
        .ok()?;
    let sent = pool.send(engine.address, request, IDLE_MAX, UNTAGGED, || true);
    let page = sent.await.ok()?.read_body(PAGE_MAX_BYTES).await.ok()?;
    EngineMetrics::parse(std::str::from_utf8(&page).ok()?)
}
