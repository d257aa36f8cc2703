//! A request from end to end through separate processes.

mod support;

use ntex::client::Client;
use serde_json::{Value, json};
use standin::answer_text;
use support::{KEY, Process, chat, config, host_settings, put_config, wait_ok};
use wire::{Chunk, DONE, SseDecoder};

/// Guards against a break anywhere between caller, daemon, engine, plain service and store.
#[ntex::test]
async fn request_is_served_by_separate_processes() {
    let engine = Process::standin("standin-engine", &[]);
    let service = Process::standin("standin-service", &[]);
    let store = Process::standin("standin-store", &[]);
    let settings = host_settings("entry-1", store.address);
    let daemon = Process::daemon(&settings);
    let client = Client::new().await;
    put_config(
        &client,
        store.address,
        &config(1, engine.address, service.address),
    )
    .await;
    wait_ok(
        &client,
        settings["admin_listen"].as_str().unwrap(),
        "/readyz",
    )
    .await;

    let prompt = "the left tap drips len=12";
    let mut body =
        json!({"model": "faucet-vision", "messages": [{"role": "user", "content": prompt}]});
    let (status, answer) = chat(&client, daemon.address, &body).await;
    assert_eq!(status, 200, "{answer}");
    let answer: Value = serde_json::from_str(&answer).unwrap();
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        answer_text(prompt, 12)
    );
    assert_eq!(answer["usage"]["completion_tokens"], 12);

    body["stream"] = json!(true);
    let (status, stream) = chat(&client, daemon.address, &body).await;
    assert_eq!(status, 200, "{stream}");
    let mut events = Vec::new();
    SseDecoder::default().push(stream.as_bytes(), &mut events);
    assert_eq!(events.pop().as_deref(), Some(DONE));
    let text: String = events
        .iter()
        .map(|event| Chunk::parse(event).unwrap().text().to_owned())
        .collect();
    assert_eq!(text, answer_text(prompt, 12));

    let url = format!("http://{}/services/inventory/reservations", daemon.address);
    let reserved = client
        .post(url)
        .header("authorization", format!("Bearer {KEY}"))
        .header("idempotency-key", "\"r-1\"")
        .send_json(&json!({"cartridge": "35mm"}))
        .await
        .unwrap();
    assert_eq!(reserved.status().as_u16(), 201);

    daemon.signal("TERM");
    assert!(daemon.wait().success());
}
