//! Keeps what is known of prompts that crash upstreams in the platform's store.

use std::{sync::Arc, time::Duration};

use log::{info, warn};
use quarantine::{Persistence, PersistenceStep, Snapshot};
use store::{Expect, Row, StoreError, StoreVersion, Table};

use crate::{clock::unix_ms, core::Core, prompt_evidence::apply_changes, shared::Shared};

/// Key of the row.
const KEY: &str = "prompts";

/// Interval at which the evidence is checked for changes.
const INTERVAL: Duration = Duration::from_millis(500);

/// Reads and writes the row with the evidence when [`Persistence`] says so.
pub(crate) async fn keep_prompt_evidence(shared: Arc<Shared>, table: Box<dyn Table>) {
    let mut persistence = Persistence::default();
    loop {
        tokio::time::sleep(INTERVAL).await;
        persistence.see_era(table.era());
        let step = shared.with_core(|now_us, core| {
            persistence.next_step(now_us, unix_ms(), core.dispatcher.quarantine())
        });
        match step {
            PersistenceStep::Wait => {}
            PersistenceStep::Read => {
                let row = table.read(KEY).await;
                shared.with_core(|now_us, core| match row {
                    Ok(row) => restore(core, now_us, &mut persistence, row.as_ref()),
                    Err(error) => fail(now_us, &mut persistence, &error),
                });
                shared.evidence.notify_one();
            }
            PersistenceStep::Write { version, snapshot } => {
                let written = write(&*table, version, &snapshot).await;
                shared.with_core(|now_us, core| match written {
                    Ok(version) => persistence.handle_write(now_us, version),
                    Err(StoreError::Conflict(row)) => {
                        restore(core, now_us, &mut persistence, row.as_ref());
                    }
                    Err(error) => fail(now_us, &mut persistence, &error),
                });
            }
        }
    }
}

async fn write(
    table: &dyn Table,
    version: Option<StoreVersion>,
    snapshot: &Snapshot,
) -> Result<StoreVersion, StoreError> {
    let text = snapshot.to_text().map_err(|error| {
        warn!("prompt: {error}");
        StoreError::Down
    })?;
    let expect = version.map_or(Expect::Absent, Expect::Version);
    let version = table.write(KEY, expect, &text).await?;
    info!(
        "prompt: evidence saved version={version} losses={} verdicts={} bytes={}",
        snapshot.losses.len(),
        snapshot.verdicts.len(),
        text.len()
    );
    Ok(version)
}

/// Restores the content of the row, if it exists and can be read.
fn restore(core: &mut Core, now_us: u64, persistence: &mut Persistence, row: Option<&Row>) {
    let snapshot = row.and_then(|row| match Snapshot::from_text(&row.value) {
        Ok(snapshot) => Some(snapshot),
        Err(error) => {
            warn!(
                "prompt: stored evidence ignored version={} error={error}",
                row.version
            );
            None
        }
    });
    let version = row.map(|row| row.version);
    let unix_ms = unix_ms();
    let quarantine = core.dispatcher.quarantine_mut();
    persistence.handle_read(now_us, unix_ms, version, snapshot.as_ref(), quarantine);
    apply_changes(core, now_us);
    let (losses, verdicts, age_ms) = snapshot.map_or((0, 0, 0), |snapshot| {
        let age_ms = unix_ms.saturating_sub(snapshot.taken_unix_ms);
        (snapshot.losses.len(), snapshot.verdicts.len(), age_ms)
    });
    info!(
        "prompt: evidence restored version={} losses={losses} verdicts={verdicts} age_ms={age_ms}",
        version.unwrap_or_default()
    );
}

fn fail(now_us: u64, persistence: &mut Persistence, error: &StoreError) {
    warn!("prompt: evidence neither read nor saved error={error:?}");
    persistence.handle_failure(now_us);
}
