/// Row as the table service returned it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    /// Version of the row in the table, the condition of the next write.
    pub version: u64,
    /// Value of the row.
    pub value: String,
}
