use jsonc_parser::{ParseOptions, parse_to_serde_value};
use serde::de::DeserializeOwned;

use crate::Problem;

/// Parses a document in JSON with comments into a typed value.
///
/// # Errors
///
/// Returns the faults of syntax, unknown keys and wrong types.
pub fn parse<T>(text: &str) -> Result<T, Vec<Problem>>
where
    T: DeserializeOwned,
{
    parse_to_serde_value::<T>(text, &ParseOptions::default())
        .map_err(|error| vec![Problem::new(0, "", &error.to_string())])
}
