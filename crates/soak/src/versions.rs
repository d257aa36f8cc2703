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

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(150);

/// Time for a look.
const LOOK_MAX: Duration = Duration::from_secs(3);

/// Watches that no process serves a withdrawn path after it has served its successor.
pub struct Versions {
    pub daemons: Vec<SocketAddr>,
    pub operator: Arc<Mutex<Operator>>,
    pub ledger: Arc<Ledger>,
}

impl Versions {
    /// Looks at the daemons in turn until the task is ended.
    pub async fn watch(self) {
        let mut number = 0;
        loop {
            sleep(PAUSE).await;
            number += 1;
            let daemon = self.daemons[number % self.daemons.len()];
            // A daemon that does not answer tells nothing of its configuration.
            let _ = timeout(LOOK_MAX, self.look(daemon, number)).await;
        }
    }

    /// Asks for the newest path and then, on the same connection, for one that was withdrawn before.
    async fn look(&self, daemon: SocketAddr, number: usize) -> Option<()> {
        let (new, old) = {
            let operator = self.operator.lock().unwrap_or_else(PoisonError::into_inner);
            (
                operator.prefix("again"),
                operator.withdrawn_prefix("again")?,
            )
        };
        let mut stream = BufReader::new(TcpStream::connect(daemon).await.ok()?);
        let answer = self
            .ask(&mut stream, &new, &format!("look-{number}-new"))
            .await?;
        if answer.start_line_word(1) != "200" || answer.header("connection") == Some("close") {
            return None;
        }
        let answer = self
            .ask(&mut stream, &old, &format!("look-{number}-old"))
            .await?;
        if answer.start_line_word(1) == "200" {
            let detail = format!("look {number}: {daemon} served {old} after {new}");
            self.ledger.record_violation(detail);
        }
        Some(())
    }

    async fn ask(
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
