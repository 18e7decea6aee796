//! Connections of callers: HTTP/1.1 and HTTP/2.

use std::convert;
use std::sync;
use std::sync::atomic;
use std::time;

use axum::body;
use hyper_util::rt;
use hyper_util::server::conn;

use crate::api;
use crate::client_stream;
use crate::connections;
use crate::drain;
use crate::host;
use crate::router::clients;

/// Serves callers until the host has left.
pub async fn serve(cx: sync::Arc<host::Host>, listener: tokio::net::TcpListener) {
    let router = api::router(&cx);
    let ended = drain::wait_until_left(&cx);
    let accept = async {
        loop {
            match cx.clients.accept(&listener).await {
                Ok(Some(accepted)) => on_accepted(&cx, &router, accepted),
                Ok(None) => cx.metrics.count("connection.refused"),
                Err(error) => {
                    log::warn!("can't accept a caller's connection: {error}");
                    tokio::time::sleep(time::Duration::from_millis(50)).await;
                }
            }
        }
    };
    tokio::select! {
        () = accept => {}
        () = ended => {}
    }
}

fn on_accepted(cx: &sync::Arc<host::Host>, router: &axum::Router, accepted: clients::Accepted) {
    cx.counters
        .connections
        .fetch_add(1, atomic::Ordering::Relaxed);
    let open_guard = OpenConnectionGuard(cx.clone());
    let cx = cx.clone();
    let router = router.clone();
    tokio::spawn(async move {
        let _open_guard = open_guard;
        let clients::Accepted {
            stream,
            registration,
            ..
        } = accepted;
        serve_connection(&cx, router, stream, registration.client()).await;
    });
}

struct OpenConnectionGuard(sync::Arc<host::Host>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        let connections = &self.0.counters.connections;
        connections.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

async fn serve_connection(
    cx: &sync::Arc<host::Host>,
    router: axum::Router,
    stream: tokio::net::TcpStream,
    client: &clients::Client,
) {
    let limits = &cx.settings.limits;
    // Tokens must be sent at once rather than be collected. A failure to set this only delays them.
    let _ = stream.set_nodelay(true);
    let stall = time::Duration::from_millis(limits.stall_timeout_ms);
    let max_head = limits.max_header_bytes.max(HYPER_MIN_BUF_BYTES);
    let calls = client_stream::Calls::new(client.clone(), max_head);
    let stream = connections::WriteTimeoutStream::new(stream, stall);
    let io = rt::TokioIo::new(client_stream::ClientStream::new(stream, calls.clone()));
    let connection = connections::Connection::default();
    let service_connection = connection.clone();
    let service_cx = cx.clone();
    let service = hyper::service::service_fn(move |req: http::Request<hyper::body::Incoming>| {
        let cx = service_cx.clone();
        let router = router.clone();
        let connection = service_connection.clone();
        let call = calls.start(req.version() >= http::Version::HTTP_2);
        // A connection without a call would take the memory of one otherwise.
        Box::pin(async move {
            Ok::<_, convert::Infallible>(handle(&cx, router, connection, &call, req).await)
        })
    });
    let mut builder = conn::auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(time::Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(max_head)
        .http2()
        .timer(rt::TokioTimer::new())
        .initial_stream_window_size(client_stream::HTTP2_WINDOW_BYTES)
        .initial_connection_window_size(client_stream::HTTP2_WINDOW_BYTES)
        .max_header_list_size(u32::try_from(limits.max_header_bytes).unwrap_or(u32::MAX));
    let serving = builder.serve_connection(io, service);
    let mut serving = std::pin::pin!(serving);
    let serving = async {
        tokio::select! {
            ended = serving.as_mut() => ended.is_ok(),
            () = wait_until_closable(cx, &connection) => {
                serving.as_mut().graceful_shutdown();
                serving.await.is_ok()
            }
        }
    };
    let has_ended_well = tokio::select! {
        ended = serving => ended,
        () = client.wait_until_shed() => false,
    };
    connection.record_delivery(cx, has_ended_well);
}

/// Waits until the host is leaving and the connection can be closed without losing a request. On
/// HTTP/1.1 the caller could send a request just as the connection is closed, so such connections stay
/// open until the host's closing phase, and each response asks the caller to close the connection.
async fn wait_until_closable(cx: &host::Host, connection: &connections::Connection) {
    drain::wait_for(cx, drain::Phase::Leaving).await;
    if !connection.is_multiplexed() {
        drain::wait_for(cx, drain::Phase::Closing).await;
    }
}

async fn handle(
    cx: &sync::Arc<host::Host>,
    router: axum::Router,
    connection: connections::Connection,
    call: &client_stream::Call,
    req: http::Request<hyper::body::Incoming>,
) -> http::Response<body::Body> {
    let _unanswered_guard = UnansweredCallGuard::new(cx);
    let multiplexed = req.version() >= http::Version::HTTP_2;
    connection.set_multiplexed(multiplexed);
    if !multiplexed {
        // A caller that sends the next request has read the answer to the one before.
        connection.record_delivery(cx, true);
    }
    let (mut parts, body) = req.into_parts();
    parts.extensions.insert(connection);
    let max_bytes = cx.settings.limits.max_body_bytes;
    let mut response = match call.read_body(body, max_bytes).await {
        Ok((body, _held)) => {
            let req = http::Request::from_parts(parts, body::Body::from(body));
            call_router(router, req).await
        }
        Err(refusal) => {
            host::Counters::add(&cx.counters.refused, 1);
            api::refusal_response(&refusal)
        }
    };
    if !multiplexed && drain::refuse_if_leaving(cx).is_err() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

/// Counts a call until its response begins.
struct UnansweredCallGuard(sync::Arc<host::Host>);

impl UnansweredCallGuard {
    fn new(cx: &sync::Arc<host::Host>) -> Self {
        cx.counters
            .unanswered_calls
            .fetch_add(1, atomic::Ordering::Relaxed);
        Self(cx.clone())
    }
}

impl Drop for UnansweredCallGuard {
    fn drop(&mut self) {
        self.0
            .counters
            .unanswered_calls
            .fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

const HYPER_MIN_BUF_BYTES: usize = 8_192;

async fn call_router(
    router: axum::Router,
    req: http::Request<body::Body>,
) -> http::Response<body::Body> {
    let service = hyper_util::service::TowerToHyperService::new(router);
    match hyper::service::Service::call(&service, req).await {
        Ok(response) => response,
        Err(never) => match never {},
    }
}
