//! Reads and validates a caller's request before its job is submitted.

use std::{sync::Arc, time::Duration};

use code::Code;
use ntex::{
    http::header::{self, HeaderName, HeaderValue},
    util::Bytes,
    web::{HttpRequest, types::Payload},
};
use settings::{Account, Class};

use crate::{config_snapshot::ConfigSnapshot, refusal::Refusal, shared::Shared};

/// Largest total size of a request's headers; client libraries send less than 2 KiB.
const HEADERS_MAX_BYTES: usize = 32 * 1024;

/// Bytes of a refused body that are read and discarded, as a multiple of the body limit.
const DISCARD_FACTOR: usize = 8;

/// Reads a body within the size and time limits of the host.
pub(crate) async fn read_body(
    shared: &Shared,
    request: &HttpRequest,
    payload: &mut Payload,
) -> Result<Bytes, Refusal> {
    read_body_within(shared, request, payload, shared.host.body_max_bytes).await
}

/// Reads a body of at most `max_bytes`.
pub(crate) async fn read_body_within<B>(
    shared: &Shared,
    request: &HttpRequest,
    payload: &mut Payload,
    max_bytes: usize,
) -> Result<B, Refusal>
where
    B: From<Vec<u8>>,
{
    let length = request.headers().get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if length.is_some_and(|length| length > max_bytes) {
        return Err(Code::BodyTooLarge.into());
    }
    let read = async {
        let mut body = Vec::with_capacity(length.unwrap_or(0));
        while let Some(chunk) = payload.recv().await {
            let chunk = chunk.map_err(|_| Refusal::new(Code::BadRequest))?;
            if body.len() + chunk.len() > max_bytes {
                return Err(Code::BodyTooLarge.into());
            }
            body.extend_from_slice(&chunk);
        }
        Ok(B::from(body))
    };
    let limit = Duration::from_millis(shared.host.receive_max_ms);
    tokio::select! {
        biased;
        read = tokio::time::timeout(limit, read) => {
            read.unwrap_or_else(|_| Err(Code::SlowSender.into()))
        }
        () = shared.stop_expired.cancelled() => Err(Code::Draining.into()),
    }
}

/// Reads and discards the rest of a refused request's body, up to a limit.
///
/// A client that is still sending when the connection closes sees a reset instead of the response.
pub(crate) async fn discard_body(shared: &Shared, payload: &mut Payload) {
    let max_bytes = DISCARD_FACTOR * shared.host.body_max_bytes;
    let read = async {
        let mut discarded_bytes = 0;
        while let Some(Ok(chunk)) = payload.recv().await {
            discarded_bytes += chunk.len();
            if discarded_bytes > max_bytes {
                break;
            }
        }
    };
    let limit = Duration::from_millis(shared.host.receive_max_ms);
    tokio::select! {
        // Whether the rest was read or the time is over, the refusal is sent now.
        _ = tokio::time::timeout(limit, read) => {}
        () = shared.stop_expired.cancelled() => {}
    }
}

/// Returns the client account of the request's bearer key.
pub(crate) fn authenticate<'a>(
    snapshot: &'a ConfigSnapshot,
    request: &HttpRequest,
) -> Result<&'a Account, Refusal> {
    let value = request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    key.and_then(|key| snapshot.account_of_key(key.trim()))
        .ok_or_else(|| Code::UnknownKey.into())
}

/// Returns the service class of a request: from its header, else from its model alias, else the
/// account's default.
pub(crate) fn class_of<'a>(
    snapshot: &'a ConfigSnapshot,
    account: &Account,
    request: &HttpRequest,
    alias: Option<&str>,
) -> Result<&'a Class, Refusal> {
    let header_class = request
        .headers()
        .get("x-service-class")
        .and_then(|value| value.to_str().ok());
    let name = header_class.or(alias).unwrap_or(&account.default_class);
    let is_allowed =
        account.default_class == name || account.classes.iter().any(|class| class == name);
    snapshot
        .config
        .class(name)
        .filter(|_| is_allowed)
        .ok_or_else(|| Refusal::new(Code::UnknownClass).with_detail(&format!("`{name}`")))
}

/// Refuses oversized headers with a result code.
///
/// The HTTP server itself refuses more than 128 KiB, with status 431 and no body.
pub(crate) fn check_headers(request: &HttpRequest) -> Result<(), Refusal> {
    let header_bytes =
        |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len();
    let total_bytes: usize = request.headers().iter().map(header_bytes).sum();
    if total_bytes > HEADERS_MAX_BYTES {
        return Err(Code::HeadersTooLarge.into());
    }
    Ok(())
}

/// Refuses work that this host can't accept in its present state: while it drains, may have an
/// outdated configuration, or has none yet.
pub(crate) fn check_ready(shared: &Shared, snapshot: &ConfigSnapshot) -> Result<(), Refusal> {
    if shared.is_draining() {
        return Err(Refusal::new(Code::Draining).with_retry_after_ms(1_000));
    }
    if shared.peers.freshness.is_stale(shared.clock.now_us()) {
        return Err(Refusal::new(Code::StaleView).with_retry_after_ms(1_000));
    }
    if snapshot.config.version == 0 {
        return Err(Refusal::new(Code::NoConfig).with_retry_after_ms(2_000));
    }
    Ok(())
}

/// Returns the identifier of a request for responses and logs.
pub(crate) fn request_id(shared: &Arc<Shared>, id: sched::JobId) -> String {
    format!("{}-{:x}", shared.host.name, id.0)
}
