//! Connections of other hosts, and the memory of the messages that they send.

use std::collections;
use std::io;
use std::net;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use bytes::Buf as _;
use bytes::Bytes;
use futures_util::task as futures_task;
use http_body::Body;
use tokio::io::AsyncRead;
use tonic::body;
use tonic::codegen;
use tonic::server;
use tonic::transport::server as transport_server;

use crate::locks;
use crate::pass_writes;
use crate::router::clients;
use crate::router::events::limited_event;

/// Longest time for a connection that is being closed to make room for another one.
const CLOSE_TIME: time::Duration = time::Duration::from_millis(20);

/// All connections of other hosts.
#[derive(Debug)]
pub(crate) struct PeerConnections {
    clients: sync::Arc<clients::Clients>,
    open: sync::Mutex<collections::HashMap<u64, sync::Arc<Shared>>>,
    next_number: atomic::AtomicU64,
    /// Bytes of messages that are being received.
    message_bytes: atomic::AtomicUsize,
    /// Signalled when a connection was closed.
    closed: tokio::sync::Notify,
}

#[derive(Debug)]
struct Shared {
    number: u64,
    addr: net::IpAddr,
    /// Whether a known host made a call on it.
    has_called: atomic::AtomicBool,
    is_shed: atomic::AtomicBool,
    reader: futures_task::AtomicWaker,
}

/// Where a call comes from.
#[derive(Clone, Debug)]
pub(crate) struct Sender(sync::Arc<Shared>);

impl Sender {
    pub(crate) fn addr(&self) -> net::IpAddr {
        self.0.addr
    }

    /// Records that the call is that of a known host.
    pub(crate) fn set_known(&self) {
        self.0.has_called.store(true, atomic::Ordering::Relaxed);
    }
}

impl PeerConnections {
    pub(crate) fn new(clients: sync::Arc<clients::Clients>) -> Self {
        Self {
            clients,
            open: sync::Mutex::default(),
            next_number: atomic::AtomicU64::new(0),
            message_bytes: atomic::AtomicUsize::new(0),
            closed: tokio::sync::Notify::new(),
        }
    }

    /// Admits a connection that was accepted, and closes another one if there are too many.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken already.
    pub(crate) async fn admit(
        self: sync::Arc<Self>,
        stream: tokio::net::TcpStream,
    ) -> io::Result<PeerStream> {
        let addr = stream.peer_addr()?.ip();
        let max = self.clients.limits().peer_connections;
        loop {
            let closed = self.closed.notified();
            if locks::lock(&self.open).len() < max {
                break;
            }
            self.shed_one();
            // A connection that doesn't end in time is one too many for a moment.
            if tokio::time::timeout(CLOSE_TIME, closed).await.is_err() {
                break;
            }
        }
        let number = self.next_number.fetch_add(1, atomic::Ordering::Relaxed);
        let shared = sync::Arc::new(Shared {
            number,
            addr,
            has_called: atomic::AtomicBool::new(false),
            is_shed: atomic::AtomicBool::new(false),
            reader: futures_task::AtomicWaker::new(),
        });
        locks::lock(&self.open).insert(number, shared.clone());
        Ok(PeerStream {
            stream,
            shared,
            connections: self,
        })
    }

    /// Closes the oldest connection without a call of a known host, or the oldest one if there is none.
    fn shed_one(&self) {
        let open = locks::lock(&self.open);
        let staying = open
            .values()
            .filter(|shared| !shared.is_shed.load(atomic::Ordering::Relaxed));
        let chosen = staying.min_by_key(|shared| {
            let has_called = shared.has_called.load(atomic::Ordering::Relaxed);
            (has_called, shared.number)
        });
        if let Some(shared) = chosen {
            limited_event!(Warn, "peer-connection-shed", "address" => shared.addr,
                "open" => open.len());
            self.clients.record_peer_shed();
            shared.is_shed.store(true, atomic::Ordering::Relaxed);
            shared.reader.wake();
        }
    }

    /// Counts bytes of a message. Returns `false` if there are too many.
    fn hold(&self, bytes: usize) -> bool {
        let held = self
            .message_bytes
            .fetch_add(bytes, atomic::Ordering::Relaxed);
        held + bytes <= self.clients.limits().peer_message_bytes
    }
}

/// A connection of another host.
#[derive(Debug)]
pub(crate) struct PeerStream {
    stream: tokio::net::TcpStream,
    shared: sync::Arc<Shared>,
    connections: sync::Arc<PeerConnections>,
}

impl Drop for PeerStream {
    fn drop(&mut self) {
        locks::lock(&self.connections.open).remove(&self.shared.number);
        self.connections.closed.notify_waiters();
    }
}

impl transport_server::Connected for PeerStream {
    type ConnectInfo = Sender;

    fn connect_info(&self) -> Sender {
        Sender(self.shared.clone())
    }
}

impl AsyncRead for PeerStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.shared.reader.register(cx.waker());
        if self.shared.is_shed.load(atomic::Ordering::Relaxed) {
            return task::Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        pin::Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

pass_writes::pass_writes!([] PeerStream);

/// A service whose messages count against the memory for them while they are received.
#[derive(Clone, Debug)]
pub(crate) struct CountedService<S> {
    pub(crate) service: S,
    pub(crate) connections: sync::Arc<PeerConnections>,
}

impl<S: server::NamedService> server::NamedService for CountedService<S> {
    const NAME: &'static str = S::NAME;
}

impl<S> codegen::Service<http::Request<body::Body>> for CountedService<S>
where
    S: codegen::Service<http::Request<body::Body>>,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = S::Future;

    fn poll_ready(&mut self, cx: &mut task::Context<'_>) -> task::Poll<Result<(), S::Error>> {
        self.service.poll_ready(cx)
    }

    fn call(&mut self, req: http::Request<body::Body>) -> S::Future {
        let counted = req.map(|body| {
            body::Body::new(CountedBody {
                body,
                connections: self.connections.clone(),
                bytes: 0,
            })
        });
        self.service.call(counted)
    }
}

/// The messages of a call, which count until they have been received.
struct CountedBody {
    body: body::Body,
    connections: sync::Arc<PeerConnections>,
    bytes: usize,
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        let held = &self.connections.message_bytes;
        held.fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = tonic::Status;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, tonic::Status>>> {
        let polled = pin::Pin::new(&mut self.body).poll_frame(cx);
        if let task::Poll::Ready(Some(Ok(frame))) = &polled {
            let bytes = frame.data_ref().map_or(0, |data| data.remaining());
            self.bytes += bytes;
            if !self.connections.hold(bytes) {
                self.connections.clients.record_peer_refused();
                let status = tonic::Status::resource_exhausted("no memory for the message");
                return task::Poll::Ready(Some(Err(status)));
            }
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}
