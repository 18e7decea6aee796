//! Where callers and the platform connect.

use std::convert;
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
use crate::router::context;
use crate::router::events;
use crate::router::events::event;
use crate::router::forward;
use crate::router::head_timer;
use crate::router::inspect;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Idle connections are kept longer than callers use them, so that no request meets the close.
const IDLE_SLACK: time::Duration = time::Duration::from_secs(2);
/// Idle time before the configuration is known.
const IDLE: time::Duration = time::Duration::from_secs(15);
/// Smallest buffer for a request's head that the HTTP library takes.
const MIN_HEAD: usize = 8_192;
/// Descriptors kept free for files and connections to servers.
const RESERVED_FILES: usize = 600;
/// Pause after a connection couldn't be accepted.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Addresses in an answer.
const MAX_ADDRESSES: usize = 64;

/// What is served on an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Endpoint {
    /// Callers' requests.
    Callers,
    /// Questions of callers for addresses, and of the platform for readiness.
    Discovery,
    /// Metrics as text, and the state of the host for operators.
    Metrics,
}

/// Starts to listen.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub(crate) fn spawn<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    addr: net::SocketAddr,
    door: Endpoint,
) -> io::Result<()> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    let listener = socket.listen(BACKLOG)?;
    tokio::spawn(accept(cx.clone(), listener, door));
    Ok(())
}

async fn accept<D: dialect::Dialect>(
    cx: sync::Arc<context::Router<D>>,
    listener: tokio::net::TcpListener,
    door: Endpoint,
) {
    let most = cx
        .settings()
        .max_files
        .saturating_sub(RESERVED_FILES)
        .max(64);
    let slots = sync::Arc::new(tokio::sync::Semaphore::new(most));
    loop {
        // The semaphore is never closed.
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = cx.accepting_stopped(), if door == Endpoint::Callers => return,
        };
        let (stream, caller) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                event!(Warn, "accept-failed", "cause" => error.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let cx = cx.clone();
        tokio::spawn(async move {
            serve(cx, stream, caller.ip(), door).await;
            drop(slot);
        });
    }
}

async fn serve<D: dialect::Dialect>(
    cx: sync::Arc<context::Router<D>>,
    stream: tokio::net::TcpStream,
    caller: net::IpAddr,
    door: Endpoint,
) {
    if stream.set_nodelay(true).is_err() {
        // The connection is gone already.
        return;
    }
    let table = cx.table();
    let idle = table
        .as_ref()
        .map_or(IDLE, |table| table.limits.idle_timeout);
    let head = table
        .as_ref()
        .map_or(MIN_HEAD * 2, |table| table.limits.header_bytes);
    let head_time = table
        .as_ref()
        .map_or(IDLE, |table| table.limits.header_timeout);
    let phase = head_timer::Phase::default();
    let (reading, writing) = stream.into_split();
    let timed = head_timer::Timed::new(reading, phase.clone(), head_time);
    let stream = tokio::io::join(timed, writing);
    let service = service::service_fn(move |req| {
        let cx = cx.clone();
        let phase = phase.clone();
        phase.head_read();
        async move {
            let answer = match door {
                Endpoint::Callers => forward::handle(cx, caller, req).await,
                Endpoint::Discovery => question(&cx, &req),
                Endpoint::Metrics => operators(&cx, &req),
            };
            answer.map(|answer| answer.map(|body| head_timer::Answering::new(body, phase)))
        }
    });
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(idle + IDLE_SLACK)
        .max_buf_size((head * 2).max(MIN_HEAD))
        .serve_connection(rt::TokioIo::new(stream), service);
    if let Err(error) = connection.await
        && error.is_parse()
    {
        event!(Info, "bad-request", "cause" => error.to_string());
    }
}

fn question<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &http::Request<body::Incoming>,
) -> Result<answer::Answer, convert::Infallible> {
    let asked = cx.dialect.host_call(req.method(), req.uri().path());
    let answer = match asked {
        Some(dialect::HostCall::Ready) if cx.takes_callers() => {
            answer::own(http::StatusCode::OK, "ready")
        }
        Some(dialect::HostCall::Ready) => {
            answer::own(http::StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
        Some(dialect::HostCall::Resolve) => addresses(cx),
        None => answer::own(http::StatusCode::NOT_FOUND, "unknown path"),
    };
    Ok(answer)
}

fn addresses<D: dialect::Dialect>(cx: &context::Router<D>) -> answer::Answer {
    let settings = cx.settings();
    let own = cx.takes_callers().then_some(settings.callers_addr);
    let mut others: Vec<_> = locks::lock(&cx.peers).caller_addrs().collect();
    if others.len() > MAX_ADDRESSES - 1 {
        let start = rand::random_range(0..others.len());
        others.rotate_left(start);
    }
    let addresses: Vec<_> = own.into_iter().chain(others).take(MAX_ADDRESSES).collect();
    if addresses.is_empty() {
        return answer::own(
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
    answer::whole(http::StatusCode::OK, headers, body)
}

fn operators<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &http::Request<body::Incoming>,
) -> Result<answer::Answer, convert::Infallible> {
    if let Some(value) = inspect::answer(cx, req.uri().path()) {
        return Ok(json_answer(Bytes::from(value.to_string())));
    }
    let mut text = cx.telemetry.text();
    text.push_str(&format!(
        "walnuthaven_log_dropped {}\n",
        events::dropped_lines()
    ));
    let headers = http::HeaderMap::new();
    Ok(answer::whole(
        http::StatusCode::OK,
        headers,
        Bytes::from(text),
    ))
}
