use futures::future::LocalBoxFuture;

use crate::{Expect, Row, StoreError, StoreVersion};

/// Platform's transactional table service.
///
/// A table that comes back from an older copy begins a new era: its rows have the versions of the
/// copy in the new era, and no condition on a version of an earlier one holds.
pub trait Table {
    /// Returns the newest known era; after a call, it is at least that of the call's result.
    ///
    /// It tells the era of a row that does not exist.
    fn era(&self) -> u64;

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
    /// was applied, [`StoreError::Unknown`] if the write may have taken effect, also if the era has
    /// changed meanwhile.
    fn write<'a>(
        &'a self,
        key: &'a str,
        expect: Expect,
        value: &'a str,
    ) -> LocalBoxFuture<'a, Result<StoreVersion, StoreError>>;

    /// Returns the rows under a key prefix that were written after a version, oldest first.
    ///
    /// # Errors
    ///
    /// [`StoreError::Down`] if the service refuses the call or can't be reached,
    /// [`StoreError::Unknown`] if its answer is lost.
    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        since_version: StoreVersion,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>, StoreError>>;
}
