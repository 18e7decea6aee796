//! What the log of a host says of the streams that its end cuts: what each waited for, and how far it was.

use std::sync;
use std::sync::atomic;
use std::time;

use serde_json::Value;
use tokio::io::AsyncReadExt as _;
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
const LONG_PROMPT: &str = "X-Model: m\r\nX-Token-Count: 500,9000\r\nX-Length-Hint: 4900\r\n";
/// Streams that last longer than the grace period.
const EVENTS: u64 = 70;
const EVENT_PAUSE_MS: u64 = 200;
/// Longer than the grace period.
const FOREVER: time::Duration = time::Duration::from_secs(20);

/// A host, a prefill engine and two decode engines.
struct Setup {
    store: sync::Arc<store::Store>,
    prefill_engine: sync::Arc<server::Server>,
    engines: Vec<sync::Arc<server::Server>>,
    host: hosts::Host,
}

impl Setup {
    async fn start(events: u64, pause_ms: u64) -> Self {
        let (store, addr) = store::Store::start().await;
        let mut configuration = hosts::configuration(3);
        for route in configuration["routes"].as_array_mut().unwrap() {
            route["timeout_ms"] = TIME_LIMIT_MS.into();
        }
        store.put("config", "main", configuration);
        let prefill_engine = server::Server::start("i-p", Some("prefill")).await;
        prefill_engine.register(&store, "scribe");
        let mut engines = Vec::new();
        for id in ["i-d1", "i-d2"] {
            let engine = server::Server::start(id, Some("decode")).await;
            engine
                .events_per_stream
                .store(events, atomic::Ordering::Relaxed);
            engine.delay_ms.store(pause_ms, atomic::Ordering::Relaxed);
            engine.register(&store, "scribe");
            engines.push(engine);
        }
        let host = hosts::Host::start(BINARY, "h1", addr);
        host.wait_ready().await;
        Self {
            store,
            prefill_engine,
            engines,
            host,
        }
    }

    /// Sends a request for a long stream, waits until an engine runs it, and tells the host to leave. Returns that
    /// engine.
    async fn send_and_leave(
        &self,
        path: &str,
    ) -> (
        tokio::task::JoinHandle<caller::Answer>,
        sync::Arc<server::Server>,
    ) {
        let addr = self.host.callers_addr;
        let bytes = caller::request("POST", path, "r1", LONG_PROMPT, "a prompt");
        let sent = tokio::spawn(async move { caller::send(addr, &bytes, TIMEOUT * 2).await });
        let engine = self.wait_for_run().await;
        self.leave();
        (sent, engine)
    }

    /// Waits until an engine runs the request. Returns that engine.
    async fn wait_for_run(&self) -> sync::Arc<server::Server> {
        let started = time::Instant::now();
        loop {
            if let Some(engine) = self.engines.iter().find(|e| e.runs_of("r1") > 0) {
                return engine.clone();
            }
            assert!(started.elapsed() < TIMEOUT, "{}", self.host.log());
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
    }

    fn leave(&self) {
        self.host.signal(rustix::process::Signal::TERM).unwrap();
    }

    /// Waits until the process has ended, and returns what its log says of the request that this cut.
    async fn wait_for_cut(&mut self) -> Value {
        let started = time::Instant::now();
        while self.host.process.try_wait().unwrap().is_none() {
            assert!(started.elapsed() < TIMEOUT, "{}", self.host.log());
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        let log = self.host.log();
        let lines = log
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        let mut cut: Vec<Value> = lines
            .filter(|line: &Value| line["event"] == "request-cut")
            .collect();
        assert_eq!(cut.len(), 1, "{log}");
        cut.remove(0)
    }
}

fn secs(seconds: f64) -> time::Duration {
    time::Duration::from_secs_f64(seconds)
}

/// Returns the id of the last event that a caller got.
fn last_event(answer: &caller::Answer) -> u64 {
    let mut ids = answer
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    ids.next_back().unwrap().parse().unwrap()
}

/// Asserts what a line says of a stream of which nothing came for `min_age_ms`.
fn assert_stood_still(
    cut: &Value,
    state: &str,
    engine: &server::Server,
    answer: &caller::Answer,
    min_age_ms: u64,
) {
    assert_eq!(cut["id"], "r1", "{cut}");
    assert_eq!(cut["answer"], "begun", "{cut}");
    assert_eq!(cut["state"], state, "{cut}");
    assert_eq!(cut["server"], engine.id, "{cut}");
    assert!(!answer.complete);
    assert_eq!(cut["last_event"], last_event(answer), "{cut}");
    let age_ms = cut["last_event_age_ms"].as_u64().unwrap();
    assert!(age_ms >= min_age_ms, "{cut}");
    assert!(age_ms < cut["for_ms"].as_u64().unwrap(), "{cut}");
    assert_eq!(cut["untaken_bytes"], 0, "{cut}");
    assert_eq!(cut["caller_blocked"], false, "{cut}");
}

/// Guards against cut streams that look as if their engine still sent events.
#[tokio::test]
async fn stream_of_a_silent_engine() {
    let mut setup = Setup::start(EVENTS, EVENT_PAUSE_MS).await;
    let (sent, engine) = setup.send_and_leave("/brief/x").await;
    tokio::time::sleep(secs(4.0)).await;
    setup.engines.iter().for_each(|e| e.pause(FOREVER));
    let cut = setup.wait_for_cut().await;
    let answer = sent.await.unwrap();
    assert_stood_still(&cut, "server-silent", &engine, &answer, 2_000);
}

/// Guards against cut streams that look as if an engine ran them while they moved.
#[tokio::test]
async fn stream_whose_run_is_being_moved() {
    let mut setup = Setup::start(EVENTS, EVENT_PAUSE_MS).await;
    let (sent, engine) = setup.send_and_leave("/single/x").await;
    tokio::time::sleep(secs(4.0)).await;
    let entry = engine.entry("scribe", "draining");
    setup.store.put("servers", &engine.id, entry);
    let stops_run = |engine: &server::Server| {
        let is_last = |body: &[u8]| {
            serde_json::from_slice(body).is_ok_and(|call: Value| call["last"] == true)
        };
        let received = engine.received();
        received.iter().any(|request| is_last(&request.body))
    };
    while !stops_run(&engine) {
        tokio::time::sleep(time::Duration::from_millis(2)).await;
        assert!(setup.host.process.try_wait().unwrap().is_none());
    }
    let copy_delay_ms = FOREVER.as_millis() as u64;
    engine
        .copy_delay_ms
        .store(copy_delay_ms, atomic::Ordering::Relaxed);
    let cut = setup.wait_for_cut().await;
    let answer = sent.await.unwrap();
    assert_stood_still(&cut, "being-moved", &engine, &answer, 1_000);
}

/// Guards against cut streams that look as if an engine ran them while they waited for one.
#[tokio::test]
async fn stream_that_waits_for_an_engine() {
    let mut setup = Setup::start(EVENTS, EVENT_PAUSE_MS).await;
    let (sent, engine) = setup.send_and_leave("/brief/x").await;
    tokio::time::sleep(secs(7.1)).await;
    setup.prefill_engine.pause(FOREVER);
    engine.crash();
    let cut = setup.wait_for_cut().await;
    let answer = sent.await.unwrap();
    assert_stood_still(&cut, "waiting-for-engine", &engine, &answer, 100);
}

/// Guards against cut streams that look as if their engine held them up, not their caller.
#[tokio::test]
async fn stream_whose_caller_reads_nothing() {
    let mut setup = Setup::start(200_000, 0).await;
    let addr = setup.host.callers_addr;
    let mut stream = tokio::net::TcpStream::connect(addr).await.unwrap();
    let bytes = caller::request("POST", "/brief/x", "r1", LONG_PROMPT, "a prompt");
    stream.write_all(bytes.as_bytes()).await.unwrap();
    stream.read_u8().await.unwrap();
    setup.leave();
    let cut = setup.wait_for_cut().await;
    assert_eq!(cut["id"], "r1", "{cut}");
    assert_eq!(cut["answer"], "begun", "{cut}");
    assert_eq!(cut["state"], "generating", "{cut}");
    assert_eq!(cut["caller_blocked"], true, "{cut}");
    assert!(cut["untaken_bytes"].as_u64().unwrap() > 0, "{cut}");
}
