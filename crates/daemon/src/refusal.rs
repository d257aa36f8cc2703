//! Refusals: responses that carry a result code.

use code::Code;
use log::info;
use ntex::{
    http::{StatusCode, header},
    web::HttpResponse,
};
use wire::error_body;

use crate::shared::Shared;

/// Response with a result code instead of a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) code: Code,
    pub(crate) detail: String,
    pub(crate) retry_after_ms: u64,
}

impl Refusal {
    /// Creates a refusal without detail or retry time.
    pub(crate) const fn new(code: Code) -> Self {
        Self {
            code,
            detail: String::new(),
            retry_after_ms: 0,
        }
    }

    /// Adds a text that explains the code.
    pub(crate) fn with_detail(mut self, detail: &str) -> Self {
        detail.clone_into(&mut self.detail);
        self
    }

    /// Sets the time after which the caller should retry.
    pub(crate) const fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = retry_after_ms;
        self
    }

    /// Returns the body in the error format of the OpenAI-compatible API.
    pub(crate) fn body(&self, request_id: &str) -> String {
        error_body(self.code, &self.detail, request_id)
    }

    /// Returns whether the connection must be closed: a part of the body may be unread, or the host
    /// is stopping. Without `Connection: close`, a client would reuse the connection and lose its
    /// next request.
    pub(crate) const fn closes_connection(&self) -> bool {
        matches!(
            self.code,
            Code::BodyTooLarge | Code::Draining | Code::HostFull | Code::SlowSender
        )
    }

    /// Returns the HTTP response to the caller.
    pub(crate) fn response(&self, request_id: &str) -> HttpResponse {
        let status = StatusCode::from_u16(self.code.http_status());
        let mut response = HttpResponse::build(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
        response.header("x-request-id", request_id);
        response.header("x-result-code", self.code.number().to_string());
        if self.closes_connection() {
            response.force_close();
        }
        if self.retry_after_ms > 0 {
            response.header(
                header::RETRY_AFTER,
                self.retry_after_ms.div_ceil(1_000).to_string(),
            );
        }
        response
            .content_type("application/json")
            .body(self.body(request_id))
    }
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Self {
        Self::new(code)
    }
}

/// Logs a refusal and counts it in the metrics.
pub(crate) fn record_refusal(shared: &Shared, request_id: &str, refusal: &Refusal) {
    info!("caller: {request_id} refused with {}", refusal.code);
    shared
        .metrics
        .record_refusal(refusal.code.number(), refusal.code.name());
}
