use store::StoreVersion;

/// Call that the driver of a state machine has to make to the table service.
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
        /// Version that the row must have; `None` if it must not exist.
        expect: Option<StoreVersion>,
        /// New value.
        value: String,
    },
}
