//! Tests a daemon process that is suspended and resumed.

mod support;

use std::{net::SocketAddr, time::Duration};

use ntex::client::Client;
use serde_json::json;
use support::{Process, chat, config, host_settings, put_config, wait_ok};

/// Longer than the gap after which a daemon considers itself to have been suspended.
const PAUSE: Duration = Duration::from_millis(2_500);

/// Maximum number of requests, 20 ms apart, until the daemon has confirmed its configuration.
const ATTEMPTS_MAX: usize = 1_000;

/// Makes the store stand-in unavailable, or available again.
async fn set_down(client: &Client, store: SocketAddr, down: bool) {
    let url = format!("http://{store}/control");
    let answer = client.post(url).send_json(&json!({ "down": down })).await;
    assert!(answer.unwrap().status().is_success());
}

/// Guards against a resumed daemon that serves requests before it has confirmed its configuration
/// with the store.
#[ntex::test]
async fn holds_config_of_a_resumed_daemon() {
    let engine = Process::standin("standin-engine", &[]);
    let service = Process::standin("standin-service", &[]);
    let store = Process::standin("standin-store", &[]);
    let settings = host_settings("entry-paused", store.address);
    let daemon = Process::daemon(&settings);
    let client = Client::new().await;
    let initial_config = config(1, engine.address, service.address);
    put_config(&client, store.address, &initial_config).await;
    wait_ok(
        &client,
        settings["admin_listen"].as_str().unwrap(),
        "/readyz",
    )
    .await;
    let body = json!({"model": "faucet-vision",
        "messages": [{"role": "user", "content": "the left tap drips len=2"}]});
    assert_eq!(chat(&client, daemon.address, &body).await.0, 200);

    set_down(&client, store.address, true).await;
    daemon.signal("STOP");
    tokio::time::sleep(PAUSE).await;
    daemon.signal("CONT");
    // A server may close idle connections; after a suspension it may do so before it reads.
    let client = Client::new().await;
    let (status, answer) = chat(&client, daemon.address, &body).await;
    assert_eq!(status, 503, "{answer}");
    assert!(answer.contains("3006"), "{answer}");

    set_down(&client, store.address, false).await;
    let mut last = (0, String::new());
    for _ in 0..ATTEMPTS_MAX {
        last = chat(&client, daemon.address, &body).await;
        if last.0 == 200 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(last.0, 200, "{}", last.1);
    daemon.signal("TERM");
    assert!(daemon.wait().success());
}
