//! A request's way: read, match a route, find a place, send, relay.

use std::convert;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Limited;
use hyper::body;
use walnuthaven_lib::dialect;
use walnuthaven_lib::routing;
use xxhash_rust::xxh3;

use crate::locks;
use crate::router::answer;
use crate::router::context;
use crate::router::events::event;
use crate::router::plain_request;
use crate::router::relay;
use crate::router::send;
use crate::router::stream_request;

/// When callers come back to a host that hasn't read its configuration yet.
const NOT_READY: time::Duration = time::Duration::from_millis(500);
/// When callers of long requests come back after a leaving host refused them; they go elsewhere.
const LEAVING: time::Duration = time::Duration::from_millis(50);
/// How long a leaving host still takes requests whose answers are streams.
pub(crate) const ACCEPT_STREAMS_FOR: time::Duration = time::Duration::from_millis(2_500);
/// When callers come back whose body found no memory: about the time of a request.
const NO_MEMORY: time::Duration = time::Duration::from_millis(500);
/// When callers come back whose request crashed servers. It fails again until an operator acts.
const CRASHES: time::Duration = time::Duration::from_secs(60);
/// The longest wait of a caller that names none, on a route without a timeout.
const DEFAULT_DEADLINE: time::Duration = time::Duration::from_secs(60);

/// Answers a request.
///
/// # Errors
///
/// Never returns one.
pub(crate) async fn handle<D: dialect::Dialect>(
    cx: sync::Arc<context::Router<D>>,
    caller: net::IpAddr,
    req: http::Request<body::Incoming>,
) -> Result<answer::Answer, convert::Infallible> {
    let arrived = cx.now();
    let guard = context::InFlightGuard::new(&cx);
    cx.telemetry.count("requests");
    let mut answer = route(&cx, caller, req, arrived, guard).await;
    if cx.is_leaving() {
        // The caller's next request goes to another host; the connection isn't closed under one that
        // is on its way.
        let close = http::HeaderValue::from_static("close");
        answer.headers_mut().insert(http::header::CONNECTION, close);
    }
    let status = answer.status();
    if status.is_client_error() || status.is_server_error() {
        cx.telemetry.count(&format!("answers.{}", status.as_u16()));
    }
    Ok(answer)
}

async fn route<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    caller: net::IpAddr,
    req: http::Request<body::Incoming>,
    arrived: time::Duration,
    guard: context::InFlightGuard<D>,
) -> answer::Answer {
    let (parts, body) = req.into_parts();
    let head = match cx.dialect.request_head(&parts.headers) {
        Ok(head) => head,
        Err(bad) => {
            event!(Info, "bad-request", "header" => bad.header, "value" => bad.value);
            let reason = format!("header {}: {:?} is malformed", bad.header, bad.value);
            return answer::own(http::StatusCode::BAD_REQUEST, &reason);
        }
    };
    let id = head.request_id.clone();
    let Some(table) = cx.table() else {
        event!(Info, "refused", "id" => id, "cause" => "no configuration yet");
        return answer::not_run("no configuration yet", NOT_READY);
    };
    let host = parts.headers.get(http::header::HOST);
    let host = host
        .and_then(|host| host.to_str().ok())
        .or_else(|| parts.uri.host());
    let found = host.and_then(|host| table.find(host, parts.uri.path()));
    let Some(route) = found else {
        event!(Info, "no-route", "id" => id, "host" => host, "path" => parts.uri.path(),
            "version" => table.version);
        return answer::own(http::StatusCode::NOT_FOUND, "no route matches");
    };
    let until = arrived + time_for(route, &head);
    let longest = longest_body(&parts.headers, &table.limits);
    let Some(memory) = cx.body_memory.reserve(longest, cx.settings().memory_bytes) else {
        event!(Info, "refused", "id" => id, "cause" => "no memory for the body", "bytes" => longest);
        return answer::not_run("no memory for the body", NO_MEMORY);
    };
    let reading = Limited::new(body, table.limits.body_bytes).collect();
    let body = match tokio::time::timeout(until.saturating_sub(cx.now()), reading).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            event!(Info, "body-too-large", "id" => id, "limit" => table.limits.body_bytes);
            return answer::own(http::StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        Ok(Err(_)) => return answer::own(http::StatusCode::BAD_REQUEST, "the body broke off"),
        Err(_) => {
            event!(Info, "refused", "id" => id, "cause" => "body not read in time");
            return answer::own(http::StatusCode::REQUEST_TIMEOUT, "the body took too long");
        }
    };
    let service = route
        .service(rand::random())
        .and_then(|name| table.service(name));
    let Some(service) = service else {
        event!(Warn, "no-service", "id" => id, "route" => route.name, "version" => table.version);
        return answer::not_run("the route's service isn't configured", NOT_READY);
    };
    let digest = digest(caller, &parts.uri, &body);
    let unix = cx.unix();
    if let Err(refusal) = locks::lock(&cx.crash_marks).check(digest, unix) {
        event!(Info, "refused", "id" => id, "cause" => "crashes servers",
            "digest" => format!("{digest:016x}"), "marked" => refusal.message);
        return answer::not_run("this request crashed several servers", CRASHES);
    }
    let received = send::Received {
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        head,
        body,
        memory,
        digest,
    };
    let answer = match (&service.engines, route.kind) {
        (Some(engines), routing::Kind::Stream { .. }) => {
            let journey = stream_request::StreamRequest::new(
                cx,
                sync::Arc::new(received),
                route.clone(),
                service.clone(),
                engines.clone(),
                arrived,
                until,
            );
            stream(cx, journey, guard).await
        }
        _ => {
            let call = plain_request::PlainRequest {
                cx,
                req: &received,
                route,
                service: &service.name,
                until,
            };
            call.answer().await
        }
    };
    event!(Info, "answered", "id" => id, "route" => route.name, "version" => table.version,
        "status" => answer.status().as_u16(),
        "took_ms" => cx.now().saturating_sub(arrived).as_millis() as u64);
    answer
}

async fn stream<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    mut journey: stream_request::StreamRequest<D>,
    guard: context::InFlightGuard<D>,
) -> answer::Answer {
    if cx.leaving_for() > ACCEPT_STREAMS_FOR {
        return answer::not_run("this host leaves", LEAVING);
    }
    match journey.open().await {
        Ok(opened) => relay::answer(journey, opened, guard),
        Err(ended) => journey.final_answer(ended),
    }
}

/// Returns the most memory that a body may take.
fn longest_body(headers: &http::HeaderMap, limits: &routing::CallerLimits) -> usize {
    let length = headers.get(http::header::CONTENT_LENGTH);
    let stated = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    let chunked = headers.contains_key(http::header::TRANSFER_ENCODING);
    let longest = match (stated, chunked) {
        (Some(stated), _) => stated,
        (None, true) => limits.body_bytes,
        (None, false) => 0,
    };
    longest.min(limits.body_bytes)
}

/// Returns what identifies a request that comes again: its caller, target and body.
fn digest(caller: net::IpAddr, target: &http::Uri, body: &Bytes) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(caller.to_string().as_bytes());
    hasher.update(target.to_string().as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    hasher.digest()
}

/// Returns how long the answer may take: as long as the caller waits and the route allows.
fn time_for(route: &routing::Route, head: &dialect::RequestHead) -> time::Duration {
    let limits = [route.timeout, head.deadline];
    limits
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(DEFAULT_DEADLINE)
}
