use code::Code;
use serde_json::json;

/// Writes an error in the body form of the OpenAI-compatible interface.
///
/// `code` carries the number, `run` whether the request was run.
#[must_use]
pub fn error_body(code: Code, detail: &str, request_id: &str) -> String {
    let kind = match code.http_status() {
        400..=428 => "invalid_request_error",
        429 => "rate_limit_error",
        _ => "server_error",
    };
    let message = if detail.is_empty() {
        code.message().to_owned()
    } else {
        format!("{} {detail}", code.message())
    };
    json!({
        "error": {
            "message": message,
            "type": kind,
            "param": null,
            // Client libraries read this field as a string.
            "code": code.number().to_string(),
            "name": code.name(),
            "run": code.run().as_str(),
            "request_id": request_id,
        }
    })
    .to_string()
}
