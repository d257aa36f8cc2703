use std::{io, net::SocketAddr, time::Duration};

use futures::future::LocalBoxFuture;
use ntex::{
    SharedCfg,
    client::{
        Client, ClientBuilder, Connector,
        error::{ClientBuilderError, ClientError, ConnectError},
    },
    http::{StatusCode, header},
    time::Millis,
};
use serde::Deserialize;

use crate::{Expect, HostEntry, HostList, Row, StoreError, Table};

/// A configuration of 2,300 upstreams is about 1 MiB of JSON.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// In effect no limit. A limit of 0 means none as well, but then ntex 3.12 never wakes a request that
/// waits for another one's connection.
const CONNECTIONS_MAX: usize = 1 << 20;

/// Client of the platform's table service over HTTP.
///
/// A connection that can't be opened is reported as [`StoreError::Down`]: nothing was sent. Any
/// later failure of a write is [`StoreError::Unknown`].
#[derive(Clone)]
pub struct HttpTable {
    client: Client,
    base: String,
}

#[derive(Deserialize)]
struct Written {
    version: u64,
}

impl HttpTable {
    /// Creates a client with a time limit for each call.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be set up.
    pub async fn new(address: SocketAddr, timeout: Duration) -> Result<Self, ClientBuilderError> {
        let timeout_ms = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
        let client = ClientBuilder::new()
            .connector::<()>(Connector::new().limit(CONNECTIONS_MAX))
            .response_timeout(Millis(timeout_ms))
            .response_payload_limit(ANSWER_MAX_BYTES)
            .build(SharedCfg::new("STORE"))
            .await?;
        Ok(Self {
            client,
            base: format!("http://{address}"),
        })
    }
}

impl Table for HttpTable {
    fn read<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<Row>, StoreError>> {
        Box::pin(async move {
            let sent = self
                .client
                .get(format!("{}/rows/{key}", self.base))
                .send()
                .await;
            let answer = sent.map_err(|_| StoreError::Down)?;
            match answer.status() {
                StatusCode::OK => answer
                    .json::<Row>()
                    .await
                    .map(Some)
                    .map_err(|_| StoreError::Unknown),
                StatusCode::NOT_FOUND => Ok(None),
                _ => Err(StoreError::Down),
            }
        })
    }

    fn write<'a>(
        &'a self,
        key: &'a str,
        expect: Expect,
        value: &'a str,
    ) -> LocalBoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(async move {
            let request = self.client.put(format!("{}/rows/{key}", self.base));
            let request = match expect {
                Expect::Absent => request.header(header::IF_NONE_MATCH, "*"),
                Expect::Version(version) => request.header(header::IF_MATCH, version.to_string()),
            };
            let answer = request
                .send_body(value.to_owned())
                .await
                .map_err(|error| write_error(&error))?;
            match answer.status() {
                StatusCode::OK => answer
                    .json::<Written>()
                    .await
                    .map(|written| written.version)
                    .map_err(|_| StoreError::Unknown),
                StatusCode::PRECONDITION_FAILED => {
                    let row = answer
                        .json::<Option<Row>>()
                        .await
                        .map_err(|_| StoreError::Unknown)?;
                    Err(StoreError::Conflict(row))
                }
                StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Down),
                _ => Err(StoreError::Unknown),
            }
        })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        since_version: u64,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>, StoreError>> {
        Box::pin(async move {
            let url = format!(
                "{}/changes?since={since_version}&prefix={prefix}",
                self.base
            );
            let answer = self
                .client
                .get(url)
                .send()
                .await
                .map_err(|_| StoreError::Down)?;
            if answer.status() != StatusCode::OK {
                return Err(StoreError::Down);
            }
            answer
                .json::<Vec<Row>>()
                .limit(ANSWER_MAX_BYTES)
                .await
                .map_err(|_| StoreError::Unknown)
        })
    }
}

impl HostList for HttpTable {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<HostEntry>, StoreError>> {
        Box::pin(async move {
            let url = format!("{}/hosts", self.base);
            let answer = self
                .client
                .get(url)
                .send()
                .await
                .map_err(|_| StoreError::Down)?;
            if answer.status() != StatusCode::OK {
                return Err(StoreError::Down);
            }
            answer
                .json::<Vec<HostEntry>>()
                .limit(ANSWER_MAX_BYTES)
                .await
                .map_err(|_| StoreError::Unknown)
        })
    }
}

/// A write whose connection could not be opened was not applied; all else is unknown.
fn write_error(error: &ClientError) -> StoreError {
    match error {
        ClientError::Connect(
            ConnectError::Resolver(_) | ConnectError::NoRecords | ConnectError::Unresolved,
        ) => StoreError::Down,
        ClientError::Connect(ConnectError::Disconnected(Some(error)))
            if error.kind() == io::ErrorKind::ConnectionRefused =>
        {
            StoreError::Down
        }
        _ => StoreError::Unknown,
    }
}
