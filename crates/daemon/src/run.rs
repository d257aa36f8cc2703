//! Runs a daemon as a process: reads its settings and handles signals.

use std::{fs, path::Path, pin::pin};

use eyre::{Result, WrapErr as _, eyre};
use log::{info, warn};
use settings::Host;
use tokio::signal::unix::{SignalKind, signal};

use crate::Daemon;

/// Reads and validates the settings file of a host.
///
/// # Errors
///
/// Returns all problems of the file with their lines.
pub fn read_host(path: &Path) -> Result<Host> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).wrap_err_with(|| name.clone())?;
    Host::parse(&text).map_err(|problems| {
        let lines: Vec<String> = problems
            .iter()
            .map(|problem| problem.in_file(&name))
            .collect();
        eyre!(lines.join("\n"))
    })
}

/// Runs a daemon until a signal stops it.
///
/// SIGTERM and SIGINT start a graceful stop, which only a SIGINT after that cuts short: a platform
/// that repeats SIGTERM still expects requests in flight to finish. SIGHUP reads and validates the
/// settings file again; changes take effect with the next start.
///
/// # Errors
///
/// Returns an error if an address can't be bound or SIGINT cuts the stop short.
pub async fn run(daemon: Daemon, settings_path: &Path) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let running = daemon.start().await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break info!("daemon: SIGTERM"),
            _ = interrupt.recv() => break info!("daemon: SIGINT"),
            _ = hangup.recv() => log_settings_change(&running, settings_path),
        }
    }
    let mut stop = pin!(running.stop());
    loop {
        tokio::select! {
            () = &mut stop => return Ok(()),
            _ = terminate.recv() => info!("daemon: SIGTERM again, the stop goes on"),
            _ = interrupt.recv() => return Err(eyre!("SIGINT during the stop, ended at once")),
        }
    }
}

/// Logs whether the settings file is valid and has changed since the start.
fn log_settings_change(running: &crate::RunningDaemon, settings_path: &Path) {
    match read_host(settings_path) {
        Ok(host) if host == *running.host() => info!("daemon: reload, settings unchanged"),
        Ok(_) => warn!("daemon: reload, changed settings take effect with the next start"),
        Err(error) => warn!("daemon: reload, settings ignored: {error}"),
    }
}
