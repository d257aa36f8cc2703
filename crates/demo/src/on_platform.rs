use std::{
    env,
    sync::{Arc, Mutex},
    time::Duration,
};

use emulator::{
    DeploymentSpec, Engine, Hosts, Ledger, LoadGenerator, Operator, Program, Store, StoreSpec,
    Upstream,
};
use eyre::{Result, ensure, eyre};
use tokio::time::sleep;

/// Daemons of the demonstration, as on the first two sites.
const DAEMONS: usize = 6;

/// Time for the daemons to find the store, the upstreams and each other; on the first two sites
/// traffic starts after 10 s.
const WARM_UP: Duration = Duration::from_secs(4);

/// Share of the requests that a calm day has to serve; callers of a daemon that starts may fail.
const SERVED_MIN: f64 = 0.98;

/// Plays a calm day of a sheet and prints what came of it.
pub(crate) async fn play(name: &str, seconds: u64, load: f64, seed: u64) -> Result<()> {
    let sheet = DeploymentSpec::by_name(name).ok_or_else(|| eyre!("no mix {name}"))?;
    let ledger = Arc::new(Ledger::default());
    let store = Store::start(StoreSpec::default()).await?;
    let operator = Arc::new(Mutex::new(Operator::new(&store, &sheet)));
    let specs = sheet.upstreams().into_iter();
    let upstreams = specs.map(|spec| Upstream::start(spec, &store, &ledger));
    let upstreams: Vec<Upstream> = upstreams.collect::<Result<_>>()?;
    let program = Program {
        path: env::current_exe()?,
        args: vec!["--daemon".to_owned()],
    };
    let folder = env::temp_dir().join(format!("fireflylever-demo-{}", std::process::id()));
    let hosts = Hosts::start(program, &folder, DAEMONS, store.address)?;
    sleep(WARM_UP).await;
    let day = LoadGenerator::new(&sheet, &hosts.addresses(), &ledger, &operator)
        .with_load(load)
        .with_seed(seed);
    let report = day.run(Duration::from_secs(seconds)).await;
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

#[expect(clippy::cast_precision_loss, reason = "counts of one demonstration")]
fn as_float(count: u64) -> f64 {
    count as f64
}
