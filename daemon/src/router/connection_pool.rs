//! HTTP connections to backend servers and to the store, and the pool of idle ones to backend
//! servers.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client;
use hyper::client::conn::http1;
use hyper_util::rt;
use walnuthaven_lib::backends;

use crate::locks;
use crate::router::context;
use crate::router::links;
use crate::router::read_limit;
use crate::sockets;

/// How long a connection may be idle if the server's answer doesn't state a keep-alive time.
const DEFAULT_IDLE_TIME: time::Duration = time::Duration::from_secs(4);
/// Idle connections are closed this long before the server closes them, so that no request is sent
/// on a connection that the server is closing.
const IDLE_MARGIN: time::Duration = time::Duration::from_secs(1);
/// Maximum number of idle connections to one server.
pub(crate) const MAX_IDLE_CONNECTIONS: usize = 8;
/// How long a connection may take to become ready for the next request after an answer.
const READY_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// Idle time before the first TCP keepalive probe, and time between probes. With the number of
/// probes below, a peer that no longer responds is detected within three seconds.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;
/// How long bytes may be unacknowledged. No keepalive probes are sent meanwhile.
const UNACKNOWLEDGED_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// How often a request that needs a connection has an idle one closed.
const PLACE_TRIES: usize = 4;
/// The most bytes that the HTTP library buffers of an answer.
const MAX_BUFFER: usize = 128 * 1024;
/// Bytes that are read at a time of an answer to a request.
const MAX_READ: usize = 16 * 1024;

/// An open connection. Dropping it closes the connection, which cancels the request in progress on
/// it.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Sends one request at a time.
    pub(crate) tx: http1::SendRequest<Full<Bytes>>,
    /// Whether a request was sent on the connection before.
    pub(crate) reused: bool,
    /// Whether all answers so far named their request. A second copy of one that doesn't would be taken for the answer
    /// to a later request, so the connection isn't kept.
    pub(crate) names_requests: bool,
    /// Set while a request is sent or answered on a connection to a server.
    pub(crate) in_use: Option<links::InUse>,
    read_limit: read_limit::ReadLimit,
    /// Drives the connection's reads and writes.
    task: tokio::task::JoinHandle<()>,
}

impl Connection {
    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or brings something else, with the request if nothing of it was
    /// sent.
    pub(crate) async fn send(
        &mut self,
        message: http::Request<Full<Bytes>>,
    ) -> Result<
        http::Response<read_limit::LimitedBody>,
        client::conn::TrySendError<http::Request<Full<Bytes>>>,
    > {
        self.read_limit.start();
        let response = self.tx.try_send_request(message).await;
        let limited = |body| read_limit::LimitedBody::new(body, self.read_limit.clone());
        response.map(|response| response.map(limited))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An idle connection. Times are times since boot.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: time::Duration,
    /// From when on the connection may no longer be used.
    usable_until: time::Duration,
}

/// Idle connections, by the id of the server.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: sync::Mutex<collections::HashMap<sync::Arc<str>, Vec<IdleConnection>>>,
}

impl Pool {
    /// Takes the connection to a server that became idle last and has been idle for at most
    /// `max_idle_time`. Closes the ones that turn out unusable on the way.
    pub(crate) fn take(
        &self,
        server: &str,
        now: time::Duration,
        max_idle_time: time::Duration,
    ) -> Option<Connection> {
        let mut idle = locks::lock(&self.idle);
        let list = idle.get_mut(server)?;
        while let Some(entry) = list.pop() {
            let fresh =
                now < entry.usable_until && now.saturating_sub(entry.idle_since) <= max_idle_time;
            if fresh && entry.connection.tx.is_ready() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Adds an idle connection to a server, or closes it if `max_idle_connections` are idle
    /// already. `keep_alive` is the time for which the server keeps it open.
    fn put(
        &self,
        server: &backends::Backend,
        max_idle_connections: usize,
        keep_alive: Option<time::Duration>,
        mut connection: Connection,
        now: time::Duration,
    ) {
        let max_idle_time = keep_alive.unwrap_or(DEFAULT_IDLE_TIME);
        let usable_until = now + max_idle_time.saturating_sub(IDLE_MARGIN);
        connection.in_use = None;
        let mut idle = locks::lock(&self.idle);
        let list = idle.entry(server.id.clone()).or_default();
        if list.len() < max_idle_connections {
            list.push(IdleConnection {
                connection,
                idle_since: now,
                usable_until,
            });
        }
    }

    /// Closes all idle connections to a server.
    pub(crate) fn close_all(&self, server: &str) {
        locks::lock(&self.idle).remove(server);
    }

    /// Closes the connection that has been idle for longest. Returns `false` if none is idle.
    fn close_oldest(&self) -> bool {
        let mut idle = locks::lock(&self.idle);
        let lists = idle.values_mut().filter(|list| !list.is_empty());
        match lists.min_by_key(|list| list[0].idle_since) {
            Some(list) => {
                list.remove(0);
                true
            }
            None => false,
        }
    }

    /// Closes connections that were idle for too long or that the server closed.
    pub(crate) fn prune(&self, now: time::Duration) {
        locks::lock(&self.idle).retain(|_, list| {
            list.retain(|entry| now < entry.usable_until && !entry.connection.tx.is_closed());
            !list.is_empty()
        });
    }
}

/// Returns a connection to the pool once its answer has ended.
pub(crate) async fn return_connection<D: walnuthaven_lib::dialect::Dialect>(
    cx: sync::Arc<context::Router<D>>,
    server: sync::Arc<backends::Backend>,
    keep_alive: Option<time::Duration>,
    mut connection: Connection,
) {
    if !connection.names_requests {
        return;
    }
    let ready = tokio::time::timeout(READY_TIMEOUT, connection.tx.ready()).await;
    if let Ok(Ok(())) = ready {
        connection.reused = true;
        let max_idle_connections = cx.max_idle_connections(&server.service);
        cx.connection_pool.put(
            &server,
            max_idle_connections,
            keep_alive,
            connection,
            cx.now(),
        );
    }
}

/// The number of connections to servers that requests are sent on.
#[derive(Debug, Default)]
pub(crate) struct OpenCount(atomic::AtomicUsize);

/// Counts such a connection until it is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    count: sync::Arc<OpenCount>,
    /// Size of the kernel's buffer for what the server sends, in bytes.
    receive_buffer: usize,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.count.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Takes the place of a further connection to a server. If all are taken, idle connections are closed; if there are
/// none, returns `None`.
pub(crate) async fn take_place<D: walnuthaven_lib::dialect::Dialect>(
    cx: &context::Router<D>,
) -> Option<Place> {
    let limits = cx.clients.limits();
    let count = &cx.server_connections;
    for _ in 0..PLACE_TRIES {
        if count.0.load(atomic::Ordering::Relaxed) < limits.server_connections {
            count.0.fetch_add(1, atomic::Ordering::Relaxed);
            return Some(Place {
                count: count.clone(),
                receive_buffer: limits.server_socket_buffer,
            });
        }
        if !cx.connection_pool.close_oldest() {
            break;
        }
        // A connection closes once its task was told to end.
        tokio::task::yield_now().await;
    }
    cx.telemetry.count("server.no_place");
    None
}

/// Opens a connection to a server for one of the router's own calls.
///
/// # Errors
///
/// Returns an error if the connection can't be opened within `timeout`.
pub(crate) async fn connect(
    addr: net::SocketAddr,
    timeout: time::Duration,
) -> io::Result<Connection> {
    let stream = open_stream(sockets::open(addr)?, addr, timeout).await?;
    start_http(stream, None, None).await
}

/// Opens a connection to a server for requests, which takes `place`. `heard` is set whenever bytes arrive on it.
///
/// # Errors
///
/// Returns an error if the connection can't be opened within `timeout`.
pub(crate) async fn connect_in(
    place: Place,
    addr: net::SocketAddr,
    timeout: time::Duration,
    heard: sync::Arc<atomic::AtomicBool>,
) -> io::Result<Connection> {
    let socket = sockets::open(addr)?;
    sockets::set_receive_buffer(&socket, place.receive_buffer)?;
    let stream = open_stream(socket, addr, timeout).await?;
    start_http(stream, Some(heard), Some(place)).await
}

/// Opens a connection to the store. It also breaks if what was sent isn't acknowledged for some time; a server may
/// take its time to read a long request.
///
/// # Errors
///
/// Returns an error if the connection can't be opened within `timeout`.
pub(crate) async fn connect_to_store(
    addr: net::SocketAddr,
    timeout: time::Duration,
) -> io::Result<Connection> {
    let stream = open_stream(sockets::open(addr)?, addr, timeout).await?;
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    start_http(stream, None, None).await
}

async fn open_stream(
    socket: tokio::net::TcpSocket,
    addr: net::SocketAddr,
    timeout: time::Duration,
) -> io::Result<tokio::net::TcpStream> {
    let opening = tokio::time::timeout(timeout, socket.connect(addr));
    let stream = opening.await.map_err(|_| io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket2::SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
    Ok(stream)
}

async fn start_http(
    stream: tokio::net::TcpStream,
    heard: Option<sync::Arc<atomic::AtomicBool>>,
    place: Option<Place>,
) -> io::Result<Connection> {
    // The store's answers are long, and there are few connections to it.
    let max_read = match place {
        Some(_) => MAX_READ,
        None => MAX_BUFFER,
    };
    let (stream, read_limit) = read_limit::LimitedStream::new(stream, MAX_BUFFER, max_read, heard);
    let io = rt::TokioIo::new(stream);
    let handshake = http1::Builder::new().max_buf_size(MAX_BUFFER).handshake(io);
    let (tx, connection) = handshake.await.map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        // The request that was sent on the connection reports how it ended.
        let _ = connection.await;
        drop(place);
    });
    Ok(Connection {
        tx,
        reused: false,
        names_requests: true,
        in_use: None,
        read_limit,
        task,
    })
}
