//! Runs a daemon as a process: reads its settings and handles signals.

use std::{env, fs, path::Path, pin::pin};

use eyre::{Result, WrapErr as _, eyre};
use log::{info, warn};
use settings::Host;
use tokio::signal::unix::{SignalKind, signal};

use crate::Daemon;

/// Environment variable that replaces the setting `memory_max_mb`.
const MEMORY_MAX_MB_VAR: &str = "FIREFLYLEVER_MEMORY_MAX_MB";

/// Environment variable that replaces the setting `descriptors_max`.
const DESCRIPTORS_MAX_VAR: &str = "FIREFLYLEVER_DESCRIPTORS_MAX";

/// Reads and validates the settings file of a host, with the limits of the process from its
/// environment.
///
/// # Errors
///
/// Returns all problems of the file with their lines, or those of the environment.
pub fn read_host(path: &Path) -> Result<Host> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).wrap_err_with(|| name.clone())?;
    let host = parse(&text, &name)?;
    let memory_max_mb = env_limit(MEMORY_MAX_MB_VAR)?.or(host.memory_max_mb);
    let descriptors_max = env_limit(DESCRIPTORS_MAX_VAR)?.or(host.descriptors_max);
    let replaced = Host {
        memory_max_mb,
        descriptors_max,
        ..host.clone()
    };
    if replaced == host {
        return Ok(host);
    }
    // The rules hold for the limits of the environment too.
    parse(
        &serde_json::to_string(&replaced)?,
        &format!("{name} with the environment"),
    )
}

fn parse(text: &str, name: &str) -> Result<Host> {
    Host::parse(text).map_err(|problems| {
        let lines: Vec<String> = problems
            .iter()
            .map(|problem| problem.in_file(name))
            .collect();
        eyre!(lines.join("\n"))
    })
}

/// Reads a limit from the environment; `None` if it is not set or empty.
fn env_limit(name: &str) -> Result<Option<u64>> {
    let Some(text) = env::var_os(name).filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    let text = text.to_string_lossy();
    let limit = text.parse().wrap_err_with(|| format!("{name}: {text:?}"))?;
    Ok(Some(limit))
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
