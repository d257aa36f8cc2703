//! Check that withdrawn paths are no longer served.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use emulator::{
    Ledger, Operator,
    http::{self, Message},
};
use tokio::{
    io::{AsyncWriteExt as _, BufReader},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Longest duration of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(3);

/// Checks that no daemon serves a withdrawn path after it has served its successor.
pub struct RouteWatch {
    pub daemons: Vec<SocketAddr>,
    pub operator: Arc<Mutex<Operator>>,
    pub ledger: Arc<Ledger>,
}

impl RouteWatch {
    /// Probes the daemons in turn until the task is aborted.
    pub async fn run(self) {
        let mut number = 0;
        loop {
            sleep(PROBE_INTERVAL).await;
            number += 1;
            let daemon = self.daemons[number % self.daemons.len()];
            // A daemon that does not respond reveals nothing about its configuration.
            let _ = timeout(PROBE_TIMEOUT, self.probe(daemon, number)).await;
        }
    }

    /// Requests the newest path and then, on the same connection, one that was withdrawn before.
    async fn probe(&self, daemon: SocketAddr, number: usize) -> Option<()> {
        let (new, old) = {
            let operator = self.operator.lock().unwrap_or_else(PoisonError::into_inner);
            (
                operator.prefix("again"),
                operator.withdrawn_prefix("again")?,
            )
        };
        let mut stream = BufReader::new(TcpStream::connect(daemon).await.ok()?);
        let response = self
            .send(&mut stream, &new, &format!("look-{number}-new"))
            .await?;
        if response.start_line_word(1) != "200" || response.header("connection") == Some("close") {
            return None;
        }
        let response = self
            .send(&mut stream, &old, &format!("look-{number}-old"))
            .await?;
        if response.start_line_word(1) == "200" {
            let detail = format!("look {number}: {daemon} served {old} after {new}");
            self.ledger.record_violation(detail);
        }
        Some(())
    }

    /// Sends a request to a path below a prefix and reads the response.
    async fn send(
        &self,
        stream: &mut BufReader<TcpStream>,
        prefix: &str,
        id: &str,
    ) -> Option<Message> {
        let key = Operator::api_key(0);
        let request = format!(
            "POST {prefix}x HTTP/1.1\r\nhost: {}\r\nrequest-id: {id}\r\napi-key: {key}\r\n\
             deadline-ms: 2000\r\ncontent-length: 0\r\n\r\n",
            Operator::HOST
        );
        self.ledger.record_sent(id, true);
        stream.write_all(request.as_bytes()).await.ok()?;
        http::read(stream).await.ok()?
    }
}
