//! What hosts know of the software versions that began streams: what they tell each other, and the records in
//! the store.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use prost::Message as _;
use serde_json::Value;
use serde_json::json;
use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;
use walnuthaven_wire::news;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for a change.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// The store's kind of the records of served versions.
const RECORDS: &str = "walnuthaven-served-versions";
/// Time after which no host writes any more: each has had its turn.
const QUIET_TIME: time::Duration = time::Duration::from_millis(4_500);

/// Returns the UDP address to which a host's news are sent.
fn news_addr(host: &hosts::Host) -> net::SocketAddr {
    let settings = std::fs::read_to_string(host.settings_path()).unwrap();
    let addr = settings
        .lines()
        .find_map(|line| line.strip_prefix("news = "));
    addr.unwrap().parse().unwrap()
}

/// Receives the next message.
async fn receive(socket: &tokio::net::UdpSocket) -> news::News {
    let mut buf = [0; 8_192];
    let received = tokio::time::timeout(TIMEOUT, socket.recv_from(&mut buf)).await;
    let (length, _) = received.expect("no message").unwrap();
    news::News::decode(&buf[..length]).unwrap()
}

// A host that never heard of a stream asks the others. Its question must not count as its news: it
// carries no runs, so that all engines would seem to be free.
#[tokio::test]
async fn host_answers_for_streams_that_it_heard_of_and_no_others() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let reply_to = socket.local_addr().unwrap().to_string();
    let told = news::News {
        begun_streams: vec![news::BegunStreams {
            version: "v1".to_owned(),
            streams: vec![7, 9],
            for_ms: vec![9_000, 1],
        }],
        ..news::News::default()
    };
    let query = news::News {
        stream_query: Some(news::StreamQuery {
            reply_to,
            streams: vec![8, 9, 7],
        }),
        ..news::News::default()
    };
    let host_addr = news_addr(&host);
    socket
        .send_to(&told.encode_to_vec(), host_addr)
        .await
        .unwrap();
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    socket
        .send_to(&query.encode_to_vec(), host_addr)
        .await
        .unwrap();
    let answer = receive(&socket).await;
    assert_eq!(answer.begun_streams.len(), 1, "{answer:?}");
    let begun = &answer.begun_streams[0];
    assert_eq!((&*begun.version, &*begun.streams), ("v1", &[7][..]));
    assert!((1..9_000).contains(&begun.for_ms[0]), "{begun:?}");
    assert!(answer.host.is_empty() && answer.runs.is_empty());
    assert!(!host.log().contains("news-unreadable"), "{}", host.log());
}

/// Returns the answer to an operators' call.
async fn dump(host: &hosts::Host) -> Value {
    let bytes = caller::request("GET", "/admin/dump", "q", "", "");
    let answer = caller::send(host.metrics_addr, &bytes, TIMEOUT).await;
    serde_json::from_str(&answer.body).unwrap()
}

/// Waits until the log of any host contains `text`, and returns how many lines of all logs do.
async fn wait_for_line(all_hosts: &[hosts::Host], text: &str) -> usize {
    let start = time::Instant::now();
    loop {
        let count = count_lines(all_hosts, text);
        if count > 0 {
            return count;
        }
        assert!(
            start.elapsed() < TIMEOUT * 2,
            "no {text}: {}",
            all_hosts[0].log()
        );
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

fn count_lines(all_hosts: &[hosts::Host], text: &str) -> usize {
    let logs = all_hosts.iter().map(hosts::Host::log);
    logs.map(|log| log.lines().filter(|line| line.contains(text)).count())
        .sum()
}

/// Starts a store with a configuration and one decode engine of `v1`.
async fn start_store() -> (
    sync::Arc<store::Store>,
    net::SocketAddr,
    sync::Arc<server::Server>,
) {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let engine = server::Server::start("i-e1", Some("decode")).await;
    engine.register(&store, "scribe");
    (store, addr, engine)
}

async fn start_hosts(names: &[&str], store: net::SocketAddr) -> Vec<hosts::Host> {
    let start = |name: &&str| hosts::Host::start(BINARY, name, store);
    let all_hosts: Vec<_> = names.iter().map(start).collect();
    for host in &all_hosts {
        host.wait_ready().await;
    }
    all_hosts
}

/// Adds an engine of another version to the service of `engine`.
fn add_version(store: &store::Store, engine: &server::Server, id: &str, version: &str) {
    let mut entry = engine.entry("scribe", "ready");
    entry["version"] = version.into();
    store.put("servers", id, entry);
}

// Many hosts see a version at once, and share the writes that the store accepts.
#[tokio::test]
async fn version_is_written_once_by_all_hosts_together() {
    let (store, addr, engine) = start_store().await;
    let all_hosts = start_hosts(&["h1", "h2", "h3"], addr).await;
    wait_for_line(&all_hosts, "\"event\":\"version-written\"").await;
    tokio::time::sleep(QUIET_TIME).await;
    // Hosts that don't know each other yet may try at the same time.
    assert_eq!(store.object_names(RECORDS).len(), 1);
    let before = count_lines(&all_hosts, "\"event\":\"version-written\"");
    add_version(&store, &engine, "i-e2", "v2");
    add_version(&store, &engine, "i-e3", "v2");
    let start = time::Instant::now();
    while store.object_names(RECORDS).len() < 2 {
        assert!(start.elapsed() < TIMEOUT, "{}", all_hosts[0].log());
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    tokio::time::sleep(QUIET_TIME).await;
    let written = count_lines(&all_hosts, "\"event\":\"version-written\"") - before;
    assert_eq!(written, 1, "{}", all_hosts[0].log());
}

// Nobody who saw what served before lives on.
#[tokio::test]
async fn hosts_that_are_all_killed_and_start_again_know_what_served() {
    let (store, addr, engine) = start_store().await;
    let mut all_hosts = start_hosts(&["h1", "h2"], addr).await;
    add_version(&store, &engine, "i-e2", "v2");
    let start = time::Instant::now();
    while store.object_names(RECORDS).len() < 2 {
        assert!(start.elapsed() < TIMEOUT, "{}", all_hosts[0].log());
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    // The only engine of `v2` ends while no host runs.
    for host in &mut all_hosts {
        host.process.kill().unwrap();
    }
    store.remove("servers", "i-e2");
    for host in &mut all_hosts {
        host.restart();
        host.wait_ready().await;
    }
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    for host in &all_hosts {
        let state = dump(host).await;
        assert_eq!(state["served_versions_read"], true, "{}", host.log());
        let expected = json!([
            {"service": "scribe", "version": "v1", "servers": 1},
            {"service": "scribe", "version": "v2", "servers": 0},
        ]);
        assert_eq!(state["served_versions"], expected, "{}", host.log());
    }
    // One of them stores that `v2` is gone, so that hosts that start much later need not count it.
    wait_for_line(&all_hosts, "\"gone\":1").await;
}

#[tokio::test]
async fn version_whose_last_server_vanished_is_marked_gone_and_back_when_it_returns() {
    let (store, addr, engine) = start_store().await;
    let all_hosts = start_hosts(&["h1", "h2"], addr).await;
    add_version(&store, &engine, "i-e2", "v2");
    let start = time::Instant::now();
    while store.object_names(RECORDS).len() < 2 {
        assert!(start.elapsed() < TIMEOUT, "{}", all_hosts[0].log());
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    store.remove("servers", "i-e2");
    let gone = "\"version\":\"v2\",\"gone\":1";
    wait_for_line(&all_hosts, gone).await;
    add_version(&store, &engine, "i-e2", "v2");
    let returned = "\"version\":\"v2\",\"gone\":null,\"replaces\":";
    let start = time::Instant::now();
    let is_back = |host: &hosts::Host| {
        let log = host.log();
        let last = log.lines().rfind(|line| line.contains("version-written"));
        last.is_some_and(|line| line.contains(returned) && !line.contains("\"replaces\":null"))
    };
    while !all_hosts.iter().any(is_back) {
        assert!(start.elapsed() < TIMEOUT, "{}", all_hosts[0].log());
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    tokio::time::sleep(QUIET_TIME).await;
    assert_eq!(count_lines(&all_hosts, gone), 1, "{}", all_hosts[0].log());
}

// The answer of a write may be lost though it was carried out.
#[tokio::test]
async fn version_whose_write_was_not_answered_is_not_written_again() {
    let (store, addr, _engine) = start_store().await;
    store.loses_answers.store(true, atomic::Ordering::Relaxed);
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    let start = time::Instant::now();
    while store.object_names(RECORDS).is_empty() {
        assert!(start.elapsed() < TIMEOUT, "{}", host.log());
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    store.loses_answers.store(false, atomic::Ordering::Relaxed);
    tokio::time::sleep(QUIET_TIME).await;
    assert_eq!(store.object_names(RECORDS).len(), 1);
    assert_eq!(
        count_lines(&[host], "\"event\":\"version-written\""),
        1,
        "the host doesn't know that its first write was carried out"
    );
}

// Streams of plain servers aren't continued from another server's memory, so their versions need no calls.
#[tokio::test]
async fn versions_of_plain_servers_are_not_written() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let server = server::Server::start("i-a", None).await;
    server.register(&store, "gate");
    let all_hosts = start_hosts(&["h1"], addr).await;
    tokio::time::sleep(QUIET_TIME).await;
    assert!(store.object_names(RECORDS).is_empty());
    assert_eq!(dump(&all_hosts[0]).await["served_versions"], json!([]));
}

// A host that lost its connection to the store can't see the version that another host sees.
#[tokio::test]
async fn version_that_only_another_host_sees_counts() {
    let (_store, addr, _engine) = start_store().await;
    let all_hosts = start_hosts(&["h1"], addr).await;
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let own_addr = socket.local_addr().unwrap().to_string();
    let told = news::News {
        host: "h2".to_owned(),
        incarnation: 1,
        sequence: 1,
        callers: own_addr.clone(),
        news: own_addr,
        served_versions: vec![news::ServedVersion {
            service: "scribe".to_owned(),
            version: "v2".to_owned(),
            for_ms: 60_000,
        }],
        ..news::News::default()
    };
    let host_addr = news_addr(&all_hosts[0]);
    socket
        .send_to(&told.encode_to_vec(), host_addr)
        .await
        .unwrap();
    // The host sends its own versions to the one that it has just heard of.
    let answer = receive(&socket).await;
    assert_eq!(answer.host, "h1");
    let expected = json!([
        {"service": "scribe", "version": "v1", "servers": 1},
        {"service": "scribe", "version": "v2", "servers": 0},
    ]);
    let state = dump(&all_hosts[0]).await;
    assert_eq!(state["served_versions"], expected);
    let mut versions = answer.served_versions;
    while versions.is_empty() {
        versions = receive(&socket).await.served_versions;
    }
    let names: Vec<_> = versions.iter().map(|of| &*of.version).collect();
    assert_eq!(names, ["v1"]);
}
