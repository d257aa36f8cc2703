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
//! With `--drills`, the store also comes back from older copies, beside the other faults and once
//! after them, when one host may be suspended. Further checks then hold:
//!
//! - no process returns to an older version of the configuration;
//! - once the store has been stable for 4 s, every host has the operator's newest configuration
//!   within 3 s;
//! - then no request reaches an upstream later than 3 s after the store has acknowledged that it
//!   leaves, or 3 s after the store is stable again.
//!
//! `soak --seed 7 --seconds 20` runs one seed; `--seeds 50` runs 50 consecutive seeds;
//! `--drills 3` adds three drills, some of which are two in a row.

mod departures;
mod deployment;
mod drills;
mod faults;
mod host_watch;
mod proxy;
mod route_watch;
mod upstreams;

use std::{
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use emulator::{Hosts, Ledger, LoadGenerator, Operator, Program, Store, StoreFault, StoreSpec};
use eyre::{Result, ensure};
use gumdrop::Options;
use rand::{SeedableRng as _, rngs::StdRng};
use rustix::process::Signal;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    departures::{DRAIN_MAX, Departure, Departures},
    deployment::PROBE,
    drills::Drills,
    faults::Faults,
    host_watch::HostWatch,
    route_watch::RouteWatch,
    upstreams::Upstreams,
};

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
        help = "drills, in which the store comes back from an older copy",
        no_short
    )]
    drills: usize,
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

/// Time without disruption after which hosts and store count as stable (`contact_ms` of the users'
/// sites).
const CONTACT_TIME: Duration = Duration::from_secs(4);

/// Longest time until a configuration is in force (`config_apply_ms` of the users' sites).
const CONFIG_APPLY_MAX: Duration = Duration::from_secs(3);

/// Additional load after the faults, for the last drill and the checks that follow it.
const DRILL_CHECK_TIME: Duration = Duration::from_secs(8);

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
    let has_drills = args.drills > 0;
    let operator = if has_drills {
        Operator::new(&store, &deployment::with_probe_route(&deployment))
    } else {
        Operator::new(&store, &deployment)
    };
    let operator = Arc::new(Mutex::new(operator));
    let fault_time = Duration::from_secs(args.seconds);
    let calm_time = fault_time + RESTART_TIME;
    let drills = Drills::new(seed, args.drills, args.daemons, fault_time, calm_time);
    let suspended_host = drills.suspended_host;
    let heartbeats_change_row = drills.heartbeats_change_row;
    let upstreams = Upstreams::start(&deployment, &store, &ledger, heartbeats_change_row).await?;
    let folder = args.folder.join(format!("seed-{seed}"));
    let program = Program::sibling(PROGRAM)?;
    let mut hosts = Hosts::start(program, &folder, args.daemons, store.address)?;
    // One more upstream leaves after the drills.
    let departures = has_drills
        .then(|| Departures::start(args.drills + 1, &store, &ledger, heartbeats_change_row));
    let departures = departures.transpose()?.map(Arc::new);
    sleep(WARM_UP).await;
    let addresses = hosts.addresses();
    let route_watch = RouteWatch {
        daemons: addresses.clone(),
        operator: operator.clone(),
        ledger: ledger.clone(),
    };
    let route_watch_task = tokio::spawn(route_watch.run());
    let faults = Faults::new(&mut rng, fault_time, args.daemons, upstreams.count());
    let load = LoadGenerator::new(&deployment, &addresses, &ledger, &operator).with_seed(seed);
    let mut load_time = calm_time + RECOVERY_TIME;
    if has_drills {
        load_time += DRILL_CHECK_TIME;
    }
    let load = tokio::spawn(async move { load.run(load_time).await });
    let host_watch = HostWatch {
        hosts: addresses
            .iter()
            .copied()
            .zip(hosts.admin_addresses())
            .collect(),
        ledger: ledger.clone(),
    };
    let drill_tasks = departures.as_ref().map(|departures| {
        let (store, operator, departures) = (store.clone(), operator.clone(), departures.clone());
        let watch = tokio::spawn(host_watch.clone().run());
        let task = tokio::spawn(async move { drills.run(&store, &operator, &departures).await });
        (task, watch)
    });
    let counts = faults
        .run(&mut hosts, &upstreams, &store, &operator)
        .await?;
    upstreams.clear_faults();
    store.set_fault(StoreFault::None);
    hosts.heal().await?;
    let mut drill_count = 0;
    if let (Some((drills, watch)), Some(departures)) = (drill_tasks, &departures) {
        if let Some(host) = suspended_host {
            hosts.signal(host, Signal::STOP)?;
        }
        drill_count = drills.await?;
        if let Some(host) = suspended_host {
            hosts.signal(host, Signal::CONT)?;
        }
        check_after_drills(&host_watch, &operator, departures).await;
        watch.abort();
        // The task never ends by itself, so that a panic is all that it can report.
        if let Err(error) = watch.await
            && error.is_panic()
        {
            return Err(error.into());
        }
    }
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
        "{summary}, {served} of {expected} owed served, {counts}, {drill_count} drills"
    ))
}

/// Checks what hosts have learned since the last drill, and whether they still learn.
async fn check_after_drills(
    hosts: &HostWatch,
    operator: &Mutex<Operator>,
    departures: &Departures,
) {
    let stable_at = Instant::now() + CONTACT_TIME;
    sleep_until(stable_at + CONFIG_APPLY_MAX).await;
    let version = lock(operator).version();
    hosts
        .check_config(version, "3 s after the store was stable")
        .await;
    departures.leave_last(Departure::Deregisters);
    let published_at = Instant::now();
    lock(operator).rotate_routes();
    sleep_until(published_at + CONFIG_APPLY_MAX.max(DRAIN_MAX)).await;
    let (version, prefix) = {
        let operator = lock(operator);
        (operator.version(), operator.prefix(PROBE))
    };
    hosts
        .check_config(version, "3 s after it was published")
        .await;
    hosts.probe(&prefix).await;
    departures.check(stable_at, &hosts.ledger);
}

fn lock(operator: &Mutex<Operator>) -> MutexGuard<'_, Operator> {
    operator.lock().unwrap_or_else(PoisonError::into_inner)
}
