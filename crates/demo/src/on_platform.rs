use std::{
    env,
    sync::{Arc, Mutex},
    time::Duration,
};

use emulator::{
    Day, Engine, Hosts, Ledger, Operator, Program, Sheet, Store, StoreSpec, Upstream, UpstreamSpec,
    Work,
};
use eyre::{Result, ensure, eyre};
use tokio::time::sleep;

/// Daemons of the demonstration, as on the first two sites.
const DAEMONS: usize = 6;

/// Bytes of a plain answer, from the users' sheets.
const BODY_BYTES: usize = 800;

/// Time for the daemons to find the store, the upstreams and each other; on the first two sites
/// traffic starts after 10 s.
const WARM_UP: Duration = Duration::from_secs(4);

/// Share of the requests that a calm day has to serve; callers of a daemon that starts may fail.
const SERVED_MIN: f64 = 0.98;

/// Plays a calm day of a sheet and prints what came of it.
pub(crate) async fn play(name: &str, seconds: u64, load: f64, seed: u64) -> Result<()> {
    let sheet = Sheet::by_name(name).ok_or_else(|| eyre!("no mix {name}"))?;
    let ledger = Arc::new(Ledger::default());
    let store = Store::start(StoreSpec::default()).await?;
    let operator = Arc::new(Mutex::new(Operator::new(&store, &sheet)));
    let upstreams = start_upstreams(&sheet, &store, &ledger)?;
    let program = Program {
        path: env::current_exe()?,
        args: vec!["--daemon".to_owned()],
    };
    let folder = env::temp_dir().join(format!("fireflylever-demo-{}", std::process::id()));
    let hosts = Hosts::start(program, &folder, DAEMONS, store.address)?;
    sleep(WARM_UP).await;
    let day = Day::new(&sheet, &hosts.addresses(), &ledger, &operator)
        .with_load(load)
        .with_seed(seed);
    let report = day.play(Duration::from_secs(seconds)).await;
    hosts.stop().await?;
    print!("{report}");
    let engines = || upstreams.iter().filter_map(Upstream::engine);
    let read: u64 = engines().map(Engine::prefilled_tokens).sum();
    let preempted: u64 = engines().map(Engine::preemptions).sum();
    println!("prompt tokens read: {read}, requests preempted: {preempted}");
    let calls = store.calls();
    println!(
        "calls of the store: {} reading, {} writing, {} refused",
        calls.reads, calls.writes, calls.refused
    );
    println!("{}", ledger.check()?);
    std::fs::remove_dir_all(&folder)?;
    let served = as_float(report.served()) / as_float(report.owed().max(1));
    ensure!(served >= SERVED_MIN, "served {served:.3} of the requests");
    Ok(())
}

fn start_upstreams(sheet: &Sheet, store: &Store, ledger: &Arc<Ledger>) -> Result<Vec<Upstream>> {
    let engine = Work::Engine {
        profile: sheet.profile.clone(),
        event_tokens: sheet.event_tokens,
    };
    let plain = Work::Plain {
        work_ms: sheet.plain_work_ms,
        body_bytes: BODY_BYTES,
    };
    let engines = (0..sheet.engines).map(|number| {
        let id = format!("engine-{number}");
        UpstreamSpec::new(&id, sheet.engine_service, engine.clone())
    });
    let plain = (0..sheet.plain_upstreams).map(|number| {
        let id = format!("plain-{number}");
        let spec = UpstreamSpec::new(&id, sheet.plain_service, plain.clone());
        spec.with_slots(sheet.plain_slots, sheet.plain_slots as usize)
    });
    let started = engines
        .chain(plain)
        .map(|spec| Upstream::start(spec, store, ledger));
    started.collect()
}

#[expect(clippy::cast_precision_loss, reason = "counts of one demonstration")]
fn as_float(count: u64) -> f64 {
    count as f64
}
