//! Tests of the explanation of a request and of the log line parser.

use crate::{Explanation, Log, LogLine};

/// Log of the daemon `entry-1`.
const ENTRY_1_LOG: &str = r#"
2026-12-04T10:00:00.000Z INFO daemon: SIGTERM
2026-12-04T10:00:00.500Z INFO daemon: entry-1 serves callers at 127.0.0.1:1, operators at 127.0.0.1:2
2026-12-04T10:00:01.000Z INFO store: lost read=upstreams error="Down"
2026-12-04T10:00:01.000Z INFO store: lost read=config error="Down"
2026-12-04T10:00:02.000Z INFO store: regained read=upstreams failures=1
2026-12-04T10:00:05.000Z INFO caller: accepted request=a-1 job=7 route=r account=x rank=1 tier=1 version=3 left_ms=900 prompt_tokens=40000
2026-12-04T10:00:05.001Z INFO attempt: started request=a-1 upstream=i-1 attempt=1 rank=1 work_tokens=41000 waited_ms=1 left_ms=899
2026-12-04T10:00:05.300Z INFO attempt: failed request=a-1 upstream=i-1 waited_ms=300 detail="lost: connection error"
2026-12-04T10:00:05.301Z INFO caller: refused request=a-1 code=4003 upstream_lost retry_after_ms=0 waited_ms=301 detail=""
2026-12-04T10:00:05.400Z INFO attempt: failed request=a-10 upstream=i-1 waited_ms=90 detail="lost: connection error"
not a line of a daemon
2026-12-04T10:00:30.000Z INFO daemon: SIGTERM
"#;
/// Log of the daemon `entry-2`.
const ENTRY_2_LOG: &str = r#"
2026-12-04T10:00:04.900Z INFO attempt: failed request=b-1 upstream=i-1 waited_ms=90 detail="lost: connection error"
2026-12-04T10:00:04.950Z INFO attempt: failed request=b-2 upstream=i-2 waited_ms=90 detail="lost: connection error"
2026-12-04T10:00:05.350Z INFO upstream: gone name=i-1 service=parts
2026-12-04T10:00:05.350Z INFO upstream: gone name=i-9 service=parts
2026-12-04T10:00:05.000Z INFO daemon: SIGTERM
"#;

/// Returns the printed explanation of a request.
fn explain(id: &str) -> Option<String> {
    let logs = [
        Log {
            name: "entry-1",
            text: ENTRY_1_LOG,
        },
        Log {
            name: "entry-2",
            text: ENTRY_2_LOG,
        },
    ];
    // The ID must live as long as the logs, which are constants.
    let id: &'static str = Box::leak(id.to_owned().into_boxed_str());
    Explanation::from_logs(&logs, id).map(|explanation| explanation.to_string())
}

/// Guards against a cause that is in the logs and missing from the explanation, and against causes
/// taken from unrelated requests, upstreams and times.
#[test]
fn failed_request_is_explained_from_all_logs() {
    let text = explain("a-1").unwrap();
    for expected in [
        "Refused with 4003 upstream_lost",
        "The attempt at i-1 failed: lost: connection error.",
        "i-1 had 41000 prompt tokens to read before the first token.",
        "entry-1 had lost the store for its config.",
        "i-1 left the list of upstreams.",
        "other attempts that failed at the same upstreams: 2",
        "      301 ms  entry-1  caller: refused",
    ] {
        assert!(text.contains(expected), "{expected} not in\n{text}");
    }
    // The SIGTERM lines belong to an earlier process, a later time or another daemon, and the store
    // had answered reads of the upstreams again.
    for other in ["a-10", "i-2", "i-9", "stopping", "for its upstreams"] {
        assert!(!text.contains(other), "{other} in\n{text}");
    }
}

/// Guards against lines of a request whose ID only starts with the given one.
#[test]
fn unknown_request_has_no_story() {
    assert_eq!(explain("a"), None);
    assert_eq!(explain("a-100"), None);
}

/// Guards against valid lines, with or without the name of a daemon, that are not parsed, and
/// against other text that is.
#[test]
fn lines_of_both_forms_are_read() {
    let unnamed = LogLine::parse("2026-12-04T10:00:01.5Z INFO peer: entry-2 is Dead").unwrap();
    assert_eq!(
        (unnamed.host, unnamed.message),
        (None, "peer: entry-2 is Dead")
    );
    let named = LogLine::parse(" 9.7344 edge-1 WARN config: x a=\"b c\" d=e").unwrap();
    assert_eq!((named.at_s, named.host), (9.7344, Some("edge-1")));
    assert_eq!(
        (named.field("a"), named.field("d")),
        (Some("b c"), Some("e"))
    );
    assert_eq!(named.field("c"), None);
    for text in [
        "",
        "x",
        "INFO caller: a",
        "9.0 a b INFO caller: a",
        "yesterday INFO a: b",
    ] {
        assert_eq!(LogLine::parse(text), None, "{text}");
    }
}
