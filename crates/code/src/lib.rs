//! Numbered result codes.
//!
//! Every refusal and failure that a caller or an operator sees carries one [`Code`]. A code says
//! what happened, whether the request was run ([`Run`]) and whether to retry ([`Retry`]), so that a
//! caller never has to guess.
//!
//! ```
//! use code::{Code, Run};
//!
//! assert_eq!(Code::QueueFull.number(), 3001);
//! assert_eq!(Code::QueueFull.run(), Run::No);
//! ```

mod entry;
mod result_code;
mod retry;
mod run;
mod table;
#[cfg(test)]
mod tests;

pub use self::{entry::Entry, result_code::Code, retry::Retry, run::Run, table::TABLE};
