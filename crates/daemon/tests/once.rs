//! Non-idempotent calls run at most once, despite faults of the service and of the store.

mod support;

use std::net::SocketAddr;

use daemon::RunningDaemon;
use futures::future::{Either, join_all, select};
use standin::{ServiceControl, StoreControl};
use support::{Answer, Platform, wait};

const PATH: &str = "/services/inventory/reservations";
const BODY: &str = r#"{"cartridge":"35mm"}"#;

async fn reserve(platform: &Platform, daemon: SocketAddr, key: &str) -> Answer {
    platform.post(daemon, PATH, Some(key), BODY).await
}

async fn two_daemons(platform: &Platform) -> [RunningDaemon; 2] {
    [
        platform.daemon("entry-1").await,
        platform.daemon("entry-2").await,
    ]
}

/// Guards against calls that repeat a key and are executed again through another host, or get a
/// different answer.
#[ntex::test]
async fn holds_once_for_repeats_through_any_host() {
    let platform = Platform::start(0).await;
    let daemons = two_daemons(&platform).await;
    let calls = (0..12).map(|n| reserve(&platform, daemons[n % 2].listen(), "r-1"));
    let answers = join_all(calls).await;
    assert_eq!(platform.service.stats().runs.len(), 1);
    for answer in &answers {
        let busy = answer.status == 409 && answer.code() == (5003, "unknown".to_owned());
        assert!(
            answer.status == 201 || busy,
            "{} {}",
            answer.status,
            answer.body
        );
    }
    let repeat = reserve(&platform, daemons[1].listen(), "r-1").await;
    assert!(repeat.replayed);
    assert_eq!(
        (repeat.status, repeat.json()["number"].as_u64()),
        (201, Some(1))
    );
    let other = platform
        .post(daemons[0].listen(), PATH, Some("r-1"), "{}")
        .await;
    assert_eq!(other.code(), (5002, "no".to_owned()));
    for daemon in daemons {
        daemon.stop().await;
    }
    platform.stop().await;
}

/// Guards against a call that is executed again after its response was lost, and against an answer
/// that reports it as not executed.
#[ntex::test]
async fn holds_once_when_the_service_loses_the_answer() {
    let platform = Platform::start(0).await;
    let daemons = two_daemons(&platform).await;
    platform.service.control(ServiceControl {
        drop_after_run: 1,
        ..ServiceControl::default()
    });
    for daemon in &daemons {
        let answer = reserve(&platform, daemon.listen(), "r-2").await;
        assert_eq!(answer.code(), (5001, "unknown".to_owned()));
    }
    assert_eq!(platform.service.stats().runs.len(), 1);
    for daemon in daemons {
        daemon.stop().await;
    }
    platform.stop().await;
}

/// Guards against a call without a key that is retried although it may have been executed.
#[ntex::test]
async fn holds_once_without_a_key() {
    let platform = Platform::start(0).await;
    let daemon = platform.daemon("entry-1").await;
    platform.service.control(ServiceControl {
        drop_after_run: 1,
        ..ServiceControl::default()
    });
    let answer = platform.post(daemon.listen(), PATH, None, BODY).await;
    assert_eq!(answer.code(), (4003, "unknown".to_owned()));
    assert_eq!(platform.service.stats().runs.len(), 1);
    daemon.stop().await;
    platform.stop().await;
}

/// Guards against a call that is executed without a claim while the store is down, and against
/// model traffic that stops because of the store.
#[ntex::test]
async fn holds_once_while_the_store_is_down() {
    let platform = Platform::start(1).await;
    let daemon = platform.daemon("entry-1").await;
    platform.store.control(StoreControl {
        down: true,
        ..StoreControl::default()
    });
    let answer = reserve(&platform, daemon.listen(), "r-3").await;
    assert_eq!(answer.code(), (5004, "no".to_owned()));
    assert!(platform.service.stats().runs.is_empty());
    let answer = platform.chat(daemon.listen(), "drip len=3", false).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    platform.store.control(StoreControl::default());
    let answer = reserve(&platform, daemon.listen(), "r-3").await;
    assert_eq!(answer.status, 201, "{}", answer.body);
    daemon.stop().await;
    platform.stop().await;
}

/// Guards against a lost response of the store that blocks the call or makes it run twice.
#[ntex::test]
async fn holds_once_when_the_store_loses_answers() {
    let platform = Platform::start(0).await;
    let daemons = two_daemons(&platform).await;
    for (n, lose_answers) in [(0, 1), (1, 2)] {
        platform.store.control(StoreControl {
            lose_answers,
            ..StoreControl::default()
        });
        let key = format!("r-4-{n}");
        let answer = reserve(&platform, daemons[0].listen(), &key).await;
        assert_eq!(answer.status, 201, "{}", answer.body);
        let repeat = reserve(&platform, daemons[1].listen(), &key).await;
        assert!(repeat.replayed, "{}", repeat.body);
    }
    assert_eq!(platform.service.stats().runs.len(), 2);
    for daemon in daemons {
        daemon.stop().await;
    }
    platform.stop().await;
}

/// Guards against a caller that disconnects early and thereby makes the outcome of its call
/// unknown.
#[ntex::test]
async fn holds_once_when_the_caller_leaves() {
    let platform = Platform::start(0).await;
    let daemon = platform.daemon("entry-1").await;
    platform.service.control(ServiceControl {
        held: true,
        ..ServiceControl::default()
    });
    let call = reserve(&platform, daemon.listen(), "r-5");
    let arrived = wait(async || platform.service.stats().received == 1);
    match select(Box::pin(call), Box::pin(arrived)).await {
        Either::Left(_) => panic!("a held call was answered"),
        // Dropping the call closes the caller's connection.
        Either::Right(((), call)) => drop(call),
    }
    platform.service.control(ServiceControl::default());
    wait(async || platform.service.stats().runs.len() == 1).await;
    // A graceful stop waits until the outcome is recorded.
    daemon.stop().await;
    let second = platform.daemon("entry-2").await;
    let repeat = reserve(&platform, second.listen(), "r-5").await;
    assert!(repeat.replayed, "{}", repeat.body);
    assert_eq!(platform.service.stats().runs.len(), 1);
    second.stop().await;
    platform.stop().await;
}
