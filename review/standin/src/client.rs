//! Client of the platform: one HTTP/1.1 connection, one request at a time.

use std::{net::SocketAddr, time::Duration};

use eyre::Result;
use tokio::{
    io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader},
    net::TcpStream,
    time::timeout,
};

/// What a client received in answer to a request.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    /// Status; 0 if the connection ended before a status line.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer was received whole, as its framing says.
    pub complete: bool,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Describes it for the record.
    pub fn describe(&self) -> String {
        match (self.status, self.complete) {
            (0, _) => "connection closed without an answer".to_owned(),
            (status, true) => format!(
                "answer {status}, whole, {} bytes, stamp {}",
                self.body.len(),
                self.header("response-stamp").unwrap_or("none")
            ),
            (status, false) => format!(
                "connection closed in the middle of the answer {status}, after {} bytes",
                self.body.len()
            ),
        }
    }
}

/// Connection of a client.
pub struct Connection {
    stream: BufReader<TcpStream>,
}

impl Connection {
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let stream = timeout(Duration::from_secs(1), TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream: BufReader::new(stream),
        })
    }

    /// Sends bytes; returns whether the connection took them.
    pub async fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }

    /// Sends a request and reads its answer.
    pub async fn exchange(&mut self, request: &str) -> Reply {
        self.send(request.as_bytes()).await;
        self.read().await
    }

    /// Reads an answer until it is whole or the connection ends.
    pub async fn read(&mut self) -> Reply {
        let mut reply = Reply::default();
        // An error of the connection ends an answer early, like its end.
        let _ = self.try_read(&mut reply).await;
        reply
    }

    async fn try_read(&mut self, reply: &mut Reply) -> std::io::Result<()> {
        let line = self.line().await?;
        let mut words = line.split(' ').skip(1);
        reply.status = words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
        loop {
            let line = self.line().await?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            reply.headers.push(header);
        }
        if reply.header("transfer-encoding").is_some() {
            loop {
                let line = self.line().await?;
                let length = usize::from_str_radix(line.trim(), 16);
                let length = length.map_err(std::io::Error::other)?;
                let mut chunk = vec![0; length + 2];
                self.stream.read_exact(&mut chunk).await?;
                if length == 0 {
                    break;
                }
                reply.body.extend_from_slice(&chunk[..length]);
            }
        } else {
            let length = reply
                .header("content-length")
                .and_then(|text| text.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            self.stream.read_exact(&mut body).await?;
            reply.body = body;
        }
        reply.complete = true;
        Ok(())
    }

    async fn line(&mut self) -> std::io::Result<String> {
        let mut line = String::new();
        if self.stream.read_line(&mut line).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }
}
