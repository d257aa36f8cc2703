use std::{error::Error, fmt};

/// Error in the list of peer keys (`peer_keys` in the settings).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyError {
    /// The list is empty.
    Missing,
    /// A secret is not a hexadecimal string of at least 16 bytes.
    Secret {
        /// Number of the key.
        id: u8,
    },
    /// Two keys have the same number.
    Duplicate {
        /// Number of the keys.
        id: u8,
    },
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing => f.write_str("`peer_keys` is empty"),
            Self::Secret { id } => {
                write!(
                    f,
                    "peer key {id}: `secret_hex` needs at least 32 hex digits"
                )
            }
            Self::Duplicate { id } => write!(f, "peer key {id} is listed twice"),
        }
    }
}

impl Error for KeyError {}
