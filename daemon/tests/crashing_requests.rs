//! Requests that crash the servers that run them.

use std::sync;
use std::sync::atomic;
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
/// A change is announced for 5 s. A host that starts after that has heard none of it.
const SILENCE_TIME: time::Duration = time::Duration::from_millis(5_500);
/// Time for hosts to write marks after the store came back.
const STORE_TIME: time::Duration = time::Duration::from_secs(4);

async fn send(host: &hosts::Host, id: &str, body: &str) -> caller::Answer {
    send_to(host, "/once/x", id, body).await
}

async fn send_to(host: &hosts::Host, path: &str, id: &str, body: &str) -> caller::Answer {
    let bytes = caller::request("POST", path, id, "", body);
    caller::send(host.callers_addr, &bytes, TIMEOUT).await
}

/// Starts servers of the service `gate` that crash on poison.
async fn start_servers(store: &store::Store, ids: &[&str]) -> Vec<sync::Arc<server::Server>> {
    let mut servers = Vec::new();
    for id in ids {
        let server = server::Server::start(id, None).await;
        server.set_fault(server::Fault::CrashOnPoison);
        server.register(store, "gate");
        servers.push(server);
    }
    servers
}

async fn start_host(name: &str, store: std::net::SocketAddr) -> hosts::Host {
    let host = hosts::Host::start(BINARY, name, store);
    host.wait_ready().await;
    host
}

/// Crashes three servers by poison, one after the other.
async fn crash_three_servers(host: &hosts::Host) {
    for id in ["p1", "p2", "p3"] {
        let answer = send(host, id, "poison").await;
        assert_eq!(answer.status, 502, "{id} may have run: {answer:?}");
        tokio::time::sleep(ANNOUNCE_TIME).await;
    }
}

/// Sends poison and asserts that it is refused and reaches no server.
async fn assert_refused(host: &hosts::Host, servers: &[sync::Arc<server::Server>], id: &str) {
    let answer = send(host, id, "poison").await;
    let runs: usize = servers.iter().map(|server| server.runs_of(id)).sum();
    assert_eq!(
        (answer.status, runs),
        (503, 0),
        "{id} at {}: {answer:?}\n{}",
        host.name,
        host.log()
    );
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
}

#[tokio::test]
async fn content_that_crashed_three_servers_is_refused_by_all_hosts() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let servers = start_servers(&store, &["i-a", "i-b", "i-c", "i-d"]).await;
    let host = start_host("h1", addr).await;
    let other = start_host("h2", addr).await;
    // Gives the hosts time to hear of each other.
    tokio::time::sleep(ANNOUNCE_TIME).await;
    crash_three_servers(&host).await;
    assert_refused(&host, &servers, "p4").await;
    assert_refused(&other, &servers, "p5").await;
    let harmless = send(&other, "n1", "pass 7").await;
    assert_eq!(
        (harmless.status, harmless.complete),
        (200, true),
        "{harmless:?}"
    );
}

// A host that starts later must know the marks of those that ran before it.
#[tokio::test]
async fn host_started_after_the_crashes_refuses_the_content() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let servers = start_servers(&store, &["i-a", "i-b", "i-c", "i-d"]).await;
    let host = start_host("h1", addr).await;
    crash_three_servers(&host).await;
    tokio::time::sleep(SILENCE_TIME).await;
    let newcomer = start_host("h2", addr).await;
    assert_refused(&newcomer, &servers, "p4").await;
}

// Marks must survive the end of every host that knows them.
#[tokio::test]
async fn content_stays_refused_after_all_hosts_were_killed() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let servers = start_servers(&store, &["i-a", "i-b", "i-c", "i-d"]).await;
    let mut host = start_host("h1", addr).await;
    crash_three_servers(&host).await;
    host.restart();
    host.wait_ready().await;
    assert_refused(&host, &servers, "p4").await;
}

// A store that doesn't answer must neither hide marks from running hosts nor lose those made meanwhile.
#[tokio::test]
async fn content_is_refused_while_the_store_is_down_and_by_hosts_that_start_afterwards() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let servers = start_servers(&store, &["i-a", "i-b", "i-c", "i-d"]).await;
    let host = start_host("h1", addr).await;
    let other = start_host("h2", addr).await;
    tokio::time::sleep(ANNOUNCE_TIME).await;
    store.refuses.store(true, atomic::Ordering::Relaxed);
    crash_three_servers(&host).await;
    tokio::time::sleep(SILENCE_TIME).await;
    assert_refused(&host, &servers, "p4").await;
    assert_refused(&other, &servers, "p5").await;
    store.refuses.store(false, atomic::Ordering::Relaxed);
    tokio::time::sleep(STORE_TIME).await;
    drop(host);
    drop(other);
    let newcomer = start_host("h3", addr).await;
    assert_refused(&newcomer, &servers, "p6").await;
}

// Of two hosts that know a mark, the one that made it may end before it could write it to the store.
#[tokio::test]
async fn mark_of_a_host_that_was_killed_is_stored_by_another() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let servers = start_servers(&store, &["i-a", "i-b", "i-c", "i-d"]).await;
    let host = start_host("h1", addr).await;
    let other = start_host("h2", addr).await;
    tokio::time::sleep(ANNOUNCE_TIME).await;
    store.refuses.store(true, atomic::Ordering::Relaxed);
    crash_three_servers(&host).await;
    drop(host);
    store.refuses.store(false, atomic::Ordering::Relaxed);
    tokio::time::sleep(STORE_TIME).await;
    drop(other);
    let newcomer = start_host("h3", addr).await;
    assert_refused(&newcomer, &servers, "p4").await;
}
