use futures::future::LocalBoxFuture;

use crate::{HostEntry, StoreError};

/// Border to the platform's lagging list of live and leaving hosts.
pub trait HostList {
    /// Returns the list, sorted by name.
    ///
    /// # Errors
    ///
    /// [`StoreError::Down`] or [`StoreError::Unknown`] if the platform does not answer.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<HostEntry>, StoreError>>;
}
