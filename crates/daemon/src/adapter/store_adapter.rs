use std::time::Duration;

use futures::future::LocalBoxFuture;
use peer::ListedHost;
use store::{StoreError, StoreVersion};

use super::{ConfigRead, UpstreamRead};

/// Reads and writes the router's rows in the platform's store.
pub trait StoreAdapter {
    /// Reads the configuration.
    ///
    /// Without `after`, the configuration is read at once. With it, the call returns as soon as the
    /// configuration has changed since that version of the store, and after `wait` at the latest; if
    /// the store no longer knows the changes, the configuration is read as it is.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] if the store does not respond or refuses the request.
    fn config(
        &self,
        after: Option<StoreVersion>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<ConfigRead, StoreError>>;

    /// Reads the upstreams, with their zone but without their region.
    ///
    /// Without `after`, all of them are read at once. With it, the call returns those that have
    /// changed since that version of the store, as soon as there is one and after `wait` at the
    /// latest; if the store no longer knows the changes, it returns all.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] if the store does not respond or refuses the request.
    fn upstreams(
        &self,
        after: Option<StoreVersion>,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<UpstreamRead, StoreError>>;

    /// Returns the registered daemons of an availability zone.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] if the store does not respond or refuses the request.
    fn daemons<'a>(
        &'a self,
        zone: &'a str,
    ) -> LocalBoxFuture<'a, Result<Vec<ListedHost>, StoreError>>;

    /// Registers a daemon in its availability zone.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; after [`StoreError::Unknown`] the daemon may be registered or not.
    fn register<'a>(&'a self, daemon: &'a ListedHost)
    -> LocalBoxFuture<'a, Result<(), StoreError>>;
}
