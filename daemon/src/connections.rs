//! Connections of callers, and the delivery of answers on them.
//!
//! An answer counts as delivered once its last byte was sent and the caller closed the connection
//! cleanly, sent the next request on it, or confirmed the answer. If the connection breaks, the answer
//! counts as not delivered, and a retry by the caller gets the rest.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use tokio::io::AsyncRead;
use walnuthaven_lib::ids;
use walnuthaven_lib::request_table;
use walnuthaven_wire::peer;

use crate::host;
use crate::locks;
use crate::pass_writes;
use crate::permits;

/// An answer whose delivery is recorded at the request's home host.
#[derive(Clone, Debug)]
pub enum Delivery {
    /// This host is the home host.
    Home {
        /// The request id.
        id: ids::RequestId,
        /// Whether the backup host holds a permit for the request.
        has_permit: bool,
    },
    /// Another host is the home host.
    Forwarded {
        /// The request id.
        request: String,
        /// The home host's peer address.
        addr: ids::Name,
    },
}

impl Delivery {
    /// Records that the last byte was sent.
    pub fn record_sent(&self, cx: &host::Host) {
        if let Self::Home { id, .. } = self {
            set_state(cx, id.number, request_table::State::Sent);
        }
    }

    /// Records whether the caller received the whole answer. Tells the home host in the background if
    /// it is another one.
    pub fn record_delivery(&self, cx: &sync::Arc<host::Host>, delivered: bool) {
        match self {
            Self::Home { id, has_permit } => {
                record_delivery_at_home(cx, id, *has_permit, delivered)
            }
            Self::Forwarded { request, addr } => {
                let call = peer::ConfirmRequest {
                    request: request.clone(),
                    delivered,
                };
                let cx = cx.clone();
                let addr = addr.clone();
                tokio::spawn(async move {
                    if let Err(status) = cx.peers.confirm(&addr, call).await {
                        log::debug!("can't report the delivery of an answer to {addr}: {status}");
                    }
                });
            }
        }
    }
}

/// Records at the home host whether the caller received the whole answer.
pub fn record_delivery_at_home(
    cx: &sync::Arc<host::Host>,
    id: &ids::RequestId,
    has_permit: bool,
    delivered: bool,
) {
    if !delivered {
        set_state(cx, id.number, request_table::State::Finished);
        return;
    }
    set_state(cx, id.number, request_table::State::Delivered);
    if has_permit {
        permits::record_outcome(cx, id, "answered");
    }
}

/// Changes a request's state, unless it was delivered or refused.
fn set_state(cx: &host::Host, number: u64, state: request_table::State) {
    let mut table = locks::lock(&cx.request_table);
    let is_open = matches!(
        table.state(number),
        Some(
            request_table::State::Running
                | request_table::State::Finished
                | request_table::State::Sent
        )
    );
    if is_open {
        table.set_state(number, state, cx.now());
    }
}

/// A caller's connection.
#[derive(Clone, Debug, Default)]
pub struct Connection {
    /// Whether the connection uses HTTP/2.
    multiplexed: sync::Arc<atomic::AtomicBool>,
    /// Answers whose last byte was sent, but whose delivery is not recorded yet.
    sent: sync::Arc<sync::Mutex<Vec<Delivery>>>,
}

impl Connection {
    /// Records whether requests on the connection are multiplexed, as with HTTP/2.
    pub fn set_multiplexed(&self, multiplexed: bool) {
        self.multiplexed
            .store(multiplexed, atomic::Ordering::Relaxed);
    }

    /// Returns whether requests are multiplexed. If so, the connection can be closed without losing a
    /// request that the caller sends at the same time.
    pub fn is_multiplexed(&self) -> bool {
        self.multiplexed.load(atomic::Ordering::Relaxed)
    }

    /// Records that an answer's last byte was handed to the connection.
    pub fn record_sent(&self, cx: &host::Host, delivery: Delivery) {
        delivery.record_sent(cx);
        locks::lock(&self.sent).push(delivery);
    }

    /// Records whether the caller received the answers that were sent so far.
    pub fn record_delivery(&self, cx: &sync::Arc<host::Host>, delivered: bool) {
        let sent = std::mem::take(&mut *locks::lock(&self.sent));
        for delivery in sent {
            delivery.record_delivery(cx, delivered);
        }
    }
}

/// A TCP stream whose writes fail if the caller accepts no bytes for `limit`.
#[derive(Debug)]
pub struct WriteTimeoutStream {
    stream: tokio::net::TcpStream,
    limit: time::Duration,
    /// Ends when the pending write has taken too long; `None` if no write is pending.
    stall_timer: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

impl WriteTimeoutStream {
    /// Wraps a stream.
    pub fn new(stream: tokio::net::TcpStream, limit: time::Duration) -> Self {
        Self {
            stream,
            limit,
            stall_timer: None,
        }
    }

    /// Converts the result of a write into an error if writes have been pending for too long.
    fn check_stall(
        &mut self,
        cx: &mut task::Context<'_>,
        poll: task::Poll<io::Result<usize>>,
    ) -> task::Poll<io::Result<usize>> {
        if poll.is_ready() {
            self.stall_timer = None;
            return poll;
        }
        let limit = self.limit;
        let stall_timer = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        match stall_timer.as_mut().poll(cx) {
            task::Poll::Pending => task::Poll::Pending,
            task::Poll::Ready(()) => {
                let error = io::Error::new(io::ErrorKind::TimedOut, "the caller stopped reading");
                task::Poll::Ready(Err(error))
            }
        }
    }
}

impl AsyncRead for WriteTimeoutStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

pass_writes::pass_writes!([] WriteTimeoutStream, WriteTimeoutStream::check_stall);
