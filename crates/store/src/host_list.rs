use futures::future::LocalBoxFuture;

use crate::{HostEntry, StoreError};

/// Platform's list of live and leaving hosts, which lags behind their actual state.
pub trait HostList {
    /// Returns the list, sorted by name.
    ///
    /// # Errors
    ///
    /// [`StoreError::Down`] if the platform refuses the call or can't be reached,
    /// [`StoreError::Unknown`] if its answer is lost.
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<HostEntry>, StoreError>>;
}
