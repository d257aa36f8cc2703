/// Call of the table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TableCall {
    /// Read a row.
    Read {
        /// Key of the row.
        key: String,
    },
    /// Write a row if its version is the expected one.
    Write {
        /// Key of the row.
        key: String,
        /// Version that the row has; none if it does not exist yet.
        expect: Option<u64>,
        /// New value.
        value: String,
    },
}
