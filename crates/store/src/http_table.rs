//! HTTP client of the platform's table service.

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

use crate::{Expect, HostEntry, HostList, Row, StoreError, StoreVersion, Table};

/// Largest accepted response body. The configuration of a fleet with 2,300 upstreams is about 1 MiB
/// of JSON.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Effectively unlimited. A limit of 0 also means unlimited, but with it ntex 3.12 never wakes a
/// request that waits for the connection of another one.
const MAX_CONNECTIONS: usize = 1 << 20;

/// Client of the platform's table service over HTTP, which has no eras: all versions are of era 0.
///
/// A write is reported as [`StoreError::Down`] if the connection can't be opened, since nothing was
/// sent, or if the response has status 503. Any other failure except a conflict is
/// [`StoreError::Unknown`]. A read that gets no response, or one with an unexpected status, is
/// `Down`; a body that can't be read or parsed is `Unknown`.
#[derive(Clone)]
pub struct HttpTable {
    client: Client,
    /// Scheme and authority of the service's URLs.
    base_url: String,
}

/// Response to a successful write.
#[derive(Deserialize)]
struct WriteResponse {
    version: u64,
}

impl HttpTable {
    /// Creates a client with a timeout for each call.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be set up.
    pub async fn new(address: SocketAddr, timeout: Duration) -> Result<Self, ClientBuilderError> {
        let timeout_ms = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
        let client = ClientBuilder::new()
            .connector::<()>(Connector::new().limit(MAX_CONNECTIONS))
            .response_timeout(Millis(timeout_ms))
            .response_payload_limit(MAX_RESPONSE_BYTES)
            .build(SharedCfg::new("STORE"))
            .await?;
        Ok(Self {
            client,
            base_url: format!("http://{address}"),
        })
    }
}

impl Table for HttpTable {
    fn era(&self) -> u64 {
        0
    }

    fn read<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<Row>, StoreError>> {
        Box::pin(async move {
            let result = self
                .client
                .get(format!("{}/rows/{key}", self.base_url))
                .send()
                .await;
            let response = result.map_err(|_| StoreError::Down)?;
            match response.status() {
                StatusCode::OK => response
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
    ) -> LocalBoxFuture<'a, Result<StoreVersion, StoreError>> {
        Box::pin(async move {
            let request = self.client.put(format!("{}/rows/{key}", self.base_url));
            let request = match expect {
                Expect::Absent => request.header(header::IF_NONE_MATCH, "*"),
                Expect::Version(version) => {
                    request.header(header::IF_MATCH, version.number.to_string())
                }
            };
            let response = request
                .send_body(value.to_owned())
                .await
                .map_err(|error| write_error(&error))?;
            match response.status() {
                StatusCode::OK => response
                    .json::<WriteResponse>()
                    .await
                    .map(|written| StoreVersion::new(0, written.version))
                    .map_err(|_| StoreError::Unknown),
                StatusCode::PRECONDITION_FAILED => {
                    let row = response
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
        since_version: StoreVersion,
    ) -> LocalBoxFuture<'a, Result<Vec<Row>, StoreError>> {
        Box::pin(async move {
            let url = format!(
                "{}/changes?since={}&prefix={prefix}",
                self.base_url, since_version.number
            );
            let response = self
                .client
                .get(url)
                .send()
                .await
                .map_err(|_| StoreError::Down)?;
            if response.status() != StatusCode::OK {
                return Err(StoreError::Down);
            }
            response
                .json::<Vec<Row>>()
                .limit(MAX_RESPONSE_BYTES)
                .await
                .map_err(|_| StoreError::Unknown)
        })
    }
}

impl HostList for HttpTable {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<HostEntry>, StoreError>> {
        Box::pin(async move {
            let url = format!("{}/hosts", self.base_url);
            let response = self
                .client
                .get(url)
                .send()
                .await
                .map_err(|_| StoreError::Down)?;
            if response.status() != StatusCode::OK {
                return Err(StoreError::Down);
            }
            response
                .json::<Vec<HostEntry>>()
                .limit(MAX_RESPONSE_BYTES)
                .await
                .map_err(|_| StoreError::Unknown)
        })
    }
}

/// Returns `Down` if the connection could not be opened, since the write was then not applied;
/// `Unknown` otherwise.
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
