use std::net::SocketAddr;

use futures::future::LocalBoxFuture;
use settings::{Config, Upstream};
use store::{HostEntry, StoreError};

/// Border to the rows of the platform's store that concern the router.
pub trait StoreAdapter {
    /// Waits for a change of the configuration, for some seconds at most.
    ///
    /// Returns `None` if there was none, or if what the store holds can't be read.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] if the store does not answer or refuses.
    fn config(&mut self) -> LocalBoxFuture<'_, Result<Option<Config>, StoreError>>;

    /// Returns the upstreams that are registered, with their zone but without their region.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] if the store does not answer or refuses.
    fn upstreams(&self) -> LocalBoxFuture<'_, Result<Vec<Upstream>, StoreError>>;

    /// Returns the daemons that have registered.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] if the store does not answer or refuses.
    fn daemons(&self) -> LocalBoxFuture<'_, Result<Vec<HostEntry>, StoreError>>;

    /// Registers this daemon.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; after [`StoreError::Unknown`] it may be registered.
    fn register<'a>(
        &'a self,
        name: &'a str,
        address: SocketAddr,
    ) -> LocalBoxFuture<'a, Result<(), StoreError>>;
}
