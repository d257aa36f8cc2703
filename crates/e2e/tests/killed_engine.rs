//! Tests an engine process that is killed in the middle of streams.

mod support;

use futures::future::{join, join_all};
use ntex::{
    SharedCfg,
    client::{Client, Connector},
    time::Millis,
};
use serde_json::{Value, json};
use standin::answer_text;
use support::{KEY, Process, config, get_json, host_settings, put_config, wait_ok};

/// Tokens of each answer.
const TOKENS: u32 = 60;

/// Streams at the time of the kill.
const STREAMS: usize = 12;

/// Returns a configuration with two engines that can resume answers.
fn two_engines(engines: [&Process; 2], service: &Process) -> Value {
    let mut config = config(1, engines[0].address, service.address);
    let mut second = config["upstreams"][0].clone();
    second["name"] = json!("engine-2");
    second["address"] = json!(engines[1].address);
    config["upstreams"].as_array_mut().unwrap().push(second);
    config
}

/// Guards against a stream that ends, or continues with different text, when its engine is killed
/// although another engine is free and can resume the answer.
#[ntex::test]
async fn streams_go_on_when_their_engine_is_killed() {
    let arguments = ["--step-us", "20000"];
    let first = Process::standin("standin-engine", &arguments);
    let second = Process::standin("standin-engine", &arguments);
    let service = Process::standin("standin-service", &[]);
    let store = Process::standin("standin-store", &[]);
    let settings = host_settings("entry-kill", store.address);
    let daemon = Process::daemon(&settings);
    let client = Client::builder()
        .connector::<()>(Connector::new().limit(1 << 20))
        .build(SharedCfg::new("TEST"))
        .await
        .unwrap();
    put_config(
        &client,
        store.address,
        &two_engines([&first, &second], &service),
    )
    .await;
    wait_ok(
        &client,
        settings["admin_listen"].as_str().unwrap(),
        "/readyz",
    )
    .await;

    let prompts: Vec<String> = (0..STREAMS)
        .map(|number| format!("question {number} len={TOKENS}"))
        .collect();
    let url = format!("http://{}/v1/completions", daemon.address);
    let requests = prompts.iter().map(|prompt| {
        let body = json!({"model": "faucet-vision", "prompt": prompt, "stream": true});
        let request = client
            .post(&url)
            .header("authorization", format!("Bearer {KEY}"))
            .timeout(Millis(60_000));
        async move {
            let sent = request.send_json(&body);
            let answer = sent.await.expect("answer");
            let bytes = answer.body().limit(1 << 20).await.expect("body");
            String::from_utf8_lossy(&bytes).into_owned()
        }
    });
    let stats_url = format!("http://{}/stats", first.address);
    let kill = async {
        while get_json(&client, &stats_url).await["generated_tokens"]
            .as_u64()
            .unwrap()
            < 100
        {}
        drop(first);
    };
    let (answers, ()) = join(join_all(requests), kill).await;
    for (body, prompt) in answers.iter().zip(&prompts) {
        let mut events = Vec::new();
        wire::SseDecoder::default().push(body.as_bytes(), &mut events);
        assert_eq!(
            events.pop().as_deref(),
            Some(wire::DONE),
            "{prompt}: {body}"
        );
        let chunks = events
            .iter()
            .map(|event| wire::Chunk::parse(event).unwrap());
        let text: String = chunks.map(|chunk| chunk.text().to_owned()).collect();
        assert_eq!(text, answer_text(prompt, TOKENS), "{prompt}");
    }
}
