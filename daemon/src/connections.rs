//! Callers' connections and what was delivered on them.
//!
//! An answer counts as delivered when its last byte went out and the caller went on in order: it
//! closed the connection, asked the next question on it, or confirmed. When the connection breaks,
//! the answer counts as not delivered and a repeat gets the rest.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use walnuthaven_lib::ids;
use walnuthaven_lib::request_table;
use walnuthaven_wire::peer;

use crate::host;
use crate::locks;
use crate::permits;

/// Where the delivery of an answer is accounted for.
#[derive(Clone, Debug)]
pub enum Delivery {
    /// This host is the home.
    Home {
        /// The request.
        id: ids::RequestId,
        /// Whether the buddy holds a permit for it.
        permit: bool,
    },
    /// Another host is the home.
    Forwarded {
        /// The request.
        request: String,
        /// The home's peer address.
        addr: ids::Name,
    },
}

impl Delivery {
    /// Notes that the last byte went out.
    pub fn record_sent(&self, cx: &host::Host) {
        if let Self::Home { id, .. } = self {
            set(cx, id.number, request_table::State::Sent);
        }
    }

    /// Notes whether the caller got the whole answer.
    pub fn record_delivery(&self, cx: &sync::Arc<host::Host>, delivered: bool) {
        match self {
            Self::Home { id, permit } => record_delivery_at_home(cx, id, *permit, delivered),
            Self::Forwarded { request, addr } => {
                let call = peer::ConfirmRequest {
                    request: request.clone(),
                    delivered,
                };
                let cx = cx.clone();
                let addr = addr.clone();
                tokio::spawn(async move {
                    if let Err(status) = cx.peers.confirm(&addr, call).await {
                        log::debug!("confirm at {addr}: {status}");
                    }
                });
            }
        }
    }
}

/// Notes at the home whether the caller got the whole answer.
pub fn record_delivery_at_home(
    cx: &sync::Arc<host::Host>,
    id: &ids::RequestId,
    permit: bool,
    delivered: bool,
) {
    if !delivered {
        set(cx, id.number, request_table::State::Finished);
        return;
    }
    set(cx, id.number, request_table::State::Delivered);
    if permit {
        permits::record_outcome(cx, id, "answered");
    }
}

fn set(cx: &host::Host, number: u64, state: request_table::State) {
    let mut ids = locks::lock(&cx.request_table);
    let open = matches!(
        ids.state(number),
        Some(
            request_table::State::Running
                | request_table::State::Finished
                | request_table::State::Sent
        )
    );
    if open {
        ids.set_state(number, state, cx.now());
    }
}

/// One connection of a caller.
#[derive(Clone, Debug, Default)]
pub struct Connection {
    multiplexed: sync::Arc<atomic::AtomicBool>,
    unsettled: sync::Arc<sync::Mutex<Vec<Delivery>>>,
}

impl Connection {
    /// Notes the protocol of a request on the connection.
    pub fn set_multiplexed(&self, multiplexed: bool) {
        self.multiplexed
            .store(multiplexed, atomic::Ordering::Relaxed);
    }

    /// Returns whether the connection can be ended without a race with the next request.
    pub fn is_multiplexed(&self) -> bool {
        self.multiplexed.load(atomic::Ordering::Relaxed)
    }

    /// Notes that an answer's last byte was handed to the connection.
    pub fn record_sent(&self, cx: &host::Host, delivery: Delivery) {
        delivery.record_sent(cx);
        locks::lock(&self.unsettled).push(delivery);
    }

    /// Settles everything sent so far.
    pub fn record_delivery(&self, cx: &sync::Arc<host::Host>, delivered: bool) {
        let unsettled = std::mem::take(&mut *locks::lock(&self.unsettled));
        for delivery in unsettled {
            delivery.record_delivery(cx, delivered);
        }
    }
}

/// A stream that fails when the other side accepts no bytes for too long.
#[derive(Debug)]
pub struct WriteTimeoutStream {
    stream: tokio::net::TcpStream,
    limit: time::Duration,
    stalled: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

impl WriteTimeoutStream {
    /// Guards a stream.
    pub fn new(stream: tokio::net::TcpStream, limit: time::Duration) -> Self {
        Self {
            stream,
            limit,
            stalled: None,
        }
    }

    /// Turns a pending write into an error once it has been pending for too long.
    fn watch<T>(
        &mut self,
        cx: &mut task::Context<'_>,
        poll: task::Poll<io::Result<T>>,
    ) -> task::Poll<io::Result<T>> {
        if poll.is_ready() {
            self.stalled = None;
            return poll;
        }
        let limit = self.limit;
        let stalled = self
            .stalled
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        match stalled.as_mut().poll(cx) {
            task::Poll::Pending => task::Poll::Pending,
            task::Poll::Ready(()) => {
                let error = io::Error::new(io::ErrorKind::TimedOut, "the caller reads nothing");
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

impl AsyncWrite for WriteTimeoutStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let poll = pin::Pin::new(&mut self.stream).poll_write(cx, buf);
        self.watch(cx, poll)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let poll = pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.watch(cx, poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
