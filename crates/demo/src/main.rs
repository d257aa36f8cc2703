//! Demonstration inside one process: stand-ins, three daemons and the Grifo Común mix.
//!
//! Prints a table and, as its last line, `demo: ok` or what went wrong.

mod fleet;

use eyre::{Result, eyre};
use gumdrop::Options;
use load::{Mix, Plan, Target, run};
use standin::{SAMPLE_KEY, SAMPLE_MODEL};

use crate::fleet::Fleet;

/// Command line.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "seconds of load, 1 to 600", default = "10")]
    seconds: u64,
    #[options(help = "mean requests a second", default = "20")]
    rate: f64,
    #[options(help = "mix: grifo-comun or fliperama", default = "grifo-comun")]
    mix: String,
    #[options(help = "seed", default = "1")]
    seed: u64,
}

#[ntex::main]
async fn main() -> Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    let args = Args::parse_args_default_or_exit();
    let mix = Mix::by_name(&args.mix).ok_or_else(|| eyre!("no mix {}", args.mix))?;
    let plan = Plan::draw(&mix, args.rate, args.seconds.clamp(1, 600), args.seed);
    let fleet = Fleet::start().await?;
    let target = Target::new(
        fleet.addresses(),
        SAMPLE_KEY.to_owned(),
        SAMPLE_MODEL.to_owned(),
    );
    let report = run(&target, &plan).await?;
    let waste = fleet.waste();
    fleet.stop().await;
    print!("{report}");
    println!(
        "tokens generated: {}, for nobody: {}",
        waste.generated_tokens, waste.wasted_tokens
    );
    if report.broken() > 0 {
        return Err(eyre!("demo: {} answers broke off", report.broken()));
    }
    println!("demo: ok");
    Ok(())
}
