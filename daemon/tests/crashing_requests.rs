//! Requests that crash the servers that run them.

use std::sync;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for an answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Time for a host to notice a crash and for the other hosts to hear of it. It takes far less.
const ANNOUNCE_TIME: time::Duration = time::Duration::from_millis(1_500);

async fn send(host: &hosts::Host, id: &str, body: &str) -> caller::Answer {
    let bytes = caller::request("POST", "/once/x", id, "", body);
    caller::send(host.callers_addr, &bytes, TIMEOUT).await
}

#[tokio::test]
async fn content_that_crashed_three_servers_is_refused_by_all_hosts() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let mut servers: Vec<sync::Arc<server::Server>> = Vec::new();
    for id in ["i-a", "i-b", "i-c", "i-d"] {
        let server = server::Server::start(id, None).await;
        server.set_fault(server::Fault::CrashOnPoison);
        server.register(&store, "gate");
        servers.push(server);
    }
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    let other = hosts::Host::start(BINARY, "h2", addr);
    other.wait_ready().await;
    // Gives the hosts time to hear of each other.
    tokio::time::sleep(ANNOUNCE_TIME).await;
    for id in ["p1", "p2", "p3"] {
        let answer = send(&host, id, "poison").await;
        assert_eq!(answer.status, 502, "{id} may have run: {answer:?}");
        tokio::time::sleep(ANNOUNCE_TIME).await;
    }
    for (host, id) in [(&host, "p4"), (&other, "p5")] {
        let answer = send(host, id, "poison").await;
        assert_eq!(answer.status, 503, "{id}: {answer:?}\n{}", host.log());
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
    }
    let runs = |id: &str| servers.iter().map(|s| s.runs_of(id)).sum::<usize>();
    assert_eq!((runs("p4"), runs("p5")), (0, 0));
    let harmless = send(&other, "n1", "pass 7").await;
    assert_eq!(
        (harmless.status, harmless.complete),
        (200, true),
        "{harmless:?}"
    );
}
