use std::sync::Arc;

use emulator::{DeploymentSpec, Ledger, Store, Upstream, UpstreamFault};
use eyre::Result;
use tokio::net::TcpListener;

use crate::proxy::{Harm, Proxy};

/// Upstreams behind their proxies, registered in the store.
pub struct Upstreams {
    upstreams: Vec<(Upstream, Proxy)>,
}

impl Upstreams {
    /// Starts the plain upstreams and engines of a sheet.
    pub async fn start(
        sheet: &DeploymentSpec,
        store: &Store,
        ledger: &Arc<Ledger>,
    ) -> Result<Self> {
        let mut upstreams = Vec::new();
        for spec in sheet.upstreams() {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let proxy = Proxy::start(listener.local_addr()?).await?;
            let upstream = Upstream::start_behind(proxy.address, listener, spec, store, ledger)?;
            upstreams.push((upstream, proxy));
        }
        Ok(Self { upstreams })
    }

    pub fn count(&self) -> usize {
        self.upstreams.len()
    }

    /// Sets what the proxy before an upstream does.
    pub fn harm(&self, index: usize, harm: Harm) {
        self.upstreams[index].1.set(harm);
    }

    /// Sets how an upstream misbehaves.
    pub fn set_fault(&self, index: usize, fault: UpstreamFault) {
        self.upstreams[index].0.set_fault(fault);
    }

    /// Empties an engine, as a crash does; a plain upstream has nothing to forget.
    pub fn forget(&self, index: usize) {
        if let Some(engine) = self.upstreams[index].0.engine() {
            engine.clear();
        }
    }

    /// Ends all harms and faults.
    pub fn heal(&self) {
        for (upstream, proxy) in &self.upstreams {
            proxy.set(Harm::None);
            upstream.set_fault(UpstreamFault::None);
        }
    }
}
