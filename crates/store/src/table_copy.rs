use crate::Row;

/// Copy of a [`MemoryTable`](crate::MemoryTable), from which it can come back.
#[derive(Debug, Clone, Default)]
pub struct TableCopy {
    /// Counter of versions.
    pub(crate) number: u64,
    /// Rows, sorted by key.
    pub(crate) rows: Vec<Row>,
}
