//! Serving HTTP in a way that can be cut off like a crashed process.

use std::convert;
use std::net;

use axum::body;
use hyper_util::rt;
use hyper_util::server::conn;
use hyper_util::service;
use tokio::task;

/// Accepts connections until the future is dropped, which cuts all of them.
pub async fn serve(listener: tokio::net::TcpListener, router: axum::Router) -> convert::Infallible {
    let mut connections = task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        // Small frames must go out at once; failing to set this only delays them.
        let _ = stream.set_nodelay(true);
        let router = router.clone();
        connections.spawn(async move {
            let service = service::TowerToHyperService::new(router);
            let mapped = hyper::service::service_fn(move |req: hyper::Request<_>| {
                hyper::service::Service::call(&service, req.map(body::Body::new))
            });
            let builder = conn::auto::Builder::new(rt::TokioExecutor::new());
            // A connection that breaks is the other side's affair.
            let _ = builder
                .serve_connection(rt::TokioIo::new(stream), mapped)
                .await;
        });
        while connections.try_join_next().is_some() {}
    }
}

/// Binds an ephemeral loopback port.
///
/// # Errors
///
/// Returns an error if no port can be had.
pub async fn bind() -> anyhow::Result<tokio::net::TcpListener> {
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(tokio::net::TcpListener::bind(any).await?)
}

/// Binds a port again that was just closed.
///
/// # Errors
///
/// Returns an error if the port stays in use.
pub async fn rebind(addr: net::SocketAddr) -> anyhow::Result<tokio::net::TcpListener> {
    let mut tries = 0;
    loop {
        match tokio::net::TcpListener::bind(addr).await {
            Ok(listener) => return Ok(listener),
            Err(error) if tries >= REBIND_TRIES => return Err(error.into()),
            Err(_) => tries += 1,
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}

const REBIND_TRIES: u32 = 40;
