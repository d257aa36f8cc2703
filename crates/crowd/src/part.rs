use crate::Script;

/// Part of a request, or of the bytes around it, that goes on without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Empty lines before a request.
    EmptyLines,
    /// Method.
    Method,
    /// Spaces between the method and the path.
    Spaces,
    /// Path.
    Path,
    /// Name of a header.
    HeaderName,
    /// Value of a header.
    HeaderValue,
    /// Number of headers.
    Headers,
    /// Lines that continue a header.
    FoldedHeader,
    /// Digits of the size of a chunk.
    ChunkSize,
    /// Extension of the first chunk.
    ChunkExtension,
    /// Extension of a chunk after another one.
    LaterChunkExtension,
    /// Extension of the last chunk.
    LastChunkExtension,
    /// Extensions of chunks of one byte, each of legal size.
    ExtendedChunks,
    /// Number of chunks of one byte.
    SmallChunks,
    /// Trailers after the last chunk.
    Trailers,
    /// Bytes after the body.
    AfterBody,
    /// Whole requests, whose answers aren't read.
    Requests,
    /// Body that was announced with `Expect: 100-continue` and is larger than any limit.
    ExpectedBody,
    /// Body that is larger than any limit.
    Body,
    /// Bytes after a request to change the protocol.
    Upgrade,
    /// Bytes after a request for a tunnel.
    Tunnel,
    /// Bytes that are no request.
    Garbage,
}

/// Length of a body above the limit of every host.
const LENGTH: &str = "content-length: 1000000000000\r\n\r\n";

const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

impl Part {
    /// Returns the script for a request with these start line and headers, without the empty line
    /// after them.
    #[must_use]
    pub fn script(self, head: &str) -> Script {
        let chunked = format!("{head}{CHUNKED}");
        let (opening, filler) = match self {
            Self::EmptyLines => (String::new(), "\r\n"),
            Self::Method => (String::new(), "M"),
            Self::Spaces => ("POST ".to_owned(), " "),
            Self::Path => ("POST /".to_owned(), "p"),
            Self::HeaderName => (format!("{head}x"), "n"),
            Self::HeaderValue => (format!("{head}x: "), "v"),
            Self::Headers => (head.to_owned(), "x: v\r\n"),
            Self::FoldedHeader => (format!("{head}x: v\r\n"), " v\r\n"),
            Self::ChunkSize => (chunked, "0"),
            Self::ChunkExtension => (format!("{chunked}1;"), "e"),
            Self::LaterChunkExtension => (format!("{chunked}1\r\nb\r\n1;"), "e"),
            Self::LastChunkExtension => (format!("{chunked}1\r\nb\r\n0;"), "e"),
            Self::ExtendedChunks => (chunked, "1;extension=0123456789abcdef\r\nb\r\n"),
            Self::SmallChunks => (chunked, "1\r\nb\r\n"),
            Self::Trailers => (format!("{chunked}1\r\nb\r\n0\r\n"), "x: v\r\n"),
            Self::AfterBody => (format!("{head}content-length: 1\r\n\r\nb"), "b"),
            Self::Requests => {
                let request = format!("{head}content-length: 1\r\n\r\nb");
                return Script::new(request.clone()).with_filler(&request);
            }
            Self::ExpectedBody => (format!("{head}expect: 100-continue\r\n{LENGTH}"), "b"),
            Self::Body => (format!("{head}{LENGTH}"), "b"),
            Self::Upgrade => (
                format!("{head}connection: upgrade\r\nupgrade: x\r\n\r\n"),
                "u",
            ),
            Self::Tunnel => ("CONNECT a:1 HTTP/1.1\r\nhost: a:1\r\n\r\n".to_owned(), "t"),
            Self::Garbage => (String::new(), "\0\u{7f}\r"),
        };
        Script::new(opening).with_filler(filler)
    }
}
