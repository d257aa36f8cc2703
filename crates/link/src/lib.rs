//! HTTP/1.1 client connections to upstreams and to the platform.
//!
//! [`ConnectionPool`] keeps connections open between requests and reports, for each request that
//! fails, whether any of it was sent. A connection has no task of its own: it is polled by the
//! caller that waits for the response. Dropping the request closes the connection, so that the
//! server stops work that nobody waits for.
//!
//! hyper implements the protocol. The client of ntex is not used, because its own pool does not
//! reveal on which connection a request is sent. Without that, a request that was lost with a
//! reused connection can't be distinguished from one that was executed.

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
