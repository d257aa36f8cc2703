//! Daemons and stand-ins of the demonstration, all in this process.

use std::{net::SocketAddr, time::Duration};

use batch::Profile;
use daemon::{Daemon, RunningDaemon};
use eyre::Result;
use standin::{Engine, SAMPLE_MODEL, Service, Store, sample_config, sample_host};
use store::{Expect, HttpTable, Table as _};

/// Number of daemons.
const DAEMONS: usize = 3;

/// Number of engines.
const ENGINES: usize = 6;

/// Time limit of writing the configuration to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two checks whether the daemons are ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Tokens counted by all engines: generated, and wasted because the client had disconnected.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TokenCounts {
    pub(crate) generated_tokens: u64,
    pub(crate) wasted_tokens: u64,
}

/// Running stand-ins and daemons on loopback ports.
pub(crate) struct Fleet {
    engines: Vec<Engine>,
    servers: Vec<standin::RunningServer>,
    daemons: Vec<RunningDaemon>,
}

impl Fleet {
    /// Starts stand-ins and daemons and waits until every daemon accepts requests.
    pub(crate) async fn start() -> Result<Self> {
        let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let engines: Vec<Engine> = (0..ENGINES)
            .map(|_| Engine::new(Profile::default(), &[SAMPLE_MODEL]))
            .collect();
        let mut servers = Vec::new();
        for engine in &engines {
            servers.push(engine.start(free_port)?);
        }
        let addresses: Vec<SocketAddr> = servers
            .iter()
            .map(standin::RunningServer::address)
            .collect();
        let service = Service::default().start(free_port)?;
        let store = Store::default().start(free_port)?;
        let config = sample_config(1, &addresses, &[service.address()]);
        let table = HttpTable::new(store.address(), STORE_TIMEOUT).await?;
        table
            .write(
                "release/current",
                Expect::Absent,
                &serde_json::to_string(&config)?,
            )
            .await?;
        let mut daemons = Vec::new();
        for number in 1..=DAEMONS {
            let host = sample_host(&format!("entry-{number}"), store.address());
            daemons.push(Daemon::new(host).start().await?);
        }
        servers.push(service);
        servers.push(store);
        while !daemons.iter().all(RunningDaemon::is_ready) {
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Ok(Self {
            engines,
            servers,
            daemons,
        })
    }

    /// Returns the addresses at which the daemons serve callers.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(RunningDaemon::listen).collect()
    }

    /// Returns the sums of the engines' token counters.
    pub(crate) fn token_counts(&self) -> TokenCounts {
        let mut token_counts = TokenCounts::default();
        for stats in self.engines.iter().map(Engine::stats) {
            token_counts.generated_tokens += stats.generated_tokens;
            token_counts.wasted_tokens += stats.wasted_tokens;
        }
        token_counts
    }

    /// Stops the daemons gracefully, then the stand-ins.
    pub(crate) async fn stop(self) {
        for daemon in self.daemons {
            daemon.stop().await;
        }
        for server in self.servers {
            server.stop().await;
        }
    }
}
