//! What the log of a host says of its end: why the host ended when it did, and which requests that cut.

use std::sync;
use std::sync::atomic;
use std::time;

use serde_json::Value;
use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for an answer: until the host has ended for certain.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// A host that nothing holds up has ended by then.
const IDLE_END_MS: u64 = 5_000;
/// A host whose grace period is over ends after that time.
const GRACE_END_MS: u64 = 7_500;
/// How long a process gets no processor time, and the least of it that shows.
const STARVED: time::Duration = time::Duration::from_millis(1_200);
const STARVED_SHOWN_MS: u64 = 900;

/// A store, one server of a plain service, an engine, and a host.
struct Setup {
    store: sync::Arc<store::Store>,
    server: sync::Arc<server::Server>,
    host: hosts::Host,
}

impl Setup {
    async fn start() -> Self {
        let (store, addr) = store::Store::start().await;
        let mut configuration = hosts::configuration(3);
        for route in configuration["routes"].as_array_mut().unwrap() {
            route["timeout_ms"] = 14_000.into();
        }
        store.put("config", "main", configuration);
        let server = server::Server::start("i-a", None).await;
        server.register(&store, "gate");
        let engine = server::Server::start("i-d", Some("decode")).await;
        engine
            .events_per_stream
            .store(60, atomic::Ordering::Relaxed);
        engine.delay_ms.store(200, atomic::Ordering::Relaxed);
        engine.register(&store, "scribe");
        let host = hosts::Host::start(BINARY, "h1", addr);
        host.wait_ready().await;
        Self {
            store,
            server,
            host,
        }
    }

    /// Sends a request in a task of its own.
    fn send(
        &self,
        path: &str,
        id: &str,
        headers: &str,
        body: &str,
    ) -> tokio::task::JoinHandle<caller::Answer> {
        let bytes = caller::request("POST", path, id, headers, body);
        let addr = self.host.callers_addr;
        tokio::spawn(async move { caller::send(addr, &bytes, TIMEOUT * 2).await })
    }

    /// Returns the host's lines of an event.
    fn lines(&self, event: &str) -> Vec<Value> {
        let log = self.host.log();
        let lines = log
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines
            .filter(|line: &Value| line["event"] == event)
            .collect()
    }

    async fn wait_for_line(&self, event: &str) -> Value {
        let started = time::Instant::now();
        loop {
            if let Some(line) = self.lines(event).pop() {
                return line;
            }
            assert!(started.elapsed() < TIMEOUT, "{}", self.host.log());
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    }

    fn leave(&self) {
        self.host.signal(rustix::process::Signal::TERM).unwrap();
    }

    /// Waits until the process has ended, and returns its `stop` line.
    async fn wait_for_end(&mut self) -> Value {
        let started = time::Instant::now();
        while self.host.process.try_wait().unwrap().is_none() {
            assert!(started.elapsed() < TIMEOUT, "{}", self.host.log());
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        self.wait_for_line("stop").await
    }

    /// Asserts that the end of the process cut nothing.
    fn assert_nothing_cut(&self) {
        assert!(self.lines("cut-at-end").is_empty(), "{}", self.host.log());
    }
}

/// Guards against ends of which the log doesn't say that they cut a request.
#[tokio::test]
async fn stream_that_the_end_cuts_is_named() {
    let mut setup = Setup::start().await;
    let headers = "X-Token-Count: 10,7000\r\n";
    let long = setup.send("/single/x", "long", headers, "p");
    setup.wait_for_line("placed").await;
    setup.leave();
    tokio::time::sleep(time::Duration::from_millis(3_500)).await;
    let refused = setup.send("/once/x", "late", "", "").await.unwrap();
    assert_eq!(refused.status, 503, "{refused:?}");
    let metrics = caller::request("GET", "/metrics", "m", "", "");
    let metrics = caller::send(setup.host.metrics_addr, &metrics, TIMEOUT).await;
    assert!(
        metrics.body.contains("walnuthaven_leaving_refusals 1\n"),
        "{metrics:?}"
    );
    let stop = setup.wait_for_end().await;
    let answer = long.await.unwrap();
    assert!(!answer.complete, "{}", setup.host.log());
    let cut = setup.lines("cut-at-end").pop().unwrap();
    assert_eq!(cut["level"], "WARN");
    assert_eq!(cut["in_flight"], 1, "{cut}");
    let requests = cut["requests"].as_array().unwrap();
    assert_eq!(requests.len(), 1, "{cut}");
    assert_eq!(requests[0]["id"], "long", "{cut}");
    assert_eq!(requests[0]["answer"], "begun", "{cut}");
    assert_eq!(requests[0]["may_have_run"], true, "{cut}");
    assert!(
        requests[0]["for_ms"].as_u64().unwrap() >= GRACE_END_MS,
        "{cut}"
    );
    let named = setup.lines("request-cut");
    assert_eq!(named.len(), 1, "{named:?}");
    assert_eq!(named[0]["id"], "long", "{named:?}");
    assert_eq!(named[0]["answer"], "begun", "{named:?}");
    assert_eq!(named[0]["state"], "generating", "{named:?}");
    assert_eq!(named[0]["server"], "i-d", "{named:?}");
    let events = answer.body.matches("id: ").count();
    assert_eq!(named[0]["last_event"], events, "{named:?}");
    assert_eq!(stop["cause"], "end of grace period", "{stop}");
    assert!(
        stop["requests_until_ms"].as_u64().unwrap() >= GRACE_END_MS,
        "{stop}"
    );
    assert_eq!(stop["marks_until_ms"], 0, "{stop}");
    assert_eq!(stop["refused"], 1, "{stop}");
    let leave = setup.wait_for_line("leave").await;
    assert_eq!(
        (&leave["in_flight"], &leave["connections"]),
        (&1.into(), &1.into())
    );
}

/// Guards against processes that handle SIGTERM late, of which the log doesn't say so.
#[tokio::test]
async fn process_that_learns_late_of_its_end_is_named() {
    let mut setup = Setup::start().await;
    let starved = time::Instant::now();
    setup.host.signal(rustix::process::Signal::STOP).unwrap();
    tokio::time::sleep(STARVED).await;
    setup.leave();
    setup.host.signal(rustix::process::Signal::CONT).unwrap();
    let leave = setup.wait_for_line("leave").await;
    let late_ms = leave["late_ms"].as_u64().unwrap();
    assert!(late_ms >= STARVED_SHOWN_MS, "{leave}");
    assert!(
        u128::from(late_ms) <= starved.elapsed().as_millis(),
        "{leave}"
    );
    setup.wait_for_end().await;
    setup.assert_nothing_cut();
}

/// Guards against idle ends that look like those of a host that was held up.
#[tokio::test]
async fn end_of_an_idle_host_is_named() {
    let mut setup = Setup::start().await;
    let answer = setup.send("/once/x", "r", "", "").await.unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    setup.leave();
    let stop = setup.wait_for_end().await;
    assert_eq!(stop["cause"], "idle", "{stop}");
    assert!(stop["took_ms"].as_u64().unwrap() < IDLE_END_MS, "{stop}");
    for waited in [
        "requests_until_ms",
        "marks_until_ms",
        "connections_until_ms",
    ] {
        assert_eq!(stop[waited], 0, "{stop}");
    }
    setup.assert_nothing_cut();
}

/// Guards against hosts that marks hold up, of which the log doesn't say so.
#[tokio::test]
async fn unsaved_marks_are_named_as_what_held_the_host_up() {
    let mut setup = Setup::start().await;
    setup.store.refuses.store(true, atomic::Ordering::Relaxed);
    setup.server.set_fault(server::Fault::CrashOnPoison);
    let answer = setup.send("/once/x", "p", "", "poison").await.unwrap();
    assert_eq!(answer.status, 502, "{answer:?}");
    setup.wait_for_line("content-crashed-server").await;
    setup.leave();
    let stop = setup.wait_for_end().await;
    assert_eq!(stop["cause"], "end of grace period", "{stop}");
    assert_eq!(stop["marks_unsaved"], true, "{stop}");
    assert!(
        stop["marks_until_ms"].as_u64().unwrap() >= GRACE_END_MS,
        "{stop}"
    );
    assert!(
        stop["requests_until_ms"].as_u64().unwrap() < IDLE_END_MS,
        "{stop}"
    );
    setup.assert_nothing_cut();
}
