use bytes::Bytes;

use super::Events;

/// Guards against passing on an event that broke off, which a continued stream would repeat.
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
        let mut events = Events::default();
        let passed: Vec<Bytes> = chunks
            .iter()
            .map(|chunk| events.push(Bytes::copy_from_slice(chunk.as_bytes())))
            .collect();
        assert_eq!(passed, expected, "{chunks:?}");
        assert_eq!(events.last_id().as_deref(), Some(last_id), "{chunks:?}");
    }
}
