use link::{HeaderMap, StatusCode};

use super::{AttemptInfo, MalformedHeader, RequestMetadata, ResponseKind, UpstreamNotice};

/// Translates the headers of routed requests and of their responses.
pub trait HeaderAdapter: Send + Sync {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// [`MalformedHeader`] if a required header is missing or a header can't be parsed.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestMetadata, MalformedHeader>;

    /// Replaces the headers that the router sets itself, before a request is sent to an upstream.
    fn rewrite_request(&self, headers: &mut HeaderMap, attempt: &AttemptInfo<'_>);

    /// Classifies an upstream's response by its status and headers.
    fn classify_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        request_id: &str,
    ) -> ResponseKind;

    /// Parses what an upstream says of itself in a response to any request.
    fn parse_notice(&self, status: StatusCode, headers: &HeaderMap) -> UpstreamNotice;
}
