//! Passes requests on to other hosts while this one reaches no server of their service.
//!
//! The other host answers as if the caller had sent it the request: same content marks, limits and
//! priorities. It gets what the request has used up so far, and never passes it on again.

use std::collections;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use bytes::BytesMut;
use tonic::transport;
use walnuthaven_lib::clock;
use walnuthaven_lib::dialect;
use walnuthaven_lib::outcome;
use walnuthaven_lib::peer_choice;
use walnuthaven_lib::routing;
use walnuthaven_wire::forward;
use walnuthaven_wire::forward::forward_client;

use crate::locks;
use crate::router::answer;
use crate::router::context;
use crate::router::events::event;
use crate::router::links;
use crate::router::peer_reply;
use crate::router::peer_service;
use crate::router::send;
use crate::router::stream_request;

/// Maximum number of hosts that a request is passed on to, one after the other.
const MAX_PEERS: usize = 3;
/// Longest time to open a connection to another host. The round trip takes a few milliseconds.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// How long a host that declined a request for a service gets no further ones.
const DECLINED_FOR: time::Duration = time::Duration::from_secs(1);
/// How often it is looked up whether another host could serve a request.
const HELPER_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// How often it is looked up whether the host that serves a request still sends news.
const NEWS_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Shortest remaining time of a request that is passed on.
const MIN_TIME: time::Duration = outcome::MIN_TIME_TO_RETRY;

type Client = forward_client::ForwardClient<transport::Channel>;
/// Names a host and a service.
type HostAndService = (sync::Arc<str>, sync::Arc<str>);

/// Connections to other hosts, and what is known of them as helpers.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    /// Connections by name, each with the incarnation that it was opened to.
    clients: sync::Mutex<collections::HashMap<sync::Arc<str>, (u64, Client)>>,
    /// Number of requests that each host serves for this one.
    outstanding: sync::Mutex<collections::HashMap<sync::Arc<str>, u32>>,
    /// Until when hosts get no further requests for services that they declined.
    declined: sync::Mutex<collections::HashMap<HostAndService, time::Duration>>,
}

/// Another host that may serve a request.
#[derive(Debug)]
pub(crate) struct Helper {
    pub(crate) name: sync::Arc<str>,
    pub(crate) incarnation: u64,
    pub(crate) addr: net::SocketAddr,
}

/// Returns whether a request should be passed on: this host reaches no server that could answer it, and another host
/// says that it does.
pub(crate) fn is_needed<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &send::CallerRequest,
    service: &sync::Arc<str>,
) -> bool {
    req.forwarded.is_none()
        && cx.links.all_lost(&links::answering_servers(cx, service))
        && !candidates(cx, service).is_empty()
}

/// Waits until a request should be passed on.
pub(crate) async fn wait_until_needed<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &send::CallerRequest,
    service: &sync::Arc<str>,
) {
    loop {
        let changed = cx.links.changed.notified();
        if is_needed(cx, req, service) {
            return;
        }
        // A host that could help may become known while no link changes.
        let _ = tokio::time::timeout(HELPER_CHECK_INTERVAL, changed).await;
    }
}

/// Returns the hosts that could serve a request for a service, without those that declined one just now.
fn candidates<D: dialect::Dialect>(
    cx: &context::Router<D>,
    service: &sync::Arc<str>,
) -> Vec<peer_choice::Candidate> {
    let now = cx.now();
    let version = cx.table().map_or(0, |table| table.version);
    let peers = locks::lock(&cx.peers);
    let mut declined = locks::lock(&cx.via_peer.declined);
    declined.retain(|_, until| now < *until);
    let has_declined =
        |name: &sync::Arc<str>| declined.contains_key(&(name.clone(), service.clone()));
    let outstanding = locks::lock(&cx.via_peer.outstanding);
    let helpers = peers.helpers(service, version, now);
    helpers
        .filter(|(entry, _)| !has_declined(&entry.name))
        .map(|(entry, status)| peer_choice::Candidate {
            name: entry.name.clone(),
            zone: status.zone.clone(),
            outstanding: outstanding.get(&entry.name).copied().unwrap_or(0),
        })
        .collect()
}

/// Returns a connection to another host.
///
/// # Errors
///
/// Returns an error if none can be opened.
pub(crate) async fn connect<D: dialect::Dialect>(
    cx: &context::Router<D>,
    helper: &Helper,
) -> Result<Client, tonic::Status> {
    if let Some((incarnation, client)) = locks::lock(&cx.via_peer.clients).get(&helper.name)
        && *incarnation == helper.incarnation
    {
        return Ok(client.clone());
    }
    let endpoint = transport::Endpoint::from_shared(format!("http://{}", helper.addr))
        .map_err(|error| tonic::Status::invalid_argument(error.to_string()))?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(peer_service::PING_INTERVAL)
        .keep_alive_timeout(peer_service::PING_TIMEOUT);
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, endpoint.connect()).await;
    let channel = connecting
        .map_err(|_| tonic::Status::unavailable("connection timed out"))?
        .map_err(|error| tonic::Status::unavailable(error.to_string()))?;
    let client = forward_client::ForwardClient::new(channel)
        .max_decoding_message_size(peer_service::MAX_MESSAGE_BYTES)
        .max_encoding_message_size(peer_service::MAX_MESSAGE_BYTES);
    locks::lock(&cx.via_peer.clients)
        .insert(helper.name.clone(), (helper.incarnation, client.clone()));
    Ok(client)
}

/// Closes the connection to another host once its calls have ended.
pub(crate) fn disconnect<D: dialect::Dialect>(cx: &context::Router<D>, name: &str) {
    locks::lock(&cx.via_peer.clients).remove(name);
}

/// Counts a request as served by another host until it is dropped.
#[derive(Debug)]
struct OutstandingGuard<D: dialect::Dialect> {
    cx: sync::Arc<context::Router<D>>,
    peer: sync::Arc<str>,
}

impl<D: dialect::Dialect> OutstandingGuard<D> {
    fn new(cx: &sync::Arc<context::Router<D>>, peer: &sync::Arc<str>) -> Self {
        *locks::lock(&cx.via_peer.outstanding)
            .entry(peer.clone())
            .or_default() += 1;
        Self {
            cx: cx.clone(),
            peer: peer.clone(),
        }
    }
}

impl<D: dialect::Dialect> Drop for OutstandingGuard<D> {
    fn drop(&mut self) {
        let mut outstanding = locks::lock(&self.cx.via_peer.outstanding);
        if let Some(count) = outstanding.get_mut(&self.peer) {
            *count = count.saturating_sub(1);
        }
    }
}

/// Why no other host answers a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// None can, and none has sent it to a server.
    NotSent,
    /// One of them may have sent it to a server. Holds the cause.
    Unknown(&'static str),
}

/// The answer of another host, of which the head has arrived.
#[derive(Debug)]
pub(crate) struct PeerAnswer<D: dialect::Dialect> {
    /// The status.
    pub(crate) status: http::StatusCode,
    /// The headers.
    pub(crate) headers: http::HeaderMap,
    /// Whether it is a stream of events.
    pub(crate) is_stream: bool,
    /// The name of the host.
    pub(crate) peer: sync::Arc<str>,
    reply: tonic::Streaming<forward::ServeReply>,
    /// Whether the request may run again, so that a host without news is left.
    may_run_again: bool,
    guard: OutstandingGuard<D>,
}

impl<D: dialect::Dialect> PeerAnswer<D> {
    /// Returns the next bytes of the body, or `None` after the last ones.
    ///
    /// # Errors
    ///
    /// Returns the cause if the answer breaks off, or its host with it.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, &'static str> {
        let message = tokio::select! {
            message = self.reply.message() => message,
            () = wait_until_silent(&self.guard.cx, &self.peer), if self.may_run_again => {
                return Err("the other host fell silent");
            }
        };
        match message {
            Ok(Some(reply)) => match reply.reply {
                Some(forward::serve_reply::Reply::Data(data)) => Ok(Some(data.into())),
                _ => Err("unexpected message of the other host"),
            },
            Ok(None) => Ok(None),
            Err(_) => Err("the answer of the other host broke off"),
        }
    }

    /// Reads the rest of a body that isn't a stream.
    pub(crate) async fn read_to_end(mut self) -> Result<answer::Answer, &'static str> {
        let mut body = BytesMut::new();
        while let Some(data) = self.next().await? {
            if body.len() + data.len() > peer_service::MAX_MESSAGE_BYTES {
                return Err("answer too large");
            }
            body.extend_from_slice(&data);
        }
        Ok(answer::complete(self.status, self.headers, body.freeze()))
    }
}

/// Waits until a host's news have stopped.
async fn wait_until_silent<D: dialect::Dialect>(cx: &context::Router<D>, name: &str) {
    while locks::lock(&cx.peers).is_heard(name, cx.now()) {
        tokio::time::sleep(NEWS_CHECK_INTERVAL).await;
    }
}

/// A request that is passed on to other hosts, and what it has used up.
#[derive(Debug)]
pub(crate) struct PassedRequest<'a> {
    pub(crate) received: &'a send::CallerRequest,
    pub(crate) service: &'a sync::Arc<str>,
    pub(crate) kind: routing::Kind,
    /// How many servers its route allows.
    pub(crate) max_attempts: u32,
    /// When the answer must be complete, as time since boot.
    pub(crate) deadline: time::Duration,
    /// How many servers may have received it.
    pub(crate) used_attempts: u32,
    /// Servers that it isn't sent to again.
    pub(crate) tried: Vec<sync::Arc<str>>,
    /// The last event that the caller has, if a stream is continued.
    pub(crate) resume_after: Option<u64>,
    /// Id of the request that brought the first event of that stream.
    pub(crate) began_as: &'a str,
    /// The hosts that it was passed on to.
    pub(crate) asked: Vec<sync::Arc<str>>,
}

impl PassedRequest<'_> {
    fn id(&self) -> &str {
        self.received.head.request_id.as_deref().unwrap_or("-")
    }

    /// Returns whether it may be passed on at all: it wasn't before, and it either hasn't run or may run again.
    fn may_be_passed_on<D: dialect::Dialect>(&self, cx: &context::Router<D>) -> bool {
        let in_budget = self.used_attempts == 0 || cx.may_retry(self.service);
        self.received.forwarded.is_none()
            && self.received.runs().may_be_sent(self.kind)
            && in_budget
            && self.used_attempts < self.max_attempts
            && (self.resume_after.is_some() || cx.may_send(self.deadline))
            && self.deadline.saturating_sub(cx.now()) > MIN_TIME
    }

    /// Has other hosts answer the request, and returns the whole answer of one.
    ///
    /// # Errors
    ///
    /// Returns an error if no host answers.
    pub(crate) async fn answer<D: dialect::Dialect>(
        &mut self,
        cx: &sync::Arc<context::Router<D>>,
    ) -> Result<answer::Answer, Failure> {
        loop {
            let opened = self.open(cx).await?;
            let time_left = self.deadline.saturating_sub(cx.now());
            let reading = tokio::time::timeout(time_left, opened.read_to_end());
            match reading.await.unwrap_or(Err("no answer in time")) {
                Ok(answer) => return Ok(answer),
                Err(cause) => self.record_broken(cx, cause)?,
            }
        }
    }

    /// Has another host answer the request, and returns the answer once its head has arrived. Tries further hosts
    /// if one declines, or if the request may run again.
    ///
    /// # Errors
    ///
    /// Returns an error if no host answers.
    pub(crate) async fn open<D: dialect::Dialect>(
        &mut self,
        cx: &sync::Arc<context::Router<D>>,
    ) -> Result<PeerAnswer<D>, Failure> {
        while self.asked.len() < MAX_PEERS && self.may_be_passed_on(cx) {
            let Some(helper) = self.choose(cx) else {
                break;
            };
            self.asked.push(helper.name.clone());
            let guard = OutstandingGuard::new(cx, &helper.name);
            let client = match connect(cx, &helper).await {
                Ok(client) => client,
                Err(status) => {
                    self.record_declined(cx, &helper, status.message());
                    continue;
                }
            };
            cx.telemetry.count("peers.passed_on");
            event!(Info, "passed-on", "id" => self.id(), "host" => helper.name,
                "service" => self.service, "used_attempts" => self.used_attempts);
            match self.call(cx, client, &helper, guard).await {
                Ok(answer) => return Ok(answer),
                Err(peer_reply::CallFailure::Declined(cause)) => {
                    self.record_declined(cx, &helper, &cause)
                }
                Err(peer_reply::CallFailure::Broken(cause)) => {
                    disconnect(cx, &helper.name);
                    self.record_broken(cx, cause)?;
                }
            }
        }
        // Without another host, what ended the attempts before is the answer.
        match self.asked.is_empty() || self.received.runs().may_be_refused() {
            true => Err(Failure::NotSent),
            false => Err(Failure::Unknown("no other host answered")),
        }
    }

    /// Chooses a host that can serve the request.
    fn choose<D: dialect::Dialect>(&self, cx: &context::Router<D>) -> Option<Helper> {
        let mut candidates = candidates(cx, self.service);
        candidates.retain(|candidate| !self.asked.contains(&candidate.name));
        let chosen = peer_choice::choose(&candidates, &cx.settings().zone, rand::random())?;
        let peers = locks::lock(&cx.peers);
        let entry = peers
            .all(cx.now())
            .find(|(entry, _)| entry.name == chosen.name);
        entry.map(|(entry, _)| Helper {
            name: entry.name.clone(),
            incarnation: entry.incarnation,
            addr: entry.news_addr,
        })
    }

    /// Records that a host doesn't serve the request, and hasn't sent it to a server.
    fn record_declined<D: dialect::Dialect>(
        &self,
        cx: &context::Router<D>,
        helper: &Helper,
        cause: &str,
    ) {
        cx.telemetry.count("peers.declined");
        event!(Info, "declined", "id" => self.id(), "host" => helper.name, "cause" => cause);
        let until = cx.now() + DECLINED_FOR;
        let key = (helper.name.clone(), self.service.clone());
        locks::lock(&cx.via_peer.declined).insert(key, until);
    }

    /// Records that a host may have sent the request to a server, and didn't answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the request may not be passed on again.
    fn record_broken<D: dialect::Dialect>(
        &mut self,
        cx: &context::Router<D>,
        cause: &'static str,
    ) -> Result<(), Failure> {
        cx.telemetry.count("peers.broken");
        event!(Info, "peer-failed", "id" => self.id(), "host" => self.asked.last(), "cause" => cause);
        self.used_attempts += 1;
        match self.may_be_passed_on(cx) {
            true => Ok(()),
            false => Err(Failure::Unknown(cause)),
        }
    }

    async fn call<D: dialect::Dialect>(
        &self,
        cx: &sync::Arc<context::Router<D>>,
        mut client: Client,
        helper: &Helper,
        guard: OutstandingGuard<D>,
    ) -> Result<PeerAnswer<D>, peer_reply::CallFailure> {
        let may_run_again = self.kind.may_run_again();
        let time_left = self.deadline.saturating_sub(cx.now());
        let message = self.message(cx, time_left);
        let attempt = self.received.attempts.start();
        let exchange = async {
            let reply = client.serve(message).await;
            let mut reply = reply
                .map_err(|status| peer_reply::refused_or_broken(&status))?
                .into_inner();
            let first = reply.message().await.map_err(|_| {
                peer_reply::CallFailure::Broken("the call to the other host broke off")
            })?;
            Ok((reply, first))
        };
        let exchanged = tokio::select! {
            exchanged = exchange => exchanged,
            () = tokio::time::sleep(time_left) => {
                return Err(peer_reply::CallFailure::Broken("no answer of the other host in time"));
            }
            () = wait_until_silent(cx, &helper.name), if may_run_again => {
                return Err(peer_reply::CallFailure::Broken("the other host fell silent"));
            }
        };
        let read = exchanged.and_then(|(reply, first)| Ok((reply, peer_reply::read_head(first)?)));
        match &read {
            Ok((_, (status, _))) if stream_request::implies_not_run(*status) => {
                attempt.end(outcome::AttemptEnd::Refused);
            }
            Ok(_) => attempt.end(outcome::AttemptEnd::Answered),
            Err(peer_reply::CallFailure::Declined(_)) => attempt.end(outcome::AttemptEnd::Refused),
            Err(peer_reply::CallFailure::Broken(_)) => attempt.end(outcome::AttemptEnd::MayHaveRun),
        }
        let (reply, (status, head)) = read?;
        Ok(PeerAnswer {
            status,
            headers: peer_service::read_headers(head.headers),
            is_stream: head.is_stream,
            peer: helper.name.clone(),
            reply,
            may_run_again,
            guard,
        })
    }

    fn message<D: dialect::Dialect>(
        &self,
        cx: &context::Router<D>,
        time_left: time::Duration,
    ) -> forward::ServeRequest {
        let received = self.received;
        forward::ServeRequest {
            caller: received.caller.to_string(),
            method: received.method.to_string(),
            target: received.target.to_string(),
            headers: peer_service::write_headers(&received.headers),
            body: received.body.to_vec(),
            time_left_ms: clock::millis(time_left),
            config_version: cx.table().map_or(0, |table| table.version),
            used_attempts: self.used_attempts,
            may_have_run: self.received.runs().may_have_run(),
            tried: self.tried.iter().map(ToString::to_string).collect(),
            resume_after: self.resume_after,
            began_as: self.began_as.to_owned(),
            suspected_crashes: cx.crash_checks.open_count(received.digest) as u32,
        }
    }
}
