//! Listening sockets: requests of callers, address lookup and readiness checks, and metrics.

use std::convert;
use std::error;
use std::io;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use walnuthaven_lib::dialect;

use crate::locks;
use crate::router::answer;
use crate::router::clients;
use crate::router::connection_timer;
use crate::router::context;
use crate::router::drained_reader;
use crate::router::events;
use crate::router::events::event;
use crate::router::events::limited_event;
use crate::router::forward;
use crate::router::inspect;
use crate::router::preview;
use crate::router::read_limit;
use crate::router::shutdown;
use crate::router::workspace_limits;
use crate::sockets;

/// Connections that the kernel queues until they are accepted.
const BACKLOG: u32 = 1_024;
/// Idle connections are kept this much longer than callers use them, so that no request is sent on
/// a connection that the host is closing.
const IDLE_MARGIN: time::Duration = time::Duration::from_secs(2);
/// Idle timeout, and limit on the time of a request's head, until the configuration is known.
const DEFAULT_TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// Largest head of a request in bytes that a connection can receive, whatever the configuration allows.
const MAX_HEAD_BYTES: usize = 131_072;
/// Bytes that are read at a time.
const MAX_READ: usize = 8 * 1024;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Maximum number of addresses in an answer to an address lookup.
const MAX_ADDRESSES: usize = 64;

/// What is served on an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Endpoint {
    /// Requests of callers to services.
    Callers,
    /// Address lookup by callers and readiness checks by the platform.
    Discovery,
    /// Metrics as text, and the state of the host as JSON for operators.
    Metrics,
}

/// Binds an address and starts to serve connections to it.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub(crate) fn spawn<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    addr: net::SocketAddr,
    endpoint: Endpoint,
) -> io::Result<()> {
    let buffers = sockets::Buffers::both(cx.clients.limits().client_socket_buffer);
    let listener = sockets::listen(addr, buffers, BACKLOG)?;
    tokio::spawn(accept(cx.clone(), listener, endpoint));
    Ok(())
}

async fn accept<D: dialect::Dialect>(
    cx: sync::Arc<context::Router<D>>,
    listener: tokio::net::TcpListener,
    endpoint: Endpoint,
) {
    loop {
        let accepted = tokio::select! {
            accepted = cx.clients.accept(&listener) => accepted,
            () = cx.accepting_stopped(), if endpoint == Endpoint::Callers => return,
        };
        let accepted = match accepted {
            Ok(Some(accepted)) => accepted,
            // The client may ask another host at once, as nothing was read.
            Ok(None) => continue,
            Err(error) => {
                event!(Warn, "accept-failed", "cause" => error.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let client = accepted.registration.client().clone();
        let caller = accepted.addr.ip();
        let serving = serve(cx.clone(), accepted.stream, caller, endpoint, client);
        tokio::spawn(accepted.registration.run(serving));
    }
}

async fn serve<D: dialect::Dialect>(
    cx: sync::Arc<context::Router<D>>,
    stream: tokio::net::TcpStream,
    caller: net::IpAddr,
    endpoint: Endpoint,
    client: clients::Client,
) {
    if stream.set_nodelay(true).is_err() {
        // The connection is closed already.
        return;
    }
    let head_state = connection_timer::HeadState::new(client);
    let (reader, writer) = stream.into_split();
    let reader = drained_reader::DrainedReader::new(reader);
    let (reader, read_limit) =
        read_limit::LimitedStream::new(reader, MAX_HEAD_BYTES, MAX_READ, None);
    let limits_cx = cx.clone();
    let timed_reader = connection_timer::TimedReader::new(reader, head_state.clone(), move || {
        time_limits(&limits_cx)
    });
    let writer = connection_timer::TrackedWriter::new(writer, head_state.clone());
    let stream = tokio::io::join(timed_reader, writer);
    let service_cx = cx.clone();
    let (guard_state, open_state) = (head_state.clone(), head_state.clone());
    let service = service::service_fn(move |req: http::Request<body::Incoming>| {
        let cx = service_cx.clone();
        let head_state = head_state.clone();
        let read_limit = read_limit.clone();
        head_state.set_head_read();
        read_limit.start();
        // A connection without a request would take the memory of one otherwise.
        Box::pin(async move {
            head_state.set_handled();
            let answer = match endpoint {
                Endpoint::Callers => {
                    let req = req.map(|body| read_limit::LimitedBody::new(body, read_limit));
                    forward::handle(cx, caller, &head_state, req).await
                }
                Endpoint::Discovery => answer_discovery(&cx, &req),
                Endpoint::Metrics => answer_metrics(&cx, &req),
            };
            answer.map(|answer| {
                answer.map(|body| connection_timer::TrackedBody::new(body, head_state))
            })
        })
    });
    let connection = http1::Builder::new()
        .header_read_timeout(None::<time::Duration>)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(rt::TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closed = match endpoint {
        Endpoint::Callers => {
            let _guard = shutdown::ConnectionGuard::new(&cx, guard_state);
            tokio::select! {
                closed = connection.as_mut() => closed,
                () = cx.connections_closing() => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        }
        Endpoint::Discovery | Endpoint::Metrics => connection.await,
    };
    if let Err(error) = closed {
        log_closing(&cx, caller, &open_state, &error);
    }
}

/// Returns the limits in force on the time that a caller may take.
fn time_limits<D: dialect::Dialect>(cx: &context::Router<D>) -> connection_timer::TimeLimits {
    let table = cx.table();
    let limits = table.as_ref().map(|table| &table.limits);
    let idle_timeout = limits.map_or(DEFAULT_TIMEOUT, |limits| limits.idle_timeout);
    connection_timer::TimeLimits {
        idle: idle_timeout + IDLE_MARGIN,
        head: limits.map_or(DEFAULT_TIMEOUT, |limits| limits.header_timeout),
    }
}

/// Logs that a caller's connection closed, unless the caller had closed it between two requests or it was idle.
fn log_closing<D: dialect::Dialect>(
    cx: &context::Router<D>,
    caller: net::IpAddr,
    state: &connection_timer::HeadState,
    error: &hyper::Error,
) {
    if error.is_parse() {
        limited_event!(Info, "bad-request", "cause" => error.to_string());
    }
    let newest = state.newest();
    let open = newest.filter(|(_, answer)| *answer != connection_timer::AnswerState::Made);
    let cause = match (closing_cause(error), &open) {
        (None, None) => return,
        (cause, _) => cause.unwrap_or("the caller closed it"),
    };
    let (open, answer) = open.unzip();
    limited_event!(Info, "connection-closed", "caller" => caller, "cause" => cause,
        "error" => error.to_string(), "id" => open.and_then(|request| request.id),
        "answer" => answer, "leaving_ms" => cx.leaving_for().as_millis() as u64);
}

/// Returns why the host closed a connection; `None` if the caller had closed it or it was idle.
fn closing_cause(error: &hyper::Error) -> Option<&'static str> {
    let source = error::Error::source(error).and_then(|source| source.downcast_ref::<io::Error>());
    match source.map(io::Error::kind) {
        _ if error.is_parse_too_large() => Some("head too large"),
        _ if error.is_parse() => Some("malformed head"),
        _ if error.is_user() => Some("answer broke off"),
        _ if error.is_incomplete_message() => None,
        Some(io::ErrorKind::TimedOut) => Some("head not received in time"),
        Some(
            io::ErrorKind::BrokenPipe
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::NotConnected
            | io::ErrorKind::UnexpectedEof,
        ) => None,
        _ => Some("other"),
    }
}

/// Answers an address lookup or a readiness check.
fn answer_discovery<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &http::Request<body::Incoming>,
) -> Result<answer::Answer, convert::Infallible> {
    let call = cx.dialect.host_call(req.method(), req.uri().path());
    let answer = match call {
        Some(dialect::HostCall::Ready) if cx.takes_callers() => {
            answer::from_router(http::StatusCode::OK, "ready")
        }
        Some(dialect::HostCall::Ready) => {
            answer::from_router(http::StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
        Some(dialect::HostCall::Resolve) => answer_resolve(cx),
        None => answer::from_router(http::StatusCode::NOT_FOUND, "unknown path"),
    };
    Ok(answer)
}

/// Answers an address lookup with the hosts that accept callers: this one first if it does, then the
/// others. If there are too many for one answer, the others start at a random one.
fn answer_resolve<D: dialect::Dialect>(cx: &context::Router<D>) -> answer::Answer {
    let settings = cx.settings();
    let own_addr = cx.takes_callers().then_some(settings.callers_addr);
    let mut others: Vec<_> = locks::lock(&cx.peers).caller_addrs().collect();
    if others.len() > MAX_ADDRESSES - 1 {
        let start = rand::random_range(0..others.len());
        others.rotate_left(start);
    }
    let addresses: Vec<_> = own_addr
        .into_iter()
        .chain(others)
        .take(MAX_ADDRESSES)
        .collect();
    if addresses.is_empty() {
        return answer::from_router(
            http::StatusCode::SERVICE_UNAVAILABLE,
            "no host takes callers",
        );
    }
    json_answer(cx.dialect.addresses(&addresses, settings.address_ttl))
}

fn json_answer(body: Bytes) -> answer::Answer {
    let mut headers = http::HeaderMap::new();
    let json = http::HeaderValue::from_static("application/json");
    headers.insert(http::header::CONTENT_TYPE, json);
    answer::complete(http::StatusCode::OK, headers, body)
}

/// Answers where a request would go.
fn answer_preview<D: dialect::Dialect>(cx: &context::Router<D>, query: &str) -> answer::Answer {
    let (status, body) = match preview::preview(cx, query) {
        Ok(value) => (http::StatusCode::OK, value),
        Err(preview::Fault::Parameter(message)) => {
            (http::StatusCode::BAD_REQUEST, error_body(&message))
        }
        Err(preview::Fault::Unknown(message)) => {
            (http::StatusCode::NOT_FOUND, error_body(&message))
        }
    };
    let mut answer = json_answer(Bytes::from(body.to_string()));
    *answer.status_mut() = status;
    answer
}

fn error_body(message: &str) -> serde_json::Value {
    serde_json::json!({"error": {"message": message}})
}

/// Answers a request to the operators' API, or with the metrics if its path isn't one of the API's.
fn answer_metrics<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &http::Request<body::Incoming>,
) -> Result<answer::Answer, convert::Infallible> {
    if req.uri().path() == preview::PATH {
        return Ok(answer_preview(cx, req.uri().query().unwrap_or_default()));
    }
    if let Some(value) = inspect::answer(cx, req.uri().path()) {
        return Ok(json_answer(Bytes::from(value.to_string())));
    }
    let mut text = cx.telemetry.text();
    text.push_str(&workspace_limits::metrics(cx));
    for (name, value) in cx.clients.metrics() {
        let name = name.replace('.', "_");
        text.push_str(&format!("walnuthaven_{name} {value}\n"));
    }
    text.push_str(&format!(
        "walnuthaven_log_dropped {}\n",
        events::dropped_lines()
    ));
    let headers = http::HeaderMap::new();
    Ok(answer::complete(
        http::StatusCode::OK,
        headers,
        Bytes::from(text),
    ))
}
