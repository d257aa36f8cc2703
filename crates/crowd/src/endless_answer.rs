use std::fmt;

/// Part of an answer, or of the bytes in its place, that goes on without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessAnswer {
    /// Reason of the status line.
    StatusLine,
    /// Bytes that are no answer.
    Garbage,
    /// Empty lines before an answer.
    EmptyLines,
    /// Value of a header.
    Header,
    /// Number of headers.
    Headers,
    /// Interim answers with status 100.
    Continues,
    /// Interim answers with status 103, with a header each.
    EarlyHints,
    /// Body with neither a length nor chunks.
    UnframedBody,
    /// Body with a length above every limit.
    LongBody,
    /// Chunks of 16 KiB.
    Chunks,
    /// Chunks of one byte.
    SmallChunks,
    /// Extension of a chunk.
    ChunkExtension,
    /// Extensions of chunks of one byte, each of legal size.
    ExtendedChunks,
    /// Trailers after the last chunk.
    Trailers,
    /// One line of an event.
    Event,
    /// Lines of one event.
    EventLines,
    /// Comments.
    Comments,
    /// Empty lines between events.
    EmptyEventLines,
    /// Small events, each of them complete.
    Events,
}

/// Size of a chunk of [`EndlessAnswer::Chunks`].
const CHUNK_BYTES: usize = 16 * 1024;

/// Event of both interfaces.
const EVENT: &str = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n";

const OK: &str = "HTTP/1.1 200 OK\r\n";

const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

impl EndlessAnswer {
    /// Returns what is sent once, with these headers where the answer has a head, and what is
    /// repeated after it. Each header ends with `\r\n`.
    #[must_use]
    pub(crate) fn bytes(self, headers: &str) -> (String, String) {
        let head = format!("{OK}{headers}");
        let chunked = format!("{head}{CHUNKED}");
        let chunk = |data: &str| format!("{:x}\r\n{data}\r\n", data.len());
        let lines = |line: &str| chunk(&line.repeat(CHUNK_BYTES / line.len()));
        match self {
            Self::StatusLine => ("HTTP/1.1 200 ".to_owned(), "O".to_owned()),
            Self::Garbage => (String::new(), "\0\u{7f}\r".to_owned()),
            Self::EmptyLines => (String::new(), "\r\n".to_owned()),
            Self::Header => (format!("{head}x: "), "v".to_owned()),
            Self::Headers => (head, "x: v\r\n".to_owned()),
            Self::Continues => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".to_owned()),
            Self::EarlyHints => (
                String::new(),
                "HTTP/1.1 103 Early Hints\r\nx: v\r\n\r\n".to_owned(),
            ),
            Self::UnframedBody => (format!("{head}\r\n"), "b".to_owned()),
            Self::LongBody => (
                format!("{head}content-length: 1000000000000\r\n\r\n"),
                "b".to_owned(),
            ),
            Self::Chunks => (chunked, lines("b")),
            Self::SmallChunks => (chunked, chunk("b")),
            Self::ChunkExtension => (format!("{chunked}1;"), "e".to_owned()),
            Self::ExtendedChunks => (chunked, "1;extension=0123456789abcdef\r\nb\r\n".to_owned()),
            Self::Trailers => (format!("{chunked}1\r\nb\r\n0\r\n"), "x: v\r\n".to_owned()),
            Self::Event => (format!("{chunked}{}", chunk("data: ")), lines("e")),
            Self::EventLines => (chunked, lines("data: e\n")),
            Self::Comments => (chunked, lines(": e\n")),
            Self::EmptyEventLines => (chunked, lines("\n")),
            Self::Events => (chunked, chunk(EVENT)),
        }
    }
}

impl fmt::Display for EndlessAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}
