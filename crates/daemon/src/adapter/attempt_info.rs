use std::{net::SocketAddr, time::Duration};

/// Data about one attempt that is sent to the upstream in headers.
#[derive(Debug, Clone, Copy)]
pub struct AttemptInfo<'a> {
    /// Name of the chosen upstream; a different upstream at the same address must reject the
    /// request.
    pub upstream: &'a str,
    /// Time that remains for the response.
    pub remaining: Duration,
    /// Client account; `None` if the route needs no authentication.
    pub account: Option<&'a str>,
    /// Rank in an engine's own queue, 0 is the highest; `None` for a plain service.
    pub rank: Option<u8>,
    /// Identifier of the last event that the caller received, if a stream is resumed.
    pub resume_after: Option<&'a str>,
    /// Engine from which the upstream should fetch the cached parts of the prompt that it lacks.
    pub fetch_from: Option<SocketAddr>,
}
