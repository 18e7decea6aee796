//! One send of a request to a backend server, up to the head of the answer.

use std::io;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body;
use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::outcome;

use crate::locks;
use crate::router::body_memory;
use crate::router::connection_pool;
use crate::router::context;

/// Longest time to open a connection to a server. Servers are a millisecond away and take one for
/// opening; a lost packet costs a second, which is better spent at another server.
const CONNECT: time::Duration = time::Duration::from_millis(150);
/// A request that may not be repeated goes out on a connection that was used a moment ago, or on a
/// new one, since a server may have dropped one that was idle.
const REUSE_UNREPEATABLE: time::Duration = time::Duration::from_millis(800);
/// Other requests use any idle connection.
const REUSE: time::Duration = time::Duration::from_secs(60);
/// Largest body of a server that is gathered as a whole.
const MAX_BODY: usize = 4 * 1024 * 1024;

/// A request of a caller, read whole.
#[derive(Debug)]
pub(crate) struct Received {
    /// The method.
    pub(crate) method: http::Method,
    /// Path and query, as received.
    pub(crate) target: http::Uri,
    /// The caller's headers.
    pub(crate) headers: http::HeaderMap,
    /// What they say.
    pub(crate) head: dialect::RequestHead,
    /// The body.
    pub(crate) body: Bytes,
    /// The memory that is held for it.
    #[expect(dead_code, reason = "gives the memory back when it is dropped")]
    pub(crate) memory: body_memory::Reservation,
    /// Digest of the caller and what it asks for: the same in each attempt.
    pub(crate) digest: u64,
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub(crate) struct Sent {
    /// The status.
    pub(crate) status: http::StatusCode,
    /// The headers.
    pub(crate) headers: http::HeaderMap,
    /// What they say.
    pub(crate) head: dialect::ReplyHead,
    /// The body.
    pub(crate) body: body::Incoming,
    /// The connection, in use until the body has ended.
    pub(crate) connection: connection_pool::Connection,
    server: sync::Arc<backends::Backend>,
}

/// A send without an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Unanswered {
    /// What is known about it.
    pub(crate) outcome: outcome::Outcome,
    /// What was seen.
    pub(crate) cause: &'static str,
}

fn unanswered(outcome: outcome::Outcome, cause: &'static str) -> Unanswered {
    Unanswered { outcome, cause }
}

/// How a request is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options {
    /// When the head of the answer must have arrived.
    pub(crate) until: time::Duration,
    /// Whether the request may be sent again if this send ends without a trace.
    pub(crate) repeatable: bool,
}

/// Sends a request on a connection and waits for the head of the answer.
pub(crate) async fn send<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    req: &Received,
    server: &sync::Arc<backends::Backend>,
    mut connection: connection_pool::Connection,
    sending: &dialect::SendParams<'_>,
    options: Options,
) -> Result<Sent, Unanswered> {
    let sent = time_left(cx, options.until);
    let head = http::Request::builder().method(req.method.clone());
    let mut message = head
        .uri(req.target.clone())
        .body(Full::new(req.body.clone()))
        .map_err(|_| unanswered(outcome::Outcome::NeverWritten, "request can't be built"))?;
    *message.headers_mut() = cx.dialect.server_headers(&req.headers, sending);
    let answer = tokio::time::timeout(sent, connection.tx.try_send_request(message)).await;
    let response = match answer {
        Err(_) => return Err(unanswered(outcome::Outcome::Silent, "no answer in time")),
        Ok(Err(mut error)) => {
            return Err(match error.take_message() {
                Some(_) => unanswered(outcome::Outcome::NeverWritten, "connection had closed"),
                None => broken(error.error()),
            });
        }
        Ok(Ok(response)) => response,
    };
    let (parts, body) = response.into_parts();
    let head = cx.dialect.reply_head(parts.status, &parts.headers);
    let own_id = req.head.request_id.as_deref();
    if let (Some(own), Some(other)) = (own_id, head.request_id.as_deref())
        && own != other
    {
        locks::lock(&cx.health).record_mismatched_answer(&server.id, cx.now());
        cx.connection_pool.forget(&server.id);
        return Err(unanswered(
            outcome::Outcome::BrokenBeforeAnswer,
            "answer to another request",
        ));
    }
    Ok(Sent {
        status: parts.status,
        headers: parts.headers,
        head,
        body,
        connection,
        server: server.clone(),
    })
}

fn broken(error: &hyper::Error) -> Unanswered {
    let cause = match (error.is_parse(), error.is_incomplete_message()) {
        (true, _) => "bytes that are no answer",
        (_, true) => "connection closed before the answer",
        _ => "connection broke before the answer",
    };
    unanswered(outcome::Outcome::BrokenBeforeAnswer, cause)
}

/// Takes a connection to a server from the pool, or opens one.
pub(crate) async fn open<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    server: &backends::Backend,
    options: Options,
) -> Result<connection_pool::Connection, Unanswered> {
    let now = cx.now();
    let max_idle = match options.repeatable {
        true => REUSE,
        false => REUSE_UNREPEATABLE,
    };
    let may_reuse = locks::lock(&cx.health).may_reuse_connections(&server.id, now);
    if may_reuse && let Some(connection) = cx.connection_pool.take(&server.id, now, max_idle) {
        return Ok(connection);
    }
    let within = CONNECT.min(time_left(cx, options.until));
    let opened = connection_pool::connect(server.addr, within).await;
    cx.telemetry.count("server.connections");
    opened.map_err(|error| {
        locks::lock(&cx.health).record_unreachable(&server.id, cx.now());
        let cause = match error.kind() {
            io::ErrorKind::TimedOut => "connection timed out",
            io::ErrorKind::ConnectionRefused => "connection refused",
            _ => "connection failed",
        };
        unanswered(outcome::Outcome::NeverWritten, cause)
    })
}

fn time_left<D: dialect::Dialect>(
    cx: &context::Router<D>,
    until: time::Duration,
) -> time::Duration {
    until.saturating_sub(cx.now())
}

/// Reads the rest of an answer as a whole and gives the connection back.
pub(crate) async fn whole<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    sent: Sent,
    until: time::Duration,
) -> Result<(http::StatusCode, http::HeaderMap, Bytes), Unanswered> {
    let reading = Limited::new(sent.body, MAX_BODY).collect();
    let body = match tokio::time::timeout(time_left(cx, until), reading).await {
        Err(_) => {
            return Err(unanswered(
                outcome::Outcome::Silent,
                "answer stopped midway",
            ));
        }
        Ok(Err(_)) => {
            return Err(unanswered(
                outcome::Outcome::BrokenMidway,
                "answer broke off",
            ));
        }
        Ok(Ok(body)) => body.to_bytes(),
    };
    tokio::spawn(connection_pool::give_back(
        cx.clone(),
        sent.server,
        sent.head.keep_alive,
        sent.connection,
    ));
    Ok((sent.status, sent.headers, body))
}

/// Makes a call of the router's own to a server and returns the answer's status and body. Another server
/// at its address doesn't carry it out.
///
/// # Errors
///
/// Returns an error if there is no whole answer in time.
pub(crate) async fn call<D: dialect::Dialect>(
    cx: &context::Router<D>,
    server: &backends::Backend,
    call: dialect::Call,
    within: time::Duration,
) -> io::Result<(http::StatusCode, Bytes)> {
    let mut headers = http::HeaderMap::new();
    cx.dialect.set_expected_instance(&server.id, &mut headers);
    let exchange = async {
        let mut connection = connection_pool::connect(server.addr, within).await?;
        let response = call_on(&mut connection, server.addr, call, headers).await?;
        let status = response.status();
        Ok((status, read_body(response).await?))
    };
    tokio::time::timeout(within, exchange)
        .await
        .map_err(|_| io::ErrorKind::TimedOut)?
}

/// Makes a call on an open connection and returns the answer once its head has arrived.
///
/// # Errors
///
/// Returns an error if there is no answer.
pub(crate) async fn call_on(
    connection: &mut connection_pool::Connection,
    addr: net::SocketAddr,
    call: dialect::Call,
    headers: http::HeaderMap,
) -> io::Result<http::Response<body::Incoming>> {
    connection.tx.ready().await.map_err(io::Error::other)?;
    let mut message = http::Request::builder()
        .method(call.method)
        .uri(call.target)
        .header(http::header::HOST, addr.to_string());
    if !call.body.is_empty() {
        message = message.header(http::header::CONTENT_TYPE, "application/json");
    }
    let mut message = message
        .body(Full::new(call.body))
        .map_err(io::Error::other)?;
    message.headers_mut().extend(headers);
    connection
        .tx
        .send_request(message)
        .await
        .map_err(io::Error::other)
}

/// Reads the body of an answer to a call.
///
/// # Errors
///
/// Returns an error if it breaks off.
pub(crate) async fn read_body(response: http::Response<body::Incoming>) -> io::Result<Bytes> {
    let body = response.into_body().collect().await;
    Ok(body.map_err(io::Error::other)?.to_bytes())
}
