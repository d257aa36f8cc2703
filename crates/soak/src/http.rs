use std::io;

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _, BufReader},
    net::TcpStream,
};

/// Largest head or body that is read.
const MAX_BYTES: usize = 4 << 20;

/// Head of a request or an answer, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether the body ended as its framing says.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }
}

/// Reads one message; `None` at the end of the connection.
pub async fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = read_line(stream).await?;
    if line.is_empty() {
        return Ok(None);
    }
    message.start = line;
    loop {
        line = read_line(stream).await?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(header);
    }
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    if message.header("transfer-encoding").is_some() {
        read_chunks(stream, &mut message).await;
    } else if let Some(length) = length {
        let mut body = vec![0; usize::min(length, MAX_BYTES)];
        message.whole = stream.read_exact(&mut body).await.is_ok();
        message.body = String::from_utf8_lossy(&body).into_owned();
    } else {
        message.whole = true;
    }
    Ok(Some(message))
}

/// Reads chunks until the last one; a break is told by `whole`.
async fn read_chunks(stream: &mut BufReader<TcpStream>, message: &mut Message) {
    while let Ok(line) = read_line(stream).await {
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return;
        };
        let mut chunk = vec![0; length.min(MAX_BYTES) + 2];
        if stream.read_exact(&mut chunk).await.is_err() {
            return;
        }
        if length == 0 {
            message.whole = true;
            return;
        }
        message.body += &String::from_utf8_lossy(&chunk[..length]);
    }
}

async fn read_line(stream: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = Vec::new();
    loop {
        match stream.read_u8().await {
            Ok(b'\n') => break,
            Ok(byte) if line.len() < MAX_BYTES => line.push(byte),
            Ok(_) => return Err(io::ErrorKind::InvalidData.into()),
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => break,
            Err(error) => return Err(error),
        }
    }
    Ok(String::from_utf8_lossy(&line).trim_end().to_owned())
}

/// Writes an answer with a length.
pub async fn answer(
    stream: &mut BufReader<TcpStream>,
    status: u16,
    headers: &str,
    body: &str,
) -> io::Result<()> {
    let length = body.len();
    let text =
        format!("HTTP/1.1 {status} Status\r\n{headers}content-length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).await
}
