//! Routed requests: host name and path select a route, and the upstream's response is returned.
//!
//! Method, path and body are forwarded unchanged. The route decides whether a request may be
//! retried. A [`call::Call`] holds what is needed to send a request; [`buffered`] serves calls
//! whose response is read completely before it is forwarded (or, without memory for it, is
//! [`passed_on`]), [`stream`] those whose events are
//! forwarded as they arrive.

mod attempt;
mod buffered;
mod call;
mod events;
mod limits;
mod passed_on;
mod progress;
mod reply;
mod serve;
mod stream;

pub(crate) use self::{attempt::outcome_of, serve::serve};
