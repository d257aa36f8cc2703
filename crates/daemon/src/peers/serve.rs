use std::{sync::Arc, time::Duration};

use eyre::{Result, ensure};
use futures::{StreamExt as _, stream::FuturesUnordered};
use log::debug;
use peer::Frame;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use super::exchange::{SMALL_MAX_BYTES, read_frame, write_frame};
use crate::shared::Shared;

/// Connections served at a time; further peers wait or fetch from one another.
const CONNECTIONS_MAX: usize = 8;

/// Time in which a peer has to send its request; kept short so that strangers hold no connection.
const REQUEST_MAX: Duration = Duration::from_secs(2);

/// Time in which the answer has to be read.
const ANSWER_MAX: Duration = Duration::from_secs(10);

/// Pause after a failed accept, as when file descriptors run out.
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

async fn serve(shared: &Shared, mut stream: TcpStream) -> Result<()> {
    let request = timeout(REQUEST_MAX, receive(shared, &mut stream)).await??;
    let held: u64 = postcard::from_bytes(&request.body)?;
    let view = shared.view.load_full();
    let body = if view.config.version > held {
        // JSON, as in the store: daemons of two releases may run side by side.
        serde_json::to_vec(&view.config)?
    } else {
        Vec::new()
    };
    let answer = Frame {
        from: shared.host.name.clone(),
        to: request.from,
        echoed_nonce: request.nonce,
        nonce: 0,
        body,
    };
    timeout(
        ANSWER_MAX,
        write_frame(&mut stream, &shared.peers.keys, &answer),
    )
    .await?
}

async fn receive(shared: &Shared, stream: &mut TcpStream) -> Result<Frame> {
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
