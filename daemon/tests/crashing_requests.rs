//! Requests that crash the servers which run them.

use std::sync;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
const WITHIN: time::Duration = time::Duration::from_secs(5);
/// Time for a crash to be noticed and told: far more than it takes.
const TOLD: time::Duration = time::Duration::from_millis(1_500);

async fn send(host: &hosts::Host, id: &str, body: &str) -> caller::Answer {
    let bytes = caller::request("POST", "/once/x", id, "", body);
    caller::send(host.callers_addr, &bytes, WITHIN).await
}

#[tokio::test]
async fn content_that_crashed_three_servers_reaches_no_fourth_at_any_host() {
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
    // So that the hosts have heard of each other.
    tokio::time::sleep(TOLD).await;
    for id in ["p1", "p2", "p3"] {
        let answer = send(&host, id, "poison").await;
        assert_eq!(answer.status, 502, "{id} may have run: {answer:?}");
        tokio::time::sleep(TOLD).await;
    }
    for (host, id) in [(&host, "p4"), (&other, "p5")] {
        let answer = send(host, id, "poison").await;
        assert_eq!(answer.status, 503, "{id}: {answer:?}\n{}", host.log());
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
    }
    let runs = |id: &str| servers.iter().map(|s| s.runs_of(id)).sum::<usize>();
    assert_eq!((runs("p4"), runs("p5")), (0, 0));
    let innocent = send(&other, "n1", "pass 7").await;
    assert_eq!(
        (innocent.status, innocent.complete),
        (200, true),
        "{innocent:?}"
    );
}
