//! Sends a request mix to daemons on loopback addresses, or measures the latency that a daemon adds
//! to its engine.

use std::net::SocketAddr;

use eyre::{Result, eyre};
use gumdrop::Options;
use load::{Mix, Plan, Target, measure_overhead, run};

/// Command-line arguments.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "addresses of daemons, separated by commas")]
    daemons: String,
    #[options(help = "API key")]
    key: String,
    #[options(help = "model", default = "faucet-vision")]
    model: String,
    #[options(help = "mix: grifo-comun or fliperama", default = "grifo-comun")]
    mix: String,
    #[options(help = "mean requests per second", default = "20")]
    rate: f64,
    #[options(help = "seconds, at most 600", default = "10")]
    seconds: u64,
    #[options(help = "seed", default = "1")]
    seed: u64,
    #[options(help = "compare with this engine instead of sending the mix")]
    engine: Option<SocketAddr>,
    #[options(help = "calls of the comparison", default = "500")]
    calls: usize,
}

/// Maximum length of a run.
const SECONDS_MAX: u64 = 600;

#[ntex::main]
async fn main() -> Result<()> {
    env_logger::init();
    let args = Args::parse_args_default_or_exit();
    let addresses: Result<Vec<SocketAddr>, _> = args.daemons.split(',').map(str::parse).collect();
    let target = Target::new(addresses?, args.key, args.model);
    if let Some(engine) = args.engine {
        print!("{}", measure_overhead(&target, engine, args.calls).await?);
        return Ok(());
    }
    let mix = Mix::by_name(&args.mix).ok_or_else(|| eyre!("no mix {}", args.mix))?;
    let plan = Plan::generate(&mix, args.rate, args.seconds.min(SECONDS_MAX), args.seed);
    print!("{}", run(&target, &plan).await?);
    Ok(())
}
