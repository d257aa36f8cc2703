//! TCP proxies that inject connection faults.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use eyre::Result;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::sleep,
};

/// Fault that a proxy injects into its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionFault {
    None,
    /// Delays all bytes.
    Delay,
    /// Resets connections in the middle of responses.
    Reset,
    /// Drops what the upstream sends, and keeps the connection.
    DropResponses,
    /// Drops all bytes in both directions, and keeps the connection.
    DropAll,
}

/// Delay of each chunk of bytes.
const DELAY: Duration = Duration::from_millis(150);

/// TCP proxy in front of one upstream.
#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    fault: Arc<Mutex<ConnectionFault>>,
}

impl Proxy {
    /// Starts a proxy for an upstream on a free loopback port.
    pub async fn start(upstream: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let fault = Arc::new(Mutex::new(ConnectionFault::None));
        let proxy = Self {
            address: listener.local_addr()?,
            fault: fault.clone(),
        };
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let fault = fault.clone();
                tokio::spawn(async move {
                    if let Ok(upstream) = TcpStream::connect(upstream).await {
                        forward(caller, upstream, fault).await;
                    }
                });
            }
        });
        Ok(proxy)
    }

    /// Sets the fault, also for connections that are open.
    pub fn set_fault(&self, fault: ConnectionFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
}

/// Forwards bytes in both directions until one of them ends.
async fn forward(caller: TcpStream, upstream: TcpStream, fault: Arc<Mutex<ConnectionFault>>) {
    let (from_caller, to_caller) = caller.into_split();
    let (from_upstream, to_upstream) = upstream.into_split();
    // The end of one direction closes both, as with a broken connection.
    tokio::select! {
        () = copy_with_faults(from_caller, to_upstream, &fault, false) => {}
        () = copy_with_faults(from_upstream, to_caller, &fault, true) => {}
    }
}

/// Forwards bytes in one direction and applies the current fault.
async fn copy_with_faults(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: &Mutex<ConnectionFault>,
    is_response: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    // After dropped bytes, no later ones may arrive on the connection, as with TCP.
    let mut dropped = false;
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) => return,
            Err(_) => {
                reset(to);
                return;
            }
            Ok(length) => length,
        };
        let fault = *fault.lock().unwrap_or_else(PoisonError::into_inner);
        match fault {
            ConnectionFault::Delay => sleep(DELAY).await,
            ConnectionFault::Reset if is_response => {
                let _ = to.write_all(&buffer[..length / 2]).await;
                reset(to);
                return;
            }
            ConnectionFault::DropResponses if is_response => dropped = true,
            ConnectionFault::DropAll => dropped = true,
            ConnectionFault::None | ConnectionFault::Reset | ConnectionFault::DropResponses => {}
        }
        if dropped {
            continue;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Closes a connection with a reset: after an orderly close, a response without a length would look
/// complete.
fn reset(to: OwnedWriteHalf) {
    // A connection that is already closed needs no reset.
    let _ = to.as_ref().set_zero_linger();
    // Dropping the half would shut the connection down in an orderly way first.
    to.forget();
}
