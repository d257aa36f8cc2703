use std::{fs, path::Path};

use eyre::{Result, WrapErr as _, eyre};
use log::{info, warn};
use settings::Host;
use tokio::signal::unix::{SignalKind, signal};

use crate::Daemon;

/// Reads and checks the settings file of a host.
///
/// # Errors
///
/// Returns every fault of the file with its line.
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
/// SIGTERM and SIGINT start a planned stop, a second one ends it at once. SIGHUP reads the settings
/// file again; what it changes takes effect with the next start.
///
/// # Errors
///
/// Returns an error if an address can't be bound or a second signal cuts the stop short.
pub async fn run(daemon: Daemon, settings: &Path) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let running = daemon.start().await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break info!("daemon: SIGTERM"),
            _ = interrupt.recv() => break info!("daemon: SIGINT"),
            _ = hangup.recv() => note_settings(&running, settings),
        }
    }
    tokio::select! {
        () = running.stop() => Ok(()),
        _ = terminate.recv() => Err(eyre!("second signal, stopped at once")),
        _ = interrupt.recv() => Err(eyre!("second signal, stopped at once")),
    }
}

/// Tells whether the settings file has changed since the start.
fn note_settings(running: &crate::RunningDaemon, settings: &Path) {
    match read_host(settings) {
        Ok(host) if host == *running.host() => info!("daemon: reload, settings unchanged"),
        Ok(_) => warn!("daemon: reload, changed settings take effect with the next start"),
        Err(error) => warn!("daemon: reload, settings ignored: {error}"),
    }
}
