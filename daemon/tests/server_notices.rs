//! Servers that say in their answers that they leave, or that they want no requests for some time.

use std::sync;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
const TIMEOUT: time::Duration = time::Duration::from_secs(4);
const LEAVING: &str = "Server-Leaving: 1\r\n";
/// How long after a server said that it leaves requests may still reach it.
const DRAIN_TIME: time::Duration = time::Duration::from_secs(2);
/// How long after a server asked for a pause requests may still reach it.
const PAUSE_NOTICE: time::Duration = time::Duration::from_millis(500);
/// Requests that may reach a server during the rest of a pause.
const TOLERATED: usize = 2;

struct Setup {
    store: sync::Arc<store::Store>,
    store_addr: std::net::SocketAddr,
    host: hosts::Host,
    servers: Vec<sync::Arc<server::Server>>,
}

impl Setup {
    async fn start(stages: &[Option<&'static str>]) -> Self {
        let (store, addr) = store::Store::start().await;
        hosts::configure(&store, 3);
        let mut servers = Vec::new();
        for (number, stage) in stages.iter().enumerate() {
            let server = server::Server::start(&format!("i-{number}"), *stage).await;
            server.register(&store, if stage.is_some() { "scribe" } else { "gate" });
            servers.push(server);
        }
        let host = hosts::Host::start(BINARY, "h1", addr);
        host.wait_ready().await;
        Self {
            store,
            store_addr: addr,
            host,
            servers,
        }
    }

    /// Sends a request every 20 ms for `duration`, and returns the answers.
    async fn send_for(&self, path: &str, duration: time::Duration) -> Vec<caller::Answer> {
        let start = time::Instant::now();
        let mut sends = Vec::new();
        while start.elapsed() < duration {
            let id = format!("r{}-{}", sends.len(), start.elapsed().as_nanos());
            let bytes = caller::request("POST", path, &id, engine_setup::PROMPT, &id);
            let addr = self.host.callers_addr;
            sends.push(tokio::spawn(async move {
                caller::send(addr, &bytes, TIMEOUT).await
            }));
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        let mut answers = Vec::new();
        for send in sends {
            answers.push(send.await.unwrap());
        }
        answers
    }
}

/// Returns the number of requests that a server received in a span of time.
fn received(server: &server::Server, from: time::Instant, to: time::Instant) -> usize {
    let received = server.received();
    let within = received.iter().filter(|r| from <= r.at && r.at < to);
    within.count()
}

fn first_at(server: &server::Server, since: time::Instant) -> time::Instant {
    let received = server.received();
    let mut times = received.iter().map(|r| r.at).filter(|at| *at >= since);
    times.next().expect("the server received nothing")
}

fn served(answers: &[caller::Answer]) -> usize {
    answers.iter().filter(|a| a.status == 200).count()
}

/// Has the server of `candidates` that gets most requests say that it leaves, and asserts that it gets none in time.
/// Returns it.
async fn assert_left_alone<'a>(
    setup: &Setup,
    path: &str,
    candidates: &'a [sync::Arc<server::Server>],
) -> &'a sync::Arc<server::Server> {
    setup.send_for(path, time::Duration::from_millis(400)).await;
    let most_used = candidates.iter().max_by_key(|s| s.received().len());
    let leaving = most_used.unwrap();
    leaving.set_headers(LEAVING);
    let start = time::Instant::now();
    let all = DRAIN_TIME + time::Duration::from_secs(1);
    let answers = setup.send_for(path, all).await;
    let due = first_at(leaving, start) + DRAIN_TIME;
    let late = received(leaving, due, time::Instant::now());
    assert_eq!(late, 0, "{path}: late requests\n{}", setup.host.log());
    let (served, all) = (served(&answers), answers.len());
    assert!(served * 20 >= all * 19, "{path}: served {served} of {all}");
    leaving
}

#[tokio::test]
async fn server_that_says_that_it_leaves_gets_no_requests() {
    for path in ["/plain/x", "/once/x"] {
        let setup = Setup::start(&[None; 2]).await;
        assert_left_alone(&setup, path, &setup.servers).await;
    }
}

#[tokio::test]
async fn engines_that_say_that_they_leave_get_no_requests() {
    let stages = [
        Some("prefill"),
        Some("prefill"),
        Some("decode"),
        Some("decode"),
    ];
    for candidates in [0..2, 2..4] {
        let setup = Setup::start(&stages).await;
        assert_left_alone(&setup, "/brief/x", &setup.servers[candidates]).await;
    }
}

// The entry may be written again as ready; another process under the id hasn't said that it leaves.
#[tokio::test]
async fn leaving_is_the_matter_of_a_process_and_not_of_its_entry() {
    let setup = Setup::start(&[None; 2]).await;
    let leaving = assert_left_alone(&setup, "/plain/x", &setup.servers).await;
    let since = time::Instant::now();
    for state in ["draining", "ready"] {
        setup
            .store
            .put("servers", &leaving.id, leaving.entry("gate", state));
        tokio::time::sleep(time::Duration::from_millis(900)).await;
        setup
            .send_for("/plain/x", time::Duration::from_millis(300))
            .await;
    }
    assert_eq!(received(leaving, since, time::Instant::now()), 0);
    leaving.crash();
    let next = leaving.start_again(&leaving.id).await;
    next.register(&setup.store, "gate");
    tokio::time::sleep(time::Duration::from_millis(900)).await;
    let others = setup.servers.iter().filter(|s| s.id != leaving.id);
    others.for_each(|other| other.crash());
    let answers = setup
        .send_for("/plain/x", time::Duration::from_millis(500))
        .await;
    assert!(served(&answers) > 10, "{}", setup.host.log());
}

#[tokio::test]
async fn requests_are_refused_at_once_if_the_only_server_leaves() {
    let setup = Setup::start(&[None]).await;
    setup.servers[0].set_headers(LEAVING);
    setup
        .send_for("/plain/x", time::Duration::from_millis(300))
        .await;
    let start = time::Instant::now();
    let answers = setup
        .send_for("/plain/x", time::Duration::from_millis(10))
        .await;
    assert_eq!(answers[0].status, 503, "{:?}", answers[0]);
    assert!(answers[0].header("retry-after").is_some());
    assert!(start.elapsed() < time::Duration::from_millis(500));
}

async fn assert_paused(setup: &Setup, path: &str) {
    for server in &setup.servers {
        server.set_fault(server::Fault::Shed);
        server.set_headers("Retry-After: 2\r\n");
    }
    let start = time::Instant::now();
    let answers = setup
        .send_for(path, time::Duration::from_millis(1_800))
        .await;
    for server in &setup.servers {
        let asked = server.received().iter().any(|r| r.at >= start);
        if !asked {
            continue;
        }
        let first = first_at(server, start);
        let pause = (first + PAUSE_NOTICE, first + time::Duration::from_secs(2));
        let count = received(server, pause.0, pause.1);
        assert!(
            count <= TOLERATED,
            "{path}: {count} at {}\n{}",
            server.id,
            setup.host.log()
        );
    }
    let last = answers.last().unwrap();
    let wait: f64 = last.header("retry-after").unwrap().parse().unwrap();
    assert!(last.status == 503 && wait < 2.4, "{last:?}");
    for server in &setup.servers {
        server.set_fault(server::Fault::None);
        server.set_headers("");
    }
    tokio::time::sleep(time::Duration::from_millis(2_300)).await;
    let answers = setup.send_for(path, time::Duration::from_millis(300)).await;
    assert_eq!(served(&answers), answers.len(), "{}", setup.host.log());
}

#[tokio::test]
async fn servers_that_ask_for_a_pause_get_no_requests_for_so_long() {
    for path in ["/plain/x", "/once/x"] {
        for servers in [1, 3] {
            let setup = Setup::start(&vec![None; servers]).await;
            assert_paused(&setup, path).await;
        }
    }
}

#[tokio::test]
async fn engines_that_ask_for_a_pause_get_no_requests_for_so_long() {
    let stages = [Some("prefill"), Some("decode"), Some("decode")];
    let setup = Setup::start(&stages).await;
    assert_paused(&setup, "/brief/x").await;
}

// A value that is no time asks for nothing, and an answer that isn't a 503 neither.
#[tokio::test]
async fn values_that_are_no_times_ask_for_nothing() {
    let setup = Setup::start(&[None]).await;
    let server = &setup.servers[0];
    for value in [
        "",
        "-1",
        "soon",
        "NaN",
        "inf",
        "1e400",
        "0",
        "Wed, 21 Oct 2026 07:28:00 GMT",
    ] {
        server.set_fault(server::Fault::Shed);
        server.set_headers(&format!("Retry-After: {value}\r\n"));
        setup
            .send_for("/plain/x", time::Duration::from_millis(10))
            .await;
        server.set_fault(server::Fault::None);
        let answers = setup
            .send_for("/plain/x", time::Duration::from_millis(10))
            .await;
        assert_eq!(answers[0].status, 200, "{value:?}: {:?}", answers[0]);
    }
    server.set_fault(server::Fault::Status500);
    server.set_headers("Retry-After: 5\r\n");
    setup
        .send_for("/plain/x", time::Duration::from_millis(10))
        .await;
    server.set_fault(server::Fault::None);
    let answers = setup
        .send_for("/plain/x", time::Duration::from_millis(10))
        .await;
    assert_eq!(answers[0].status, 200, "{:?}", answers[0]);
}

// The next process at the address, or under the id, hasn't asked for anything.
#[tokio::test]
async fn pause_is_the_matter_of_a_process() {
    let setup = Setup::start(&[None]).await;
    let server = &setup.servers[0];
    server.set_fault(server::Fault::Shed);
    server.set_headers("Retry-After: 30\r\n");
    setup
        .send_for("/plain/x", time::Duration::from_millis(100))
        .await;
    server.crash();
    server.set_fault(server::Fault::None);
    let next = server.start_again(&server.id).await;
    next.register(&setup.store, "gate");
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    let answers = setup
        .send_for("/plain/x", time::Duration::from_millis(100))
        .await;
    assert_eq!(served(&answers), answers.len(), "{}", setup.host.log());
}

// A host that is cut off from the servers passes on answers that another one got, and may use the servers later.
#[tokio::test]
async fn other_hosts_learn_that_a_server_leaves() {
    let setup = Setup::start(&[None; 2]).await;
    let other = hosts::Host::start(BINARY, "h2", setup.store_addr);
    other.wait_ready().await;
    let leaving = assert_left_alone(&setup, "/plain/x", &setup.servers).await;
    let since = time::Instant::now();
    for number in 0..20 {
        let id = format!("o{number}");
        let bytes = caller::request("POST", "/plain/x", &id, "", &id);
        let answer = caller::send(other.callers_addr, &bytes, TIMEOUT).await;
        assert_eq!(answer.status, 200, "{answer:?}\n{}", other.log());
    }
    let late = received(leaving, since, time::Instant::now());
    assert_eq!(late, 0, "late requests\n{}", other.log());
}
