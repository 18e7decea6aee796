//! Proxies calls to plain services, which are addressed by name. They never wait in the queue for
//! model engines.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use tokio::sync::watch;
use walnuthaven_lib::config;
use walnuthaven_lib::config_versions;
use walnuthaven_lib::ids;
use walnuthaven_lib::prefix;
use walnuthaven_lib::refusal;
use walnuthaven_lib::request_table;
use walnuthaven_wire::peer;

use crate::connections;
use crate::drain;
use crate::endpoints;
use crate::forward;
use crate::generate;
use crate::host;
use crate::locks;
use crate::permits;

const MAX_REPLY_BYTES: usize = 4 * 1024 * 1024;
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Time that the home host may need for a call beside the service's time limit: for the permit of the backup
/// host, and to try servers that can't be reached.
const HOME_TIME: time::Duration = time::Duration::from_secs(3);
/// Maximum number of servers that one call is sent to.
const MAX_SERVERS_TRIED: usize = 4;
/// How long the reply of a call with a request id is kept for the caller to fetch it again.
const REPLY_RETENTION: time::Duration = time::Duration::from_secs(60);

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// The configuration of the caller's workspace.
    pub workspace: sync::Arc<config_versions::Stored>,
    /// The service that is called.
    pub service: config::Service,
    /// The HTTP method.
    pub method: http::Method,
    /// Path and query that follow the service's name.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// The body's content type.
    pub content_type: String,
    /// The request id, if the caller sent one.
    pub id: Option<ids::RequestId>,
}

/// A reply from a plain service.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
    /// The body's content type.
    pub content_type: String,
}

/// A reply, and the means to record its delivery.
#[derive(Debug)]
pub struct TrackedReply {
    /// The reply.
    pub reply: Reply,
    /// Records whether the caller received the reply; `None` for repeatable services.
    pub delivery: Option<connections::Delivery>,
}

/// How a call ended; `None` while it runs.
type Outcome = Option<Result<Reply, refusal::Refusal>>;

/// Retry-After while a host makes as many calls as it may.
const NO_PLACE_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);
/// Maximum number of idle connections to one server.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// The state that calls to plain services share.
#[derive(Debug)]
pub struct Proxy {
    http: reqwest::Client,
    /// The calls that may be made at a time.
    calls: tokio::sync::Semaphore,
    endpoints: endpoints::Cache,
    /// The outcomes of non-repeatable calls whose home host is this one, by request number.
    replies: sync::Mutex<collections::HashMap<u64, watch::Receiver<Outcome>>>,
    /// Number of calls so far, for choosing servers round-robin.
    call_count: atomic::AtomicUsize,
}

impl Proxy {
    /// Creates the state of a host that has made no calls, and makes up to `max_calls` at a time.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be set up.
    pub fn new(max_calls: usize) -> anyhow::Result<Self> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .tcp_nodelay(true)
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .build()?;
        Ok(Self {
            http,
            calls: tokio::sync::Semaphore::new(max_calls),
            endpoints: endpoints::Cache::default(),
            replies: sync::Mutex::default(),
            call_count: atomic::AtomicUsize::new(0),
        })
    }

    /// Returns the live servers of a service that this host stewards.
    pub fn stewarded(&self, cell: &str) -> Vec<endpoints::Endpoint> {
        self.endpoints.stewarded(cell)
    }

    /// Returns the cache of live servers.
    pub fn endpoints(&self) -> &endpoints::Cache {
        &self.endpoints
    }

    /// Returns the HTTP client for plain servers.
    pub fn http(&self) -> &reqwest::Client {
        &self.http
    }
}

/// Makes a call for a caller that is connected to this host. A non-repeatable call is made by the home
/// host that its request id names.
///
/// # Errors
///
/// Returns a final refusal.
pub async fn call(
    cx: &sync::Arc<host::Host>,
    call: Call,
) -> Result<TrackedReply, refusal::Refusal> {
    if call.service.repeatable {
        drain::refuse_if_leaving(cx)?;
        let reply = call_repeatable(cx, &call).await?;
        return Ok(TrackedReply {
            reply,
            delivery: None,
        });
    }
    let Some(id) = call.id.clone() else {
        return Err(generate::id_required());
    };
    if id.home != cx.id {
        return forward_to_home(cx, call, id).await;
    }
    let reply = call_once(cx, call, &id).await?;
    let delivery = Some(connections::Delivery::Home {
        id,
        has_permit: true,
    });
    Ok(TrackedReply { reply, delivery })
}

/// Makes a call that another host forwarded to this host, its home host.
///
/// # Errors
///
/// Returns a final refusal.
pub async fn call_forwarded(
    cx: &sync::Arc<host::Host>,
    message: peer::CallRequest,
) -> Result<Reply, refusal::Refusal> {
    let bad = |what: &str| refusal::Refusal::not_run(refusal::Code::BadRequest, what);
    let id: ids::RequestId = message
        .request
        .parse()
        .map_err(|_| bad("the request id is malformed"))?;
    let workspace = locks::read(&cx.config).get(&message.workspace).cloned();
    let workspace = workspace.ok_or_else(|| bad("the workspace is not in force at the home"))?;
    let service = workspace.document.service(&message.service).cloned();
    let service = service.ok_or_else(|| bad("the service is not in force at the home"))?;
    let method = message.method.parse().map_err(|_| bad("method"))?;
    let call = Call {
        workspace,
        service,
        method,
        path: message.path,
        body: message.body.into(),
        content_type: message.content_type,
        id: Some(id.clone()),
    };
    let reply = call_once(cx, call, &id).await?;
    connections::Delivery::Home {
        id,
        has_permit: true,
    }
    .record_sent(cx);
    Ok(reply)
}

/// Forwards a call to its home host.
async fn forward_to_home(
    cx: &sync::Arc<host::Host>,
    call: Call,
    id: ids::RequestId,
) -> Result<TrackedReply, refusal::Refusal> {
    let Some(home) = forward::find_home(cx, &id) else {
        return Err(forward::refusal_from_backup(cx, &id, true).await);
    };
    let message = peer::CallRequest {
        request: id.to_string(),
        workspace: call.workspace.document.workspace.to_string(),
        service: call.service.name.to_string(),
        method: call.method.to_string(),
        path: call.path,
        body: call.body.to_vec(),
        content_type: call.content_type,
    };
    let timeout = time::Duration::from_millis(call.service.timeout_ms) + HOME_TIME;
    let reply = match cx.peers.call(&home.peer_addr, message, timeout).await {
        Ok(reply) => reply,
        Err(status) => {
            log::debug!("can't forward call {id} to {}: {status}", home.id);
            return Err(forward::refusal_from_backup(cx, &id, true).await);
        }
    };
    if let Some(refusal) = &reply.refusal {
        return Err(crate::convert::refusal_from_wire(refusal));
    }
    Ok(TrackedReply {
        reply: Reply {
            status: u16::try_from(reply.status).unwrap_or(502),
            body: reply.body.into(),
            content_type: reply.content_type,
        },
        delivery: Some(connections::Delivery::Forwarded {
            request: id.to_string(),
            addr: home.peer_addr,
        }),
    })
}

/// Makes a call at most once, however often it is requested. Later requests with the same id get the
/// reply of the first.
async fn call_once(
    cx: &sync::Arc<host::Host>,
    call: Call,
    id: &ids::RequestId,
) -> Result<Reply, refusal::Refusal> {
    let content = prefix::digest(&call.path) ^ body_digest(&call.body);
    let workspace = call.workspace.document.workspace.clone();
    let mut outcome = {
        // A call that comes next must find the reply of an id that it finds registered.
        let mut table = locks::lock(&cx.request_table);
        match table.register(id, &workspace, content, false, cx.now()) {
            request_table::Arrival::Final(refusal) => return Err(refusal),
            request_table::Arrival::Attach => {
                let known = locks::lock(&cx.plain.replies).get(&id.number).cloned();
                known.ok_or_else(refusal::Refusal::already_answered)?
            }
            request_table::Arrival::Run => spawn_call(cx, call, id, workspace),
        }
    };
    let ended = outcome.wait_for(Option::is_some).await;
    match ended {
        Ok(ended) => ended.clone().unwrap_or_else(|| Err(ended_without_reply())),
        Err(_) => Err(ended_without_reply()),
    }
}

fn ended_without_reply() -> refusal::Refusal {
    refusal::Refusal::outcome_unknown("the call ended without a reply")
}

/// Starts a non-repeatable call in the background. It goes on when its caller leaves, so that its
/// outcome is known.
fn spawn_call(
    cx: &sync::Arc<host::Host>,
    call: Call,
    id: &ids::RequestId,
    workspace: ids::Name,
) -> watch::Receiver<Outcome> {
    let (tx, rx) = watch::channel(None);
    locks::lock(&cx.plain.replies).insert(id.number, rx.clone());
    let cx = cx.clone();
    let id = id.clone();
    tokio::spawn(async move {
        let ended = call_non_repeatable(&cx, &call, &id, &workspace).await;
        let state = match &ended {
            Ok(_) => request_table::State::Finished,
            Err(refusal) => request_table::State::Refused(refusal.clone()),
        };
        locks::lock(&cx.request_table).set_state(id.number, state, cx.now());
        tx.send_replace(Some(ended));
        tokio::time::sleep(REPLY_RETENTION).await;
        locks::lock(&cx.plain.replies).remove(&id.number);
    });
    rx
}

/// Makes a non-repeatable call. Tries another server only if the last one certainly did nothing.
async fn call_non_repeatable(
    cx: &sync::Arc<host::Host>,
    call: &Call,
    id: &ids::RequestId,
    workspace: &ids::Name,
) -> Result<Reply, refusal::Refusal> {
    drain::refuse_if_leaving(cx)?;
    let _place = take_place(cx)?;
    let mut endpoints = ordered_endpoints(cx, call).await?;
    permits::hold_at_backup(cx, id, workspace).await?;
    endpoints.truncate(MAX_SERVERS_TRIED);
    for endpoint in &endpoints {
        cx.add_trace_step(&id.to_string(), format!("call to {}", endpoint.name));
        match send(cx, call, endpoint, Some(id)).await {
            Ok(reply) => return Ok(reply),
            Err(Failure::Unreached) => cx.plain.endpoints.avoid(&endpoint.name, cx.now()),
            Err(Failure::Leaving) => cx.plain.endpoints.avoid(&endpoint.name, cx.now()),
            Err(Failure::Lost(reason)) => return Err(refusal::Refusal::outcome_unknown(reason)),
        }
    }
    Err(no_server(call))
}

/// Makes a repeatable call. Retries it at other servers, within the retry budget if a server may have
/// run it.
async fn call_repeatable(
    cx: &sync::Arc<host::Host>,
    call: &Call,
) -> Result<Reply, refusal::Refusal> {
    let _place = take_place(cx)?;
    let mut endpoints = ordered_endpoints(cx, call).await?;
    endpoints.truncate(MAX_SERVERS_TRIED);
    let mut unknown_outcome = None;
    for endpoint in &endpoints {
        match send(cx, call, endpoint, call.id.as_ref()).await {
            Ok(reply) => {
                with_retry_budget(cx, call, |budget| budget.on_success());
                return Ok(reply);
            }
            Err(Failure::Unreached | Failure::Leaving) => {
                cx.plain.endpoints.avoid(&endpoint.name, cx.now());
            }
            Err(Failure::Lost(reason)) => {
                cx.plain.endpoints.avoid(&endpoint.name, cx.now());
                unknown_outcome = Some(refusal::Refusal::outcome_unknown(reason));
                if !with_retry_budget(cx, call, |budget| budget.try_spend()) {
                    break;
                }
            }
        }
    }
    Err(unknown_outcome.unwrap_or_else(|| no_server(call)))
}

/// Takes the place of one of the calls that may be made at a time, as each needs a connection.
fn take_place(cx: &host::Host) -> Result<tokio::sync::SemaphorePermit<'_>, refusal::Refusal> {
    cx.plain.calls.try_acquire().map_err(|_| {
        cx.metrics.count("plain.no_place");
        let message = "this host makes too many calls to plain servers";
        refusal::Refusal::not_run(refusal::Code::Unavailable, message)
            .with_retry_after(NO_PLACE_RETRY_AFTER)
    })
}

/// Calls a function with the retry budget of the caller's workspace.
fn with_retry_budget<T>(
    cx: &host::Host,
    call: &Call,
    f: impl FnOnce(&mut walnuthaven_lib::retry::Budget) -> T,
) -> T {
    let workspace = call.workspace.document.workspace.clone();
    f(locks::lock(&cx.retry_budgets).entry(workspace).or_default())
}

/// Returns the servers of a call's service in the order in which to try them: servers that did not
/// take a recent call last, then those in this host's availability zone first. Equal ones take turns.
async fn ordered_endpoints(
    cx: &sync::Arc<host::Host>,
    call: &Call,
) -> Result<Vec<endpoints::Endpoint>, refusal::Refusal> {
    let cell = endpoints::cell_name(&call.workspace.document.workspace, &call.service.name);
    let mut endpoints = endpoints::live_servers(cx, &cell).await;
    if endpoints.is_empty() {
        return Err(no_server(call));
    }
    let call_number = cx.plain.call_count.fetch_add(1, atomic::Ordering::Relaxed);
    let count = endpoints.len();
    endpoints.rotate_left(call_number % count);
    let now = cx.now();
    endpoints.sort_by_key(|endpoint| {
        let avoided = cx.plain.endpoints.is_avoided(&endpoint.name, now);
        (avoided, endpoint.zone != cx.settings.zone)
    });
    Ok(endpoints)
}

/// Why a call to a server failed.
enum Failure {
    /// No connection could be made, so the server has not received the call.
    Unreached,
    /// The server is leaving and did nothing.
    Leaving,
    /// The connection broke or timed out, so the server may have run the call.
    Lost(String),
}

/// Sends a call to one server and reads its reply.
async fn send(
    cx: &host::Host,
    call: &Call,
    endpoint: &endpoints::Endpoint,
    id: Option<&ids::RequestId>,
) -> Result<Reply, Failure> {
    let url = format!("http://{}{}", endpoint.addr, call.path);
    let mut req = cx
        .plain
        .http
        .request(call.method.clone(), url)
        .timeout(time::Duration::from_millis(call.service.timeout_ms))
        .header(http::header::CONTENT_TYPE, &call.content_type)
        .body(call.body.clone());
    if let Some(id) = id {
        req = req.header("x-request-id", id.to_string());
    }
    let response = req.send().await.map_err(|error| {
        if error.is_connect() {
            return Failure::Unreached;
        }
        Failure::Lost(format!("{}: {error}", endpoint.name))
    })?;
    let status = response.status().as_u16();
    // A plain server that is leaving answers with this header and has done nothing.
    if response.headers().contains_key("x-not-run") {
        return Err(Failure::Leaving);
    }
    let content_type = response.headers().get(http::header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or_default().to_owned();
    let body = read_body(response).await;
    let body = body.map_err(|error| Failure::Lost(format!("{}: {error}", endpoint.name)))?;
    Ok(Reply {
        status,
        body,
        content_type,
    })
}

async fn read_body(mut response: reqwest::Response) -> Result<Bytes, String> {
    let mut body = Vec::new();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => return Ok(body.into()),
            Err(error) => return Err(error.to_string()),
        }
        if body.len() > MAX_REPLY_BYTES {
            return Err(format!("the reply exceeds {MAX_REPLY_BYTES} bytes"));
        }
    }
}

/// Returns the refusal of a call that no server takes.
fn no_server(call: &Call) -> refusal::Refusal {
    let message = format!("no server of service {:?} takes work", call.service.name);
    refusal::Refusal::not_run(refusal::Code::Unavailable, message)
        .with_retry_after(time::Duration::from_secs(1))
}

fn body_digest(body: &Bytes) -> u64 {
    prefix::digest(&String::from_utf8_lossy(body))
}
