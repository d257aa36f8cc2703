use futures::future::LocalBoxFuture;

use crate::{Expect, Row, StoreError};

/// Platform's transactional table service.
pub trait Table {
    /// Reads a row.
    ///
    /// # Errors
    ///
    /// [`StoreError::Down`] if the service refuses the call or can't be reached,
    /// [`StoreError::Unknown`] if its answer is lost.
    fn read<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<Row>, StoreError>>;

    /// Writes a row if the condition holds, and returns its new version.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if the condition does not hold, [`StoreError::Down`] if nothing
    /// was applied, [`StoreError::Unknown`] if the write may have taken effect.
    fn write<'a>(
        &'a self,
        key: &'a str,
        expect: Expect,
        value: &'a str,
    ) -> LocalBoxFuture<'a, Result<u64, StoreError>>;

    /// Returns the rows under a key prefix that were written after a version, oldest first.
    ///
    /// # Errors
    ///
    /// [`StoreError::Down`] if the service refuses the call or can't be reached,
    /// [`StoreError::Unknown`] if its answer is lost.
    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        since_version: u64,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>, StoreError>>;
}
