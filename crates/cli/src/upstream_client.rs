use std::{io, net::SocketAddr};

use code::Code;
use lease::{Command, SendResult, UpstreamState};
use ntex::{
    SharedCfg,
    client::{
        Client, ClientBuilder, Connector,
        error::{ClientError, ConnectError},
    },
    http::StatusCode,
    time::Millis,
};

use crate::failure::Failure;

/// Time limit of one call; a command and its reads must fit well into a lease of 10 s.
const TIMEOUT: Millis = Millis(2_000);

/// Client for the command interface of an upstream.
pub(crate) struct UpstreamClient {
    client: Client,
    url: String,
}

impl UpstreamClient {
    pub(crate) async fn new(address: SocketAddr) -> Result<Self, Failure> {
        let client = ClientBuilder::new()
            .connector::<()>(Connector::new().limit(0))
            .response_timeout(TIMEOUT)
            .build(SharedCfg::new("UPSTREAM"))
            .await
            .map_err(|error| Failure::new(Code::ConnectFailed, error))?;
        let url = format!("http://{address}/commands");
        Ok(Self { client, url })
    }

    /// Reads the state; none if the upstream did not report one.
    pub(crate) async fn state(&self) -> Option<UpstreamState> {
        let answer = self.client.get(&self.url).send().await.ok()?;
        if answer.status() != StatusCode::OK {
            return None;
        }
        answer.json().await.ok()
    }

    /// Sends a command.
    pub(crate) async fn send(&self, command: &Command) -> SendResult {
        let answer = match self.client.post(&self.url).send_json(command).await {
            Ok(answer) => answer,
            Err(error) if is_unsent(&error) => return SendResult::NotSent,
            Err(_) => return SendResult::Lost,
        };
        let status = answer.status();
        // A head without its whole body is no answer: the connection may have broken before the
        // command took effect.
        if answer.body().await.is_err() {
            return SendResult::Lost;
        }
        match status {
            StatusCode::OK => SendResult::Applied,
            StatusCode::CONFLICT => SendResult::Stale,
            status if status.is_client_error() => SendResult::Refused,
            _ => SendResult::Lost,
        }
    }
}

/// Only a connection that was refused proves that no byte was sent.
fn is_unsent(error: &ClientError) -> bool {
    matches!(error, ClientError::Connect(ConnectError::Disconnected(Some(error)))
        if error.kind() == io::ErrorKind::ConnectionRefused)
}
