//! Connections of callers to one thread, within the descriptors and the memory of the host.

use std::{
    cell::RefCell,
    error::Error,
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    task::{Context, Poll},
    time::Duration,
};

use intake::{ConnectionOptions, ConnectionState, ConnectionTable};
use ntex::{
    http::body::{Body, BodySize, MessageBody, ResponseBody},
    io::IoRef,
    util::Bytes,
    web::HttpResponse,
};
use tokio::{sync::Notify, time::timeout};

use crate::{caller_io::Traffic, shared::Shared};

/// Interval at which all connections are looked at.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Number of connections below which they need no look: they can't hold much.
const FEW_CONNECTIONS: usize = 16;

/// Connections of callers to one thread.
pub(crate) struct CallerConnections {
    shared: Arc<Shared>,
    table: Option<RefCell<ConnectionTable<IoRef>>>,
    /// Whether it is the port for callers, and not one for operators.
    is_for_callers: bool,
    /// Wakes the task that looks at all connections before its time.
    look: Notify,
}

impl CallerConnections {
    /// Creates a table; without options, nothing is limited.
    pub(crate) fn new(shared: &Arc<Shared>, options: Option<ConnectionOptions>) -> Rc<Self> {
        Rc::new(Self {
            shared: shared.clone(),
            table: options.map(|options| RefCell::new(ConnectionTable::new(options))),
            is_for_callers: true,
            look: Notify::new(),
        })
    }

    /// Creates a table for a port of operators.
    pub(crate) fn for_operators(shared: &Arc<Shared>, options: ConnectionOptions) -> Rc<Self> {
        Rc::new(Self {
            shared: shared.clone(),
            table: Some(RefCell::new(ConnectionTable::new(options))),
            is_for_callers: false,
            look: Notify::new(),
        })
    }

    /// Returns the state of the host.
    pub(crate) const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Adds a new connection. If there are too many, the longest idle one is closed for it, or one
    /// whose body has come to a halt; the new one is closed if all are in use.
    pub(crate) fn accept(&self, connection: IoRef) {
        let Some(table) = &self.table else { return };
        let mut table = table.borrow_mut();
        let now_us = self.shared.clock.now_us();
        if table.is_full() {
            self.close_all(&mut table, now_us);
        }
        if table.is_full() {
            let idle = table.longest_idle(now_us);
            let idle = idle.map(|idle| (idle, "idle"));
            let made_room = idle.or_else(|| {
                let sender = table.slowest_sender(now_us, state_of)?;
                Some((sender, "halted"))
            });
            let Some((closed, reason)) = made_room else {
                self.shared.metrics.record_closed_caller("no_descriptor");
                connection.terminate();
                return;
            };
            self.shared.metrics.record_closed_caller(reason);
            table.remove(&closed);
            closed.terminate();
        }
        table.insert(now_us, connection);
        self.count(&table);
    }

    /// Records that a request begins on a connection.
    pub(crate) fn begin_request(self: &Rc<Self>, connection: Option<&IoRef>) -> Option<InUse> {
        let connection = connection?.clone();
        let now_us = self.shared.clock.now_us();
        let mut table = self.table.as_ref()?.borrow_mut();
        table.begin_request(now_us, &connection);
        if let Some(traffic) = Traffic::of(&connection) {
            traffic.set_request(true);
        }
        Some(InUse {
            connections: self.clone(),
            connection,
        })
    }

    /// Records that the body of the request on a connection is complete.
    pub(crate) fn end_receipt(&self, connection: Option<&IoRef>) {
        if let (Some(table), Some(connection)) = (&self.table, connection) {
            table.borrow_mut().end_receipt(connection);
        }
    }

    /// Makes the task that looks at all connections do so soon, since heads grow large.
    pub(crate) fn look_at_heads(&self) {
        self.look.notify_one();
    }

    /// Closes connections that keep much without progress, as long as the thread serves.
    pub(crate) async fn watch(self: Rc<Self>) {
        let Some(table) = &self.table else { return };
        while Rc::strong_count(&self) > 1 {
            // Elapses unless a head has grown large.
            let _ = timeout(SWEEP_INTERVAL, self.look.notified()).await;
            let mut table = table.borrow_mut();
            // The ports for operators have few connections at most.
            if table.len() >= FEW_CONNECTIONS || !self.is_for_callers {
                self.close_all(&mut table, self.shared.clock.now_us());
            }
        }
    }

    fn close_all(&self, table: &mut ConnectionTable<IoRef>, now_us: u64) {
        for connection in table.sweep(now_us, state_of) {
            self.shared.metrics.record_closed_caller("no_progress");
            table.remove(&connection);
            connection.terminate();
        }
        self.count(table);
    }

    fn count(&self, table: &ConnectionTable<IoRef>) {
        if !self.is_for_callers {
            return;
        }
        let count = table.len() as u64;
        self.shared
            .caller_connections
            .store(count, Ordering::Relaxed);
    }
}

/// Returns what the socket of a connection shows.
fn state_of(connection: &IoRef) -> ConnectionState {
    let closed = connection.is_closed();
    let traffic = Traffic::of(connection).unwrap_or_default();
    ConnectionState {
        closed,
        unread_bytes: if closed {
            0
        } else {
            let unparsed_bytes = connection.with_read_buf(|buffer| buffer.len());
            unparsed_bytes.max(traffic.head_bytes())
        },
        stalled: connection.is_wr_backpressure(),
        sent_bytes: traffic.sent_bytes(connection),
        received_bytes: traffic.received_bytes(),
        received_us: traffic.received_us(),
    }
}

/// Keeps a connection in use until it is dropped.
pub(crate) struct InUse {
    connections: Rc<CallerConnections>,
    connection: IoRef,
}

impl InUse {
    /// Keeps the connection in use until the whole response has been passed on.
    pub(crate) fn until_sent(in_use: Option<Self>, response: HttpResponse) -> HttpResponse {
        let is_long = matches!(response.body(), ResponseBody::Body(Body::Message(_)));
        let Some(in_use) = in_use.filter(|_| is_long) else {
            return response;
        };
        response.map_body(|_, body| {
            ResponseBody::Body(Body::from_message(InUseBody {
                body,
                _in_use: in_use,
            }))
        })
    }
}

impl Drop for InUse {
    fn drop(&mut self) {
        if let Some(table) = &self.connections.table {
            let now_us = self.connections.shared.clock.now_us();
            table.borrow_mut().end_request(now_us, &self.connection);
        }
        if let Some(traffic) = Traffic::of(&self.connection) {
            traffic.set_request(false);
        }
    }
}

/// Body of a response during which its connection is in use.
struct InUseBody {
    body: ResponseBody<Body>,
    _in_use: InUse,
}

impl MessageBody for InUseBody {
    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next_chunk(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        self.body.poll_next_chunk(context)
    }
}
