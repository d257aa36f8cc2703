//! HTTP client for the command interface of an upstream.

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

/// Time limit of one call; a command and the reads around it must fit well into a lease of 10 s.
const TIMEOUT: Millis = Millis(2_000);

/// Client of one upstream's `/commands` path.
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

    /// Reads the state of the upstream; `None` if it reported none.
    pub(crate) async fn state(&self) -> Option<UpstreamState> {
        let response = self.client.get(&self.url).send().await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        response.json().await.ok()
    }

    /// Sends a command and classifies the response.
    pub(crate) async fn send(&self, command: &Command) -> SendResult {
        let response = match self.client.post(&self.url).send_json(command).await {
            Ok(response) => response,
            Err(error) if is_unsent(&error) => return SendResult::NotSent,
            Err(_) => return SendResult::Lost,
        };
        let status = response.status();
        // A response head without the complete body doesn't count: the connection may have broken
        // before the command took effect.
        if response.body().await.is_err() {
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

/// Returns whether nothing was sent, which only a refused connection proves.
fn is_unsent(error: &ClientError) -> bool {
    matches!(error, ClientError::Connect(ConnectError::Disconnected(Some(error)))
        if error.kind() == io::ErrorKind::ConnectionRefused)
}
