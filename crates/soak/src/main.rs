//! Randomized fault soak.
//!
//! Runs the real daemon as several processes on loopback, between callers, upstreams and a store of
//! its own, and injects faults from outside: signals to the daemons, a proxy before each upstream that
//! delays, resets, cuts one way or falls silent, and a store that refuses or does not answer. Faults
//! come in series and overlap. Meanwhile and at the end it checks what callers and upstreams saw:
//!
//! - a request that may not be repeated runs at most once;
//! - a request that was refused as not run has not run and never runs;
//! - an answer that looks whole is whole, belongs to its request and has its events in order;
//! - a path that was withdrawn is never served again by a daemon that had served its successor;
//! - when the faults are over, everything is served again.
//!
//! `soak --seed 7 --seconds 20` plays one seed; `--seeds 50` plays as many from there on.

mod caller;
mod daemons;
mod faults;
mod http;
mod ledger;
mod proxy;
mod store;
mod upstream;

use std::{path::PathBuf, sync::Arc, time::Duration};

use eyre::{Result, ensure};
use gumdrop::Options;
use rand::{SeedableRng as _, rngs::StdRng};

use crate::{daemons::Daemons, faults::Faults, ledger::Ledger, store::Store, upstream::Upstreams};

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
    #[options(help = "callers at a time", default = "12")]
    callers: usize,
    #[options(
        help = "folder for the daemons' settings and logs",
        default = "target/soak"
    )]
    folder: PathBuf,
}

/// Time for the daemons to find store, upstreams and each other.
const WARM_UP: Duration = Duration::from_secs(3);

/// Time after the last fault from which every request has to be served: rows of upstreams are read
/// within 2.2 s, an ejected upstream is tried again within some seconds.
const RECOVERY: Duration = Duration::from_secs(8);

/// Requests that have to be served after the recovery.
const LAST_REQUESTS: usize = 30;

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
    let store = Store::start().await?;
    let upstreams = Upstreams::start(&store, &ledger).await?;
    let folder = args.folder.join(format!("seed-{seed}"));
    let mut daemons = Daemons::start(&folder, args.daemons, &store)?;
    tokio::time::sleep(WARM_UP).await;
    let callers = caller::start(args.callers, &daemons.addresses(), &ledger, &store, seed);
    let length = Duration::from_secs(args.seconds);
    let faults = Faults::new(&mut rng, length, args.daemons, upstreams.count());
    let counts = faults.play(&mut daemons, &upstreams, &store).await?;
    daemons.heal().await?;
    upstreams.heal();
    store.heal();
    tokio::time::sleep(RECOVERY).await;
    callers.stop().await;
    let served = caller::serve_last(LAST_REQUESTS, &daemons.addresses(), &ledger, &store).await;
    daemons.stop().await?;
    let summary = ledger.check()?;
    ensure!(
        served == LAST_REQUESTS,
        "{served} of {LAST_REQUESTS} requests served after the faults"
    );
    Ok(format!("{summary}, {counts}"))
}
