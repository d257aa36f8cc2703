//! Reads and validates a caller's request before its job is submitted.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use code::Code;
use intake::{Claim, Kind};
use ntex::{
    http::header::{self, HeaderName, HeaderValue},
    web::{HttpRequest, types::Payload},
};
use settings::{Account, Class};
use tokio::time::{Instant, sleep};

use crate::{
    caller_connections::CallerConnections,
    config_snapshot::ConfigSnapshot,
    holds::{self, HeldBody, Hold},
    refusal::Refusal,
    shared::Shared,
};

/// Largest total size of a request's headers; client libraries send less than 2 KiB.
const HEADERS_MAX_BYTES: usize = 32 * 1024;

/// Bytes of a refused body that are read and discarded, as a multiple of the body limit.
const DISCARD_FACTOR: usize = 8;

/// Bytes that are held at first for a body in chunks, whose size is not known.
const CHUNKS_BYTES: usize = 64 * 1024;

/// Bytes of a body that are read and discarded although its sender is unknown, or the host is short
/// of memory: those of an ordinary request, whose sender should see the refusal.
const DISCARD_SHORT_BYTES: usize = 256 * 1024;

/// Longest time for which such a body is read.
const DISCARD_SHORT: Duration = Duration::from_secs(1);

/// Pause before a body in chunks asks for memory again.
const GROW_PAUSE: Duration = Duration::from_millis(50);

/// For whom a body is held.
pub(crate) struct BodyOwner {
    /// Client account; empty if the configuration has none.
    pub(crate) account: Arc<str>,
    /// Priority rank; 0 is the highest.
    pub(crate) rank: u8,
    /// Longest time that the body may wait for memory.
    pub(crate) wait: Duration,
}

/// Reads a body within the size and time limits of the host.
pub(crate) async fn read_body(
    shared: &Shared,
    request: &HttpRequest,
    payload: &mut Payload,
    account: &str,
) -> Result<Bytes, Refusal> {
    let owner = BodyOwner {
        account: account.into(),
        rank: 0,
        wait: holds::WAIT_MAX,
    };
    read_body_within(shared, request, payload, shared.host.body_max_bytes, owner).await
}

/// Reads a body of at most `max_bytes`; the memory for it is reserved before it is read, and is
/// given back with the last copy of the body.
pub(crate) async fn read_body_within(
    shared: &Shared,
    request: &HttpRequest,
    payload: &mut Payload,
    max_bytes: usize,
    owner: BodyOwner,
) -> Result<Bytes, Refusal> {
    if !has_body(request) {
        end_receipt(request);
        return Ok(Bytes::new());
    }
    let length = request.headers().get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if length.is_some_and(|length| length > max_bytes) {
        return Err(Code::BodyTooLarge.into());
    }
    let read = async {
        let is_chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
        let expected_bytes = match length {
            Some(length) if !is_chunked => length,
            _ if is_chunked => CHUNKS_BYTES.min(max_bytes),
            _ => 0,
        };
        let mut hold = if expected_bytes == 0 {
            None
        } else {
            let claim = Claim::new(Kind::Receiving, owner.account, expected_bytes as u64)
                .with_rank(owner.rank);
            let holds = &shared.holds;
            holds.reserve(&shared.metrics, claim, owner.wait).await?
        };
        let mut body = Vec::with_capacity(length.unwrap_or(0));
        while let Some(chunk) = next_chunk(payload, hold.as_mut()).await? {
            let bytes = body.len() + chunk.len();
            if bytes > max_bytes {
                return Err(Code::BodyTooLarge.into());
            }
            if let Some(hold) = &mut hold {
                grow(shared, hold, bytes, max_bytes, owner.wait).await?;
                hold.record_progress(chunk.len() as u64);
                if body.capacity() < bytes {
                    body.reserve_exact(usize::try_from(hold.bytes()).unwrap_or(bytes) - body.len());
                }
            }
            body.extend_from_slice(&chunk);
        }
        if let Some(hold) = &mut hold {
            body.shrink_to_fit();
            hold.settle(Kind::Kept, body.len() as u64);
        }
        end_receipt(request);
        Ok(HeldBody::share(body.into(), hold))
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

/// Records that the body of a request is complete.
fn end_receipt(request: &HttpRequest) {
    if let Some(connections) = request.app_state::<Rc<CallerConnections>>() {
        connections.end_receipt(request.io());
    }
}

/// Returns whether a request has a body by its headers.
///
/// For an offered upgrade, which is ignored, and for a tunnel, which is refused, the HTTP server takes
/// the rest of the connection for the body.
fn has_body(request: &HttpRequest) -> bool {
    let headers = request.headers();
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns the next chunk of a body, unless its sender is too slow for the memory that is held.
async fn next_chunk(
    payload: &mut Payload,
    hold: Option<&mut Hold>,
) -> Result<Option<ntex::util::Bytes>, Refusal> {
    let chunk = match hold {
        Some(hold) => tokio::select! {
            biased;
            chunk = payload.recv() => chunk,
            () = hold.closed() => return Err(Code::SlowSender.into()),
        },
        None => payload.recv().await,
    };
    chunk
        .transpose()
        .map_err(|_| Refusal::new(Code::BadRequest))
}

/// Makes sure that a hold has this many bytes; doubles it if it has not. Nothing is read while it
/// waits for memory.
async fn grow(
    shared: &Shared,
    hold: &mut Hold,
    bytes: usize,
    max_bytes: usize,
    wait: Duration,
) -> Result<(), Refusal> {
    let held_bytes = hold.bytes();
    if bytes as u64 <= held_bytes {
        return Ok(());
    }
    let target_bytes = (2 * held_bytes).min(max_bytes as u64).max(bytes as u64);
    let deadline = Instant::now() + wait;
    while let Err(shortage) = hold.grow(target_bytes - held_bytes) {
        if Instant::now() >= deadline {
            return Err(shared
                .holds
                .refusal(&shared.metrics, Kind::Receiving, shortage));
        }
        sleep(GROW_PAUSE).await;
    }
    Ok(())
}

/// Reads and discards the rest of a refused request's body, up to a limit.
///
/// A client that is still sending when the connection closes sees a reset instead of the response.
pub(crate) async fn discard_body(
    shared: &Shared,
    request: &HttpRequest,
    payload: &mut Payload,
    code: Code,
) {
    if !has_body(request) {
        return;
    }
    let Some(_discard) = shared.holds.begin_discard() else {
        return;
    };
    let is_short = matches!(code, Code::HostFull | Code::SlowSender | Code::UnknownKey);
    let (max_bytes, limit) = if is_short {
        (DISCARD_SHORT_BYTES, DISCARD_SHORT)
    } else {
        let limit = Duration::from_millis(shared.host.receive_max_ms);
        (DISCARD_FACTOR * shared.host.body_max_bytes, limit)
    };
    let read = async {
        let mut discarded_bytes = 0;
        while let Some(Ok(chunk)) = payload.recv().await {
            discarded_bytes += chunk.len();
            if discarded_bytes > max_bytes {
                break;
            }
        }
    };
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
