//! The HTTP API for callers, over HTTP/1.1 and HTTP/2.

use std::convert;
use std::sync;
use std::sync::atomic;
use std::time;

use axum::body;
use axum::extract;
use axum::response;
use axum::response::IntoResponse as _;
use axum::routing;
use hyper_util::rt;
use hyper_util::server::conn;
use walnuthaven_lib::clock;
use walnuthaven_lib::config_versions;
use walnuthaven_lib::ids;
use walnuthaven_lib::refusal;
use walnuthaven_lib::request_table;

use crate::callers;
use crate::client_stream;
use crate::connections;
use crate::drain;
use crate::host;
use crate::jobs_api;
use crate::locks;
use crate::openai;
use crate::plain;
use crate::router::clients;

/// The header with a request's id.
pub const ID_HEADER: &str = "x-request-id";
/// The header with the priority of a request.
pub const PRIORITY_HEADER: &str = "x-priority";
/// The header by which a caller forbids retries of a request to a repeatable service.
pub const REPEATABLE_HEADER: &str = "x-repeatable";
/// The header with the number of tokens that the caller has already received.
pub const OFFSET_HEADER: &str = "x-offset";
/// The header with the caller's availability zone.
pub const ZONE_HEADER: &str = "x-availability-zone";

type Cx = extract::State<sync::Arc<host::Host>>;
type Conn = axum::Extension<connections::Connection>;

/// Serves callers until the host has left.
pub async fn serve(cx: sync::Arc<host::Host>, listener: tokio::net::TcpListener) {
    let router = router(&cx);
    let ended = drain::wait_until_left(&cx);
    let accept = async {
        loop {
            let has_place = cx.clients.wait_for_place().await;
            match listener.accept().await {
                Ok((stream, _)) if has_place => on_accepted(&cx, &router, stream),
                Ok(_) => {
                    cx.metrics.count("connection.refused");
                    cx.clients.record_refused();
                }
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

fn on_accepted(cx: &sync::Arc<host::Host>, router: &axum::Router, stream: tokio::net::TcpStream) {
    cx.counters
        .connections
        .fetch_add(1, atomic::Ordering::Relaxed);
    let open_guard = OpenConnectionGuard(cx.clone());
    let registration = cx.clients.add();
    let cx = cx.clone();
    let router = router.clone();
    tokio::spawn(async move {
        let _open_guard = open_guard;
        serve_connection(&cx, router, stream, registration.client()).await;
        drop(registration);
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
    let service = hyper::service::service_fn(move |req: hyper::Request<_>| {
        let cx = service_cx.clone();
        let router = router.clone();
        let connection = service_connection.clone();
        let call = calls.start();
        let req = req.map(|body| body::Body::new(call.count_body(body)));
        // A connection without a call would take the memory of one otherwise.
        Box::pin(async move {
            let response = handle(&cx, router, connection, req).await;
            drop(call);
            Ok::<_, convert::Infallible>(response)
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
    mut req: http::Request<body::Body>,
) -> http::Response<body::Body> {
    let _unanswered_guard = UnansweredCallGuard::new(cx);
    let multiplexed = req.version() >= http::Version::HTTP_2;
    connection.set_multiplexed(multiplexed);
    if !multiplexed {
        // A caller that sends the next request has read the answer to the one before.
        connection.record_delivery(cx, true);
    }
    req.extensions_mut().insert(connection);
    let mut response = call_router(router, req).await;
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

fn router(cx: &sync::Arc<host::Host>) -> axum::Router {
    axum::Router::new()
        .route("/healthz", routing::get(health))
        .route("/v1/hosts", routing::get(hosts))
        .route("/v1/models", routing::get(openai::models))
        .route("/v1/completions", routing::post(openai::completions))
        .route("/v1/chat/completions", routing::post(openai::chat))
        .route("/v1/jobs", routing::post(jobs_api::submit))
        .route(
            "/v1/jobs/{id}",
            routing::get(jobs_api::poll).delete(jobs_api::confirm),
        )
        .route("/v1/jobs/{id}/answer", routing::get(jobs_api::fetch))
        .route("/v1/requests/{id}", routing::get(request_state))
        .route("/v1/requests/{id}/confirm", routing::post(confirm))
        .route("/v1/requests/{id}/answer", routing::get(replay))
        .route("/v1/services/{name}", routing::any(service_root))
        .route("/v1/services/{name}/{*path}", routing::any(service))
        .fallback(not_found)
        .layer(extract::DefaultBodyLimit::max(
            cx.settings.limits.max_body_bytes,
        ))
        .with_state(cx.clone())
}

/// Builds the response for a refusal. All refusals have the same JSON structure.
pub fn refusal_response(refusal: &refusal::Refusal) -> response::Response {
    let body = serde_json::json!({
        "error": {
            "code": refusal.code,
            "ran": refusal.ran,
            "message": refusal.message,
            "type": refusal.code,
            "retry_after_ms": refusal.retry_after.map(clock::millis),
        }
    });
    let status = http::StatusCode::from_u16(refusal.code.status());
    let status = status.unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = (status, axum::Json(body)).into_response();
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_secs_f64().ceil();
        let value = http::HeaderValue::from(seconds as u64);
        response
            .headers_mut()
            .insert(http::header::RETRY_AFTER, value);
    }
    response
}

/// Returns the value of a header, unless it is missing or not visible ASCII.
pub fn header<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the workspace that the caller's key belongs to.
///
/// # Errors
///
/// Refuses a missing or unknown key.
pub fn caller_workspace(
    cx: &host::Host,
    headers: &http::HeaderMap,
) -> Result<sync::Arc<config_versions::Stored>, refusal::Refusal> {
    callers::authenticate(cx, bearer_token(headers))
}

fn bearer_token(headers: &http::HeaderMap) -> Option<&str> {
    header(headers, "authorization")?.strip_prefix("Bearer ")
}

/// Parses the request id, if the caller sent one.
///
/// # Errors
///
/// Refuses an id that is malformed.
pub fn request_id(headers: &http::HeaderMap) -> Result<Option<ids::RequestId>, refusal::Refusal> {
    let Some(text) = header(headers, ID_HEADER) else {
        return Ok(None);
    };
    parse_id(text).map(Some)
}

fn parse_id(text: &str) -> Result<ids::RequestId, refusal::Refusal> {
    text.parse().map_err(|error: ids::ParseError| {
        let message = format!("{ID_HEADER}: {error}");
        refusal::Refusal::not_run(refusal::Code::BadRequest, message)
    })
}

async fn health(extract::State(cx): Cx) -> response::Response {
    let serving =
        drain::refuse_if_leaving(&cx).and_then(|()| match locks::read(&cx.config).is_empty() {
            true => {
                let message = "this host has no configuration yet";
                let code = refusal::Code::Unavailable;
                Err(refusal::Refusal::not_run(code, message))
            }
            false => Ok(()),
        });
    match serving {
        Ok(()) => "serving\n".into_response(),
        Err(refusal) => refusal_response(&refusal),
    }
}

async fn hosts(extract::State(cx): Cx, headers: http::HeaderMap) -> response::Response {
    if let Err(refusal) = caller_workspace(&cx, &headers) {
        return refusal_response(&refusal);
    }
    let key = bearer_token(&headers).unwrap_or_default();
    let zone = header(&headers, ZONE_HEADER);
    axum::Json(callers::list_hosts(&cx, zone, key)).into_response()
}

async fn not_found(uri: http::Uri) -> response::Response {
    let message = format!("path {:?} does not exist", uri.path());
    refusal_response(&refusal::Refusal::not_run(refusal::Code::NotFound, message))
}

async fn service_root(
    cx: Cx,
    connection: Conn,
    extract::Path(name): extract::Path<String>,
    req: http::Request<body::Body>,
) -> response::Response {
    let path = extract::Path((name, String::new()));
    service(cx, connection, path, req).await
}

async fn service(
    extract::State(cx): Cx,
    axum::Extension(connection): Conn,
    extract::Path((name, path)): extract::Path<(String, String)>,
    req: http::Request<body::Body>,
) -> response::Response {
    host::Counters::add(&cx.counters.requests, 1);
    let call = match read_plain_call(&cx, &name, &path, req).await {
        Ok(call) => call,
        Err(refusal) => return refusal_response(&refusal),
    };
    let started = cx.now();
    let tracked = match plain::call(&cx, call).await {
        Ok(tracked) => tracked,
        Err(refusal) => {
            host::Counters::add(&cx.counters.refused, 1);
            return refusal_response(&refusal);
        }
    };
    cx.metrics
        .time("plain.call", cx.now().saturating_sub(started));
    if let Some(delivery) = tracked.delivery {
        connection.record_sent(&cx, delivery);
    }
    let reply = tracked.reply;
    let status = http::StatusCode::from_u16(reply.status);
    let mut response =
        (status.unwrap_or(http::StatusCode::BAD_GATEWAY), reply.body).into_response();
    if let Ok(value) = http::HeaderValue::from_str(&reply.content_type) {
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, value);
    }
    response
}

async fn read_plain_call(
    cx: &host::Host,
    name: &str,
    path: &str,
    req: http::Request<body::Body>,
) -> Result<plain::Call, refusal::Refusal> {
    let workspace = caller_workspace(cx, req.headers())?;
    let service = workspace.document.service(name);
    let service = service.filter(|s| s.kind == walnuthaven_lib::config::Kind::Plain);
    let Some(service) = service.cloned() else {
        let message = format!("plain service {name:?} does not exist in the workspace");
        return Err(refusal::Refusal::not_run(refusal::Code::NotFound, message));
    };
    let id = request_id(req.headers())?;
    let content_type = header(req.headers(), "content-type").unwrap_or_default();
    let content_type = content_type.to_owned();
    let method = req.method().clone();
    let path = match req.uri().query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let limit = cx.settings.limits.max_body_bytes;
    let body = body::to_bytes(req.into_body(), limit).await;
    let body = body.map_err(|error| {
        if client_stream::is_out_of_memory(&error) {
            return client_stream::no_memory();
        }
        let message = format!("the body exceeds {limit} bytes or was cut off");
        refusal::Refusal::not_run(refusal::Code::TooLarge, message)
    })?;
    Ok(plain::Call {
        workspace,
        service,
        method,
        path,
        body,
        content_type,
        id,
    })
}

/// Returns the state of a request of the caller's workspace whose home host is this one.
fn find_request(
    cx: &host::Host,
    headers: &http::HeaderMap,
    id: &str,
) -> Result<(ids::RequestId, request_table::State), refusal::Refusal> {
    let workspace = caller_workspace(cx, headers)?;
    let id = parse_id(id)?;
    if id.home != cx.id {
        let message = format!("the home of {id} is host {}; ask there", id.home.name);
        return Err(refusal::Refusal::with_unknown_outcome(
            refusal::Code::NotFound,
            message,
        ));
    }
    let state = locks::lock(&cx.request_table)
        .state_in(id.number, &workspace.document.workspace)
        .cloned();
    let unknown = || {
        let message = format!("request {id} is not known");
        refusal::Refusal::with_unknown_outcome(refusal::Code::NotFound, message)
    };
    let state = state.ok_or_else(unknown)?;
    Ok((id, state))
}

async fn request_state(
    extract::State(cx): Cx,
    headers: http::HeaderMap,
    extract::Path(id): extract::Path<String>,
) -> response::Response {
    match find_request(&cx, &headers, &id) {
        Err(refusal) => refusal_response(&refusal),
        Ok((id, state)) => {
            let state = match state {
                request_table::State::Running => "running",
                request_table::State::Finished | request_table::State::Sent => "finished",
                request_table::State::Delivered => "delivered",
                request_table::State::Refused(refusal) => return refusal_response(&refusal),
            };
            let body = serde_json::json!({ "id": id.to_string(), "state": state });
            axum::Json(body).into_response()
        }
    }
}

async fn confirm(
    extract::State(cx): Cx,
    headers: http::HeaderMap,
    extract::Path(id): extract::Path<String>,
) -> response::Response {
    match find_request(&cx, &headers, &id) {
        Err(refusal) => refusal_response(&refusal),
        Ok((_, request_table::State::Running)) => {
            let message = "the request still runs; nothing to confirm";
            refusal_response(&refusal::Refusal::with_unknown_outcome(
                refusal::Code::Conflict,
                message,
            ))
        }
        Ok((id, _)) => {
            connections::record_delivery_at_home(&cx, &id, true, true);
            http::StatusCode::NO_CONTENT.into_response()
        }
    }
}

/// Sends again an answer that is still kept, marked as a replay.
async fn replay(
    extract::State(cx): Cx,
    headers: http::HeaderMap,
    extract::Path(id): extract::Path<String>,
) -> response::Response {
    let (id, _) = match find_request(&cx, &headers, &id) {
        Ok(found) => found,
        Err(refusal) => return refusal_response(&refusal),
    };
    let answer = locks::lock(&cx.answers).get(&id.number).cloned();
    let Some(answer) = answer.filter(|answer| answer.end().is_some()) else {
        let message = format!("no finished answer of {id} is kept");
        return refusal_response(&refusal::Refusal::with_unknown_outcome(
            refusal::Code::NotFound,
            message,
        ));
    };
    let body = serde_json::json!({
        "id": id.to_string(),
        "replay": true,
        "text": answer.tokens().concat(),
    });
    let mut response = axum::Json(body).into_response();
    let value = http::HeaderValue::from_static("true");
    response.headers_mut().insert("x-replay", value);
    response
}
