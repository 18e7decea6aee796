//! Limits on what callers send to an entry host.

use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for an answer or a closed connection.
const TIMEOUT: time::Duration = time::Duration::from_secs(8);
/// The routes' time limit, by which a body has to arrive.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// The configuration's limit on the time to receive the head of a request.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Starts an entry host, with additional sections of settings, and one server of the service `gate`.
async fn start_host(extra_settings: &str) -> (hosts::Host, std::sync::Arc<server::Server>) {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let server = server::Server::start("i-a", None).await;
    server.register(&store, "gate");
    let host = hosts::Host::start_with(BINARY, "h1", addr, extra_settings);
    host.wait_ready().await;
    (host, server)
}

/// Waits until the host has logged a line that contains all of `parts`.
async fn wait_for_line(host: &hosts::Host, parts: [&str; 2]) {
    let start = time::Instant::now();
    let matches = |line: &str| parts.iter().all(|part| line.contains(part));
    while !host.log().lines().any(matches) {
        assert!(
            start.elapsed() < TIMEOUT,
            "no line with {parts:?}: {}",
            host.log()
        );
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn connection_with_incomplete_head_is_closed() {
    let (host, _server) = start_host("").await;
    let mut stream = tokio::net::TcpStream::connect(host.callers_addr)
        .await
        .unwrap();
    let start = time::Instant::now();
    stream
        .write_all(b"POST /once/x HTTP/1.1\r\nHost: h")
        .await
        .unwrap();
    let mut buf = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut buf)).await;
    assert!(read.is_ok(), "the connection is still open");
    assert!(start.elapsed() >= HEAD_TIMEOUT, "{:?}", start.elapsed());
    wait_for_line(&host, ["connection-closed", "head not received in time"]).await;
}

#[tokio::test]
async fn too_large_head_is_rejected() {
    let (host, server) = start_host("").await;
    let headers = format!("X-Own: {}\r\n", "x".repeat(100_000));
    let bytes = caller::request("POST", "/once/x", "r1", &headers, "pass 7");
    let answer = caller::send(host.callers_addr, &bytes, TIMEOUT).await;
    assert_eq!(answer.status, 431, "{answer:?}");
    assert_eq!(server.runs_of("r1"), 0);
    wait_for_line(&host, ["\"head-too-large\"", "\"id\":\"r1\""]).await;
    let headers = format!("X-Own: {}\r\n", "x".repeat(1_000_000));
    let bytes = caller::request("POST", "/once/x", "r2", &headers, "pass 7");
    let answer = caller::send(host.callers_addr, &bytes, TIMEOUT).await;
    assert!([0, 431].contains(&answer.status), "{answer:?}");
    assert_eq!(server.runs_of("r2"), 0);
    wait_for_line(&host, ["connection-closed", "head too large"]).await;
}

#[tokio::test]
async fn idle_connection_outlives_the_head_timeout() {
    let (host, server) = start_host("").await;
    let mut stream = tokio::net::TcpStream::connect(host.callers_addr)
        .await
        .unwrap();
    for id in ["r1", "r2"] {
        let bytes = caller::request("POST", "/once/x", id, "", "pass 7");
        stream.write_all(bytes.as_bytes()).await.unwrap();
        let answer = caller::read(&mut stream, TIMEOUT).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        tokio::time::sleep(HEAD_TIMEOUT + time::Duration::from_millis(500)).await;
    }
    assert_eq!(server.runs_of("r1") + server.runs_of("r2"), 2);
}

#[tokio::test]
async fn body_without_memory_is_refused_as_not_run() {
    let (host, server) = start_host("[limits]\nmemory = 90kB\n").await;
    let long = "x".repeat(40_000);
    let bytes = caller::request("POST", "/once/x", "r1", "", &long);
    let answer = caller::send(host.callers_addr, &bytes, TIMEOUT).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    let bytes = caller::request("POST", "/once/x", "r2", "", "pass 7");
    let answer = caller::send(host.callers_addr, &bytes, TIMEOUT).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!((server.runs_of("r1"), server.runs_of("r2")), (0, 1));
}

#[tokio::test]
async fn head_that_arrived_while_the_host_stood_still_is_read() {
    let (host, server) = start_host("").await;
    let mut stream = tokio::net::TcpStream::connect(host.callers_addr)
        .await
        .unwrap();
    let bytes = caller::request("POST", "/once/x", "r1", "", "pass 7");
    let (first, rest) = bytes.split_at(40);
    stream.write_all(first.as_bytes()).await.unwrap();
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    host.signal(rustix::process::Signal::STOP).unwrap();
    stream.write_all(rest.as_bytes()).await.unwrap();
    tokio::time::sleep(HEAD_TIMEOUT).await;
    host.signal(rustix::process::Signal::CONT).unwrap();
    let answer = caller::read(&mut stream, TIMEOUT).await;
    let got = (answer.status, answer.complete);
    assert_eq!(got, (200, true), "{answer:?}: {}", host.log());
    assert_eq!(server.runs_of("r1"), 1);
}

#[tokio::test]
async fn connection_survives_idle_time_after_a_refusal() {
    let (host, server) = start_host("").await;
    let mut stream = tokio::net::TcpStream::connect(host.callers_addr)
        .await
        .unwrap();
    let bytes = caller::request("POST", "/none/x", "r1", "", "pass 7");
    stream.write_all(bytes.as_bytes()).await.unwrap();
    let answer = caller::read(&mut stream, TIMEOUT).await;
    assert_eq!((answer.status, answer.complete), (404, true), "{answer:?}");
    tokio::time::sleep(HEAD_TIMEOUT + time::Duration::from_millis(500)).await;
    let bytes = caller::request("POST", "/once/x", "r2", "", "pass 7");
    // A connection that the host has closed shows below as a missing answer.
    let _ = stream.write_all(bytes.as_bytes()).await;
    let answer = caller::read(&mut stream, TIMEOUT).await;
    let got = (answer.status, answer.complete);
    assert_eq!(got, (200, true), "{answer:?}: {}", host.log());
    assert_eq!(server.runs_of("r2"), 1);
}

/// Guards against bodies that take up the time of the host until their time limit, by a chunk size that never ends.
#[tokio::test(flavor = "multi_thread")]
async fn body_without_end_is_cut_before_its_time_limit() {
    let (host, server) = start_host("").await;
    let mut stream = tokio::net::TcpStream::connect(host.callers_addr)
        .await
        .unwrap();
    let head = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    let began = time::Instant::now();
    let mut written = stream.write_all(head.as_bytes()).await;
    while written.is_ok() {
        written = stream.write_all(&[b'0'; 65_536]).await;
    }
    let took = began.elapsed();
    assert!(took < BODY_TIMEOUT, "cut after {took:?}: {}", host.log());
    assert_eq!(server.runs_of("r1"), 0);
}
