use std::{sync::Arc, time::Duration};

use log::debug;
use ntex::client::Client;
use sched::LoadReport;
use settings::{Upstream, UpstreamKind};
use wire::EngineLoad;

use crate::shared::Shared;

/// Pause between two reads of an engine's load.
///
/// One engine is read at a time, whatever their number, so that the cost of a daemon does not grow
/// with the fleet. Own observations go before these reports, which lag anyway.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// Time limit of one read.
const READ_MAX: Duration = Duration::from_secs(2);

/// Largest metrics page.
const PAGE_MAX_BYTES: usize = 256 * 1024;

/// Reads the load of the engines of this region, one after the other.
pub(crate) async fn read_loads(shared: Arc<Shared>, client: Client) {
    let mut last = String::new();
    loop {
        tokio::time::sleep(READ_PAUSE).await;
        let view = shared.view.load_full();
        let region = shared.host.region.as_str();
        let Some(engine) = next_engine(&view.config.upstreams, region, &last) else {
            continue;
        };
        last.clone_from(&engine.name);
        match tokio::time::timeout(READ_MAX, read_load(&client, engine)).await {
            Ok(Some(load)) => {
                let load = LoadReport {
                    running: load.running,
                    waiting: load.waiting,
                    cache_used_permille: load.cache_used_permille,
                };
                shared.with_core(|now_us, core| {
                    core.act(now_us, |dispatcher, actions| {
                        dispatcher.report_load(now_us, &engine.name, &load, actions);
                    });
                });
            }
            Ok(None) | Err(_) => debug!("load: {} does not report", engine.name),
        }
    }
}

/// Returns the engine of a region that follows a name, the first one after the last.
fn next_engine<'a>(upstreams: &'a [Upstream], region: &str, last: &str) -> Option<&'a Upstream> {
    let start = upstreams.partition_point(|upstream| upstream.name.as_str() <= last);
    let (before, after) = upstreams.split_at(start);
    let fits =
        |upstream: &&Upstream| upstream.kind == UpstreamKind::Model && upstream.region == region;
    after.iter().chain(before).find(fits)
}

async fn read_load(client: &Client, engine: &Upstream) -> Option<EngineLoad> {
    let url = format!("http://{}/metrics", engine.address);
    let answer = client.get(url).send().await.ok()?;
    let page = answer.body().limit(PAGE_MAX_BYTES).await.ok()?;
    EngineLoad::parse(std::str::from_utf8(&page).ok()?)
}
