//! Connections to backend servers and to the store.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use walnuthaven_lib::backends;

use crate::locks;
use crate::router::context;

/// How long a connection may be idle where the server names no time.
const IDLE: time::Duration = time::Duration::from_secs(4);
/// Idle connections are given up this long before the server closes them, so that no request meets
/// the close on its way.
const IDLE_MARGIN: time::Duration = time::Duration::from_secs(1);
/// Most idle connections to one server.
pub(crate) const MAX_IDLE: usize = 8;
/// How long a connection may take to become idle after an answer.
const SETTLE: time::Duration = time::Duration::from_millis(100);
/// Probes find a connection whose other side fell silent within three seconds.
const KEEPALIVE: time::Duration = time::Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// An open connection. Dropping it closes it, which cancels what runs on it.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Sends one request at a time.
    pub(crate) tx: http1::SendRequest<Full<Bytes>>,
    /// Whether a request was sent on it before.
    pub(crate) reused: bool,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: time::Duration,
    until: time::Duration,
}

/// Idle connections by server.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: sync::Mutex<collections::HashMap<sync::Arc<str>, Vec<Idle>>>,
}

impl Pool {
    /// Takes the connection that became idle last, if it did so within `max_idle`.
    pub(crate) fn take(
        &self,
        server: &str,
        now: time::Duration,
        max_idle: time::Duration,
    ) -> Option<Connection> {
        let mut idle = locks::lock(&self.idle);
        let list = idle.get_mut(server)?;
        while let Some(entry) = list.pop() {
            let fresh = now < entry.until && now.saturating_sub(entry.since) <= max_idle;
            if fresh && entry.connection.tx.is_ready() {
                return Some(entry.connection);
            }
        }
        None
    }

    fn put(
        &self,
        server: &backends::Backend,
        most: usize,
        idle_for: Option<time::Duration>,
        entry: Connection,
        now: time::Duration,
    ) {
        let limit = idle_for.unwrap_or(IDLE);
        let until = now + limit.saturating_sub(IDLE_MARGIN);
        let mut idle = locks::lock(&self.idle);
        let list = idle.entry(server.id.clone()).or_default();
        if list.len() < most {
            list.push(Idle {
                connection: entry,
                since: now,
                until,
            });
        }
    }

    /// Closes the idle connections to a server.
    pub(crate) fn forget(&self, server: &str) {
        locks::lock(&self.idle).remove(server);
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn prune(&self, now: time::Duration) {
        locks::lock(&self.idle).retain(|_, list| {
            list.retain(|entry| now < entry.until && !entry.connection.tx.is_closed());
            !list.is_empty()
        });
    }
}

/// Gives a connection back once its answer has ended.
pub(crate) async fn give_back<D: walnuthaven_lib::dialect::Dialect>(
    cx: sync::Arc<context::Router<D>>,
    server: sync::Arc<backends::Backend>,
    keep_alive: Option<time::Duration>,
    mut connection: Connection,
) {
    let ready = tokio::time::timeout(SETTLE, connection.tx.ready()).await;
    if let Ok(Ok(())) = ready {
        connection.reused = true;
        let most = cx.max_idle_connections(&server.service);
        cx.connection_pool
            .put(&server, most, keep_alive, connection, cx.now());
    }
}

/// Opens a connection.
///
/// # Errors
///
/// Returns why there is none.
pub(crate) async fn connect(
    addr: net::SocketAddr,
    within: time::Duration,
) -> io::Result<Connection> {
    let opening = tokio::time::timeout(within, tokio::net::TcpStream::connect(addr));
    let stream = opening.await.map_err(|_| io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    socket2::SockRef::from(&stream).set_tcp_keepalive(&keepalive)?;
    let io = rt::TokioIo::new(stream);
    let (tx, connection) = http1::handshake(io).await.map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        // How a connection ended is seen by the request that was sent on it.
        let _ = connection.await;
    });
    Ok(Connection {
        tx,
        reused: false,
        task,
    })
}
