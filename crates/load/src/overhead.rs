//! Latency that a daemon adds to an engine.

use std::{fmt, net::SocketAddr};

use eyre::{Result, eyre};
use hdrhistogram::Histogram;
use ntex::client::Client;
use serde_json::json;
use tokio::time::Instant;

use crate::run::{Target, new_client};

/// Calls at the start that are not recorded.
const WARM_UP_CALLS: usize = 50;

/// Longest time that the histograms record; longer times count as this one.
const TIME_MAX_US: u64 = 600_000_000;

/// Response times of one-token requests, sent directly to an engine and through a daemon.
#[derive(Debug)]
pub struct Overhead {
    direct_us: Histogram<u64>,
    daemon_us: Histogram<u64>,
}

/// Measures both paths in one run, alternating call by call so that noise affects both equally.
///
/// # Errors
///
/// Returns an error if a call fails.
pub async fn measure_overhead(
    target: &Target,
    engine: SocketAddr,
    calls: usize,
) -> Result<Overhead> {
    let client = new_client().await?;
    let mut overhead = Overhead {
        direct_us: Histogram::new_with_max(TIME_MAX_US, 3)?,
        daemon_us: Histogram::new_with_max(TIME_MAX_US, 3)?,
    };
    for call in 0..calls + WARM_UP_CALLS {
        let direct_us = time_call(&client, target, engine).await?;
        let daemon_us = time_call(&client, target, target.next_address()).await?;
        if call >= WARM_UP_CALLS {
            overhead.direct_us.saturating_record(direct_us);
            overhead.daemon_us.saturating_record(daemon_us);
        }
    }
    Ok(overhead)
}

/// Sends a one-token request and returns the time to the complete response, in microseconds.
async fn time_call(client: &Client, target: &Target, address: SocketAddr) -> Result<u64> {
    let body = json!({
        "model": target.model,
        "messages": [{"role": "user", "content": "coil value len=1"}],
    });
    let start = Instant::now();
    let response = client
        .post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", format!("Bearer {}", target.key))
        .send_json(&body)
        .await
        .map_err(|error| eyre!("{address}: {error}"))?;
    if !response.status().is_success() {
        return Err(eyre!("{address}: status {}", response.status()));
    }
    response
        .body()
        .await
        .map_err(|error| eyre!("{address}: {error}"))?;
    Ok(u64::try_from(start.elapsed().as_micros())?)
}

impl fmt::Display for Overhead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<10} {:>8} {:>10} {:>10}",
            "path", "calls", "p50 us", "p99 us"
        )?;
        for (path, times) in [("direct", &self.direct_us), ("daemon", &self.daemon_us)] {
            let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
            writeln!(f, "{path:<10} {:>8} {p50:>10} {p99:>10}", times.len())?;
        }
        Ok(())
    }
}
