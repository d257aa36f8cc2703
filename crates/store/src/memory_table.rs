//! In-memory table with fault injection.

use std::{cell::RefCell, collections::VecDeque};

use futures::future::{LocalBoxFuture, ready};

use crate::{Expect, Fault, HostEntry, HostList, Row, StoreError, Table};

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
/// ```
#[derive(Debug, Default)]
pub struct MemoryTable {
    inner: RefCell<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    version: u64,
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
    pub fn write_now(&self, key: &str, expect: Expect, value: &str) -> Result<u64, StoreError> {
        let mut inner = self.inner.borrow_mut();
        let fault = inner.next_fault()?;
        if fault == Some(Fault::RequestLost) {
            return Err(StoreError::Unknown);
        }
        let result = inner.apply(key, expect, value);
        if fault == Some(Fault::AnswerLost) {
            Err(StoreError::Unknown)
        } else {
            result
        }
    }

    /// Synchronous version of [`Table::scan`].
    ///
    /// # Errors
    ///
    /// As [`Table::scan`].
    pub fn scan_now(&self, prefix: &str, since_version: u64) -> Result<Vec<Row>, StoreError> {
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

    /// Performs a conditional write.
    fn apply(&mut self, key: &str, expect: Expect, value: &str) -> Result<u64, StoreError> {
        let found = self.find(key);
        let before = found.ok().map(|index| self.rows[index].clone());
        let holds = match (&before, expect) {
            (None, Expect::Absent) => true,
            (Some(row), Expect::Version(version)) => row.version == version,
            _ => false,
        };
        if !holds {
            return Err(StoreError::Conflict(before));
        }
        self.version += 1;
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
    fn read<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<Row>, StoreError>> {
        Box::pin(ready(self.read_now(key)))
    }

    fn write<'a>(
        &'a self,
        key: &'a str,
        expect: Expect,
        value: &'a str,
    ) -> LocalBoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(ready(self.write_now(key, expect, value)))
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        since_version: u64,
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
