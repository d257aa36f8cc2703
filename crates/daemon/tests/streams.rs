//! Streamed responses through daemons: resumption, callers that disconnect, graceful stops.

mod support;

use std::time::Duration;

use futures::{
    StreamExt as _,
    future::{Either, abortable, join, select},
};
use standin::{EngineControl, SAMPLE_KEY, answer_text, sample_config};
use support::{Platform, chat_body, daemon_with, stream_text, wait};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    time::{sleep, timeout},
};

/// Returns a control that drops every stream after some tokens.
fn dropping(tokens: u32) -> EngineControl {
    EngineControl {
        drop_after_tokens: tokens,
        ..EngineControl::default()
    }
}

/// Guards against missing, repeated or truncated text in a response whose engines lose the
/// connection, with and without streaming.
#[ntex::test]
async fn holds_complete_when_engines_break_off() {
    for (tokens, stream) in [(1, true), (7, true), (19, true), (7, false)] {
        let platform = Platform::start(2).await;
        let daemon = platform.daemon("entry-1").await;
        platform
            .engines
            .iter()
            .for_each(|engine| engine.control(dropping(tokens)));
        let prompt = "the left tap drips len=20";
        let answer = Box::pin(platform.chat(daemon.listen(), prompt, stream));
        let lost = Box::pin(wait(async || {
            platform
                .engines
                .iter()
                .map(|engine| engine.stats().requests)
                .sum::<u64>()
                >= 2
        }));
        // The first attempt breaks off; the engines work again once the second attempt has started.
        let answer = match select(answer, lost).await {
            Either::Left((answer, _)) => answer,
            Either::Right(((), answer)) => {
                let working = EngineControl::default();
                platform
                    .engines
                    .iter()
                    .for_each(|engine| engine.control(working.clone()));
                answer.await
            }
        };
        assert_eq!(answer.status, 200, "{}", answer.body);
        let text = if stream {
            let (text, done) = stream_text(&answer.body);
            assert!(done, "{tokens}: {}", answer.body);
            text
        } else {
            let json = answer.json();
            assert_eq!(json["usage"]["completion_tokens"], 20);
            json["choices"][0]["message"]["content"]
                .as_str()
                .unwrap()
                .to_owned()
        };
        assert_eq!(text, answer_text(prompt, 20), "{tokens} {stream}");
        daemon.stop().await;
        platform.stop().await;
    }
}

/// Guards against a broken stream that ends like a complete one.
#[ntex::test]
async fn holds_complete_or_says_that_it_broke_off() {
    let platform = Platform::start(1).await;
    let daemon = platform.daemon("entry-1").await;
    platform.engines[0].control(dropping(2));
    let prompt = "the left tap drips len=40";
    let answer = platform.chat(daemon.listen(), prompt, true).await;
    let (text, done) = stream_text(&answer.body);
    assert!(!done, "{}", answer.body);
    assert!(answer_text(prompt, 40).starts_with(&text), "{text}");
    assert!(answer.body.contains("\"run\":\"yes\""), "{}", answer.body);
    daemon.stop().await;
    platform.stop().await;
}

/// Guards against a stalled stream that never ends, since its engine sends a byte now and then.
#[ntex::test]
async fn stream_without_events_ends_although_bytes_come() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
        transfer-encoding: chunked\r\n\r\n";
    const EVENT: &str = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n";
    let platform = Platform::start(0).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (serve, handle) = abortable(async move {
        let mut is_begun = false;
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = vec![0; 16 * 1024];
            let received = stream.read(&mut request).await.unwrap_or(0);
            // Pages with the load are asked for as well, and the stream can't be resumed.
            if !request[..received].starts_with(b"POST") || is_begun {
                continue;
            }
            is_begun = true;
            let begun = format!("{HEAD}{:x}\r\n{EVENT}\r\n", EVENT.len());
            let mut sent = stream.write_all(begun.as_bytes()).await;
            while sent.is_ok() {
                sleep(Duration::from_millis(300)).await;
                sent = stream.write_all(b"1\r\n:\r\n").await;
            }
        }
    });
    ntex::rt::spawn(serve);
    let daemon = daemon_with(&platform, &sample_config(2, &[address], &[])).await;
    let answer = platform.chat(daemon.listen(), "the left tap drips len=40", true);
    let answer = timeout(Duration::from_secs(30), answer).await;
    let answer = answer.expect("the stream ends");
    let (text, done) = stream_text(&answer.body);
    assert!(!done && text == "a", "{}", answer.body);
    handle.abort();
    daemon.stop().await;
    platform.stop().await;
}

/// Guards against an engine that continues to work for a caller that has disconnected.
#[ntex::test]
async fn caller_that_leaves_frees_its_engine() {
    let platform = Platform::start(1).await;
    let daemon = platform.daemon("entry-1").await;
    let request = platform
        .client
        .post(format!("http://{}/v1/chat/completions", daemon.listen()))
        .header("authorization", format!("Bearer {SAMPLE_KEY}"));
    let body = chat_body("read the manual len=100000", true);
    let answer = request.send_json(&body).await.unwrap();
    let mut payload = answer.take_payload();
    payload.next().await.unwrap().unwrap();
    drop(payload);
    drop(answer);
    wait(async || platform.engines[0].stats().cancelled == 1).await;
    let status = platform.admin(&daemon, "/admin/status").await;
    assert!(status.contains("\"in_flight\":0"), "{status}");
    let metrics = platform.admin(&daemon, "/metrics").await;
    assert!(metrics.contains("cause=\"caller_left\""), "{metrics}");
    daemon.stop().await;
    platform.stop().await;
}

/// Guards against a graceful stop that aborts a stream or queued work.
#[ntex::test]
async fn holds_stop_finishes_streams_and_queue() {
    let platform = Platform::start(1).await;
    let daemon = platform.daemon("entry-1").await;
    let listen = daemon.listen();
    let prompts: Vec<String> = (0..40).map(|n| format!("question {n} len=30")).collect();
    let answers = futures::future::join_all(
        prompts
            .iter()
            .map(|prompt| platform.chat(listen, prompt, true)),
    );
    let stop = async {
        // A request that arrives after the stop began may be refused; these have all arrived
        // before.
        wait(async || {
            let status = platform.admin(&daemon, "/admin/status").await;
            status.contains("\"in_flight\":40") && platform.engines[0].stats().generated_tokens > 0
        })
        .await;
        daemon.stop().await;
    };
    let (answers, ()) = join(answers, stop).await;
    for (answer, prompt) in answers.iter().zip(&prompts) {
        let (text, done) = stream_text(&answer.body);
        assert!(done, "{}: {}", answer.status, answer.body);
        assert_eq!(text, answer_text(prompt, 30));
    }
    platform.stop().await;
}

/// Guards against responses that reach another caller when connections are reused after cancelled
/// requests.
#[ntex::test]
async fn holds_complete_for_its_own_request_after_cancels() {
    let platform = Platform::start(2).await;
    let daemon = platform.daemon("entry-1").await;
    let listen = daemon.listen();
    for round in 0..10 {
        let abandoned = (0..8).map(|n| {
            let prompt = format!("abandoned {round} {n} len=500");
            let platform = &platform;
            async move {
                let call = platform.chat(listen, &prompt, true);
                let _ = tokio::time::timeout(std::time::Duration::from_millis(30), call).await;
            }
        });
        let kept = (0..8).map(|n| {
            let prompt = format!("kept {round} {n} len=6");
            let platform = &platform;
            async move {
                let answer = platform.chat(listen, &prompt, true).await;
                assert_eq!(stream_text(&answer.body), (answer_text(&prompt, 6), true));
            }
        });
        join(
            futures::future::join_all(abandoned),
            futures::future::join_all(kept),
        )
        .await;
    }
    daemon.stop().await;
    platform.stop().await;
}

/// Guards against decisions about a request that `/admin/explain` does not show.
#[ntex::test]
async fn decisions_about_a_request_are_explained() {
    let platform = Platform::start(1).await;
    let daemon = platform.daemon("entry-1").await;
    let answer = platform.chat(daemon.listen(), "drip len=3", false).await;
    let id = answer.json()["id"].as_str().unwrap().to_owned();
    let text = platform
        .admin(&daemon, &format!("/admin/explain/{id}"))
        .await;
    for step in ["received", "started", "first_token", "complete"] {
        assert!(
            text.contains(&format!("\"step\":\"{step}\"")),
            "{step}: {text}"
        );
    }
    daemon.stop().await;
    platform.stop().await;
}
