//! Updates that a daemon sends to those that follow it: what the store holds, as it changes.

use std::{net::SocketAddr, time::Duration};

use bytes::{Buf as _, BytesMut};
use eyre::{Result, ensure};
use peer::Frame;
use tokio::{
    io::AsyncReadExt as _,
    net::TcpStream,
    time::{Instant, timeout},
};

use super::exchange::{CONFIG_MAX_BYTES, LENGTH_BYTES, SMALL_MAX_BYTES, read_frame, write_frame};
use crate::{
    directory::{Subscription, Update},
    shared::Shared,
};

/// Longest interval between two updates; one is sent at once when there is something to tell.
const UPDATE_INTERVAL: Duration = Duration::from_millis(700);

/// Time limit for receiving an update from its first byte on. A whole list of upstreams takes about
/// a second where a small host sends it to all of its followers at once.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for writing an update.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Updates that another daemon sends to this one.
pub(crate) struct UpdateStream<'a> {
    shared: &'a Shared,
    peer: &'a str,
    stream: TcpStream,
    /// Nonce of the request, which each update echoes.
    request_nonce: u64,
    /// Number of the next update, which is its nonce.
    sequence: u64,
    /// Bytes that were received and not decoded yet.
    buffer: BytesMut,
    /// Time at which the first of these bytes was received.
    buffer_began: Instant,
}

impl<'a> UpdateStream<'a> {
    /// Connects to a peer and subscribes to its updates.
    pub(crate) async fn open(
        shared: &'a Shared,
        peer: &'a str,
        address: SocketAddr,
        subscription: &Subscription,
    ) -> Result<Self> {
        let body = postcard::to_stdvec(subscription)?;
        let (stream, request_nonce) = request(shared, peer, address, body).await?;
        Ok(Self {
            shared,
            peer,
            stream,
            request_nonce,
            sequence: 0,
            buffer: BytesMut::new(),
            buffer_began: Instant::now(),
        })
    }

    /// Returns the next update. Nothing is lost if the future is dropped.
    ///
    /// Fails if nothing is received for `silence_max`, if an update takes too long, or if the bytes
    /// are no update of the peer.
    pub(crate) async fn next(&mut self, silence_max: Duration) -> Result<Update> {
        loop {
            if let Some(frame) = self.take_frame()? {
                ensure!(
                    frame.from == self.peer
                        && frame.to == self.shared.host.name
                        && frame.echoed_nonce == self.request_nonce
                        && frame.nonce == self.sequence,
                    "update of another connection"
                );
                self.sequence += 1;
                self.buffer_began = Instant::now();
                return Update::decode(&frame.body);
            }
            let was_empty = self.buffer.is_empty();
            let received = timeout(silence_max, self.stream.read_buf(&mut self.buffer)).await??;
            ensure!(received > 0, "connection closed");
            if was_empty {
                self.buffer_began = Instant::now();
            }
            ensure!(
                self.buffer_began.elapsed() < RECEIVE_TIMEOUT,
                "an update takes too long"
            );
        }
    }

    /// Takes a whole frame out of the buffer.
    fn take_frame(&mut self) -> Result<Option<Frame>> {
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        ensure!(
            length <= CONFIG_MAX_BYTES,
            "frame of {length} bytes is too large"
        );
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let bytes = self.buffer.split_to(length);
        Ok(Some(Frame::open(&self.shared.peers.keys, &bytes)?))
    }
}

/// Connects to a peer, sends it a request and returns the connection with the request's nonce.
pub(super) async fn request(
    shared: &Shared,
    peer: &str,
    address: SocketAddr,
    body: Vec<u8>,
) -> Result<(TcpStream, u64)> {
    let keys = &shared.peers.keys;
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let challenge = read_frame(&mut stream, keys, SMALL_MAX_BYTES).await?;
    ensure!(challenge.from == peer, "challenge from another peer");
    let request = Frame {
        from: shared.host.name.clone(),
        to: peer.to_owned(),
        echoed_nonce: challenge.nonce,
        nonce: rand::random(),
        body,
    };
    write_frame(&mut stream, keys, &request).await?;
    Ok((stream, request.nonce))
}

/// Sends updates to a follower until it leaves, or this daemon starts to drain.
pub(super) async fn serve_updates(
    shared: &Shared,
    mut stream: TcpStream,
    request: &Frame,
) -> Result<()> {
    let subscription: Subscription = postcard::from_bytes(&request.body)?;
    let state = &shared.cluster_state;
    let mut changes = state.changes();
    let mut cursor = state.cursor(&subscription);
    stream.set_nodelay(true)?;
    for sequence in 0.. {
        changes.mark_unchanged();
        let frame = Frame {
            from: shared.host.name.clone(),
            to: request.from.clone(),
            echoed_nonce: request.nonce,
            nonce: sequence,
            body: state.update_since(&mut cursor).encode()?,
        };
        let written = write_frame(&mut stream, &shared.peers.keys, &frame);
        timeout(WRITE_TIMEOUT, written).await??;
        if subscription.once || shared.is_draining() {
            break;
        }
        tokio::select! {
            _ = timeout(UPDATE_INTERVAL, changes.changed()) => {}
            // A follower sends nothing more, so that a read only returns when it has left.
            _ = stream.read_u8() => break,
        }
    }
    Ok(())
}
