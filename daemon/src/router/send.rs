//! Sends one request to one backend server and reads the answer. Retries are up to the caller of
//! this module.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::Limited;
use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::outcome;
use walnuthaven_lib::workspaces;

use crate::locks;
use crate::router::clients;
use crate::router::connection_pool;
use crate::router::context;
use crate::router::crash_checks;
use crate::router::crash_marks;
use crate::router::links;
use crate::router::part_marks;
use crate::router::read_limit;
use crate::router::server_notices;
use crate::router::stream_progress;
use crate::router::trials;

/// Longest time to open a connection to a server. The round trip takes about a millisecond, and the
/// server about another to accept. A lost packet is retransmitted only after a second, so trying
/// another server is faster.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(150);
/// Longest idle time of a connection that is reused for a request that may not be repeated. The
/// server may have closed a connection that was idle for longer.
const MAX_IDLE_TIME_UNREPEATABLE: time::Duration = time::Duration::from_millis(800);
/// Longest idle time of a connection that is reused for other requests: any in the pool.
const MAX_IDLE_TIME_REPEATABLE: time::Duration = time::Duration::from_secs(60);
/// Largest body in bytes of a server's answer that is buffered.
const MAX_BUFFERED_BODY: usize = 4 * 1024 * 1024;
/// Largest body in bytes of an answer to one of the router's own calls to a server: a short JSON document.
const MAX_CALL_BODY: usize = 256 * 1024;

/// What another host that passed a request on had used up of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Forwarded {
    /// How many servers may have received it.
    pub(crate) used_attempts: u32,
    /// Servers that it mustn't be sent to again.
    pub(crate) tried: Vec<sync::Arc<str>>,
    /// How many servers may have crashed by its content, as far as that isn't known yet.
    pub(crate) suspected_crashes: usize,
}

/// A caller's request with its complete body.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// The caller's address.
    pub(crate) caller: net::IpAddr,
    /// Its attempts so far.
    pub(crate) attempts: sync::Arc<outcome::Attempts>,
    /// How far its stream is, if the answer is one.
    pub(crate) progress: sync::Arc<stream_progress::StreamProgress>,
    /// Set if another host passed it on, which reaches no server itself.
    pub(crate) forwarded: Option<Forwarded>,
    /// The method.
    pub(crate) method: http::Method,
    /// Path and query as received.
    pub(crate) target: http::Uri,
    /// The caller's headers.
    pub(crate) headers: http::HeaderMap,
    /// What the headers say to the router.
    pub(crate) head: dialect::RequestHead,
    /// The caller's workspace, if the deployment has any.
    pub(crate) workspace: Option<sync::Arc<workspaces::Workspace>>,
    /// The priority among waiting requests; 0 goes first.
    pub(crate) priority: u8,
    /// The body.
    pub(crate) body: Bytes,
    /// The memory reserved for the body.
    #[expect(dead_code, reason = "releases the memory when it is dropped")]
    pub(crate) memory: clients::Held,
    /// Digest of the caller, target and body. It is the same when the caller sends the request
    /// again.
    pub(crate) digest: u64,
    /// The parts that other requests may share.
    pub(crate) parts: sync::Arc<[part_marks::RequestPart]>,
    /// Set once it is sent although some of the parts are suspected.
    pub(crate) trial: sync::OnceLock<sync::Arc<trials::Permit>>,
    /// Whether a server wrote part of the answer without crashing by it, so that a suspected part is no reason not to
    /// continue it.
    pub(crate) is_proven: atomic::AtomicBool,
}

impl CallerRequest {
    /// Returns what the attempts so far allow, here and at other hosts.
    pub(crate) fn runs(&self) -> outcome::RunState {
        self.attempts.state()
    }

    /// Records that a server wrote part of the answer without crashing by it.
    pub(crate) fn set_proven(&self) {
        self.is_proven.store(true, atomic::Ordering::Relaxed);
    }

    /// Returns what a server that is asked for this work may crash by.
    pub(crate) fn subject(&self, work: dialect::Work<'_>) -> crash_checks::Subject {
        let writes_answer = !matches!(work, dialect::Work::Prefill);
        crash_checks::Subject {
            digest: self.digest,
            parts: match writes_answer {
                true => self.parts.clone(),
                false => sync::Arc::default(),
            },
            trial: self.trial.get().filter(|_| writes_answer).cloned(),
        }
    }
}

/// A server's answer whose head has arrived.
#[derive(Debug)]
pub(crate) struct ServerResponse {
    /// The status.
    pub(crate) status: http::StatusCode,
    /// The headers.
    pub(crate) headers: http::HeaderMap,
    /// What the headers say to the router.
    pub(crate) head: dialect::ReplyHead,
    /// The body, of which nothing has been read.
    pub(crate) body: read_limit::LimitedBody,
    /// The connection, which is in use until the body has ended.
    pub(crate) connection: connection_pool::Connection,
    /// Whether the body says itself where it ends, by its length or in chunks. Otherwise it ends with its connection.
    pub(crate) has_explicit_end: bool,
    /// Has the server checked for a crash unless the body ends as it should.
    pub(crate) attempt: crash_checks::Attempt,
    server: sync::Arc<backends::Backend>,
}

/// Why a send didn't result in a usable answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SendFailure {
    /// Whether the request may have run, and how the send failed.
    pub(crate) outcome: outcome::Outcome,
    /// What was observed, for answers to callers and for the log.
    pub(crate) cause: &'static str,
}

/// The cause of a failure that is the server's connection breaking within the body.
const BODY_BROKE: &str = "answer broke off";

fn failure(outcome: outcome::Outcome, cause: &'static str) -> SendFailure {
    SendFailure { outcome, cause }
}

/// How a request is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options {
    /// When the head of the answer must have arrived, as time since boot.
    pub(crate) deadline: time::Duration,
    /// Whether the request may be sent again if the connection breaks and it is unknown whether the
    /// server ran it.
    pub(crate) repeatable: bool,
    /// Whether the server is to go on with a run that was stopped.
    pub(crate) continues_run: bool,
}

/// Sends a request on a connection and waits for the head of the answer. Sends nothing if the content
/// crashed several servers.
pub(crate) async fn send<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    req: &CallerRequest,
    server: &sync::Arc<backends::Backend>,
    mut connection: connection_pool::Connection,
    params: &dialect::SendParams<'_>,
    options: Options,
) -> Result<ServerResponse, SendFailure> {
    // It may have left since it was chosen.
    let wants_it = match params.work {
        dialect::Work::Decode { source, .. } if source == server.addr => {
            server_notices::takes_back(cx, server, cx.now())
        }
        _ => !server_notices::wants_none(cx, server),
    };
    if !wants_it {
        return Err(failure(
            outcome::Outcome::RefusedUnrun,
            "server wants no requests",
        ));
    }
    // A run that was stopped while it wrote the answer doesn't crash servers.
    if !options.continues_run {
        crash_marks::check_send(cx, req, params.work, &server.id)?;
    }
    server_notices::log_departed(cx, req.head.request_id.as_deref(), server);
    let timeout = time_left(cx, options.deadline);
    let builder = http::Request::builder().method(req.method.clone());
    let mut message = builder
        .uri(req.target.clone())
        .body(Full::new(req.body.clone()))
        .map_err(|_| failure(outcome::Outcome::NeverWritten, "request can't be built"))?;
    *message.headers_mut() = cx.dialect.server_headers(&req.headers, params);
    let subject = req.subject(params.work);
    // A prefill doesn't run the request.
    let is_prefill = matches!(params.work, dialect::Work::Prefill);
    let run = (!is_prefill).then(|| req.attempts.start());
    let mut attempt = crash_checks::Attempt::new(&cx.crash_checks, server, subject, cx.now());
    let answer = tokio::time::timeout(timeout, connection.send(message)).await;
    let response = match answer {
        Err(_) => return Err(failure(outcome::Outcome::Silent, "no answer in time")),
        Ok(Err(mut error)) => {
            return Err(match error.take_message() {
                Some(_) => {
                    attempt.set_answered();
                    end_run(run, outcome::AttemptEnd::NotSent);
                    failure(outcome::Outcome::NeverWritten, "connection had closed")
                }
                None => {
                    // A server that sends other bytes hasn't ended.
                    if !error.error().is_parse() {
                        attempt.set_broken(cx.now());
                    }
                    connection_failure(error.error())
                }
            });
        }
        Ok(Ok(response)) => response,
    };
    let (parts, body) = response.into_parts();
    let head = cx.dialect.reply_head(parts.status, &parts.headers);
    let expected_id = req.head.request_id.as_deref();
    connection.names_requests &= head.request_id.is_some();
    if let (Some(expected), Some(answered)) = (expected_id, head.request_id.as_deref())
        && expected != answered
    {
        locks::lock(&cx.health).record_mismatched_answer(&server.id, cx.now());
        cx.connection_pool.close_all(&server.id);
        return Err(failure(
            outcome::Outcome::BrokenBeforeAnswer,
            "answer to another request",
        ));
    }
    end_run(
        run,
        match head.not_run {
            true => outcome::AttemptEnd::Refused,
            false => outcome::AttemptEnd::Answered,
        },
    );
    server_notices::record_answer(cx, server, parts.status, &parts.headers);
    let has_no_body = req.method == http::Method::HEAD
        || matches!(
            parts.status,
            http::StatusCode::NO_CONTENT | http::StatusCode::NOT_MODIFIED
        );
    let framing = [
        http::header::CONTENT_LENGTH,
        http::header::TRANSFER_ENCODING,
    ];
    Ok(ServerResponse {
        has_explicit_end: has_no_body
            || framing.iter().any(|name| parts.headers.contains_key(name)),
        status: parts.status,
        headers: parts.headers,
        head,
        body,
        connection,
        attempt,
        server: server.clone(),
    })
}

/// Records how an attempt ended, if the send was one.
fn end_run(run: Option<outcome::Attempt>, end: outcome::AttemptEnd) {
    if let Some(run) = run {
        run.end(end);
    }
}

fn connection_failure(error: &hyper::Error) -> SendFailure {
    let cause = match (error.is_parse(), error.is_incomplete_message()) {
        (true, _) => "bytes that are no answer",
        (_, true) => "connection closed before the answer",
        _ => "connection broke before the answer",
    };
    failure(outcome::Outcome::BrokenBeforeAnswer, cause)
}

/// Takes a connection to a server from the pool, or opens one.
///
/// # Errors
///
/// Returns an error if no connection can be opened; then nothing was sent.
pub(crate) async fn get_connection<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    server: &backends::Backend,
    options: Options,
) -> Result<connection_pool::Connection, SendFailure> {
    let now = cx.now();
    let max_idle_time = match options.repeatable {
        true => MAX_IDLE_TIME_REPEATABLE,
        false => MAX_IDLE_TIME_UNREPEATABLE,
    };
    let may_reuse = locks::lock(&cx.health).may_reuse_connections(&server.id, now);
    if may_reuse
        && let Some(mut connection) = cx.connection_pool.take(&server.id, now, max_idle_time)
    {
        connection.in_use = Some(cx.links.start_use(&server.id, now));
        return Ok(connection);
    }
    let timeout = CONNECT_TIMEOUT.min(time_left(cx, options.deadline));
    let place = connection_pool::take_place(cx).await;
    let cause = "too many connections to servers";
    let place = place.ok_or_else(|| failure(outcome::Outcome::NeverWritten, cause))?;
    let opened = links::open(cx, server, timeout, place).await;
    cx.telemetry.count("server.connections");
    let mut connection = opened.map_err(|error| {
        let now = cx.now();
        let mut health = locks::lock(&cx.health);
        let cause = match error.kind() {
            // A sound server may accept no connections for a moment.
            io::ErrorKind::TimedOut => {
                health.record_silence(&server.id, now);
                "connection timed out"
            }
            kind => {
                health.record_unreachable(&server.id, now);
                match kind {
                    io::ErrorKind::ConnectionRefused => "connection refused",
                    _ => "connection failed",
                }
            }
        };
        failure(outcome::Outcome::NeverWritten, cause)
    })?;
    connection.in_use = Some(cx.links.start_use(&server.id, cx.now()));
    Ok(connection)
}

fn time_left<D: dialect::Dialect>(
    cx: &context::Router<D>,
    deadline: time::Duration,
) -> time::Duration {
    deadline.saturating_sub(cx.now())
}

/// Reads the body of an answer to its end and returns the connection to the pool.
///
/// # Errors
///
/// Returns an error if the body breaks off, is too large, or doesn't end before the deadline.
pub(crate) async fn read_to_end<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    response: ServerResponse,
    deadline: time::Duration,
) -> Result<(http::StatusCode, http::HeaderMap, Bytes), SendFailure> {
    let has_end = response.has_explicit_end;
    let mut attempt = response.attempt;
    let reading = read_buffered(cx, response.body);
    let body = match tokio::time::timeout(time_left(cx, deadline), reading).await {
        Err(_) => {
            return Err(failure(outcome::Outcome::Silent, "answer stopped midway"));
        }
        Ok(Err(cause)) => {
            if cause == BODY_BROKE {
                attempt.set_broken(cx.now());
            }
            return Err(failure(outcome::Outcome::BrokenMidway, cause));
        }
        Ok(Ok(body)) => body,
    };
    if !ended_whole(cx, has_end, &response.server).await {
        attempt.set_broken(cx.now());
        return Err(failure(outcome::Outcome::BrokenMidway, BODY_BROKE));
    }
    attempt.set_answered();
    tokio::spawn(connection_pool::return_connection(
        cx.clone(),
        response.server,
        response.head.keep_alive,
        response.connection,
    ));
    Ok((response.status, response.headers, body))
}

/// Returns whether a body that ended is whole. Without an end of its own, one that a crash broke off looks the same,
/// which shows in that its server has ended.
pub(crate) async fn ended_whole<D: dialect::Dialect>(
    cx: &context::Router<D>,
    has_explicit_end: bool,
    server: &backends::Backend,
) -> bool {
    has_explicit_end || !crash_checks::has_ended(cx, server).await
}

/// Reads a body into memory that is shared with all other messages, and waits until there is some.
///
/// # Errors
///
/// Returns the cause if the body breaks off or is too large.
async fn read_buffered<D: dialect::Dialect>(
    cx: &context::Router<D>,
    mut body: read_limit::LimitedBody,
) -> Result<Bytes, &'static str> {
    let stated = read_limit::stated_bytes(&body).unwrap_or(0);
    if stated > MAX_BUFFERED_BODY {
        return Err("answer too large");
    }
    let mut held = vec![cx.clients.wait_for_memory(stated).await];
    let mut reserved = stated;
    let mut buf = BytesMut::with_capacity(stated);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BODY_BROKE)?.into_data() else {
            continue;
        };
        let length = buf.len() + data.len();
        if length > MAX_BUFFERED_BODY {
            return Err("answer too large");
        }
        if length > reserved {
            held.push(cx.clients.wait_for_memory(length - reserved).await);
            reserved = length;
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

/// Makes one of the router's own calls to a server, on a new connection, and returns the status and
/// body of the answer. The call names the server, so another server at the same address doesn't
/// execute it.
///
/// # Errors
///
/// Returns an error if no complete answer arrives within `timeout`.
pub(crate) async fn call<D: dialect::Dialect>(
    cx: &context::Router<D>,
    server: &backends::Backend,
    call: dialect::Call,
    timeout: time::Duration,
) -> io::Result<(http::StatusCode, Bytes)> {
    let mut headers = http::HeaderMap::new();
    cx.dialect.set_expected_instance(&server.id, &mut headers);
    let exchange = async {
        let mut connection = connection_pool::connect(server.addr, timeout).await?;
        let response = call_on(&mut connection, server.addr, call, headers).await?;
        let status = response.status();
        server_notices::record_answer(cx, server, status, response.headers());
        Ok((status, read_body(response, MAX_CALL_BODY).await?))
    };
    tokio::time::timeout(timeout, exchange)
        .await
        .map_err(|_| io::ErrorKind::TimedOut)?
}

/// Makes one of the router's own calls on an open connection and returns the answer once its head
/// has arrived.
///
/// # Errors
///
/// Returns an error if the connection breaks before the head has arrived.
pub(crate) async fn call_on(
    connection: &mut connection_pool::Connection,
    addr: net::SocketAddr,
    call: dialect::Call,
    headers: http::HeaderMap,
) -> io::Result<http::Response<read_limit::LimitedBody>> {
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
    let sent = connection.send(message).await;
    sent.map_err(|error| io::Error::other(error.into_error()))
}

/// Reads the body of an answer to one of the router's own calls.
///
/// # Errors
///
/// Returns an error if the body breaks off or exceeds `max_bytes`.
pub(crate) async fn read_body(
    response: http::Response<read_limit::LimitedBody>,
    max_bytes: usize,
) -> io::Result<Bytes> {
    let body = Limited::new(response.into_body(), max_bytes)
        .collect()
        .await;
    Ok(body.map_err(io::Error::other)?.to_bytes())
}
