//! Requests under which upstreams end.

use settings::RequestKind;

#[allow(dead_code, reason = "each test file uses a part of it")]
mod routed_support;

use routed_support::{Fixture, KEY, ScriptedUpstream, Step};

/// Ends with its connection, as an upstream that crashes does.
const CRASH: &[Step] = &[Step::Close];

/// Upstreams that may end under a request before it is held back.
const CRASHES_MAX: usize = 3;

/// Guards against a request that is sent to one upstream after the other, each of which crashes
/// under it: its caller repeats it, and nothing in it but the whole tells it from sound ones.
#[ntex::test]
async fn request_that_crashes_its_upstreams_is_held_back() {
    for kind in [
        RequestKind::Idempotent,
        RequestKind::NonIdempotent,
        RequestKind::Stream,
    ] {
        let mut upstreams = Vec::new();
        for _ in 0..12 {
            upstreams.push(ScriptedUpstream::start(&[CRASH]).await);
        }
        let listed: Vec<&ScriptedUpstream> = upstreams.iter().collect();
        let fixture = Fixture::start(kind, 10_000, &listed).await;
        for _ in 0..10 {
            let headers = format!("x-key: {KEY}\r\nx-prompt: 1\r\n");
            fixture.call("/stock/deadly", &headers).await;
        }
        let sent: usize = upstreams.iter().map(ScriptedUpstream::request_count).sum();
        assert!(sent <= CRASHES_MAX, "{kind:?}: sent {sent} times");
        fixture.daemon.stop().await;
    }
}
