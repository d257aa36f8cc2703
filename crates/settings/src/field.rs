use crate::Schema;

/// Schema of one field of an object.
#[derive(Debug, Clone)]
pub struct Field {
    /// Key in the document.
    pub name: &'static str,
    /// Whether the field must be given.
    pub required: bool,
    /// Schema of the value.
    pub schema: Schema,
}

impl Field {
    /// Creates a field that must be given.
    #[must_use]
    pub const fn required(name: &'static str, schema: Schema) -> Self {
        Self {
            name,
            required: true,
            schema,
        }
    }

    /// Creates a field that may be omitted.
    #[must_use]
    pub const fn optional(name: &'static str, schema: Schema) -> Self {
        Self {
            name,
            required: false,
            schema,
        }
    }
}
