//! The HTTP API for callers, over HTTP/1.1 and HTTP/2.

use std::sync;

use axum::body;
use axum::extract;
use axum::response;
use axum::response::IntoResponse as _;
use axum::routing;
use walnuthaven_lib::clock;
use walnuthaven_lib::config_versions;
use walnuthaven_lib::ids;
use walnuthaven_lib::refusal;
use walnuthaven_lib::request_table;

use crate::callers;
use crate::connections;
use crate::drain;
use crate::host;
use crate::jobs_api;
use crate::locks;
use crate::openai;
use crate::plain;

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

/// Returns the handlers of the API.
pub(crate) fn router(cx: &sync::Arc<host::Host>) -> axum::Router {
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
    let body = body.map_err(|_| {
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
