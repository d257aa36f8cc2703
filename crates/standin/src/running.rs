//! Handle of a running stand-in.

use std::{future::Future, io, net::SocketAddr};

use futures::future::{AbortHandle, abortable};
use ntex::{rt::JoinHandle, server::Server};

/// Running HTTP server of a stand-in and its background tasks.
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

    /// Spawns a task that is aborted when the server stops.
    pub(crate) fn spawn<F>(&mut self, task: F)
    where
        F: Future<Output = ()> + 'static,
    {
        let (task, abort) = abortable(task);
        let join = ntex::rt::spawn(async move {
            let _ = task.await;
        });
        self.tasks.push((abort, join));
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server at once, aborts its tasks and waits for them.
    pub async fn stop(self) {
        self.server.stop(false).await;
        for (abort, join) in self.tasks {
            abort.abort();
            let _ = join.await;
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
