//! Routed request in the form in which it is sent to upstreams.

use std::{cell::RefCell, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use link::{Full, HeaderMap, Method, Request, header};
use sched::PromptPart;
use settings::{RequestKind, Upstream};
use tokio::time::Instant;

use crate::adapter::{AttemptInfo, HeaderAdapter};

/// Standard hop-by-hop headers, which concern one connection only.
const CONNECTION_HEADERS: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Non-standard hop-by-hop headers that older clients and proxies send.
const NONSTANDARD_CONNECTION_HEADERS: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Routed request with everything that is needed to send it, once per attempt.
pub(super) struct Call {
    pub(super) request_id: String,
    pub(super) route: String,
    pub(super) kind: RequestKind,
    pub(super) method: Method,
    /// Path and query, unchanged from the caller's request.
    pub(super) path_and_query: String,
    pub(super) headers: HeaderMap,
    /// `None` once the request can't be sent any more.
    pub(super) body: RefCell<Option<Bytes>>,
    pub(super) account: Option<Arc<str>>,
    /// Priority rank in the engines' own queues; 0 is the highest.
    pub(super) rank: u8,
    /// Parts of the prompt in order; empty for a plain service.
    pub(super) prompt: Arc<[PromptPart]>,
    /// Fingerprint of the whole request, the same for each repeat of it.
    pub(super) fingerprint: u64,
    pub(super) received_at: Instant,
    /// Time by which the response must be complete: the earlier of the caller's deadline and the
    /// route's timeout.
    pub(super) deadline: Instant,
}

impl Call {
    /// Gives back the memory of the body: the request won't be sent again.
    pub(super) fn release_body(&self) {
        self.body.take();
    }

    /// Builds the HTTP request of one attempt; `None` if it is invalid or its body was given back.
    pub(super) fn request(
        &self,
        adapter: &dyn HeaderAdapter,
        upstream: &Upstream,
        fetch_from: Option<SocketAddr>,
        resume_after: Option<&str>,
    ) -> Option<Request<Full<Bytes>>> {
        let body = self.body.borrow().clone()?;
        let attempt = AttemptInfo {
            upstream: &upstream.name,
            remaining: self.deadline.saturating_duration_since(Instant::now()),
            account: self.account.as_deref(),
            rank: (!self.prompt.is_empty()).then_some(self.rank),
            resume_after,
            fetch_from,
        };
        let mut headers = self.headers.clone();
        adapter.rewrite_request(&mut headers, &attempt);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path_and_query)
            .body(Full::new(body))
            .ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }
}

/// Removes the hop-by-hop headers: the known ones, and those that `Connection` names.
pub(super) fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        // `Host` is an end-to-end header, even if a client names it in `Connection`.
        if name != "host" {
            headers.remove(name.as_str());
        }
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    for name in NONSTANDARD_CONNECTION_HEADERS {
        headers.remove(name);
    }
}
