use std::{future::Future, io, net::SocketAddr};

use futures::future::{AbortHandle, abortable};
use ntex::{rt::JoinHandle, server::Server};

/// Running server of a stand-in.
pub struct RunningServer {
    address: SocketAddr,
    server: Server,
    tasks: Vec<(AbortHandle, JoinHandle<()>)>,
}

impl RunningServer {
    pub(crate) const fn new(address: SocketAddr, server: Server) -> Self {
        Self {
            address,
            server,
            tasks: Vec::new(),
        }
    }

    /// Spawns a task that ends with the server.
    pub(crate) fn spawn<F>(&mut self, task: F)
    where
        F: Future<Output = ()> + 'static,
    {
        let (task, handle) = abortable(task);
        let joined = ntex::rt::spawn(async move {
            let _ = task.await;
        });
        self.tasks.push((handle, joined));
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server and joins its tasks.
    pub async fn stop(self) {
        self.server.stop(false).await;
        for (handle, joined) in self.tasks {
            handle.abort();
            let _ = joined.await;
        }
    }

    /// Waits until the server has ended.
    ///
    /// # Errors
    ///
    /// Returns the error that ended the server.
    pub async fn wait(self) -> io::Result<()> {
        self.server.await
    }
}
