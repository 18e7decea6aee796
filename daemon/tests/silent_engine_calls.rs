//! Calls of the product's own path to an engine that accepts no connection for a moment.

use std::time;

use walnuthaven_daemon::engine;

#[tokio::test]
async fn engine_that_accepts_late_does_not_count_as_crashed() {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let addr = listener.local_addr().unwrap();
    // Fills the queue of connections that the engine hasn't accepted, so that further ones wait.
    let mut waiting = Vec::new();
    for _ in 0..4 {
        let opening = tokio::net::TcpStream::connect(addr);
        let opened = tokio::time::timeout(time::Duration::from_millis(100), opening).await;
        waiting.extend(opened.ok().and_then(Result::ok));
    }
    let client = engine::Client::new().unwrap();
    let failure = client.load(&addr.to_string(), 0).await.unwrap_err();
    assert!(matches!(failure, engine::Failure::TimedOut), "{failure:?}");
}
