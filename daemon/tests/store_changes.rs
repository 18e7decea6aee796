//! Changes and failures of the platform's store: entry hosts follow changes, and keep serving while
//! the store fails, lags or loses its history.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use serde_json::json;
use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for an answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Sends a request and returns the status of its answer.
async fn request_status(host: &hosts::Host, path: &str) -> u16 {
    let bytes = caller::request("POST", path, "r", "", "");
    caller::send(host.callers_addr, &bytes, TIMEOUT)
        .await
        .status
}

/// Waits until a request to `path` is answered with status `expected`.
async fn wait_for_status(host: &hosts::Host, path: &str, expected: u16) {
    let start = time::Instant::now();
    while request_status(host, path).await != expected {
        assert!(
            start.elapsed() < TIMEOUT * 2,
            "{path} isn't {expected}: {}",
            host.log()
        );
        tokio::time::sleep(time::Duration::from_millis(30)).await;
    }
}

/// Starts a store and one server of the service `gate`.
async fn start_store() -> (
    sync::Arc<store::Store>,
    net::SocketAddr,
    sync::Arc<server::Server>,
) {
    let (store, addr) = store::Store::start().await;
    let server = server::Server::start("i-a", None).await;
    server.register(&store, "gate");
    (store, addr, server)
}

#[tokio::test]
async fn host_without_configuration_answers_503() {
    let (store, addr, _server) = start_store().await;
    let host = hosts::Host::start(BINARY, "h1", addr);
    let start = time::Instant::now();
    while request_status(&host, "/once/x").await == 0 {
        assert!(start.elapsed() < TIMEOUT, "{}", host.log());
    }
    assert_eq!(request_status(&host, "/once/x").await, 503);
    assert_eq!(host.ready().await, 503);
    hosts::configure(&store, 3);
    wait_for_status(&host, "/once/x", 200).await;
    assert_eq!(host.ready().await, 200);
}

#[tokio::test]
async fn older_configuration_is_ignored() {
    let (store, addr, _server) = start_store().await;
    hosts::configure(&store, 7);
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    let mut older = hosts::configuration(6);
    older["routes"] = json!([]);
    store.put("config", "main", older);
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    assert_eq!(request_status(&host, "/once/x").await, 200);
    let mut newer = hosts::configuration(8);
    newer["routes"] = json!([]);
    store.put("config", "main", newer);
    wait_for_status(&host, "/once/x", 404).await;
}

#[tokio::test]
async fn changes_arrive_after_outage_and_lost_history() {
    let (store, addr, _server) = start_store().await;
    hosts::configure(&store, 3);
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    store.refuses.store(true, atomic::Ordering::Relaxed);
    store.put(
        "servers",
        "i-other",
        json!({"service": 5, "address": "nowhere"}),
    );
    let mut newer = hosts::configuration(4);
    newer["routes"][0]["path_prefix"] = "/moved/".into();
    store.put("config", "main", newer);
    store.discard_history();
    tokio::time::sleep(time::Duration::from_millis(600)).await;
    assert_eq!(
        request_status(&host, "/once/x").await,
        200,
        "requests fail during an outage of the store"
    );
    store.refuses.store(false, atomic::Ordering::Relaxed);
    wait_for_status(&host, "/moved/x", 200).await;
    assert_eq!(request_status(&host, "/plain/x").await, 404);
}

#[tokio::test]
async fn unreadable_server_entries_are_ignored() {
    let (store, addr, server) = start_store().await;
    hosts::configure(&store, 3);
    let mut malformed = server.entry("gate", "ready");
    malformed["slots"] = "many".into();
    store.put("servers", "i-odd", malformed);
    let mut unknown_state = server.entry("gate", "asleep");
    unknown_state["address"] = "127.0.0.1:1".into();
    store.put("servers", "i-state", unknown_state);
    store.put("servers", "i-null", json!(null));
    store.put("servers", "i-list", json!([1, "\u{fffd}"]));
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    for _ in 0..10 {
        assert_eq!(request_status(&host, "/once/x").await, 200);
    }
}

/// What other writers may write as the content of an entry.
fn foreign_contents() -> Vec<String> {
    let nested = format!("{}1{}", "[".repeat(130), "]".repeat(130));
    let deep = format!("{}1{}", "{\"a\":".repeat(9_000), "}".repeat(9_000));
    let entry = |field: &str| {
        format!(
            "{{\"service\":\"gate\",\"address\":\"127.0.0.1:9\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",{field}}}"
        )
    };
    let odd = [
        r#""zone":"hall \ud83c""#,
        r#""slots":1e999"#,
        r#""born":-1"#,
        r#""slots":99999999999999999999999999"#,
        r#""address":"127.0.0.1:65536""#,
        r#""cold_remaining_ms":NaN"#,
    ];
    let odd = odd.iter().map(|field| entry(field));
    odd.chain([nested.clone(), deep, entry(&format!("\"x\":{nested}"))])
        .collect()
}

/// Hosts follow the list of servers beside an entry that can't be read, when they run and when they start.
#[tokio::test]
async fn unreadable_content_spoils_no_other_entry() {
    for content in foreign_contents() {
        let (store, _, _server) = start_store().await;
        let texts = vec![("\"(foreign)\"".to_owned(), content.clone())];
        let addr = store.start_with_texts(texts).await;
        hosts::configure(&store, 3);
        let mut host = hosts::Host::start(BINARY, "h1", addr);
        host.wait_ready().await;
        store.put("servers", "i-0", json!("(foreign)"));
        tokio::time::sleep(time::Duration::from_millis(700)).await;
        let other = server::Server::start("i-b", None).await;
        other.register(&store, "gate");
        store.remove("servers", "i-a");
        let start = time::Instant::now();
        while !host.log().contains("\"i-b\",\"change\":\"joined\"") {
            let shown = &content[..content.len().min(200)];
            assert!(start.elapsed() < TIMEOUT, "{shown}: {}", host.log());
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        host.restart();
        host.wait_ready().await;
        wait_for_status(&host, "/once/x", 200).await;
        assert!(host.log().contains("server-unreadable"), "{}", host.log());
    }
}

#[tokio::test]
async fn request_for_previous_server_at_reused_address_is_not_run() {
    let (store, addr, server) = start_store().await;
    hosts::configure(&store, 3);
    store.put("servers", "i-old", server.entry("gate", "ready"));
    store.remove("servers", "i-a");
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    let answer = request_status(&host, "/once/x").await;
    assert_eq!(
        answer, 503,
        "another server has that address, so the request must not run"
    );
    assert_eq!(server.runs_of("r"), 0);
}

#[tokio::test]
async fn draining_server_gets_no_requests_after_two_seconds() {
    let (store, addr, server) = start_store().await;
    hosts::configure(&store, 3);
    let other = server::Server::start("i-b", None).await;
    other.register(&store, "gate");
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    store.put("servers", "i-a", server.entry("gate", "draining"));
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let before = server.received().len();
    for _ in 0..20 {
        assert_eq!(request_status(&host, "/once/x").await, 200);
    }
    assert_eq!(server.received().len(), before);
}

#[tokio::test]
async fn host_entry_is_written_despite_lost_answers() {
    let (store, addr, _server) = start_store().await;
    hosts::configure(&store, 3);
    store.loses_answers.store(true, atomic::Ordering::Relaxed);
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    let start = time::Instant::now();
    while store.object_names("walnuthaven-hosts").is_empty() {
        assert!(start.elapsed() < TIMEOUT, "{}", host.log());
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    store.loses_answers.store(false, atomic::Ordering::Relaxed);
    while !host.log().contains("entry-written") {
        assert!(start.elapsed() < TIMEOUT * 2, "{}", host.log());
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    assert_eq!(store.object_names("walnuthaven-hosts"), ["h1"]);
}

#[tokio::test]
async fn only_lease_holder_sends_orders_and_hosts_know_each_other() {
    let (store, addr, _server) = start_store().await;
    let mut engines = Vec::new();
    for i in 0..4 {
        let engine = server::Server::start(&format!("i-e{i}"), Some("prefill")).await;
        engine.register(&store, "scribe");
        engines.push(engine);
    }
    hosts::configure(&store, 3);
    let all_hosts: Vec<_> = (1..=3)
        .map(|i| hosts::Host::start(BINARY, &format!("h{i}"), addr))
        .collect();
    for host in &all_hosts {
        host.wait_ready().await;
    }
    tokio::time::sleep(time::Duration::from_secs(5)).await;
    let orders: Vec<_> = engines
        .iter()
        .flat_map(|engine| engine.received())
        .collect();
    let got_at_most_one_order = |engine: &sync::Arc<server::Server>| engine.received().len() <= 1;
    assert!(
        engines.iter().all(got_at_most_one_order),
        "an engine received more than one order: {orders:?}"
    );
    assert!(!orders.is_empty(), "no host balanced the pool");
    let holders: std::collections::BTreeSet<_> = orders
        .iter()
        .map(|received| {
            let order: serde_json::Value = serde_json::from_slice(&received.body).unwrap();
            order["holder"].to_string()
        })
        .collect();
    assert_eq!(holders.len(), 1, "{orders:?}");
    let addresses = caller::resolve(all_hosts[0].directory_addr, TIMEOUT).await;
    for host in &all_hosts {
        assert!(
            addresses.body.contains(&host.callers_addr.to_string()),
            "{addresses:?}"
        );
    }
}

#[tokio::test]
async fn hosts_and_servers_are_found_despite_lagging_lists() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    store.freeze_lagging_lists();
    let server = server::Server::start("i-a", None).await;
    server.register(&store, "gate");
    let names = ["h1", "h2", "h3"];
    let all_hosts = names.map(|name| hosts::Host::start(BINARY, name, addr));
    for host in &all_hosts {
        host.wait_ready().await;
        wait_for_status(host, "/once/x", 200).await;
        let start = time::Instant::now();
        loop {
            let lookup = caller::request("GET", "/walnuthaven/resolve", "q", "", "");
            let answer = caller::send(host.directory_addr, &lookup, TIMEOUT).await;
            let known = |other: &hosts::Host| answer.body.contains(&other.callers_addr.to_string());
            if all_hosts.iter().all(known) {
                break;
            }
            assert!(start.elapsed() < TIMEOUT * 2, "{}: {answer:?}", host.name);
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    }
}
