//! In-memory table with fault injection.

use std::{cell::RefCell, collections::VecDeque};

use futures::future::{LocalBoxFuture, ready};

use crate::{Expect, Fault, HostEntry, HostList, Row, StoreError, StoreVersion, Table, TableCopy};

/// Table that keeps its rows in memory and injects faults, for tests and the stand-in of the table
/// service.
///
/// # Examples
///
/// ```
/// use store::{Expect, Fault, MemoryTable, StoreError};
///
/// let table = MemoryTable::default().with_faults([Fault::AnswerLost]);
/// assert_eq!(table.write_now("a", Expect::Absent, "1"), Err(StoreError::Unknown));
/// assert_eq!(table.read_now("a").unwrap().unwrap().value, "1");
///
/// // The table comes back from a copy that was made before the write.
/// let copy = MemoryTable::default().copy();
/// table.restore(&copy);
/// assert_eq!((table.read_now("a"), table.era_now()), (Ok(None), 1));
/// ```
#[derive(Debug, Default)]
pub struct MemoryTable {
    inner: RefCell<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    version: StoreVersion,
    /// Rows, sorted by key.
    rows: Vec<Row>,
    /// Key of the row that was written last, and the row before that write.
    before_last_write: Option<(String, Option<Row>)>,
    hosts: Vec<HostEntry>,
    /// Faults of the next operations, in order; `None` lets the operation pass.
    faults: VecDeque<Option<Fault>>,
    down: bool,
}

impl MemoryTable {
    /// Injects these faults into the next operations, in order.
    #[must_use]
    pub fn with_faults<I>(self, faults: I) -> Self
    where
        I: IntoIterator<Item = Fault>,
    {
        self.inner
            .borrow_mut()
            .faults
            .extend(faults.into_iter().map(Some));
        self
    }

    /// Appends a fault for one more operation to the schedule; `None` lets that operation pass.
    pub fn push_fault(&self, fault: Option<Fault>) {
        self.inner.borrow_mut().faults.push_back(fault);
    }

    /// Sets whether every operation fails with [`StoreError::Down`].
    pub fn set_down(&self, down: bool) {
        self.inner.borrow_mut().down = down;
    }

    /// Sets the host list.
    pub fn set_hosts(&self, mut hosts: Vec<HostEntry>) {
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        self.inner.borrow_mut().hosts = hosts;
    }

    /// Returns a copy of the rows and of the counter of versions.
    #[must_use]
    pub fn copy(&self) -> TableCopy {
        let inner = self.inner.borrow();
        TableCopy {
            number: inner.version.number,
            rows: inner.rows.clone(),
        }
    }

    /// Comes back from a copy: the era rises, and the versions since the copy are given out again.
    pub fn restore(&self, copy: &TableCopy) {
        let mut inner = self.inner.borrow_mut();
        let era = inner.version.era + 1;
        inner.version = StoreVersion::new(era, copy.number);
        inner.rows.clone_from(&copy.rows);
        for row in &mut inner.rows {
            row.version.era = era;
        }
        inner.before_last_write = None;
    }

    /// Synchronous version of [`Table::era`].
    #[must_use]
    pub fn era_now(&self) -> u64 {
        self.inner.borrow().version.era
    }

    /// Synchronous version of [`Table::read`].
    ///
    /// # Errors
    ///
    /// As [`Table::read`].
    pub fn read_now(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let mut inner = self.inner.borrow_mut();
        let fault = inner.next_fault()?;
        let found = inner.find(key);
        match (fault, &inner.before_last_write) {
            (Some(Fault::AnswerLost | Fault::RequestLost), _) => Err(StoreError::Unknown),
            (Some(Fault::Stale), Some((last, before))) if last == key => Ok(before.clone()),
            _ => Ok(found.ok().map(|index| inner.rows[index].clone())),
        }
    }

    /// Synchronous version of [`Table::write`].
    ///
    /// # Errors
    ///
    /// As [`Table::write`].
    pub fn write_now(
        &self,
        key: &str,
        expect: Expect,
        value: &str,
    ) -> Result<StoreVersion, StoreError> {
        let mut inner = self.inner.borrow_mut();
        let fault = inner.next_fault()?;
        if fault == Some(Fault::RequestLost) {
            return Err(StoreError::Unknown);
        }
        let is_unaware = fault == Some(Fault::EraUnknown);
        let result = inner.apply(key, expect, value, is_unaware);
        match fault {
            Some(Fault::AnswerLost) => Err(StoreError::Unknown),
            Some(Fault::EraUnknown) => result.and(Err(StoreError::Unknown)),
            _ => result,
        }
    }

    /// Synchronous version of [`Table::scan`].
    ///
    /// # Errors
    ///
    /// As [`Table::scan`].
    pub fn scan_now(
        &self,
        prefix: &str,
        since_version: StoreVersion,
    ) -> Result<Vec<Row>, StoreError> {
        let mut inner = self.inner.borrow_mut();
        if matches!(
            inner.next_fault()?,
            Some(Fault::AnswerLost | Fault::RequestLost)
        ) {
            return Err(StoreError::Unknown);
        }
        let start = inner.rows.partition_point(|row| row.key.as_str() < prefix);
        let mut rows: Vec<Row> = inner.rows[start..]
            .iter()
            .take_while(|row| row.key.starts_with(prefix))
            .filter(|row| row.version > since_version)
            .cloned()
            .collect();
        rows.sort_by_key(|row| row.version);
        Ok(rows)
    }
}

impl Inner {
    /// Takes the fault of this operation; returns an error if the table is down.
    fn next_fault(&mut self) -> Result<Option<Fault>, StoreError> {
        let fault = self.faults.pop_front().flatten();
        if self.down || fault == Some(Fault::Down) {
            return Err(StoreError::Down);
        }
        Ok(fault)
    }

    /// Returns the index of a row, or the index at which it would be inserted.
    fn find(&self, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.key.as_str().cmp(key))
    }

    /// Performs a conditional write; if its sender is unaware of the era, only numbers are compared.
    fn apply(
        &mut self,
        key: &str,
        expect: Expect,
        value: &str,
        is_unaware: bool,
    ) -> Result<StoreVersion, StoreError> {
        let found = self.find(key);
        let before = found.ok().map(|index| self.rows[index].clone());
        let holds = match (&before, expect) {
            (None, Expect::Absent) => true,
            (Some(row), Expect::Version(version)) => {
                let is_same_era = is_unaware || row.version.era == version.era;
                is_same_era && row.version.number == version.number
            }
            _ => false,
        };
        if !holds {
            return Err(StoreError::Conflict(before));
        }
        self.version.number += 1;
        let row = Row {
            key: key.to_owned(),
            version: self.version,
            value: value.to_owned(),
        };
        match found {
            Ok(index) => self.rows[index] = row,
            Err(index) => self.rows.insert(index, row),
        }
        self.before_last_write = Some((key.to_owned(), before));
        Ok(self.version)
    }
}

impl Table for MemoryTable {
    fn era(&self) -> u64 {
        self.era_now()
    }

    fn read<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<Row>, StoreError>> {
        Box::pin(ready(self.read_now(key)))
    }

    fn write<'a>(
        &'a self,
        key: &'a str,
        expect: Expect,
        value: &'a str,
    ) -> LocalBoxFuture<'a, Result<StoreVersion, StoreError>> {
        Box::pin(ready(self.write_now(key, expect, value)))
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        since_version: StoreVersion,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>, StoreError>> {
        Box::pin(ready(self.scan_now(prefix, since_version)))
    }
}

impl HostList for MemoryTable {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<HostEntry>, StoreError>> {
        let mut inner = self.inner.borrow_mut();
        let result = inner.next_fault().map(|_| inner.hosts.clone());
        Box::pin(ready(result))
    }
}
