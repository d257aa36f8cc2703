use code::Code;
use ntex::{
    SharedCfg,
    client::{Client, ClientBuilder, ClientResponse, Connector},
    time::Millis,
};
use serde_json::Value;

use crate::{args::DrainArgs, failure::Failure};

/// A healthy host answers an operator within a few milliseconds, across regions within 100.
const ADMIN_TIMEOUT: Millis = Millis(2_000);

/// Decision records of one request are a few kilobytes.
const ANSWER_MAX_BYTES: usize = 1024 * 1024;

/// Client for the admin addresses of daemons.
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

    /// Reads the status of a host.
    pub(crate) async fn status(&self, host: &str) -> Result<Value, Failure> {
        let answer = self.client.get(url(host, "/admin/status")).send().await;
        let text = text_of(host, answer).await?;
        serde_json::from_str(&text)
            .map_err(|error| Failure::new(Code::HostUnreachable, format!("{host}: {error}")))
    }
}

/// Stops new work on a host.
pub(crate) async fn drain(args: &DrainArgs) -> Result<(), Failure> {
    let admin = Admin::new().await?;
    let answer = admin.client.post(url(&args.host, "/admin/drain")).send();
    print!("{}", text_of(&args.host, answer.await).await?);
    Ok(())
}

/// Shows the decision records of a request that a host still keeps.
pub(crate) async fn explain(host: &str, id: &str) -> Result<(), Failure> {
    let admin = Admin::new().await?;
    let url = url(host, &format!("/admin/explain/{id}"));
    let answer = admin.client.get(url).send().await;
    println!("{}", text_of(host, answer).await?);
    Ok(())
}

fn url(host: &str, path: &str) -> String {
    format!("http://{host}{path}")
}

async fn text_of<E>(host: &str, answer: Result<ClientResponse, E>) -> Result<String, Failure>
where
    E: std::fmt::Display,
{
    let fail = |detail: &dyn std::fmt::Display| {
        Failure::new(Code::HostUnreachable, format!("{host}: {detail}"))
    };
    let answer = answer.map_err(|error| fail(&error))?;
    let status = answer.status();
    let body = answer.body().limit(ANSWER_MAX_BYTES).await;
    let body = body.map_err(|error| fail(&error))?;
    if !status.is_success() {
        return Err(fail(&status));
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}
