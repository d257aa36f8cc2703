use bytes::Bytes;

use super::{EVENT_MAX_BYTES, EventBuffer, EventError};

/// Guards against passing on an incomplete event, which a resumed stream would send again.
#[test]
fn passes_on_whole_events_only() {
    let cases: [(&[&str], &[&str], &str); 4] = [
        (&["id: 1\ndata: a\n\n"], &["id: 1\ndata: a\n\n"], "1"),
        (
            &["id: 1\nda", "ta: a\n\nid: 2"],
            &["", "id: 1\ndata: a\n\n"],
            "1",
        ),
        (&["id: 1\n\nid: 2\n\nid: 3"], &["id: 1\n\nid: 2\n\n"], "2"),
        (
            &["id: 7\ndata: x\n", "\n"],
            &["", "id: 7\ndata: x\n\n"],
            "7",
        ),
    ];
    for (chunks, expected, last_id) in cases {
        let mut events = EventBuffer::default();
        let forwarded: Vec<Bytes> = chunks
            .iter()
            .map(|chunk| {
                let chunk = Bytes::copy_from_slice(chunk.as_bytes());
                events.push(chunk).unwrap()
            })
            .collect();
        assert_eq!(forwarded, expected, "{chunks:?}");
        assert_eq!(events.last_id().as_deref(), Some(last_id), "{chunks:?}");
    }
}

/// Guards against an upstream in trouble whose event never ends and fills the memory, and against
/// losing the complete events before it.
#[test]
fn an_event_without_end_is_refused() {
    let mut events = EventBuffer::default();
    let first = events.push(Bytes::from_static(b"id: 1\n\nid: 2\ndata: "));
    assert_eq!(first, Ok(Bytes::from_static(b"id: 1\n\n")));
    let chunk = Bytes::from_static(&[b'x'; 1_000]);
    let mut held_bytes = 0;
    let refused = loop {
        match events.push(chunk.clone()) {
            Ok(complete) => assert!(complete.is_empty()),
            Err(error) => break error,
        }
        held_bytes += chunk.len();
        assert!(held_bytes <= EVENT_MAX_BYTES, "{held_bytes}");
    };
    assert_eq!(refused, EventError::TooLarge);
    assert_eq!(events.last_id().as_deref(), Some("1"));
    assert!(events.take_partial().is_empty());
}

/// Guards against a terminator that is missed because it is split between two chunks.
#[test]
fn a_split_terminator_is_found() {
    let mut events = EventBuffer::default();
    for chunk in ["id: 1\n", "data: abc", "\n"] {
        let complete = events.push(Bytes::from_static(chunk.as_bytes()));
        assert_eq!(complete, Ok(Bytes::new()));
    }
    let complete = events.push(Bytes::from_static(b"\nid"));
    assert_eq!(complete, Ok(Bytes::from_static(b"id: 1\ndata: abc\n\n")));
    assert_eq!(events.take_partial(), Bytes::from_static(b"id"));
}
