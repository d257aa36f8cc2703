use std::time::Duration;

/// What the router tells an upstream about one attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptInfo<'a> {
    /// Name of the chosen upstream, which another one at the same address must not accept.
    pub upstream: &'a str,
    /// Time that is left for the answer.
    pub remaining: Duration,
    /// Client account, if the request had to name one.
    pub account: Option<&'a str>,
    /// Rank in an engine's own queue, 0 is the highest; `None` for a plain service.
    pub rank: Option<u8>,
    /// Last event that the caller has, if a stream is continued.
    pub resume_after: Option<&'a str>,
}
