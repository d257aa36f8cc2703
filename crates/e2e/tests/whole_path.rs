//! Tests requests from end to end through separate processes.

mod support;

use serde_json::{Value, json};
use standin::answer_text;
use support::{Fleet, KEY, chat};
use wire::{Chunk, DONE, SseDecoder};

/// Guards against processes that don't work together: caller, daemon, engine, plain service and
/// store.
#[ntex::test]
async fn request_is_served_by_separate_processes() {
    let fleet = Fleet::start("entry-path").await;
    let (client, daemon) = (&fleet.client, fleet.daemon.address);

    let prompt = "the left tap drips len=12";
    let mut body =
        json!({"model": "faucet-vision", "messages": [{"role": "user", "content": prompt}]});
    let (status, answer) = chat(client, daemon, &body).await;
    assert_eq!(status, 200, "{answer}");
    let answer: Value = serde_json::from_str(&answer).unwrap();
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        answer_text(prompt, 12)
    );
    assert_eq!(answer["usage"]["completion_tokens"], 12);

    body["stream"] = json!(true);
    let (status, stream) = chat(client, daemon, &body).await;
    assert_eq!(status, 200, "{stream}");
    let mut events = Vec::new();
    SseDecoder::default().push(stream.as_bytes(), &mut events);
    assert_eq!(events.pop().as_deref(), Some(DONE));
    let text: String = events
        .iter()
        .map(|event| Chunk::parse(event).unwrap().text().to_owned())
        .collect();
    assert_eq!(text, answer_text(prompt, 12));

    let url = format!("http://{daemon}/services/inventory/reservations");
    let reserved = client
        .post(url)
        .header("authorization", format!("Bearer {KEY}"))
        .header("idempotency-key", "\"r-1\"")
        .send_json(&json!({"cartridge": "35mm"}))
        .await
        .unwrap();
    assert_eq!(reserved.status().as_u16(), 201);

    fleet.daemon.signal("TERM");
    assert!(fleet.daemon.wait().success());
}
