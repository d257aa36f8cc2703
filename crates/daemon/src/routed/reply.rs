//! Responses to callers of routed requests.

use code::Run;
use link::{HeaderMap, Response, StatusCode, header};
use ntex::{
    http::{ResponseBuilder, header::HeaderValue},
    web::HttpResponse,
};

use super::call::remove_connection_headers;
use crate::{refusal::Refusal, shared::Shared};

/// Starts the caller's response with the status and headers of an upstream's response.
pub(super) fn start(shared: &Shared, status: StatusCode, headers: &HeaderMap) -> ResponseBuilder {
    let mut forwarded = headers.clone();
    remove_connection_headers(&mut forwarded);
    forwarded.remove(header::DATE);
    let mut response = HttpResponse::build(status);
    for (name, value) in &forwarded {
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            response.header(name.clone(), value);
        }
    }
    if shared.is_draining() {
        response.force_close();
    }
    response
}

/// Starts the caller's response with the head of an upstream's response.
pub(super) fn start_from(shared: &Shared, upstream_response: &Response) -> ResponseBuilder {
    start(
        shared,
        upstream_response.status(),
        upstream_response.headers(),
    )
}

/// Returns the response for a refusal.
///
/// The status tells callers whether the request was executed: 503 guarantees that it was not.
pub(super) fn refuse(shared: &Shared, refusal: &Refusal, request_id: &str) -> HttpResponse {
    let status = match (refusal.code.run(), refusal.code.http_status()) {
        (Run::No, 500..) => 503,
        (_, status) => status,
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    response.header("x-result-code", refusal.code.number().to_string());
    if refusal.retry_after_ms > 0 {
        response.header(header::RETRY_AFTER, format_seconds(refusal.retry_after_ms));
    }
    if shared.is_draining() || refusal.closes_connection() {
        response.force_close();
    }
    response
        .content_type("application/json")
        .body(refusal.body(request_id))
}

/// Formats milliseconds as seconds with three decimals.
fn format_seconds(ms: u64) -> String {
    format!("{}.{:03}", ms / 1_000, ms % 1_000)
}
