//! A host that leaves sends nothing to servers that it couldn't answer before it ends, whenever the send becomes
//! possible: when the body is whole, after another server's failure, or when there is room.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io::AsyncWriteExt as _;
use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for an answer: until the host has ended for certain.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// The routes' time limit, which is longer than the hosts' grace period of 8 s.
const TIME_LIMIT_MS: u64 = 14_000;
/// When a request that can't be sent any more is refused, after the signal at the latest.
const REFUSED_BY: time::Duration = time::Duration::from_secs(4);
/// The pause between two events.
const EVENT_PAUSE_MS: u64 = 200;
/// As the hosts' configuration states.
const TOKENS_PER_EVENT: u64 = 70;

/// A host that a long stream keeps up until the end of its grace period.
struct Setup {
    store: sync::Arc<store::Store>,
    /// The only plain server.
    server: sync::Arc<server::Server>,
    engine: sync::Arc<server::Server>,
    host: hosts::Host,
    long: tokio::task::JoinHandle<caller::Answer>,
}

impl Setup {
    /// Starts a host, with a plain server that takes `plain_ms` for an answer.
    async fn start(plain_ms: u64) -> Self {
        let (store, addr) = store::Store::start().await;
        let mut configuration = hosts::configuration(3);
        for route in configuration["routes"].as_array_mut().unwrap() {
            route["timeout_ms"] = TIME_LIMIT_MS.into();
            route["target_latency_ms"] = 6_000.into();
        }
        store.put("config", "main", configuration);
        let engine = server::Server::start("i-d", Some("decode")).await;
        engine
            .events_per_stream
            .store(60, atomic::Ordering::Relaxed);
        engine
            .delay_ms
            .store(EVENT_PAUSE_MS, atomic::Ordering::Relaxed);
        engine.register(&store, "scribe");
        let server = add_server(&store, "i-a", plain_ms).await;
        let host = hosts::Host::start(BINARY, "h1", addr);
        host.wait_ready().await;
        let long = tokio::spawn(send_stream(host.callers_addr, "long".to_owned(), 60));
        let setup = Self {
            store,
            server,
            engine,
            host,
            long,
        };
        setup.wait_for_log("\"placed\",\"id\":\"long\"").await;
        setup
    }

    async fn wait_for_log(&self, text: &str) {
        let started = time::Instant::now();
        while !self.host.log().contains(text) {
            assert!(started.elapsed() < TIMEOUT, "{}", self.host.log());
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    }

    /// Tells the host to leave. Returns when.
    fn leave(&self) -> tokio::time::Instant {
        self.host.signal(rustix::process::Signal::TERM).unwrap();
        tokio::time::Instant::now()
    }

    /// Checks that the host was up until the end of its grace period.
    async fn assert_was_held_up(self) {
        let long = self.long.await.unwrap();
        assert!(!long.complete, "the host ended early: {}", self.host.log());
    }
}

/// Starts a plain server that takes `delay_ms` for an answer.
async fn add_server(store: &store::Store, id: &str, delay_ms: u64) -> sync::Arc<server::Server> {
    let server = server::Server::start(id, None).await;
    server.delay_ms.store(delay_ms, atomic::Ordering::Relaxed);
    server.register(store, "gate");
    server
}

/// Asks for a stream of about this many events.
async fn send_stream(addr: net::SocketAddr, id: String, events: u64) -> caller::Answer {
    let tokens = events * TOKENS_PER_EVENT;
    let headers = format!("X-Token-Count: 10,7000\r\nX-Length-Hint: {tokens}\r\n");
    let bytes = caller::request("POST", "/single/x", &id, &headers, "p");
    caller::send(addr, &bytes, TIMEOUT * 2).await
}

fn secs(seconds: f64) -> time::Duration {
    time::Duration::from_secs_f64(seconds)
}

/// Guards against requests that are cut because only their heads were looked at.
#[tokio::test]
async fn request_whose_body_ends_late_is_not_cut() {
    let setup = Setup::start(400).await;
    let signalled = setup.leave();
    let addr = setup.host.callers_addr;
    let mut sends = Vec::new();
    for number in 0..30 {
        let at = signalled + secs(6.9 + f64::from(number) / 30.0);
        sends.push(tokio::spawn(async move {
            tokio::time::sleep_until(signalled + secs(0.5)).await;
            let bytes = caller::request("POST", "/once/x", &format!("r{number}"), "", "a body");
            let (head, body) = bytes.split_at(bytes.len() - 1);
            let mut stream = tokio::net::TcpStream::connect(addr).await.unwrap();
            stream.write_all(head.as_bytes()).await.unwrap();
            tokio::time::sleep_until(at).await;
            // The host may have ended.
            let _ = stream.write_all(body.as_bytes()).await;
            caller::read(&mut stream, TIMEOUT).await
        }));
    }
    let mut refused = 0;
    for (number, send) in sends.into_iter().enumerate() {
        let answer = send.await.unwrap();
        let runs = setup.server.runs_of(&format!("r{number}"));
        assert!(
            runs == 0 || answer.complete,
            "r{number} was cut: {}",
            setup.host.log()
        );
        assert!(answer.status != 503 || runs == 0, "r{number} ran");
        refused += usize::from(answer.status == 503);
    }
    assert!(refused > 0, "nothing was refused: {}", setup.host.log());
    setup.assert_was_held_up().await;
}

/// Guards against requests that are sent again so late that they are cut.
#[tokio::test]
async fn request_of_a_server_that_fails_late_is_not_sent_again() {
    let setup = Setup::start(9_000).await;
    let addr = setup.host.callers_addr;
    let signalled = setup.leave();
    let send = tokio::spawn(async move {
        let bytes = caller::request("POST", "/plain/x", "r", "", "");
        caller::send(addr, &bytes, TIMEOUT).await
    });
    tokio::time::sleep_until(signalled + secs(5.0)).await;
    assert_eq!(setup.server.runs_of("r"), 1, "{}", setup.host.log());
    let second = add_server(&setup.store, "i-b", 3_000).await;
    tokio::time::sleep_until(signalled + secs(6.5)).await;
    setup.server.crash();
    let answer = send.await.unwrap();
    assert!(
        answer.complete,
        "cut, with {} runs: {}",
        second.runs_of("r"),
        setup.host.log()
    );
    assert!([502, 504].contains(&answer.status), "{answer:?}");
    assert_eq!(second.runs_of("r"), 0, "{}", setup.host.log());
    setup.assert_was_held_up().await;
}

/// Guards against streams that wait for room until they can only be cut.
#[tokio::test]
async fn stream_that_waits_for_room_is_refused_while_its_caller_has_time() {
    let setup = Setup::start(0).await;
    let addr = setup.host.callers_addr;
    // Seven of the engine's eight slots, until about 4.5 s after the signal.
    setup
        .engine
        .events_per_stream
        .store(24, atomic::Ordering::Relaxed);
    let filling: Vec<_> = (0..7)
        .map(|number| tokio::spawn(send_stream(addr, format!("f{number}"), 10)))
        .collect();
    tokio::time::sleep(secs(0.5)).await;
    setup
        .engine
        .events_per_stream
        .store(60, atomic::Ordering::Relaxed);
    let signalled = setup.leave();
    tokio::time::sleep_until(signalled + secs(2.2)).await;
    let waiting = send_stream(addr, "r".to_owned(), 60).await;
    let took = signalled.elapsed();
    assert_eq!(
        (waiting.status, waiting.complete),
        (503, true),
        "{} runs: {}",
        setup.engine.runs_of("r"),
        setup.host.log()
    );
    assert!(took < REFUSED_BY, "refused after {took:?}");
    assert_eq!(setup.engine.runs_of("r"), 0);
    for filling in filling {
        assert!(filling.await.unwrap().complete, "{}", setup.host.log());
    }
    setup.assert_was_held_up().await;
}

/// Guards against requests that are cut at the host's end: they get an answer that says what is known of them.
#[tokio::test]
async fn request_without_an_answer_at_the_end_gets_one() {
    let setup = Setup::start(12_000).await;
    let addr = setup.host.callers_addr;
    let send = |id: &'static str, left_out: usize| async move {
        let bytes = caller::request("POST", "/once/x", id, "", "a body");
        let mut stream = tokio::net::TcpStream::connect(addr).await.unwrap();
        let part = &bytes.as_bytes()[..bytes.len() - left_out];
        stream.write_all(part).await.unwrap();
        caller::read(&mut stream, TIMEOUT).await
    };
    let signalled = setup.leave();
    let (running, unread) = tokio::join!(send("running", 0), send("unread", 1));
    assert!(signalled.elapsed() < secs(8.0), "after the grace period");
    let log = setup.host.log();
    assert_eq!((running.status, running.complete), (504, true), "{log}");
    assert_eq!((unread.status, unread.complete), (503, true), "{log}");
    assert_eq!(setup.server.runs_of("running"), 1);
    assert_eq!(setup.server.runs_of("unread"), 0);
    setup.assert_was_held_up().await;
}
