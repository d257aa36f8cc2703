use std::{sync::Arc, time::Duration};

use log::{info, warn};
use settings::Config;
use store::{StoreError, Table};

use crate::shared::Shared;

/// Row that holds the configuration in force.
const CURRENT: &str = "release/current";

/// Follows the configuration in the platform's table service.
pub(crate) async fn follow_releases(shared: Arc<Shared>, table: Box<dyn Table>) {
    let pause = Duration::from_millis(shared.host.store_poll_ms);
    let mut reachable = true;
    loop {
        let began_us = shared.clock.now_us();
        match poll(&shared, table.as_ref()).await {
            Ok(()) => {
                shared.peers.freshness.confirm(began_us);
                reachable = true;
            }
            Err(error) => {
                if reachable {
                    warn!("release: poll failed: {error}");
                }
                reachable = false;
            }
        }
        // Polls at once after a pause of this process.
        let _ = tokio::time::timeout(pause, shared.peers.refresh.notified()).await;
    }
}

async fn poll(shared: &Shared, table: &dyn Table) -> Result<(), StoreError> {
    let Some(row) = table.read(CURRENT).await? else {
        return Ok(());
    };
    match serde_json::from_str::<Config>(&row.value) {
        Ok(config) => {
            let version = config.version;
            if shared.configure(config) {
                info!("release: version {version} in force");
            }
        }
        Err(error) => warn!("release: row is not a configuration: {error}"),
    }
    Ok(())
}
