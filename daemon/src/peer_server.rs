//! Server for calls from other hosts (gRPC).

use std::sync;
use std::time;

use futures_util::StreamExt as _;
use tokio::sync::mpsc;
use tokio_stream::wrappers;
use tonic::service;
use tonic::transport;
use walnuthaven_lib::auth;
use walnuthaven_lib::clock;
use walnuthaven_lib::grant;
use walnuthaven_lib::ids;
use walnuthaven_lib::permit;
use walnuthaven_lib::queue;
use walnuthaven_lib::refusal;
use walnuthaven_wire::peer;
use walnuthaven_wire::peer::peer_server;

use crate::answer;
use crate::configure;
use crate::connections;
use crate::convert;
use crate::drain;
use crate::endpoints;
use crate::generate;
use crate::gossip;
use crate::host;
use crate::jobs_api;
use crate::journal_store;
use crate::locks;
use crate::peer_client;
use crate::plain;
use crate::poll;
use crate::router::peer_connections;

const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Handles calls from other hosts until this host has left the fleet.
pub async fn serve(cx: sync::Arc<host::Host>, listener: tokio::net::TcpListener) {
    let key = cx.settings.fleet_key.clone();
    let check_host_key =
        move |req: tonic::Request<()>| -> Result<tonic::Request<()>, tonic::Status> {
            let presented = req.metadata().get(peer_client::HOST_KEY_METADATA);
            let presented = presented.and_then(|value| value.to_str().ok());
            match presented.is_some_and(|presented| auth::constant_time_eq(presented, &key.0)) {
                true => {
                    if let Some(sender) = req.extensions().get::<peer_connections::Sender>() {
                        sender.set_known();
                    }
                    Ok(req)
                }
                false => Err(tonic::Status::unauthenticated("the host key is wrong")),
            }
        };
    let server = peer_server::PeerServer::new(Server { cx: cx.clone() })
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let server = service::interceptor::InterceptedService::new(server, check_host_key);
    let connections = peer_connections::PeerConnections::new(cx.clients.clone());
    let connections = sync::Arc::new(connections);
    let incoming = transport::server::TcpIncoming::from(listener).with_nodelay(Some(true));
    let incoming = incoming.then(move |accepted| {
        let connections = connections.clone();
        async move { connections.admit(accepted?).await }
    });
    let ended = drain::wait_until_left(&cx);
    let served = transport::Server::builder()
        .add_service(server)
        .serve_with_incoming_shutdown(incoming, ended)
        .await;
    if let Err(error) = served {
        log::error!("the server for other hosts failed: {error}");
    }
}

struct Server {
    cx: sync::Arc<host::Host>,
}

type RunEvents = wrappers::ReceiverStream<Result<peer::RunEvent, tonic::Status>>;
/// Number of events of a run that are buffered while the other host does not read.
const EVENT_BUFFER: usize = 8;

#[tonic::async_trait]
impl peer_server::Peer for Server {
    async fn probe(
        &self,
        req: tonic::Request<peer::ProbeRequest>,
    ) -> Result<tonic::Response<peer::ProbeReply>, tonic::Status> {
        let call = req.into_inner();
        let bytes = prost::Message::encoded_len(&call) as u64;
        host::Counters::add(&self.cx.counters.control_bytes, bytes);
        gossip::handle_probe(&self.cx, &call);
        Ok(tonic::Response::new(gossip::probe_reply(&self.cx)))
    }

    async fn probe_via(
        &self,
        req: tonic::Request<peer::ProbeViaRequest>,
    ) -> Result<tonic::Response<peer::ProbeViaReply>, tonic::Status> {
        let name = req.into_inner().target;
        let target = locks::lock(&self.cx.members).get(&name).cloned();
        let reached = match target {
            None => false,
            Some(target) => {
                let call = gossip::probe_request(&self.cx);
                self.cx.peers.probe(&target.peer_addr, call).await.is_ok()
            }
        };
        Ok(tonic::Response::new(peer::ProbeViaReply { reached }))
    }

    type RunStream = RunEvents;

    async fn run(
        &self,
        req: tonic::Request<peer::RunRequest>,
    ) -> Result<tonic::Response<RunEvents>, tonic::Status> {
        let call = req.into_inner();
        let entry = call.entry.clone();
        let request = self.parse_run_request(call)?;
        let Some(id) = request.id.clone() else {
            return Err(tonic::Status::invalid_argument("request id is missing"));
        };
        let (tx, rx) = mpsc::channel(EVENT_BUFFER);
        self.cx.relayed.insert(id.number, &entry);
        let accepted = generate::accept_at_home(&self.cx, request, id);
        tokio::spawn(send_events(self.cx.clone(), accepted, tx));
        Ok(tonic::Response::new(RunEvents::new(rx)))
    }

    async fn call(
        &self,
        req: tonic::Request<peer::CallRequest>,
    ) -> Result<tonic::Response<peer::CallReply>, tonic::Status> {
        let call = req.into_inner();
        let reply = match plain::call_forwarded(&self.cx, call).await {
            Ok(reply) => peer::CallReply {
                status: u32::from(reply.status),
                body: reply.body.to_vec(),
                content_type: reply.content_type,
                refusal: None,
            },
            Err(refusal) => peer::CallReply {
                refusal: Some(convert::refusal_to_wire(&refusal)),
                ..peer::CallReply::default()
            },
        };
        Ok(tonic::Response::new(reply))
    }

    async fn acquire(
        &self,
        req: tonic::Request<peer::AcquireRequest>,
    ) -> Result<tonic::Response<peer::AcquireReply>, tonic::Status> {
        let call = req.into_inner();
        let outcome = match self.acquire_engines(&call).await? {
            Ok(grant) => peer::acquire_reply::Outcome::Grant(convert::grant_to_wire(&grant)),
            Err(refusal) => {
                peer::acquire_reply::Outcome::Refusal(convert::refusal_to_wire(&refusal))
            }
        };
        let outcome = Some(outcome);
        Ok(tonic::Response::new(peer::AcquireReply { outcome }))
    }

    async fn report(
        &self,
        req: tonic::Request<peer::ReportRequest>,
    ) -> Result<tonic::Response<peer::ReportReply>, tonic::Status> {
        let call = req.into_inner();
        for report in &call.reports {
            self.on_report(&call.cell, report);
        }
        Ok(tonic::Response::new(peer::ReportReply {}))
    }

    async fn hold_permit(
        &self,
        req: tonic::Request<peer::PermitRequest>,
    ) -> Result<tonic::Response<peer::PermitReply>, tonic::Status> {
        let call = req.into_inner();
        let mut permits = locks::lock(&self.cx.permits);
        let now = self.cx.now();
        let held = match call.outcome.as_str() {
            "" => permits.hold(&call.request, now),
            "answered" => {
                permits.record_outcome(&call.request, permit::State::Answered, now);
                false
            }
            "not_run" => {
                permits.record_outcome(&call.request, permit::State::NotRun, now);
                false
            }
            other => {
                let message = format!("outcome: {other:?} is unknown");
                return Err(tonic::Status::invalid_argument(message));
            }
        };
        Ok(tonic::Response::new(peer::PermitReply { held }))
    }

    async fn confirm(
        &self,
        req: tonic::Request<peer::ConfirmRequest>,
    ) -> Result<tonic::Response<peer::ConfirmReply>, tonic::Status> {
        let call = req.into_inner();
        let kept = match call.request.parse::<ids::RequestId>() {
            Ok(id) => {
                self.cx.relayed.remove(id.number);
                connections::record_delivery_at_home(&self.cx, &id, true, call.delivered);
                true
            }
            // Not a request id, so it is the id of a job.
            Err(_) => {
                let kept = jobs_api::confirm_here(&self.cx, &call.request).await;
                kept == journal_store::Persisted::Yes
            }
        };
        Ok(tonic::Response::new(peer::ConfirmReply { kept }))
    }

    async fn lookup(
        &self,
        req: tonic::Request<peer::LookupRequest>,
    ) -> Result<tonic::Response<peer::LookupReply>, tonic::Status> {
        let call = req.into_inner();
        let id = parse_id(&call.request)?;
        if call.fence {
            let refusal = locks::lock(&self.cx.permits).answer_for(&call.request, self.cx.now());
            let reply = peer::LookupReply {
                refusal: Some(convert::refusal_to_wire(&refusal)),
                ..peer::LookupReply::default()
            };
            return Ok(tonic::Response::new(reply));
        }
        let state = locks::lock(&self.cx.request_table)
            .state(id.number)
            .cloned();
        let steps = self.cx.traces.get(&call.request);
        let reply = peer::LookupReply {
            state: state.map(|state| format!("{state:?}")).unwrap_or_default(),
            refusal: None,
            trace: steps.into_iter().map(|step| step.what).collect(),
        };
        Ok(tonic::Response::new(reply))
    }

    async fn endpoints(
        &self,
        req: tonic::Request<peer::EndpointsRequest>,
    ) -> Result<tonic::Response<peer::EndpointsReply>, tonic::Status> {
        let cell = req.into_inner().cell;
        let endpoints = self.cx.plain.stewarded(&cell);
        let endpoints = endpoints.into_iter().map(|endpoint| peer::Endpoint {
            name: endpoint.name.to_string(),
            addr: endpoint.addr.to_string(),
            zone: endpoint.zone.to_string(),
        });
        Ok(tonic::Response::new(peer::EndpointsReply {
            endpoints: endpoints.collect(),
            valid_ms: clock::millis(endpoints::VALID_FOR),
        }))
    }

    async fn push_config(
        &self,
        req: tonic::Request<peer::ConfigPush>,
    ) -> Result<tonic::Response<peer::ConfigAck>, tonic::Status> {
        configure::receive_push(&self.cx, &req.into_inner());
        let digest = locks::read(&self.cx.config).digest();
        Ok(tonic::Response::new(peer::ConfigAck { digest }))
    }

    async fn fetch_config(
        &self,
        req: tonic::Request<peer::ConfigFetch>,
    ) -> Result<tonic::Response<peer::ConfigPush>, tonic::Status> {
        let known = req.into_inner().known;
        let push = configure::documents_newer_than(&self.cx, &known);
        Ok(tonic::Response::new(push))
    }
}

impl Server {
    /// Converts a call to run a request into the request that it describes.
    fn parse_run_request(
        &self,
        call: peer::RunRequest,
    ) -> Result<generate::Request, tonic::Status> {
        let id = parse_id(&call.request)?;
        let config = locks::read(&self.cx.config);
        let workspace = config.get(&call.workspace).cloned();
        let workspace = workspace.ok_or_else(|| {
            let message = format!("workspace {:?} is not in force here", call.workspace);
            tonic::Status::failed_precondition(message)
        })?;
        let service = workspace.document.service(&call.service).cloned();
        let service = service.ok_or_else(|| {
            let message = format!("service {:?} is not in force here", call.service);
            tonic::Status::failed_precondition(message)
        })?;
        let class = queue::Class::parse(&call.priority);
        let class = class.ok_or_else(|| tonic::Status::invalid_argument("priority"))?;
        let waited = time::Duration::from_millis(call.waited_ms);
        Ok(generate::Request {
            arrived: self.cx.now().saturating_sub(waited),
            prompt: call.prompt,
            max_tokens: call.max_tokens,
            repeatable: call.repeatable && service.repeatable,
            offset: call.offset,
            id: Some(id),
            workspace,
            service,
            class,
        })
    }

    /// Requests engines from a cell that this host stewards, and waits until they are granted or
    /// refused.
    async fn acquire_engines(
        &self,
        call: &peer::AcquireRequest,
    ) -> Result<Result<grant::Grant, refusal::Refusal>, tonic::Status> {
        let spec = configure::find_cell(&self.cx, &call.cell);
        let spec = spec.ok_or_else(|| {
            let message = format!("cell {:?} is not in force here", call.cell);
            tonic::Status::failed_precondition(message)
        })?;
        let request = convert::engine_request_from_wire(call);
        let mut request = request.ok_or_else(|| tonic::Status::invalid_argument("priority"))?;
        request.suspect |=
            locks::lock(&self.cx.quarantine).is_suspect(request.digest, self.cx.unix_time());
        let cell = self.cx.steward.cell(&spec);
        Ok(cell.acquire(&self.cx, request).await)
    }

    /// Passes a home's report on a grant to the cell that made the grant.
    fn on_report(&self, name: &str, report: &peer::GrantReport) {
        let Some(cell) = self.cx.steward.find(name) else {
            return;
        };
        let event = match report.event() {
            peer::GrantEvent::Prefilled => grant::Event::Prefilled,
            peer::GrantEvent::Released => grant::Event::Released,
            peer::GrantEvent::Completed => grant::Event::Completed,
            peer::GrantEvent::Crashed => {
                let server = report.server.as_str().into();
                return poll::on_reported_crash(&self.cx, name, report.grant, &server);
            }
            peer::GrantEvent::Unspecified => return,
        };
        cell.on_grant_event(report.grant, event, self.cx.now());
    }
}

fn parse_id(text: &str) -> Result<ids::RequestId, tonic::Status> {
    let id = text.parse();
    id.map_err(|error: ids::ParseError| tonic::Status::invalid_argument(error.to_string()))
}

/// Streams an answer to the host that the caller is connected to. When that host drops the stream,
/// this function ends and drops the answer's reader.
async fn send_events(
    cx: sync::Arc<host::Host>,
    request: Result<generate::AcceptedRequest, refusal::Refusal>,
    tx: mpsc::Sender<Result<peer::RunEvent, tonic::Status>>,
) {
    let mut request = match request {
        Ok(request) => request,
        Err(refusal) => {
            let refusal = convert::refusal_to_wire(&refusal);
            return send(&tx, peer::run_event::Event::Refusal(refusal)).await;
        }
    };
    let accepted = peer::Accepted { attached: false };
    send(&tx, peer::run_event::Event::Accepted(accepted)).await;
    loop {
        let chunk = tokio::select! {
            chunk = request.reader.next() => chunk,
            () = tx.closed() => return,
        };
        match chunk {
            answer::Chunk::Tokens(offset, tokens) => {
                let text = tokens.iter().map(|token| token.to_string()).collect();
                let tokens = peer::Tokens { offset, text };
                send(&tx, peer::run_event::Event::Tokens(tokens)).await;
            }
            answer::Chunk::End(answer::End::Complete) => {
                request.delivery.record_sent(&cx);
                let total = request.reader.position();
                let finished = peer::Finished { total };
                return send(&tx, peer::run_event::Event::Finished(finished)).await;
            }
            answer::Chunk::End(answer::End::Refused(refusal)) => {
                let refusal = convert::refusal_to_wire(&refusal);
                return send(&tx, peer::run_event::Event::Refusal(refusal)).await;
            }
        }
    }
}

/// Sends an event. A closed channel is ignored here, since the caller notices it.
async fn send(
    tx: &mpsc::Sender<Result<peer::RunEvent, tonic::Status>>,
    event: peer::run_event::Event,
) {
    let _ = tx.send(Ok(peer::RunEvent { event: Some(event) })).await;
}
