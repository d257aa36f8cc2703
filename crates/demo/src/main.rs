//! Demonstration that sends the Grifo Común mix to three daemons in front of stand-ins.
//!
//! Everything runs inside this process. With `--platform`, the daemons are processes on an emulator
//! of the users' platform. Prints a table and, as its last line, `demo: ok` or what went wrong.

mod fleet;
mod on_platform;

use std::{env, path::PathBuf};

use eyre::{Result, eyre};
use gumdrop::Options;
use load::{Mix, Plan, Target, run};
use standin::{SAMPLE_KEY, SAMPLE_MODEL};

use crate::fleet::Fleet;

/// Command-line arguments.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "seconds of load, 1 to 600", default = "10")]
    seconds: u64,
    #[options(help = "mean requests per second", default = "20")]
    rate: f64,
    #[options(help = "mix: grifo-comun or fliperama", default = "grifo-comun")]
    mix: String,
    #[options(help = "seed", default = "1")]
    seed: u64,
    #[options(help = "on a stand-in of the users' platform; mix: grifo-comun or fnf-rotas")]
    platform: bool,
    #[options(
        help = "factor on the rates with --platform",
        default = "1.0",
        no_short
    )]
    load: f64,
    #[options(help = "run one daemon; used by --platform", no_short)]
    daemon: bool,
}

/// Environment variable with the path of a daemon's settings file.
const SETTINGS_VARIABLE: &str = "FIREFLYLEVER_SETTINGS";

#[ntex::main]
async fn main() -> Result<()> {
    let args = Args::parse_args_default_or_exit();
    if args.daemon {
        daemon::init_logging();
        let settings = env::var_os(SETTINGS_VARIABLE)
            .ok_or_else(|| eyre!("{SETTINGS_VARIABLE} is not set"))?;
        return platform::serve(&PathBuf::from(settings)).await;
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    if args.platform {
        let seconds = args.seconds.clamp(1, 600);
        on_platform::run(&args.mix, seconds, args.load, args.seed).await?;
        println!("demo: ok");
        return Ok(());
    }
    let mix = Mix::by_name(&args.mix).ok_or_else(|| eyre!("no mix {}", args.mix))?;
    let plan = Plan::generate(&mix, args.rate, args.seconds.clamp(1, 600), args.seed);
    let fleet = Fleet::start().await?;
    let target = Target::new(
        fleet.addresses(),
        SAMPLE_KEY.to_owned(),
        SAMPLE_MODEL.to_owned(),
    );
    let report = run(&target, &plan).await?;
    let tokens = fleet.token_counts();
    fleet.stop().await;
    print!("{report}");
    println!(
        "tokens generated: {}, for nobody: {}",
        tokens.generated_tokens, tokens.wasted_tokens
    );
    if report.broken() > 0 {
        return Err(eyre!("demo: {} answers broke off", report.broken()));
    }
    println!("demo: ok");
    Ok(())
}
