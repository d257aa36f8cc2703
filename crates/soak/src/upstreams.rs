//! Emulated upstreams of the soak.

use std::sync::Arc;

use emulator::{DeploymentSpec, Ledger, Store, Upstream, UpstreamFault};
use eyre::Result;
use tokio::net::TcpListener;

use crate::proxy::{ConnectionFault, Proxy};

/// Upstreams behind their proxies, which are registered in the store.
pub struct Upstreams {
    upstreams: Vec<(Upstream, Proxy)>,
}

impl Upstreams {
    /// Starts the plain upstreams and engines of a deployment. `heartbeats_change_row` tells whether
    /// their rows change at each heartbeat.
    pub async fn start(
        deployment: &DeploymentSpec,
        store: &Store,
        ledger: &Arc<Ledger>,
        heartbeats_change_row: bool,
    ) -> Result<Self> {
        let mut upstreams = Vec::new();
        for spec in deployment.upstreams() {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let proxy = Proxy::start(listener.local_addr()?).await?;
            let spec = spec.with_heartbeats_change_row(heartbeats_change_row);
            let upstream = Upstream::start_behind(proxy.address, listener, spec, store, ledger)?;
            upstreams.push((upstream, proxy));
        }
        Ok(Self { upstreams })
    }

    /// Returns the number of upstreams.
    pub fn count(&self) -> usize {
        self.upstreams.len()
    }

    /// Sets the fault of the proxy in front of an upstream.
    pub fn set_connection_fault(&self, index: usize, fault: ConnectionFault) {
        self.upstreams[index].1.set_fault(fault);
    }

    /// Sets the fault of an upstream.
    pub fn set_upstream_fault(&self, index: usize, fault: UpstreamFault) {
        self.upstreams[index].0.set_fault(fault);
    }

    /// Empties an engine, as a crash does; a plain upstream has no state to lose.
    pub fn clear_engine(&self, index: usize) {
        if let Some(engine) = self.upstreams[index].0.engine() {
            engine.clear();
        }
    }

    /// Ends all faults of proxies and upstreams.
    pub fn clear_faults(&self) {
        for (upstream, proxy) in &self.upstreams {
            proxy.set_fault(ConnectionFault::None);
            upstream.set_fault(UpstreamFault::None);
        }
    }
}
