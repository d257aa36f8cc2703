//! Routed requests: callers address a host name and a path, and the answer is the upstream's.
//!
//! Method, path and body are passed on unchanged. Whether a request may be sent again follows from
//! its route. A [`call::Call`] holds what is needed to send it; [`whole`] serves calls whose answer
//! is read whole before it is passed on, [`stream`] those whose events are passed on as they come.

mod attempt;
mod call;
mod events;
mod reply;
mod serve;
mod stream;
mod whole;

pub(crate) use self::serve::serve;
