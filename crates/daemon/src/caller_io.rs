//! Layer between the socket of a caller and the HTTP server.

use std::{
    any::{Any, TypeId},
    cell::Cell,
    io,
    rc::{Rc, Weak},
    sync::Arc,
    task::Poll,
};

use log::debug;
use ntex::{
    io::{FilterBuf, FilterLayer, IoRef},
    util::BytesMut,
};

use crate::{caller_connections::CallerConnections, shared::Shared};

/// Largest number of bytes of a connection that were received and can't be parsed yet: the largest
/// head, and one more read. The HTTP server has a limit for heads, but none for chunk extensions.
const UNPARSED_MAX_BYTES: usize = 80 * 1024;

/// Memory of one header besides its bytes, which are kept as they were received.
const HEADER_BYTES: usize = 64;

/// Size of a head in memory from which all connections are looked at, as it may be one of many.
const LARGE_HEAD_BYTES: usize = 32 * 1024;

/// What has passed through a connection since it was opened.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    /// Bytes that were handed to the socket or wait for it.
    written_bytes: Cell<u64>,
    received_bytes: Cell<u64>,
    /// Time at which bytes were last received.
    received_us: Cell<u64>,
    /// Memory of the head of the next request, as far as it was received.
    head_bytes: Cell<usize>,
    /// Whether a request is open, so that what is received isn't the head of the next one.
    has_request: Cell<bool>,
}

impl Traffic {
    /// Returns the traffic of a connection that has this layer.
    pub(crate) fn of(connection: &IoRef) -> Option<Rc<Self>> {
        connection.query::<Rc<Self>>().as_ref().cloned()
    }

    /// Returns the bytes that the system has taken for the caller.
    pub(crate) fn sent_bytes(&self, connection: &IoRef) -> u64 {
        let queued_bytes = connection.with_write_dst_buf(|queued| queued.len());
        self.written_bytes.get().saturating_sub(queued_bytes as u64)
    }

    /// Returns the bytes that were received.
    pub(crate) const fn received_bytes(&self) -> u64 {
        self.received_bytes.get()
    }

    /// Returns the time at which bytes were last received.
    pub(crate) const fn received_us(&self) -> u64 {
        self.received_us.get()
    }

    /// Returns the memory of the head of the next request, as far as it was received.
    pub(crate) const fn head_bytes(&self) -> usize {
        self.head_bytes.get()
    }

    /// Records whether a request is open: its head is complete and was counted.
    pub(crate) fn set_request(&self, is_open: bool) {
        self.has_request.set(is_open);
        self.head_bytes.set(0);
    }

    fn record_received(&self, now_us: u64, received: &[u8]) {
        self.received_bytes
            .set(self.received_bytes.get() + received.len() as u64);
        self.received_us.set(now_us);
        if !self.has_request.get() {
            let line_ends = received.iter().map(|&byte| usize::from(byte == b'\n'));
            let lines: usize = line_ends.sum();
            let bytes = received.len() + lines * HEADER_BYTES;
            self.head_bytes.set(self.head_bytes.get() + bytes);
        }
    }

    fn record_written(&self, bytes: usize) {
        if bytes > 0 {
            // Also answers that the HTTP server gives itself follow a complete head.
            self.head_bytes.set(0);
        }
        self.written_bytes
            .set(self.written_bytes.get() + bytes as u64);
    }
}

/// Layer that bounds what is kept of the bytes of one caller.
///
/// It closes a connection whose bytes can't be parsed and go on, and drops what arrives while a
/// connection is being closed: the HTTP server reads on then without back-pressure.
pub(crate) struct CallerIo {
    shared: Arc<Shared>,
    connections: Weak<CallerConnections>,
    traffic: Rc<Traffic>,
    is_closing: Cell<bool>,
}

impl CallerIo {
    /// Creates the layer of a new connection.
    pub(crate) fn new(connections: &Rc<CallerConnections>) -> Self {
        Self {
            shared: connections.shared().clone(),
            connections: Rc::downgrade(connections),
            traffic: Rc::default(),
            is_closing: Cell::new(false),
        }
    }
}

impl std::fmt::Debug for CallerIo {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("CallerIo")
            .field("traffic", &self.traffic)
            .field("is_closing", &self.is_closing)
            .finish_non_exhaustive()
    }
}

impl FilterLayer for CallerIo {
    fn query(&self, id: TypeId) -> Option<Box<dyn Any>> {
        (id == TypeId::of::<Rc<Traffic>>()).then(|| Box::new(self.traffic.clone()) as Box<dyn Any>)
    }

    fn process_read_buf(&self, buffer: &FilterBuf<'_>) -> io::Result<()> {
        let unparsed_bytes = buffer.with_read_buffers(|received, unparsed| {
            let Some(received) = received.take() else {
                return unparsed.len();
            };
            if self.is_closing.get() {
                return 0;
            }
            let now_us = self.shared.clock.now_us();
            self.traffic.record_received(now_us, &received);
            if unparsed.is_empty() {
                *unparsed = received;
            } else {
                unparsed.extend_from_slice(&received);
            }
            unparsed.len()
        });
        if unparsed_bytes > UNPARSED_MAX_BYTES {
            self.shared.metrics.record_closed_caller("unparsed");
            debug!("caller: connection closed, {unparsed_bytes} bytes can't be parsed");
            return Err(io::Error::other("too many bytes that can't be parsed"));
        }
        if self.traffic.head_bytes() > LARGE_HEAD_BYTES
            && let Some(connections) = self.connections.upgrade()
        {
            connections.look_at_heads();
        }
        Ok(())
    }

    fn process_write_buf(&self, buffer: &FilterBuf<'_>) -> io::Result<()> {
        buffer.with_write_buffers(|written, queued| {
            self.traffic.record_written(written.len());
            // Unlike `move_to`, this copies short writes into the last page. The HTTP server flushes
            // after each piece of a body, and a page of 16 KiB for each would take thousands of times
            // the bytes of small pieces, by which alone the server limits the queue.
            while let Some(page) = written.take() {
                queued.append(page);
            }
        });
        Ok(())
    }

    /// Ends when all has been sent; until then this layer drops what is received.
    fn shutdown(&self, buffer: &FilterBuf<'_>) -> io::Result<Poll<()>> {
        if !self.is_closing.replace(true) {
            // Unlike the buffers of the layer, this also lifts the back-pressure, which would end
            // the connection before all has been sent.
            buffer.io().with_read_buf(BytesMut::clear);
        }
        self.process_write_buf(buffer)?;
        let is_sent = buffer.with_write_buffers(|_, queued| queued.is_empty());
        Ok(if is_sent {
            Poll::Ready(())
        } else {
            Poll::Pending
        })
    }
}
