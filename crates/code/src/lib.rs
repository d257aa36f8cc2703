//! Numbered result codes.
//!
//! Every refusal and failure that is reported to a caller or an operator carries one [`Code`]. The
//! code says what happened, whether an upstream ran the request ([`Run`]) and whether a retry
//! makes sense ([`Retry`]). The texts in [`TABLE`] are part of the answers.
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
