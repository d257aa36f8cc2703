//! Serves the configuration in force to peers over TCP.

use std::{sync::Arc, time::Duration};

use eyre::{Result, ensure};
use futures::{StreamExt as _, stream::FuturesUnordered};
use log::debug;
use peer::Frame;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use super::{
    exchange::{SMALL_MAX_BYTES, read_frame, write_frame},
    updates::serve_updates,
};
use crate::shared::Shared;

/// Connections that are served concurrently; further peers wait, fetch from each other or ask the
/// store. Twice the followers that a daemon has in a settled tree, and some that fetch once.
const CONNECTIONS_MAX: usize = 24;

/// Time limit for a peer's request; short, so that unauthenticated clients don't occupy
/// connections.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for writing the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves the configuration in force to authenticated peers.
pub(crate) async fn serve_config(shared: Arc<Shared>, listener: TcpListener) {
    let mut open = FuturesUnordered::new();
    loop {
        tokio::select! {
            accepted = listener.accept(), if open.len() < CONNECTIONS_MAX => match accepted {
                Ok((stream, _)) => open.push(serve(&shared, stream)),
                Err(error) => {
                    debug!("peer: accept failed: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(served) = open.next() => {
                if let Err(error) = served {
                    debug!("peer: connection dropped: {error}");
                }
            }
        }
    }
}

/// Serves one connection.
async fn serve(shared: &Shared, mut stream: TcpStream) -> Result<()> {
    let request = timeout(REQUEST_TIMEOUT, receive_request(shared, &mut stream)).await??;
    if shared.is_routed() {
        return serve_updates(shared, stream, &request).await;
    }
    let peer_version: u64 = postcard::from_bytes(&request.body)?;
    let snapshot = shared.snapshot.load_full();
    let body = if snapshot.config.version > peer_version {
        // JSON, as in the store, because daemons of different releases may run side by side.
        serde_json::to_vec(&snapshot.config)?
    } else {
        Vec::new()
    };
    let response = Frame {
        from: shared.host.name.clone(),
        to: request.from,
        echoed_nonce: request.nonce,
        nonce: 0,
        body,
    };
    timeout(
        RESPONSE_TIMEOUT,
        write_frame(&mut stream, &shared.peers.keys, &response),
    )
    .await?
}

/// Sends a challenge and reads the request, which must echo the challenge's nonce.
async fn receive_request(shared: &Shared, stream: &mut TcpStream) -> Result<Frame> {
    let keys = &shared.peers.keys;
    let challenge = Frame {
        from: shared.host.name.clone(),
        to: String::new(),
        echoed_nonce: 0,
        nonce: rand::random(),
        body: Vec::new(),
    };
    write_frame(stream, keys, &challenge).await?;
    let request = read_frame(stream, keys, SMALL_MAX_BYTES).await?;
    ensure!(
        request.to == shared.host.name && request.echoed_nonce == challenge.nonce,
        "request for another connection"
    );
    Ok(request)
}
