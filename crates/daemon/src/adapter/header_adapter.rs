use link::{HeaderMap, StatusCode};

use super::{AttemptInfo, MalformedHeader, RequestMetadata, ResponseKind};

/// Border to the headers of routed requests and their answers.
pub trait HeaderAdapter: Send + Sync {
    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// [`MalformedHeader`] if a header that is needed is missing or can't be read.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestMetadata, MalformedHeader>;

    /// Replaces the headers that are the router's to set, before a request is sent to an upstream.
    fn rewrite_request(&self, headers: &mut HeaderMap, attempt: &AttemptInfo<'_>);

    /// Judges the head of an upstream's answer.
    fn classify_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        request_id: &str,
    ) -> ResponseKind;
}
