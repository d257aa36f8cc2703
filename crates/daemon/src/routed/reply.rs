use code::Run;
use link::{HeaderMap, Response, StatusCode, header};
use ntex::{
    http::{ResponseBuilder, header::HeaderValue},
    web::HttpResponse,
};

use super::call::remove_connection_headers;
use crate::{refusal::Refusal, shared::Shared};

/// Begins a caller's answer with the status and headers of an upstream's.
pub(super) fn begin(shared: &Shared, status: StatusCode, headers: &HeaderMap) -> ResponseBuilder {
    let mut kept = headers.clone();
    remove_connection_headers(&mut kept);
    kept.remove(header::DATE);
    let mut response = HttpResponse::build(status);
    for (name, value) in &kept {
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            response.header(name.clone(), value);
        }
    }
    if shared.is_draining() {
        response.force_close();
    }
    response
}

/// Begins a caller's answer with the head of an upstream's.
pub(super) fn begin_as(shared: &Shared, answer: &Response) -> ResponseBuilder {
    begin(shared, answer.status(), answer.headers())
}

/// Returns the answer for a refusal.
///
/// The status tells callers whether the request ran: 503 promises that it did not.
pub(super) fn refuse(shared: &Shared, refusal: &Refusal, request_id: &str) -> HttpResponse {
    let status = match (refusal.code.run(), refusal.code.http_status()) {
        (Run::No, 500..) => 503,
        (_, status) => status,
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    response.header("x-result-code", refusal.code.number().to_string());
    if refusal.retry_after_ms > 0 {
        response.header(header::RETRY_AFTER, seconds(refusal.retry_after_ms));
    }
    if shared.is_draining() || refusal.closes_connection() {
        response.force_close();
    }
    response
        .content_type("application/json")
        .body(refusal.body(request_id))
}

/// Writes milliseconds as seconds with their fraction.
fn seconds(ms: u64) -> String {
    format!("{}.{:03}", ms / 1_000, ms % 1_000)
}
