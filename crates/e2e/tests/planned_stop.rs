//! Tests the planned stop of a daemon process under load.

mod support;

use futures::future::{join, join_all};
use serde_json::json;
use standin::answer_text;
use support::{Fleet, chat, get_json};

/// Guards against a SIGTERM that cuts off streams or queued requests, or that ends the process
/// with an error.
#[ntex::test]
async fn holds_stop_when_a_process_is_terminated() {
    let fleet = Fleet::start("entry-stop").await;
    let client = &fleet.client;

    // The engine has 8 slots: some requests stream and the others wait when the signal arrives.
    let prompts: Vec<String> = (0..24).map(|n| format!("question {n} len=25")).collect();
    let address = fleet.daemon.address;
    let requests = prompts.iter().map(|prompt| {
        let messages = [json!({"role": "user", "content": prompt})];
        let body = json!({"model": "faucet-vision", "messages": messages, "stream": true});
        async move { chat(client, address, &body).await }
    });
    let terminate = async {
        // A request that arrives after the signal may be refused, so all have to arrive before it.
        let stats_url = format!("http://{}/stats", fleet.engine.address);
        let status_url = format!("http://{}/admin/status", fleet.admin);
        loop {
            let stats = get_json(client, &stats_url).await;
            let status = get_json(client, &status_url).await;
            if status["in_flight"] == 24 && stats["generated_tokens"].as_u64().unwrap() > 8 {
                break;
            }
        }
        fleet.daemon.signal("TERM");
    };
    let (answers, ()) = join(join_all(requests), terminate).await;
    for ((status, body), prompt) in answers.iter().zip(&prompts) {
        assert_eq!(*status, 200, "{body}");
        let mut events = Vec::new();
        wire::SseDecoder::default().push(body.as_bytes(), &mut events);
        assert_eq!(events.pop().as_deref(), Some(wire::DONE), "{body}");
        let chunks = events
            .iter()
            .map(|event| wire::Chunk::parse(event).unwrap());
        let text: String = chunks.map(|chunk| chunk.text().to_owned()).collect();
        assert_eq!(text, answer_text(prompt, 25));
    }
    assert!(fleet.daemon.wait().success());
}
