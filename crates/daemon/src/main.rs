//! Router daemon of one host.

use std::path::PathBuf;

use daemon::{Daemon, init_logging, read_host, run};
use eyre::Result;
use gumdrop::Options;

/// Command line of the daemon.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print help")]
    help: bool,
    #[options(
        free,
        required,
        help = "settings file of this host, JSON with comments"
    )]
    settings: PathBuf,
}

#[ntex::main]
async fn main() -> Result<()> {
    let args = Args::parse_args_default_or_exit();
    init_logging();
    let host = read_host(&args.settings)?;
    run(Daemon::new(host), &args.settings).await
}
