//! Client for the admin addresses of daemons, and the commands that use it directly.

use code::Code;
use ntex::{
    SharedCfg,
    client::{Client, ClientBuilder, ClientResponse, Connector},
    time::Millis,
};
use serde_json::Value;

use crate::{args::DrainArgs, failure::Failure};

/// Time limit of a request; a healthy host responds within a few milliseconds, from another region
/// within 100 ms.
const ADMIN_TIMEOUT: Millis = Millis(2_000);

/// Size limit of a response body; the decision records of a request take a few kilobytes.
const BODY_MAX_BYTES: usize = 1024 * 1024;

/// HTTP client for the admin addresses of daemons.
pub(crate) struct Admin {
    client: Client,
}

impl Admin {
    pub(crate) async fn new() -> Result<Self, Failure> {
        let client = ClientBuilder::new()
            .connector::<()>(Connector::new().limit(0))
            .response_timeout(ADMIN_TIMEOUT)
            .build(SharedCfg::new("ADMIN"))
            .await
            .map_err(|error| Failure::new(Code::HostUnreachable, error))?;
        Ok(Self { client })
    }

    /// Reads the status of a host from `/admin/status`.
    pub(crate) async fn status(&self, host: &str) -> Result<Value, Failure> {
        let response = self.client.get(url(host, "/admin/status")).send().await;
        let text = read_text(host, response).await?;
        serde_json::from_str(&text)
            .map_err(|error| Failure::new(Code::HostUnreachable, format!("{host}: {error}")))
    }
}

/// Starts to drain a host, which then takes no new work, and prints its response.
pub(crate) async fn drain(args: &DrainArgs) -> Result<(), Failure> {
    let admin = Admin::new().await?;
    let response = admin.client.post(url(&args.host, "/admin/drain")).send();
    print!("{}", read_text(&args.host, response.await).await?);
    Ok(())
}

/// Prints the decision records of a request, if the host still keeps them.
pub(crate) async fn explain(host: &str, id: &str) -> Result<(), Failure> {
    let admin = Admin::new().await?;
    let url = url(host, &format!("/admin/explain/{id}"));
    let response = admin.client.get(url).send().await;
    println!("{}", read_text(host, response).await?);
    Ok(())
}

fn url(host: &str, path: &str) -> String {
    format!("http://{host}{path}")
}

/// Returns the body of a successful response as text.
async fn read_text<E>(host: &str, response: Result<ClientResponse, E>) -> Result<String, Failure>
where
    E: std::fmt::Display,
{
    let unreachable = |detail: &dyn std::fmt::Display| {
        Failure::new(Code::HostUnreachable, format!("{host}: {detail}"))
    };
    let response = response.map_err(|error| unreachable(&error))?;
    let status = response.status();
    let body = response.body().limit(BODY_MAX_BYTES).await;
    let body = body.map_err(|error| unreachable(&error))?;
    if !status.is_success() {
        return Err(unreachable(&status));
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}
