//! HTTP/1.1 connections to upstreams and to the platform.
//!
//! [`ConnectionPool`] keeps connections open between requests and tells, for each request that
//! fails, whether any of it was sent. A connection has no task of its own: it is polled by the
//! caller that waits for the response. Dropping the request closes the connection, so that the
//! server stops work that nobody waits for.
//!
//! The protocol itself is hyper's. ntex's client has a pool of its own, which does not tell on which
//! connection a call goes out; without that a call that was lost with an old connection can't be
//! told from one that ran.

mod connection;
mod error;
mod options;
mod pool;
mod response;
#[cfg(test)]
mod tests;

pub use self::{
    error::RequestError, options::PoolOptions, pool::ConnectionPool, response::Response,
};
pub use http_body_util::Full;
pub use hyper::{HeaderMap, Method, Request, StatusCode, header};
