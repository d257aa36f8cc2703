//! Router daemon of one host.

use std::{fs, path::PathBuf};

use daemon::Daemon;
use eyre::{Result, WrapErr as _, eyre};
use gumdrop::Options;
use log::info;
use settings::Host;
use tokio::signal::unix::{SignalKind, signal};

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
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let args = Args::parse_args_default_or_exit();
    let path = args.settings.display().to_string();
    let text = fs::read_to_string(&args.settings).wrap_err_with(|| path.clone())?;
    let host = Host::parse(&text).map_err(|problems| {
        let lines: Vec<String> = problems
            .iter()
            .map(|problem| problem.in_file(&path))
            .collect();
        eyre!(lines.join("\n"))
    })?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let running = Daemon::new(host).start().await?;
    tokio::select! {
        _ = terminate.recv() => info!("daemon: SIGTERM"),
        _ = interrupt.recv() => info!("daemon: SIGINT"),
    }
    tokio::select! {
        () = running.stop() => Ok(()),
        _ = terminate.recv() => Err(eyre!("second signal, stopped at once")),
        _ = interrupt.recv() => Err(eyre!("second signal, stopped at once")),
    }
}
