//! HTTP/1.1 connections to upstreams and to the platform.
//!
//! [`Links`] keeps connections open between calls and tells, for each call that fails, whether it
//! was sent. A connection has no task of its own: whoever waits for an answer drives it, and
//! dropping the call closes it, so that the other side stops working for nobody.
//!
//! The protocol itself is hyper's. ntex's client has a pool of its own, which does not tell on which
//! connection a call goes out; without that a call that was lost with an old connection can't be
//! told from one that ran.

mod answer;
mod connection;
mod error;
mod links;
mod options;
#[cfg(test)]
mod tests;

pub use self::{answer::Answer, error::LinkError, links::Links, options::Options};
pub use http_body_util::Full;
pub use hyper::{HeaderMap, Method, Request, StatusCode, header};
