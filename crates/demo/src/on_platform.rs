//! Demonstration with daemon processes on an emulator of the users' platform.

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

/// Number of daemons, as in the first two deployments.
const DAEMONS: usize = 6;

/// Time for the daemons to find the store, the upstreams and each other before requests are sent;
/// the first two deployments allow 10 s.
const WARM_UP: Duration = Duration::from_secs(4);

/// Minimum fraction of requests to serve in a run without faults; requests to a daemon that is
/// still starting may fail.
const SERVED_MIN: f64 = 0.98;

/// Runs the load of a deployment without faults, prints the results and checks them.
pub(crate) async fn run(name: &str, seconds: u64, load: f64, seed: u64) -> Result<()> {
    let deployment = DeploymentSpec::by_name(name).ok_or_else(|| eyre!("no mix {name}"))?;
    let ledger = Arc::new(Ledger::default());
    let store = Store::start(StoreSpec::default()).await?;
    let operator = Arc::new(Mutex::new(Operator::new(&store, &deployment)));
    let specs = deployment.upstreams().into_iter();
    let upstreams = specs.map(|spec| Upstream::start(spec, &store, &ledger));
    let upstreams: Vec<Upstream> = upstreams.collect::<Result<_>>()?;
    let program = Program {
        path: env::current_exe()?,
        args: vec!["--daemon".to_owned()],
    };
    let folder = env::temp_dir().join(format!("fireflylever-demo-{}", std::process::id()));
    let hosts = Hosts::start(program, &folder, DAEMONS, store.address)?;
    sleep(WARM_UP).await;
    let load_generator = LoadGenerator::new(&deployment, &hosts.addresses(), &ledger, &operator)
        .with_load(load)
        .with_seed(seed);
    let report = load_generator.run(Duration::from_secs(seconds)).await;
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
