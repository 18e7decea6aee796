//! Requests that crash the servers that run them.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use serde_json::json;
use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;
use xxhash_rust::xxh3;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for an answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Time for a host to notice a crash and for the other hosts to hear of it. It takes far less.
const ANNOUNCE_TIME: time::Duration = time::Duration::from_millis(1_500);
/// A change is announced for 5 s. A host that starts after that has heard none of it.
const SILENCE_TIME: time::Duration = time::Duration::from_millis(5_500);
/// Number of requests that an engine of the tests runs at once.
const ENGINE_SLOTS: usize = 8;
/// Time for hosts to write marks after the store came back.
const STORE_TIME: time::Duration = time::Duration::from_secs(4);

async fn send(host: &hosts::Host, id: &str, body: &str) -> caller::Answer {
    send_to(host, "/once/x", id, body).await
}

async fn send_to(host: &hosts::Host, path: &str, id: &str, body: &str) -> caller::Answer {
    let bytes = caller::request("POST", path, id, "", body);
    caller::send(host.callers_addr, &bytes, TIMEOUT).await
}

/// Starts a store with a configuration, and four servers of the service `gate` that crash on poison. Returns
/// the store with its address, and the servers.
async fn start_store_and_servers() -> (
    sync::Arc<store::Store>,
    net::SocketAddr,
    Vec<sync::Arc<server::Server>>,
) {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let mut servers = Vec::new();
    for id in ["i-a", "i-b", "i-c", "i-d"] {
        let server = server::Server::start(id, None).await;
        server.set_fault(server::Fault::CrashOnPoison);
        server.register(&store, "gate");
        servers.push(server);
    }
    (store, addr, servers)
}

async fn start_host(name: &str, store: net::SocketAddr) -> hosts::Host {
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

/// Writes a mark to the store that says that three servers crashed with this content.
fn put_mark(store: &store::Store, target: &str, body: &str) {
    let mut hasher = xxh3::Xxh3::new();
    for part in ["127.0.0.1", target, "\0", body] {
        hasher.update(part.as_bytes());
    }
    let name = format!("{:016x}", hasher.digest());
    let crash = |server: &str| json!({"server": server, "at_unix_ms": 1_000});
    let mark = json!({
        "crashes": [crash("i-1@1"), crash("i-2@1"), crash("i-3@1")], "cleared": [],
        "expires_unix_ms": 4_000_000_000_000_u64,
    });
    store.put("walnuthaven-crash-marks", &name, mark);
}

/// Waits until a server has received a request.
async fn wait_for_run(server: &server::Server, id: &str) {
    let start = time::Instant::now();
    while server.runs_of(id) == 0 {
        assert!(start.elapsed() < TIMEOUT, "{id} didn't reach {}", server.id);
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn content_that_crashed_three_servers_is_refused_by_all_hosts() {
    let (_, addr, servers) = start_store_and_servers().await;
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
    let (_, addr, servers) = start_store_and_servers().await;
    let host = start_host("h1", addr).await;
    crash_three_servers(&host).await;
    tokio::time::sleep(SILENCE_TIME).await;
    let newcomer = start_host("h2", addr).await;
    assert_refused(&newcomer, &servers, "p4").await;
}

// Marks must survive the end of every host that knows them.
#[tokio::test]
async fn content_stays_refused_after_all_hosts_were_killed() {
    let (_, addr, servers) = start_store_and_servers().await;
    let mut host = start_host("h1", addr).await;
    crash_three_servers(&host).await;
    host.restart();
    host.wait_ready().await;
    assert_refused(&host, &servers, "p4").await;
}

// A store that doesn't answer must neither hide marks from running hosts nor lose those made meanwhile.
#[tokio::test]
async fn content_is_refused_while_the_store_is_down_and_by_hosts_that_start_afterwards() {
    let (store, addr, servers) = start_store_and_servers().await;
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
    let (store, addr, servers) = start_store_and_servers().await;
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

// The mark of a request may become known between its first send and the next one.
#[tokio::test]
async fn content_marked_during_its_first_send_is_not_sent_again() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let silent = server::Server::start("i-a", None).await;
    silent.set_fault(server::Fault::NeverAnswer);
    silent.register(&store, "gate");
    let host = start_host("h1", addr).await;
    let other = server::Server::start("i-b", None).await;
    let request = send_to(&host, "/plain/x", "r1", "pass 7");
    let mark = async {
        wait_for_run(&silent, "r1").await;
        put_mark(&store, "/plain/x", "pass 7");
        other.register(&store, "gate");
    };
    let (answer, ()) = tokio::join!(request, mark);
    assert_eq!(other.runs_of("r1"), 0, "{answer:?}\n{}", host.log());
    assert_eq!(answer.status, 502, "it may have run: {answer:?}");
}

// A request may wait for an engine for seconds, in which its content is marked.
#[tokio::test]
async fn content_marked_while_it_waits_for_an_engine_is_refused() {
    let (store, addr) = store::Store::start().await;
    let mut configuration = hosts::configuration(3);
    configuration["routes"][3]["timeout_ms"] = json!(20_000);
    store.put("config", "main", configuration);
    let engine = server::Server::start("i-d", Some("decode")).await;
    engine
        .events_per_stream
        .store(1_000, atomic::Ordering::Relaxed);
    engine.register(&store, "scribe");
    let host = start_host("h1", addr).await;
    let prompt = "X-Model: m\r\nX-Token-Count: 500,700\r\nX-Length-Hint: 350\r\n";
    let stream = |id: String, body: &'static str| {
        let bytes = caller::request("POST", "/single/x", &id, prompt, body);
        let host_addr = host.callers_addr;
        tokio::spawn(async move { caller::send(host_addr, &bytes, TIMEOUT).await })
    };
    for i in 0..ENGINE_SLOTS {
        stream(format!("s{i}"), "harmless");
        wait_for_run(&engine, &format!("s{i}")).await;
    }
    let waiting = stream("w1".into(), "waits");
    let start = time::Instant::now();
    while !host.log().contains(r#""event":"waits","id":"w1""#) {
        assert!(start.elapsed() < TIMEOUT, "w1 doesn't wait: {}", host.log());
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    put_mark(&store, "/single/x", "waits");
    let answer = waiting.await.unwrap();
    assert_eq!(engine.runs_of("w1"), 0, "{answer:?}\n{}", host.log());
    // A request that found no engine is told to come back within seconds.
    let told = (answer.status, answer.header("retry-after"));
    assert_eq!(told, (503, Some("60.000")), "{answer:?}\n{}", host.log());
}

// A crash counts although its caller has left before it.
#[tokio::test]
async fn crashes_after_the_caller_left_are_counted() {
    let (_, addr, servers) = start_store_and_servers().await;
    for server in &servers {
        server.delay_ms.store(300, atomic::Ordering::Relaxed);
    }
    let host = start_host("h1", addr).await;
    for id in ["p1", "p2", "p3"] {
        let bytes = caller::request("POST", "/once/x", id, "", "poison");
        let caller_leaves_after = time::Duration::from_millis(100);
        let answer = caller::send(host.callers_addr, &bytes, caller_leaves_after).await;
        assert_eq!(answer.status, 0, "{id} was answered: {answer:?}");
        tokio::time::sleep(ANNOUNCE_TIME).await;
    }
    assert_refused(&host, &servers, "p4").await;
}

// A server that loses power closes no connection. Its crash shows in that none can be opened.
#[tokio::test]
async fn crashes_of_servers_that_fall_silent_are_counted() {
    let (_, addr, servers) = start_store_and_servers().await;
    for server in &servers {
        server.set_fault(server::Fault::FallSilentOnPoison);
    }
    let host = start_host("h1", addr).await;
    for id in ["p1", "p2", "p3"] {
        let deadline = "X-Request-Deadline: 400\r\n";
        let bytes = caller::request("POST", "/once/x", id, deadline, "poison");
        let answer = caller::send(host.callers_addr, &bytes, TIMEOUT).await;
        assert_eq!(answer.status, 504, "{id} may have run: {answer:?}");
        tokio::time::sleep(ANNOUNCE_TIME).await;
    }
    assert_refused(&host, &servers, "p4").await;
}

// A server may answer 404 or 400 without running the request, which says nothing about crashes.
#[tokio::test]
async fn error_answer_does_not_clear_crashes() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let host = hosts::Host::start(BINARY, "h1", addr);
    let mut servers = Vec::new();
    let steps = [
        ("i-a", server::Fault::CrashOnPoison, 502),
        ("i-b", server::Fault::CrashOnPoison, 502),
        ("i-c", server::Fault::Status404, 404),
        ("i-d", server::Fault::CrashOnPoison, 502),
    ];
    for (id, fault, status) in steps {
        let server = server::Server::start(id, None).await;
        server.set_fault(fault);
        server.register(&store, "gate");
        host.wait_ready().await;
        // The host notices new servers within 600 ms.
        tokio::time::sleep(ANNOUNCE_TIME).await;
        let answer = send(&host, &format!("p-{id}"), "poison").await;
        assert_eq!(answer.status, status, "{answer:?}\n{}", host.log());
        tokio::time::sleep(ANNOUNCE_TIME).await;
        // A server that crashed doesn't come back, and the one that answers takes no part in the rest.
        store.remove("servers", id);
        servers.push(server);
    }
    let last = server::Server::start("i-e", None).await;
    last.register(&store, "gate");
    servers.push(last);
    tokio::time::sleep(ANNOUNCE_TIME).await;
    assert_refused(&host, &servers, "p5").await;
}
