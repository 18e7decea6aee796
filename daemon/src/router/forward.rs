//! Handles a caller's request: checks it, matches a route, reads the body, and has the answer made
//! by a model engine ([`stream_request`]) or a server of a plain service ([`plain_request`]).

use std::convert;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use walnuthaven_lib::dialect;
use walnuthaven_lib::outcome;
use walnuthaven_lib::routing;
use walnuthaven_lib::workspaces;
use walnuthaven_wire::forward as wire;
use xxhash_rust::xxh3;

use crate::router::answer;
use crate::router::caller_workspace;
use crate::router::clients;
use crate::router::connection_timer;
use crate::router::context;
use crate::router::crash_marks;
use crate::router::events::event;
use crate::router::events::limited_event;
use crate::router::part_marks;
use crate::router::peer_service;
use crate::router::peer_stream;
use crate::router::plain_request;
use crate::router::read_limit;
use crate::router::relay;
use crate::router::request_body;
use crate::router::request_parts;
use crate::router::send;
use crate::router::server_limits;
use crate::router::shutdown;
use crate::router::stream_progress;
use crate::router::stream_request;
use crate::router::via_peer;
use crate::router::workspace_limits;

/// Retry-After while the host has no configuration or crash marks, or a configuration without the
/// route's service.
const NOT_READY_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);
/// How long a leaving host still accepts requests whose answers are streams.
pub(crate) const ACCEPT_STREAMS_FOR: time::Duration = time::Duration::from_millis(2_500);
/// A head may exceed the limit in force by this factor, as a caller may know of a raised limit earlier than
/// the host.
const HEAD_TOLERANCE: usize = 2;

/// Answers a request and counts it.
///
/// # Errors
///
/// Never returns an error.
pub(crate) async fn handle<D: dialect::Dialect>(
    cx: sync::Arc<context::Router<D>>,
    caller: net::IpAddr,
    connection: &connection_timer::HeadState,
    req: http::Request<read_limit::LimitedBody>,
) -> Result<answer::Answer, convert::Infallible> {
    let arrived = cx.now();
    let guard = context::InFlightGuard::new(&cx);
    cx.telemetry.count("requests");
    let mut answer = make_answer(&cx, caller, connection, req, arrived, guard).await;
    if cx.is_leaving() {
        // Makes the caller send its next request to another host. The host doesn't close the
        // connection itself, as a request may be on its way.
        let close = http::HeaderValue::from_static("close");
        answer.headers_mut().insert(http::header::CONNECTION, close);
    }
    if let answer::ResponseBody::Complete(Some(body)) = answer.body_mut() {
        let whole = std::mem::take(body);
        *body = connection.client().hold_answer(whole);
    }
    let status = answer.status();
    if status.is_client_error() || status.is_server_error() {
        cx.telemetry.count(&format!("answers.{}", status.as_u16()));
    }
    Ok(answer)
}

/// Checks and routes a request and returns its answer, which is a refusal if a check fails.
async fn make_answer<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    caller: net::IpAddr,
    connection: &connection_timer::HeadState,
    req: http::Request<read_limit::LimitedBody>,
    arrived: time::Duration,
    guard: context::InFlightGuard<D>,
) -> answer::Answer {
    let (parts, body) = req.into_parts();
    let attempts = sync::Arc::<outcome::Attempts>::default();
    let progress = sync::Arc::<stream_progress::StreamProgress>::default();
    let head = cx.dialect.request_head(&parts.headers);
    let id = head.as_ref().ok().and_then(|head| head.request_id.clone());
    connection.set_request(connection_timer::OpenRequest {
        id: id.clone(),
        arrived,
        attempts: attempts.clone(),
        progress: progress.clone(),
    });
    let head = match head {
        Ok(head) => head,
        Err(bad) => {
            limited_event!(Info, "bad-request", "header" => bad.header, "value" => bad.value);
            let reason = format!("header {}: {:?} is malformed", bad.header, bad.value);
            return answer::from_router(http::StatusCode::BAD_REQUEST, &reason);
        }
    };
    let received = ReceivedRequest {
        caller,
        client: connection.client(),
        parts,
        head,
        body,
        attempts: attempts.clone(),
        progress,
    };
    tokio::select! {
        answer = answer_received(cx, received, arrived, guard) => answer,
        () = cx.wait_for_last_answers() => {
            let may_have_run = attempts.state().may_have_run();
            event!(Warn, "unanswered-at-end", "id" => id, "may_have_run" => may_have_run);
            match may_have_run {
                true => shutdown::unknown_outcome(),
                false => cx.refuse_leaving(),
            }
        }
    }
}

/// A request whose head was read.
struct ReceivedRequest<'a> {
    caller: net::IpAddr,
    client: &'a clients::Client,
    parts: http::request::Parts,
    head: dialect::RequestHead,
    body: read_limit::LimitedBody,
    /// Its attempts so far.
    attempts: sync::Arc<outcome::Attempts>,
    progress: sync::Arc<stream_progress::StreamProgress>,
}

/// Matches a route, reads the body and has a server answer.
async fn answer_received<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    received: ReceivedRequest<'_>,
    arrived: time::Duration,
    guard: context::InFlightGuard<D>,
) -> answer::Answer {
    let ReceivedRequest {
        caller,
        client,
        mut parts,
        head,
        body,
        attempts,
        progress,
    } = received;
    let id = head.request_id.clone();
    let Some(table) = cx.table() else {
        event!(Info, "refused", "id" => id, "cause" => "no configuration yet");
        return answer::not_run("no configuration yet", NOT_READY_RETRY_AFTER);
    };
    if !cx.knows_marks() {
        event!(Info, "refused", "id" => id, "cause" => "crash marks not read yet");
        return answer::not_run("crash marks not read yet", NOT_READY_RETRY_AFTER);
    }
    let head_bytes = request_parts::head_bytes(&parts);
    if head_bytes > table.limits.header_bytes.saturating_mul(HEAD_TOLERANCE) {
        limited_event!(Info, "head-too-large", "id" => id, "bytes" => head_bytes,
            "limit" => table.limits.header_bytes);
        return answer::from_router(
            http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "the head is too large",
        );
    }
    let host = request_parts::host_name(&parts);
    let Some(route) = table.find(&host, parts.uri.path()) else {
        limited_event!(Info, "no-route", "id" => id, "host" => host, "path" => parts.uri.path(),
            "version" => table.version);
        return answer::from_router(http::StatusCode::NOT_FOUND, "no route matches");
    };
    let workspace = match caller_workspace::authenticate(cx, &table, route, &mut parts.headers) {
        Ok(workspace) => workspace,
        Err(unauthorized) => {
            limited_event!(Info, "unauthorized", "id" => id, "route" => route.name,
                "cause" => unauthorized.cause, "version" => table.version);
            return unauthorized.answer();
        }
    };
    let deadline = arrived + request_parts::time_limit(route, &head);
    if !cx.may_send(deadline) {
        return refuse_leaving(cx, &head);
    }
    let body_limits = request_body::BodyLimits {
        stated_bytes: request_parts::max_body_bytes(&parts.headers, &table.limits),
        max_bytes: table.limits.body_bytes,
        deadline,
    };
    let read = request_body::read(cx, client, id.as_deref(), body, body_limits).await;
    let (body, memory) = match read {
        Ok(read) => read,
        Err(answer) => return answer,
    };
    // The body may have taken long.
    if !cx.may_send(deadline) {
        return refuse_leaving(cx, &head);
    }
    let request = RoutedRequest {
        caller,
        parts,
        head,
        body,
        memory,
        route: route.clone(),
        workspace,
        deadline,
        arrived,
        attempts,
        progress,
        forwarded: None,
    };
    answer_routed(cx, &table, request, guard).await
}

/// Refuses a request that a leaving host couldn't answer before it ends.
fn refuse_leaving<D: dialect::Dialect>(
    cx: &context::Router<D>,
    head: &dialect::RequestHead,
) -> answer::Answer {
    event!(Info, "refused", "id" => head.request_id, "cause" => shutdown::LEAVES);
    cx.refuse_leaving()
}

/// A request that was read completely and matched a route.
struct RoutedRequest {
    caller: net::IpAddr,
    parts: http::request::Parts,
    head: dialect::RequestHead,
    body: Bytes,
    memory: clients::Held,
    route: sync::Arc<routing::Route>,
    /// The caller's workspace; `None` if the deployment has none, or the caller of an open route has no key.
    workspace: Option<sync::Arc<workspaces::Workspace>>,
    /// When the answer must be complete, as time since boot.
    deadline: time::Duration,
    /// When it arrived, as time since boot.
    arrived: time::Duration,
    /// Its attempts so far.
    attempts: sync::Arc<outcome::Attempts>,
    progress: sync::Arc<stream_progress::StreamProgress>,
    /// Set if another host passed it on.
    forwarded: Option<send::Forwarded>,
}

/// Answers a request that another host passed on, because it reaches no server itself.
///
/// # Errors
///
/// Returns what is malformed in the call, or why the request can't be served here.
pub(crate) async fn handle_forwarded<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    call: wire::ServeRequest,
) -> Result<answer::Answer, &'static str> {
    let arrived = cx.now();
    let guard = context::InFlightGuard::new(cx);
    cx.telemetry.count("requests.forwarded");
    let table = cx.table().ok_or("no configuration yet")?;
    let mut req = http::Request::new(());
    *req.method_mut() = call.method.parse().map_err(|_| "method")?;
    *req.uri_mut() = call.target.parse().map_err(|_| "target")?;
    *req.headers_mut() = peer_service::read_headers(call.headers);
    let (parts, ()) = req.into_parts();
    let mut head = cx
        .dialect
        .request_head(&parts.headers)
        .map_err(|_| "header")?;
    if let Some(event) = call.resume_after {
        head.resume_after = Some(event);
        head.resumes = Some(call.began_as.into());
    }
    let host = request_parts::host_name(&parts);
    let route = table.find(&host, parts.uri.path()).ok_or("no route")?;
    let time_left = time::Duration::from_millis(call.time_left_ms);
    let attempts = sync::Arc::new(outcome::Attempts::of_other_host(call.may_have_run));
    let memory = cx.clients.reserve(None, call.body.len()).await;
    let memory = memory.ok_or("no memory for the body")?;
    let request = RoutedRequest {
        caller: call.caller.parse().map_err(|_| "caller")?,
        head,
        body: call.body.into(),
        memory,
        deadline: arrived + time_left.min(route.timeout.unwrap_or(request_parts::DEFAULT_TIMEOUT)),
        route: route.clone(),
        workspace: caller_workspace::of_forwarded(cx, &table, &parts.headers)?,
        parts,
        arrived,
        attempts: attempts.clone(),
        progress: sync::Arc::default(),
        forwarded: Some(send::Forwarded {
            used_attempts: call.used_attempts,
            tried: call.tried.into_iter().map(Into::into).collect(),
            suspected_crashes: call.suspected_crashes as usize,
        }),
    };
    let attempts_before = attempts.count();
    let id = request.head.request_id.clone();
    let answer = tokio::select! {
        answer = answer_routed(cx, &table, request, guard) => answer,
        () = cx.wait_for_last_answers() => {
            let may_have_run = attempts.count() > attempts_before;
            event!(Warn, "unanswered-at-end", "id" => id, "may_have_run" => may_have_run,
                "passed_on" => true);
            if !may_have_run {
                // Another host may serve it.
                return Err(shutdown::LEAVES);
            }
            shutdown::unknown_outcome()
        }
    };
    // That it isn't run here says nothing of the sends before.
    if call.may_have_run && stream_request::implies_not_run(answer.status()) {
        let cause = "no other server answered";
        return Ok(answer::from_router(http::StatusCode::BAD_GATEWAY, cause));
    }
    Ok(answer)
}

/// Has a server answer a request.
async fn answer_routed<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    table: &routing::Table,
    request: RoutedRequest,
    guard: context::InFlightGuard<D>,
) -> answer::Answer {
    let RoutedRequest {
        caller,
        parts,
        head,
        body,
        memory,
        route,
        workspace,
        deadline,
        arrived,
        attempts,
        progress,
        forwarded,
    } = request;
    let id = head.request_id.clone();
    let service = route
        .service(rand::random())
        .and_then(|name| table.service(name));
    let Some(service) = service else {
        event!(Warn, "no-service", "id" => id, "route" => route.name, "version" => table.version);
        return answer::not_run(
            "the route's service isn't configured",
            NOT_READY_RETRY_AFTER,
        );
    };
    let digest = request_parts::digest(caller, &parts.uri, &body);
    let prompt_parts = match service.engines {
        Some(_) => &head.prompt_parts[..],
        None => &[],
    };
    let prompt_parts = part_marks::prompt_parts(&service.name, prompt_parts);
    let host = request_parts::host_name(&parts);
    let content_parts = part_marks::content_parts(&host, &parts.uri, &body);
    let shared_parts = prompt_parts.chain(content_parts).collect();
    let path = parts.uri.path().to_owned();
    let has_query = parts.uri.query().is_some();
    let body_digest = xxh3::xxh3_64(&body);
    let received = send::CallerRequest {
        caller,
        attempts,
        progress,
        forwarded,
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        head,
        body,
        memory,
        digest,
        parts: shared_parts,
        priority: caller_workspace::priority(&route, workspace.as_deref()),
        workspace,
        trial: sync::OnceLock::new(),
        is_proven: atomic::AtomicBool::new(false),
    };
    let workspace_name = received
        .workspace
        .as_ref()
        .map(|workspace| workspace.name.clone());
    if crash_marks::refuses(cx, &received) {
        crash_marks::log_refusal(cx, &received);
        return crash_marks::refusal_answer(cx, &received);
    }
    let charge = match workspace_limits::charge(cx, table, &received) {
        Ok(charge) => charge,
        Err(retry_after) => {
            return answer::over_limit("the workspace's limit is exceeded", retry_after);
        }
    };
    server_limits::record_request(cx, &service.name, received.priority);
    let answer = match (&service.engines, route.kind) {
        (Some(engines), routing::Kind::Stream { .. }) => {
            let request = stream_request::StreamRequest::new(
                cx,
                sync::Arc::new(received),
                route.clone(),
                service.clone(),
                engines.clone(),
                arrived,
                deadline,
            );
            answer_stream(cx, request, guard).await
        }
        _ => {
            let plain = plain_request::PlainRequest {
                cx,
                received: &received,
                route: &route,
                service: &service.name,
                deadline,
            };
            plain.answer().await
        }
    };
    if let Some(charge) = charge
        && stream_request::implies_not_run(answer.status())
    {
        workspace_limits::give_back(cx, &charge);
    }
    if cx.crash_checks.open_count(digest) > 0 {
        event!(Info, "content-suspected", "id" => id, "digest" => crash_marks::hex(digest),
            "caller" => caller, "path" => path, "has_query" => has_query,
            "body" => crash_marks::hex(body_digest));
    }
    event!(Info, "answered", "id" => id, "route" => route.name, "version" => table.version,
        "workspace" => workspace_name,
        "digest" => crash_marks::hex(digest), "status" => answer.status().as_u16(),
        "took_ms" => cx.now().saturating_sub(arrived).as_millis() as u64);
    answer
}

/// Opens the stream of an answer and has it relayed to the caller.
async fn answer_stream<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    mut request: stream_request::StreamRequest<D>,
    mut guard: context::InFlightGuard<D>,
) -> answer::Answer {
    if cx.leaving_for() > ACCEPT_STREAMS_FOR {
        return refuse_leaving(cx, &request.received.head);
    }
    if via_peer::is_needed(cx, &request.received, &request.service.name) {
        match peer_stream::answer(request, guard).await {
            Ok(answer) => return answer,
            Err(unsent) => (request, guard) = *unsent,
        }
    }
    let opened = match request.find_version().await {
        Ok(()) => request.open(None).await,
        Err(failure) => Err(failure),
    };
    let failure = match opened {
        Ok(opened) => return relay::answer(request, opened, guard),
        Err(failure) => failure,
    };
    if !request.reaches_few_engines() {
        return request.failure_answer(failure);
    }
    match peer_stream::answer(request, guard).await {
        Ok(answer) => answer,
        Err(unsent) => {
            let (request, _) = *unsent;
            let mut answer = request.failure_answer(failure);
            if request.received.runs().may_be_refused() && request.reaches_no_engine() {
                answer.extensions_mut().insert(answer::Unreached);
            }
            answer
        }
    }
}
