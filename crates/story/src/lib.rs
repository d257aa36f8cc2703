//! Explains the outcome of one request from the logs of many daemons.
//!
//! [`Explanation::from_logs`] takes the text of any number of logs and collects the lines about a
//! request and about the state of the daemons and upstreams that handled it. Its `Display` output
//! says how the request ended and which logged events may be the cause. It does no I/O.
//!
//! ```
//! use story::{Explanation, Log};
//!
//! let text = "2026-12-04T10:00:00Z INFO caller: accepted request=r-1 left_ms=900\n\
//!             2026-12-04T10:00:00.9Z INFO caller: refused request=r-1 code=4005 waited_ms=900";
//! let explanation = Explanation::from_logs(&[Log { name: "entry-1", text }], "r-1").unwrap();
//! assert!(explanation.to_string().contains("4005 upstream_timeout"));
//! ```

mod cause;
mod explanation;
mod line;
#[cfg(test)]
mod tests;

pub use self::{
    explanation::{Explanation, Log},
    line::LogLine,
};
