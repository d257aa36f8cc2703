use std::{net::SocketAddr, time::Duration};

use futures::future::LocalBoxFuture;
use settings::{Config, Upstream};
use store::{HostEntry, StoreError};

/// Reads and writes the router's rows in the platform's store.
pub trait StoreAdapter {
    /// Waits for a change of the configuration, for `wait` at most.
    ///
    /// The first call returns at once. Returns `None` if nothing changed, or if the stored configuration can't be parsed.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] if the store does not respond or refuses the request.
    fn config(&mut self, wait: Duration) -> LocalBoxFuture<'_, Result<Option<Config>, StoreError>>;

    /// Returns all registered upstreams, with their zone but without their region.
    ///
    /// The first call returns at once; a later one returns as soon as any of them has changed, and
    /// after `wait` at the latest.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] if the store does not respond or refuses the request.
    fn upstreams(
        &mut self,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Vec<Upstream>, StoreError>>;

    /// Returns the registered daemons.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] if the store does not respond or refuses the request.
    fn daemons(&self) -> LocalBoxFuture<'_, Result<Vec<HostEntry>, StoreError>>;

    /// Registers this daemon.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; after [`StoreError::Unknown`] the daemon may be registered or not.
    fn register<'a>(
        &'a self,
        name: &'a str,
        address: SocketAddr,
    ) -> LocalBoxFuture<'a, Result<(), StoreError>>;
}
