//! Sends the requests of a plan in real time.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use eyre::{Result, eyre};
use futures::{StreamExt as _, stream::FuturesUnordered};
use ntex::{
    SharedCfg,
    client::{Client, Connector},
};
use tokio::time::Instant;

use crate::{Plan, Report, request::send};

/// Maximum number of requests in flight; further ones are not sent and count as refused.
const IN_FLIGHT_MAX: usize = 2_000;

/// Daemons that receive the load, and the API key and model of the requests.
#[derive(Debug)]
pub struct Target {
    /// Addresses of the daemons, used in rotation.
    pub addresses: Vec<SocketAddr>,
    /// API key of the requests.
    pub key: String,
    /// Model that the requests name.
    pub model: String,
    next: AtomicUsize,
}

impl Target {
    /// Creates a target.
    #[must_use]
    pub const fn new(addresses: Vec<SocketAddr>, key: String, model: String) -> Self {
        Self {
            addresses,
            key,
            model,
            next: AtomicUsize::new(0),
        }
    }

    /// Returns the next address in the rotation.
    pub(crate) fn next_address(&self) -> SocketAddr {
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        self.addresses[index % self.addresses.len()]
    }
}

/// Sends the requests of a plan at their times and reports the results.
///
/// # Errors
///
/// Returns an error if there is no address, an address is not on this machine's loopback range, or
/// the HTTP client can't be set up.
pub async fn run(target: &Target, plan: &Plan) -> Result<Report> {
    if target.addresses.is_empty() {
        return Err(eyre!("no address to send to"));
    }
    if let Some(address) = target
        .addresses
        .iter()
        .find(|address| !address.ip().is_loopback())
    {
        return Err(eyre!(
            "{address} is not a loopback address; load stays on this machine"
        ));
    }
    let client = new_client().await?;
    let start = Instant::now();
    let mut report = Report::new(plan.mix());
    let mut in_flight = FuturesUnordered::new();
    for planned in plan.requests() {
        let due = start + Duration::from_micros(planned.at_us);
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(due) => break,
                Some(sample) = in_flight.next() => report.add(&sample),
            }
        }
        if in_flight.len() >= IN_FLIGHT_MAX {
            report.add_unsent(planned.spec_index);
            continue;
        }
        let class = plan.mix().requests[planned.spec_index].class;
        in_flight.push(send(&client, target, class, planned));
    }
    while let Some(sample) = in_flight.next().await {
        report.add(&sample);
    }
    Ok(report)
}

/// Creates an HTTP client without a time limit.
pub(crate) async fn new_client() -> Result<Client> {
    let client = Client::builder()
        // With a limit of 0, ntex 3.12 never wakes requests that wait for a connection.
        .connector::<()>(Connector::new().limit(1 << 20))
        .disable_timeout()
        .build(SharedCfg::new("LOAD"))
        .await?;
    Ok(client)
}
