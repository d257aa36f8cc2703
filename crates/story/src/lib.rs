//! Story of one request, told from the logs of many daemons.
//!
//! [`Story::read`] takes the text of any number of logs, collects the lines about a request and what
//! the same daemons believed at the time, and says how the request ended and what speaks for which
//! cause. It does no I/O.
//!
//! ```
//! use story::{Log, Story};
//!
//! let text = "2026-12-04T10:00:00Z INFO caller: accepted request=r-1 left_ms=900\n\
//!             2026-12-04T10:00:00.9Z INFO caller: refused request=r-1 code=4005 waited_ms=900";
//! let story = Story::read(&[Log { name: "entry-1", text }], "r-1").unwrap();
//! assert!(story.to_string().contains("4005 upstream_timeout"));
//! ```

mod cause;
mod line;
mod read;
#[cfg(test)]
mod tests;

pub use self::{
    line::Line,
    read::{Log, Story},
};
