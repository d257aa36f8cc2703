use std::sync::Arc;

use bytes::Bytes;
use link::{Full, HeaderMap, Method, Request, header};
use settings::{RequestKind, Upstream};
use tokio::time::Instant;

use crate::adapter::{AttemptInfo, HeaderAdapter};

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Non-standard headers that concern one connection only.
const OLD_CONNECTION_HEADERS: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Routed request as it is sent to upstreams.
pub(super) struct Call {
    pub(super) request_id: String,
    pub(super) route: String,
    pub(super) kind: RequestKind,
    pub(super) method: Method,
    /// Path with its query, as the caller sent it.
    pub(super) target: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) account: Option<Arc<str>>,
    /// Rank in the engines' own queues.
    pub(super) rank: u8,
    pub(super) has_prompt: bool,
    pub(super) arrived: Instant,
    /// Time by which the answer has to be whole: the caller's deadline or the route's timeout.
    pub(super) until: Instant,
}

impl Call {
    /// Returns the request of one attempt.
    pub(super) fn request(
        &self,
        adapter: &dyn HeaderAdapter,
        upstream: &Upstream,
        resume_after: Option<&str>,
    ) -> Option<Request<Full<Bytes>>> {
        let attempt = AttemptInfo {
            upstream: &upstream.name,
            remaining: self.until.saturating_duration_since(Instant::now()),
            account: self.account.as_deref(),
            rank: self.has_prompt.then_some(self.rank),
            resume_after,
        };
        let mut headers = self.headers.clone();
        adapter.rewrite_request(&mut headers, &attempt);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.target)
            .body(Full::new(self.body.clone()))
            .ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }
}

/// Removes the headers that concern one connection only.
pub(super) fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        // The host of a request is never one connection's matter, whatever a client says.
        if name != "host" {
            headers.remove(name.as_str());
        }
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    for name in OLD_CONNECTION_HEADERS {
        headers.remove(name);
    }
}
