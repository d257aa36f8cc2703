use std::{net::SocketAddr, time::Duration};

use batch::Profile;
use daemon::{Daemon, RunningDaemon};
use eyre::Result;
use standin::{Engine, SAMPLE_MODEL, Service, Store, sample_config, sample_host};
use store::{Expect, HttpTable, Table as _};

/// Daemons of the demonstration.
const DAEMONS: usize = 3;

/// Engines of the demonstration.
const ENGINES: usize = 6;

/// Time limit of the write of the configuration.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two looks at whether the daemons are ready.
const READY_PAUSE: Duration = Duration::from_millis(20);

/// Tokens counted by the engines.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Waste {
    pub(crate) generated_tokens: u64,
    pub(crate) wasted_tokens: u64,
}

/// Stand-ins and daemons on loopback ports.
pub(crate) struct Fleet {
    engines: Vec<Engine>,
    servers: Vec<standin::RunningServer>,
    daemons: Vec<RunningDaemon>,
}

impl Fleet {
    /// Starts everything and waits until every daemon takes work.
    pub(crate) async fn start() -> Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let engines: Vec<Engine> = (0..ENGINES)
            .map(|_| Engine::new(Profile::default(), &[SAMPLE_MODEL]))
            .collect();
        let mut servers = Vec::new();
        for engine in &engines {
            servers.push(engine.start(any)?);
        }
        let addresses: Vec<SocketAddr> = servers
            .iter()
            .map(standin::RunningServer::address)
            .collect();
        let service = Service::default().start(any)?;
        let store = Store::default().start(any)?;
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
            tokio::time::sleep(READY_PAUSE).await;
        }
        Ok(Self {
            engines,
            servers,
            daemons,
        })
    }

    /// Returns the addresses for callers.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(RunningDaemon::listen).collect()
    }

    /// Returns what the engines counted.
    pub(crate) fn waste(&self) -> Waste {
        let mut waste = Waste::default();
        for stats in self.engines.iter().map(Engine::stats) {
            waste.generated_tokens += stats.generated_tokens;
            waste.wasted_tokens += stats.wasted_tokens;
        }
        waste
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
