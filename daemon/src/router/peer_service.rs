//! Calls from other hosts: serves requests for those that reach no server.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use futures_util::StreamExt as _;
use http_body_util::BodyExt as _;
use tokio::sync::mpsc;
use tokio_stream::wrappers;
use tonic::service;
use tonic::transport;
use walnuthaven_lib::dialect;
use walnuthaven_wire::forward as wire;
use walnuthaven_wire::forward::forward_server;

use crate::locks;
use crate::router::answer;
use crate::router::context;
use crate::router::crash_witness;
use crate::router::events::event;
use crate::router::events::limited_event;
use crate::router::forward;
use crate::router::peer_connections;
use crate::sockets;

/// Interval of HTTP/2 keep-alive pings while calls are open.
pub(crate) const PING_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// A connection is closed if a ping is unanswered this long. A host that is short of processor time answers late.
pub(crate) const PING_TIMEOUT: time::Duration = time::Duration::from_secs(4);
/// Largest message in bytes: a request's body and headers.
pub(crate) const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;
/// Maximum number of requests that are served for other hosts at a time. Each takes some ten kilobytes.
const MAX_SERVED: usize = 512;
/// Longest time for a call to be received and the answer to begin.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Bytes that a host may send ahead on a call, and on all calls of a connection.
const CALL_WINDOW: u32 = 64 * 1024;
const CONNECTION_WINDOW: u32 = 128 * 1024;
/// Number of messages of an answer that are buffered while the other host doesn't read.
const MESSAGE_BUFFER: usize = 8;

/// Binds an address and starts to handle calls from other hosts.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub(crate) fn spawn<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    addr: net::SocketAddr,
) -> std::io::Result<()> {
    let buffers = sockets::Buffers {
        receive: cx.clients.limits().client_socket_buffer,
        send: None,
    };
    let listener = sockets::listen(addr, buffers, MAX_SERVED as u32)?;
    let connections = peer_connections::PeerConnections::new(cx.clients.clone());
    let connections = sync::Arc::new(connections);
    let admitting = connections.clone();
    let incoming = transport::server::TcpIncoming::from(listener).with_nodelay(Some(true));
    let incoming = incoming.then(move |accepted| {
        let connections = admitting.clone();
        async move { connections.admit(accepted?).await }
    });
    let service = forward_server::ForwardServer::new(Service {
        cx: cx.clone(),
        served: sync::Arc::default(),
    });
    let service = service
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let sender_cx = cx.clone();
    let service = service::interceptor::InterceptedService::new(service, move |req| {
        check_sender(&sender_cx, req)
    });
    let service = peer_connections::CountedService {
        service,
        connections,
    };
    tokio::spawn(async move {
        let served = transport::Server::builder()
            .timeout(CALL_TIMEOUT)
            .initial_stream_window_size(CALL_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_concurrent_streams(MAX_SERVED as u32)
            .http2_keepalive_interval(Some(PING_INTERVAL))
            .http2_keepalive_timeout(Some(PING_TIMEOUT))
            .add_service(service)
            .serve_with_incoming(incoming)
            .await;
        if let Err(error) = served {
            event!(Error, "peer-calls-failed", "cause" => error.to_string());
        }
    });
    Ok(())
}

struct Service<D> {
    cx: sync::Arc<context::Router<D>>,
    /// Number of requests that are served for other hosts.
    served: sync::Arc<atomic::AtomicUsize>,
}

/// Counts a request as served for another host until it is dropped.
struct ServedGuard(sync::Arc<atomic::AtomicUsize>);

impl Drop for ServedGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Checks that a call comes from the address of a known host, before its message is read.
fn check_sender<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: tonic::Request<()>,
) -> Result<tonic::Request<()>, tonic::Status> {
    let sender = req.extensions().get::<peer_connections::Sender>();
    let is_known =
        |sender: &&peer_connections::Sender| locks::lock(&cx.peers).has_address(sender.addr());
    if let Some(sender) = sender.filter(is_known) {
        sender.set_known();
        return Ok(req);
    }
    let address = sender.map(|sender| sender.addr());
    limited_event!(Warn, "stranger-refused", "address" => address);
    Err(tonic::Status::permission_denied("not a known host"))
}

impl<D: dialect::Dialect> Service<D> {
    /// Returns why this host doesn't serve a request for another one, if it doesn't.
    fn reason_to_decline(&self, call: &wire::ServeRequest) -> Option<&'static str> {
        let cx = &self.cx;
        let version = cx.table().map_or(0, |table| table.version);
        if !cx.takes_callers() {
            Some("takes no requests")
        } else if version < call.config_version {
            Some("older configuration")
        } else if self.served.load(atomic::Ordering::Relaxed) >= MAX_SERVED {
            Some("serves too many requests of other hosts")
        } else {
            None
        }
    }
}

type Replies = wrappers::ReceiverStream<Result<wire::ServeReply, tonic::Status>>;
type ReplySender = mpsc::Sender<Result<wire::ServeReply, tonic::Status>>;

#[tonic::async_trait]
impl<D: dialect::Dialect> forward_server::Forward for Service<D> {
    type ServeStream = Replies;

    async fn serve(
        &self,
        req: tonic::Request<wire::ServeRequest>,
    ) -> Result<tonic::Response<Replies>, tonic::Status> {
        let call = req.into_inner();
        let (tx, rx) = mpsc::channel(MESSAGE_BUFFER);
        let cx = self.cx.clone();
        let decline = self.reason_to_decline(&call);
        self.served.fetch_add(1, atomic::Ordering::Relaxed);
        let guard = ServedGuard(self.served.clone());
        tokio::spawn(async move {
            let _guard = guard;
            let sent = match decline {
                Some(cause) => send_declined(&tx, cause).await,
                // The other host drops the call when its caller has left.
                None => tokio::select! {
                    sent = serve(&cx, call, &tx) => sent,
                    () = tx.closed() => return,
                },
            };
            if sent.is_err() {
                event!(Info, "forwarded-call-left", "cause" => "the other host dropped the call");
            }
        });
        Ok(tonic::Response::new(wrappers::ReceiverStream::new(rx)))
    }

    async fn check_server(
        &self,
        req: tonic::Request<wire::CheckServerRequest>,
    ) -> Result<tonic::Response<wire::CheckServerReply>, tonic::Status> {
        let state = crash_witness::check(&self.cx, req.get_ref()).await.into();
        Ok(tonic::Response::new(wire::CheckServerReply { state }))
    }
}

/// The other host has dropped the call.
type Left = mpsc::error::SendError<Result<wire::ServeReply, tonic::Status>>;

async fn send_reply(tx: &ReplySender, reply: wire::serve_reply::Reply) -> Result<(), Left> {
    tx.send(Ok(wire::ServeReply { reply: Some(reply) })).await
}

async fn send_declined(tx: &ReplySender, cause: &str) -> Result<(), Left> {
    let cause = cause.to_owned();
    let declined = wire::serve_reply::Reply::Declined(wire::Declined { cause });
    send_reply(tx, declined).await
}

/// Serves a request of another host's caller, and sends the answer.
async fn serve<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    call: wire::ServeRequest,
    tx: &ReplySender,
) -> Result<(), Left> {
    let answer = match forward::handle_forwarded(cx, call).await {
        Ok(answer) => answer,
        Err(cause) => {
            event!(Warn, "peer-call-unreadable", "cause" => cause);
            return send_declined(tx, cause).await;
        }
    };
    if answer.extensions().get::<answer::Unreached>().is_some() {
        return send_declined(tx, "reaches no server").await;
    }
    let (parts, mut body) = answer.into_parts();
    let head = wire::AnswerHead {
        status: parts.status.as_u16().into(),
        headers: write_headers(&parts.headers),
        is_stream: matches!(body, answer::ResponseBody::Events(_)),
    };
    send_reply(tx, wire::serve_reply::Reply::Head(head)).await?;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                let data = frame.into_data().unwrap_or_default();
                send_reply(tx, wire::serve_reply::Reply::Data(data.into())).await?;
            }
            Err(broken) => {
                return tx
                    .send(Err(tonic::Status::aborted(broken.to_string())))
                    .await;
            }
        }
    }
    Ok(())
}

/// Encodes headers.
pub(crate) fn write_headers(headers: &http::HeaderMap) -> Vec<wire::Header> {
    let headers = headers.iter().map(|(name, value)| wire::Header {
        name: name.to_string(),
        value: value.as_bytes().to_vec(),
    });
    headers.collect()
}

/// Decodes headers, without those that are malformed.
pub(crate) fn read_headers(headers: Vec<wire::Header>) -> http::HeaderMap {
    let mut read = http::HeaderMap::new();
    for header in headers {
        let name = http::HeaderName::from_bytes(header.name.as_bytes());
        let value = http::HeaderValue::from_bytes(&header.value);
        match (name, value) {
            (Ok(name), Ok(value)) => {
                read.append(name, value);
            }
            _ => event!(Warn, "peer-call-unreadable", "cause" => "header", "header" => header.name),
        }
    }
    read
}
