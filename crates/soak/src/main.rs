//! Randomized fault soak.
//!
//! Runs several processes of the real daemon on loopback, between the callers, upstreams and store
//! of crate `emulator`, and injects overlapping faults from outside: signals to the daemons; a
//! proxy in front of each upstream that delays data, resets connections or drops data in one or
//! both directions; upstreams whose responses are corrupt, early, duplicate or missing; a store
//! that is unavailable, loses its history, drops responses or does not respond. During the run and
//! at its end, it checks what callers and upstreams observed:
//!
//! - a non-idempotent request runs at most once;
//! - a request that was refused as not run has not run and never runs;
//! - an answer that ends normally is complete, belongs to its request and has its events in order;
//! - a daemon that has served the successor of a withdrawn path never serves that path again;
//! - after the faults have ended, every request is served again.
//!
//! `soak --seed 7 --seconds 20` runs one seed; `--seeds 50` runs 50 consecutive seeds.

mod deployment;
mod faults;
mod proxy;
mod route_watch;
mod upstreams;

use std::{
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

use emulator::{Hosts, Ledger, LoadGenerator, Operator, Program, Store, StoreFault, StoreSpec};
use eyre::{Result, ensure};
use gumdrop::Options;
use rand::{SeedableRng as _, rngs::StdRng};
use tokio::time::sleep;

use crate::{faults::Faults, route_watch::RouteWatch, upstreams::Upstreams};

/// Command line of the soak.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "first seed", default = "1")]
    seed: u64,
    #[options(help = "number of seeds", default = "1", no_short)]
    seeds: u64,
    #[options(help = "seconds with faults for each seed", default = "8", no_short)]
    seconds: u64,
    #[options(help = "daemons", default = "3")]
    daemons: usize,
    #[options(help = "requests a second", default = "150")]
    rate: f64,
    #[options(
        help = "folder for the daemons' settings and logs",
        default = "target/soak"
    )]
    folder: PathBuf,
}

/// Name of the daemon's program, which is in the same folder as this one.
const PROGRAM: &str = "fireflylever-edge";

/// Time for the daemons to discover the store, the upstreams and each other.
const WARM_UP: Duration = Duration::from_secs(3);

/// Time from the last fault until every request has to be served again: daemons read changed rows
/// of upstreams within 2.2 s, and try an ejected upstream again within some seconds.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// Time after the last fault for stopped and suspended daemons to restart or resume.
const RESTART_TIME: Duration = Duration::from_secs(6);

/// Duration of the final load, all of whose requests have to be served.
const FINAL_DURATION: Duration = Duration::from_secs(2);

/// Factor on the request rate for the final load.
const FINAL_LOAD_FACTOR: f64 = 0.1;

/// Offset of the final load's seed, so that its request identifiers differ from earlier ones.
const FINAL_SEED_OFFSET: u64 = 1 << 32;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let args = Args::parse_args_default_or_exit();
    let mut failed = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        match run_seed(&args, seed).await {
            Ok(summary) => println!("seed {seed}: ok, {summary}"),
            Err(error) => {
                println!("seed {seed}: FAILED, {error}");
                failed.push(seed);
            }
        }
    }
    ensure!(failed.is_empty(), "failed seeds: {failed:?}");
    println!("soak: ok");
    Ok(())
}

/// Runs one seed and returns a summary, or an error with the violations that were found.
async fn run_seed(args: &Args, seed: u64) -> Result<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let ledger = Arc::new(Ledger::default());
    let store = Store::start(StoreSpec::default()).await?;
    let deployment = deployment::deployment(args.rate);
    let operator = Arc::new(Mutex::new(Operator::new(&store, &deployment)));
    let upstreams = Upstreams::start(&deployment, &store, &ledger).await?;
    let folder = args.folder.join(format!("seed-{seed}"));
    let program = Program::sibling(PROGRAM)?;
    let mut hosts = Hosts::start(program, &folder, args.daemons, store.address)?;
    sleep(WARM_UP).await;
    let addresses = hosts.addresses();
    let route_watch = RouteWatch {
        daemons: addresses.clone(),
        operator: operator.clone(),
        ledger: ledger.clone(),
    };
    let route_watch_task = tokio::spawn(route_watch.run());
    let fault_time = Duration::from_secs(args.seconds);
    let faults = Faults::new(&mut rng, fault_time, args.daemons, upstreams.count());
    let load = LoadGenerator::new(&deployment, &addresses, &ledger, &operator).with_seed(seed);
    let load =
        tokio::spawn(async move { load.run(fault_time + RESTART_TIME + RECOVERY_TIME).await });
    let counts = faults
        .run(&mut hosts, &upstreams, &store, &operator)
        .await?;
    upstreams.clear_faults();
    store.set_fault(StoreFault::None);
    hosts.heal().await?;
    let report = load.await?;
    // At a tenth of the rate and without abandoned or retried requests, every request has to be
    // served.
    let final_load = LoadGenerator::new(&deployment, &addresses, &ledger, &operator)
        .with_load(FINAL_LOAD_FACTOR)
        .with_abandon_rate(0.0)
        .with_max_attempts(1)
        .with_seed(seed + FINAL_SEED_OFFSET);
    // Outcomes of the final load.
    let last = final_load.run(FINAL_DURATION).await;
    route_watch_task.abort();
    hosts.kill().await?;
    let summary = ledger.check()?;
    ensure!(
        last.served() == last.owed() && last.owed() > 0,
        "{} of {} requests served after the faults\n{last}",
        last.served(),
        last.owed()
    );
    let (served, expected) = (report.served(), report.owed());
    Ok(format!(
        "{summary}, {served} of {expected} owed served, {counts}"
    ))
}
