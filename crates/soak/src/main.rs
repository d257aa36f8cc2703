//! Randomized fault soak.
//!
//! Runs the real daemon as several processes on loopback, between callers, upstreams and the store of
//! crate `emulator`, and injects faults from outside: signals to the daemons, a proxy before each
//! upstream that delays, resets, cuts one way or falls silent, upstreams that answer garbled, late,
//! twice or never, and a store that refuses, forgets, loses answers or does not answer. Faults come in
//! series and overlap. Meanwhile and at the end it checks what callers and upstreams saw:
//!
//! - a request that may not be repeated runs at most once;
//! - a request that was refused as not run has not run and never runs;
//! - an answer that looks whole is whole, belongs to its request and has its events in order;
//! - a path that was withdrawn is never served again by a daemon that had served its successor;
//! - when the faults are over, everything is served again.
//!
//! `soak --seed 7 --seconds 20` plays one seed; `--seeds 50` plays as many from there on.

mod faults;
mod proxy;
mod sheet;
mod upstreams;
mod versions;

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

use crate::{faults::Faults, upstreams::Upstreams, versions::Versions};

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

/// Name of the daemon's program, which is built beside this one.
const PROGRAM: &str = "fireflylever-edge";

/// Time for the daemons to find store, upstreams and each other.
const WARM_UP: Duration = Duration::from_secs(3);

/// Time after the last fault from which every request has to be served: rows of upstreams are read
/// within 2.2 s, an ejected upstream is tried again within some seconds.
const RECOVERY: Duration = Duration::from_secs(8);

/// Time for stopped and paused daemons to come back after the last fault.
const HEALING: Duration = Duration::from_secs(6);

/// Time of the requests after the recovery, all of which have to be served.
const LAST: Duration = Duration::from_secs(2);

/// Factor on their rate.
const LAST_LOAD: f64 = 0.1;

/// Tells their identifiers apart from those before.
const LAST_SEED: u64 = 1 << 32;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let args = Args::parse_args_default_or_exit();
    let mut failed = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        match play(&args, seed).await {
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

async fn play(args: &Args, seed: u64) -> Result<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let ledger = Arc::new(Ledger::default());
    let store = Store::start(StoreSpec::default()).await?;
    let sheet = sheet::sheet(args.rate);
    let operator = Arc::new(Mutex::new(Operator::new(&store, &sheet)));
    let upstreams = Upstreams::start(&sheet, &store, &ledger).await?;
    let folder = args.folder.join(format!("seed-{seed}"));
    let program = Program::sibling(PROGRAM)?;
    let mut hosts = Hosts::start(program, &folder, args.daemons, store.address)?;
    sleep(WARM_UP).await;
    let addresses = hosts.addresses();
    let watched = Versions {
        daemons: addresses.clone(),
        operator: operator.clone(),
        ledger: ledger.clone(),
    };
    let watch = tokio::spawn(watched.watch());
    let length = Duration::from_secs(args.seconds);
    let faults = Faults::new(&mut rng, length, args.daemons, upstreams.count());
    let day = LoadGenerator::new(&sheet, &addresses, &ledger, &operator).with_seed(seed);
    let day = tokio::spawn(async move { day.run(length + HEALING + RECOVERY).await });
    let counts = faults
        .play(&mut hosts, &upstreams, &store, &operator)
        .await?;
    upstreams.heal();
    store.set_fault(StoreFault::None);
    hosts.heal().await?;
    let report = day.await?;
    // At a tenth of the rate, without leaving or returning, everything has to be served.
    let last = LoadGenerator::new(&sheet, &addresses, &ledger, &operator)
        .with_load(LAST_LOAD)
        .with_abandon_rate(0.0)
        .with_max_attempts(1)
        .with_seed(seed + LAST_SEED);
    let last = last.run(LAST).await;
    watch.abort();
    hosts.kill().await?;
    let summary = ledger.check()?;
    ensure!(
        last.served() == last.owed() && last.owed() > 0,
        "{} of {} requests served after the faults\n{last}",
        last.served(),
        last.owed()
    );
    let (served, owed) = (report.served(), report.owed());
    Ok(format!(
        "{summary}, {served} of {owed} owed served, {counts}"
    ))
}
