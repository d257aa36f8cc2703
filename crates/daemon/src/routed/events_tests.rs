use bytes::Bytes;

use super::EventBuffer;

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
            .map(|chunk| events.push(Bytes::copy_from_slice(chunk.as_bytes())))
            .collect();
        assert_eq!(forwarded, expected, "{chunks:?}");
        assert_eq!(events.last_id().as_deref(), Some(last_id), "{chunks:?}");
    }
}
