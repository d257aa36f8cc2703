use store::StoreVersion;

/// Row returned by the table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    /// Version of the row, which the next conditional write has to state.
    pub version: StoreVersion,
    /// Value of the row.
    pub value: String,
}
