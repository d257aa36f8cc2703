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

/// What a proxy does to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    None,
    /// Holds bytes back for a while.
    Delay,
    /// Closes connections in the middle of answers.
    Reset,
    /// Drops what the upstream answers.
    CutAnswers,
    /// Drops everything in both directions, and keeps the connection.
    Silence,
}

/// Longest time that bytes are held back.
const DELAY: Duration = Duration::from_millis(150);

/// Proxy before one upstream.
#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    harm: Arc<Mutex<Harm>>,
}

impl Proxy {
    pub async fn start(upstream: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let harm = Arc::new(Mutex::new(Harm::None));
        let proxy = Self {
            address: listener.local_addr()?,
            harm: harm.clone(),
        };
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let harm = harm.clone();
                tokio::spawn(async move {
                    if let Ok(upstream) = TcpStream::connect(upstream).await {
                        pass(caller, upstream, harm).await;
                    }
                });
            }
        });
        Ok(proxy)
    }

    pub fn set(&self, harm: Harm) {
        *self.harm.lock().unwrap_or_else(PoisonError::into_inner) = harm;
    }
}

async fn pass(caller: TcpStream, upstream: TcpStream, harm: Arc<Mutex<Harm>>) {
    let (from_caller, to_caller) = caller.into_split();
    let (from_upstream, to_upstream) = upstream.into_split();
    // Either direction ends both, as a broken connection does.
    tokio::select! {
        () = copy(from_caller, to_upstream, &harm, false) => {}
        () = copy(from_upstream, to_caller, &harm, true) => {}
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, harm: &Mutex<Harm>, answers: bool) {
    let mut buffer = vec![0; 16 * 1024];
    // Once bytes are lost, no later ones arrive on a connection.
    let mut lost = false;
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) => return,
            Err(_) => {
                reset(to);
                return;
            }
            Ok(length) => length,
        };
        let harm = *harm.lock().unwrap_or_else(PoisonError::into_inner);
        match harm {
            Harm::Delay => sleep(DELAY).await,
            Harm::Reset if answers => {
                let _ = to.write_all(&buffer[..length / 2]).await;
                reset(to);
                return;
            }
            Harm::CutAnswers if answers => lost = true,
            Harm::Silence => lost = true,
            Harm::None | Harm::Reset | Harm::CutAnswers => {}
        }
        if lost {
            continue;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Ends a connection with a reset: an answer without a length would look whole after an orderly end.
fn reset(to: OwnedWriteHalf) {
    // A connection that is already gone needs no reset.
    let _ = to.as_ref().set_zero_linger();
    // Dropping the half would send an orderly end first.
    to.forget();
}
