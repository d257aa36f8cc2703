use serde_json::{Value, json};

use crate::{Assembler, Chunk, Form, Request, SseDecoder};

/// Guards against accepting a body that an engine would refuse later.
#[test]
fn invalid_bodies_are_refused() {
    let cases = [
        ("", "JSON"),
        ("[]", "JSON"),
        (r#"{"messages":[{}]}"#, "model"),
        (r#"{"model":"m"}"#, "messages"),
        (r#"{"model":"m","messages":[]}"#, "messages"),
        (r#"{"model":"m","messages":[{}],"n":2}"#, "`n`"),
        (
            r#"{"model":"m","messages":[{}],"max_tokens":0}"#,
            "max_tokens",
        ),
        (r#"{"model":"m","messages":[{}],"stream":"yes"}"#, "stream"),
    ];
    for (body, field) in cases {
        let error = Request::parse(Form::Chat, body.as_bytes()).unwrap_err();
        assert!(error.detail.contains(field), "{body}: {error}");
    }
}

/// Guards against a resumed request that repeats or drops what the caller already has.
#[test]
fn resumed_body_carries_received_text() {
    let body = json!({"model": "m@fast", "messages": [{"role": "user", "content": "q"}],
        "max_tokens": 10});
    let request = Request::parse(Form::Chat, body.to_string().as_bytes()).unwrap();
    let body: Value = serde_json::from_str(&request.upstream_body(Some(3), "abc", 4)).unwrap();
    assert_eq!(body["model"], "m");
    assert_eq!(body["priority"], 3);
    assert_eq!(body["max_tokens"], 6);
    assert_eq!(body["continue_final_message"], true);
    assert_eq!(
        body["messages"][1],
        json!({"role": "assistant", "content": "abc"})
    );
}

/// Guards against a decoder that depends on how the stream is cut into packets.
#[test]
fn sse_decoder_accepts_any_split() {
    let stream = b": comment\r\ndata: one\r\n\r\ndata: two\ndata: lines\n\nevent: x\n\ndata:3\n\n";
    for split in 0..stream.len() {
        let mut decoder = SseDecoder::default();
        let mut events = Vec::new();
        decoder.push(&stream[..split], &mut events);
        decoder.push(&stream[split..], &mut events);
        assert_eq!(events, ["one", "two\nlines", "3"], "split at {split}");
    }
}

/// Guards against an assembled answer that differs from the streamed one.
#[test]
fn assembler_joins_chunks() {
    let mut assembler = Assembler::new(Form::Chat);
    let chunks = [
        json!({"id": "x", "model": "m", "created": 1,
            "choices": [{"index": 0, "delta": {"role": "assistant", "content": "a"}}]}),
        json!({"id": "x", "choices": [{"index": 0, "delta": {"content": "b"},
            "finish_reason": "stop"}]}),
        json!({"id": "x", "choices": [], "usage": {"completion_tokens": 2}}),
    ];
    for chunk in chunks {
        assembler.push(&Chunk::parse(&chunk.to_string()).unwrap());
    }
    let answer = assembler.finish();
    assert_eq!(answer["choices"][0]["message"]["content"], "ab");
    assert_eq!(answer["choices"][0]["finish_reason"], "stop");
    assert_eq!(answer["usage"]["completion_tokens"], 2);
}
