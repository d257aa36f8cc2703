//! Sends one request and measures its response.

use futures::StreamExt as _;
use ntex::client::Client;
use serde_json::json;
use tokio::time::Instant;
use wire::{Chunk, DONE, SseDecoder};

use crate::{PlannedRequest, RequestOutcome, Sample, run::Target};

/// Sends a planned request, reads the streaming response and returns the result.
pub(crate) async fn send(
    client: &Client,
    target: &Target,
    class: &str,
    planned: &PlannedRequest,
) -> Sample {
    let start = Instant::now();
    let mut sample = Sample {
        spec_index: planned.spec_index,
        outcome: RequestOutcome::Broken,
        first_token_us: 0,
        token_gap_us: 0,
        tokens: 0,
    };
    let body = json!({
        "model": target.model,
        "messages": [{"role": "user", "content": planned.prompt}],
        "stream": true,
    });
    let request = client
        .post(format!(
            "http://{}/v1/chat/completions",
            target.next_address()
        ))
        .header("authorization", format!("Bearer {}", target.key))
        .header("x-service-class", class);
    let Ok(response) = request.send_json(&body).await else {
        return sample;
    };
    if !response.status().is_success() {
        sample.outcome = RequestOutcome::Refused;
        return sample;
    }
    let mut payload = response.take_payload();
    let mut decoder = SseDecoder::default();
    while let Some(Ok(bytes)) = payload.next().await {
        let mut events = Vec::new();
        decoder.push(&bytes, &mut events);
        for event in events {
            if event == DONE {
                sample.outcome = RequestOutcome::Complete;
                return sample;
            }
            if !Chunk::parse(&event).is_ok_and(|chunk| !chunk.text().is_empty()) {
                continue;
            }
            record_token(&mut sample, start);
            if planned.abandon_after_tokens == Some(sample.tokens) {
                sample.outcome = RequestOutcome::Abandoned;
                return sample;
            }
        }
    }
    sample
}

/// Counts a token and updates the time to the first token and the mean gap.
fn record_token(sample: &mut Sample, start: Instant) {
    let now_us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
    sample.tokens += 1;
    if sample.tokens == 1 {
        sample.first_token_us = now_us;
    } else {
        sample.token_gap_us = (now_us - sample.first_token_us) / u64::from(sample.tokens - 1);
    }
}
