//! An HTTP server that can be stopped abruptly, as if its process had crashed.

use std::convert;
use std::net;

use axum::body;
use hyper_util::rt;
use hyper_util::server::conn;
use hyper_util::service;
use tokio::task;

/// Serves connections until the future is dropped, which closes all of them at once.
pub async fn serve(listener: tokio::net::TcpListener, router: axum::Router) -> convert::Infallible {
    let mut connections = task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        // Sends small frames at once. If the option can't be set, they are only delayed.
        let _ = stream.set_nodelay(true);
        let router = router.clone();
        connections.spawn(async move {
            let service = service::TowerToHyperService::new(router);
            let with_axum_body = hyper::service::service_fn(move |req: hyper::Request<_>| {
                hyper::service::Service::call(&service, req.map(body::Body::new))
            });
            let builder = conn::auto::Builder::new(rt::TokioExecutor::new());
            // Connection errors are noticed and handled by the client.
            let _ = builder
                .serve_connection(rt::TokioIo::new(stream), with_axum_body)
                .await;
        });
        while connections.try_join_next().is_some() {}
    }
}

/// Binds an ephemeral loopback port.
///
/// # Errors
///
/// Returns an error if no port is free.
pub async fn bind() -> anyhow::Result<tokio::net::TcpListener> {
    let any_port = net::SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(tokio::net::TcpListener::bind(any_port).await?)
}

/// Binds an address whose previous listener was just closed, retrying while it is in use.
///
/// # Errors
///
/// Returns an error if the address stays in use.
pub async fn rebind(addr: net::SocketAddr) -> anyhow::Result<tokio::net::TcpListener> {
    let mut failures = 0;
    loop {
        match tokio::net::TcpListener::bind(addr).await {
            Ok(listener) => return Ok(listener),
            Err(error) if failures >= MAX_REBIND_ATTEMPTS => return Err(error.into()),
            Err(_) => failures += 1,
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}

const MAX_REBIND_ATTEMPTS: u32 = 40;
