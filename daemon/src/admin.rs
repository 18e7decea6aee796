//! The HTTP server for the operators' API and console. Its handlers run on threads of their own.

use std::convert;
use std::io::Read as _;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use tokio::runtime;

use crate::admin_api;
use crate::console;
use crate::host;
use crate::router::clients;
use crate::router::connection_timer;
use crate::router::read_limit;

/// Number of operators' requests that are handled at a time.
const HANDLERS: usize = 4;
/// Largest body in bytes, a little more than the API accepts.
const MAX_BODY_BYTES: usize = 2_100_000;
/// Largest head in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Bytes that are read at a time.
const MAX_READ: usize = 8 * 1024;
/// How long a connection may be idle, and how long a head may take.
const TIME_LIMITS: connection_timer::TimeLimits = connection_timer::TimeLimits {
    idle: time::Duration::from_secs(60),
    head: time::Duration::from_secs(10),
};
/// Longest time to receive a body.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// What the handlers of operators' requests have access to.
#[derive(Debug)]
pub struct Admin {
    /// The host.
    pub cx: sync::Arc<host::Host>,
    /// The runtime that handles callers' requests, for asynchronous work.
    pub runtime: runtime::Handle,
    handlers: tokio::sync::Semaphore,
}

/// Starts to accept operators' connections and to handle their requests.
pub fn serve(cx: sync::Arc<host::Host>, listener: tokio::net::TcpListener) {
    let admin = sync::Arc::new(Admin {
        cx,
        runtime: runtime::Handle::current(),
        handlers: tokio::sync::Semaphore::new(HANDLERS),
    });
    tokio::spawn(accept(admin, listener));
}

async fn accept(admin: sync::Arc<Admin>, listener: tokio::net::TcpListener) {
    let clients = admin.cx.clients.clone();
    loop {
        let accepted = match clients.accept(&listener).await {
            Ok(Some(accepted)) => accepted,
            Ok(None) => continue,
            Err(error) => {
                log::warn!("can't accept an operator's connection: {error}");
                tokio::time::sleep(time::Duration::from_millis(50)).await;
                continue;
            }
        };
        let client = accepted.registration.client().clone();
        let serving = serve_connection(admin.clone(), accepted.stream, accepted.addr, client);
        tokio::spawn(accepted.registration.run(serving));
    }
}

async fn serve_connection(
    admin: sync::Arc<Admin>,
    stream: tokio::net::TcpStream,
    addr: net::SocketAddr,
    client: clients::Client,
) {
    let head_state = connection_timer::HeadState::new(client);
    let (reader, writer) = stream.into_split();
    let (reader, read_limit) =
        read_limit::LimitedStream::new(reader, MAX_HEAD_BYTES, MAX_READ, None);
    let reader = connection_timer::TimedReader::new(reader, head_state.clone(), || TIME_LIMITS);
    let writer = connection_timer::TrackedWriter::new(writer, head_state.clone());
    let service = service::service_fn(move |req: http::Request<body::Incoming>| {
        let admin = admin.clone();
        let head_state = head_state.clone();
        head_state.set_head_read();
        read_limit.start();
        let req = req.map(|body| read_limit::LimitedBody::new(body, read_limit.clone()));
        Box::pin(async move {
            head_state.set_handled();
            let response = handle(admin, addr, head_state.client(), req).await;
            let response = response.map(|body| {
                let body = Full::new(head_state.client().hold_answer(body));
                connection_timer::TrackedBody::new(body, head_state)
            });
            Ok::<_, convert::Infallible>(response)
        })
    });
    let connection = http1::Builder::new()
        .header_read_timeout(None::<time::Duration>)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(rt::TokioIo::new(tokio::io::join(reader, writer)), service);
    if let Err(error) = connection.await {
        log::debug!("the connection of an operator at {addr} ended: {error}");
    }
}

/// Reads an operator's request and has it handled.
async fn handle(
    admin: sync::Arc<Admin>,
    addr: net::SocketAddr,
    client: &clients::Client,
    req: http::Request<read_limit::LimitedBody>,
) -> http::Response<Bytes> {
    let (parts, mut body) = req.into_parts();
    let stated = read_limit::stated_bytes(&body).unwrap_or(MAX_BODY_BYTES);
    if stated > MAX_BODY_BYTES {
        return plain(http::StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    }
    let Some(_held) = client.reserve(stated).await else {
        let status = http::StatusCode::SERVICE_UNAVAILABLE;
        return plain(status, "no memory for the body");
    };
    let reading = read_limit::collect(&mut body, stated, MAX_BODY_BYTES);
    let data = match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(data)) => data,
        Ok(Err(read_limit::BodyFault::TooLarge)) => {
            return plain(http::StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        Ok(Err(read_limit::BodyFault::BrokeOff)) => {
            return plain(http::StatusCode::BAD_REQUEST, "the body broke off");
        }
        Err(_) => return plain(http::StatusCode::REQUEST_TIMEOUT, "the body took too long"),
    };
    // The semaphore is never closed.
    let _permit = admin.handlers.acquire().await;
    let handler = admin.clone();
    let handled = tokio::task::spawn_blocking(move || {
        let text = |value: &http::HeaderValue| String::from_utf8_lossy(value.as_bytes()).into();
        let headers = parts.headers.iter();
        let headers = headers.map(|(name, value)| (name.to_string(), text(value)));
        let url = parts.uri.path_and_query().map_or("/", |url| url.as_str());
        let req = rouille::Request::fake_http_from(
            addr,
            parts.method.as_str(),
            url,
            headers.collect(),
            data.to_vec(),
        );
        convert(respond(&handler, &req))
    });
    match handled.await {
        Ok(response) => response,
        Err(error) => {
            log::error!("an operator's request failed: {error}");
            plain(
                http::StatusCode::INTERNAL_SERVER_ERROR,
                "the request failed",
            )
        }
    }
}

fn plain(status: http::StatusCode, reason: &'static str) -> http::Response<Bytes> {
    let mut response = http::Response::new(Bytes::from_static(reason.as_bytes()));
    *response.status_mut() = status;
    response
}

/// Converts a handler's response.
fn convert(response: rouille::Response) -> http::Response<Bytes> {
    let (mut reader, _) = response.data.into_reader_and_size();
    let mut data = Vec::new();
    if let Err(error) = reader.read_to_end(&mut data) {
        log::warn!("the answer to an operator's request can't be read: {error}");
        return plain(
            http::StatusCode::INTERNAL_SERVER_ERROR,
            "the request failed",
        );
    }
    let mut converted = http::Response::new(Bytes::from(data));
    if let Ok(status) = http::StatusCode::from_u16(response.status_code) {
        *converted.status_mut() = status;
    }
    for (name, value) in response.headers {
        let name = http::HeaderName::from_bytes(name.as_bytes());
        let value = http::HeaderValue::from_str(&value);
        if let (Ok(name), Ok(value)) = (name, value) {
            converted.headers_mut().append(name, value);
        }
    }
    converted
}

fn respond(admin: &Admin, req: &rouille::Request) -> rouille::Response {
    match req.url().starts_with("/admin/") {
        true => admin_api::respond(admin, req),
        false => console::respond(admin, req),
    }
}
