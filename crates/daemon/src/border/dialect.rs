use link::{HeaderMap, StatusCode};

use super::{CallerHead, Hop, Malformed, Verdict};

/// Border to the headers of routed requests and their answers.
pub trait Dialect: Send + Sync {
    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if a header that is needed is missing or can't be read.
    fn read(&self, headers: &HeaderMap) -> Result<CallerHead, Malformed>;

    /// Replaces the headers that are the router's to set, before a request is sent to an upstream.
    fn forward(&self, headers: &mut HeaderMap, hop: &Hop<'_>);

    /// Judges the head of an upstream's answer.
    fn verdict(&self, status: StatusCode, headers: &HeaderMap, request_id: &str) -> Verdict;
}
