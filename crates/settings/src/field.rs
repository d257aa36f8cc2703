use crate::Schema;

/// Field of an object in a document.
#[derive(Debug, Clone)]
pub struct Field {
    /// Key in the document.
    pub name: &'static str,
    /// Whether the field has no default.
    pub required: bool,
    /// Form of the value.
    pub schema: Schema,
}

impl Field {
    /// Creates a field that has to be given.
    #[must_use]
    pub const fn required(name: &'static str, schema: Schema) -> Self {
        Self {
            name,
            required: true,
            schema,
        }
    }

    /// Creates a field that has a default.
    #[must_use]
    pub const fn optional(name: &'static str, schema: Schema) -> Self {
        Self {
            name,
            required: false,
            schema,
        }
    }
}
