//! Runs that were stopped for a move and that the other engine refuses then. Their engine has left for too long to take
//! them back, but keeps their KV cache for some time, so the streams must end whole.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Events of a stream that takes more than three seconds.
const EVENTS: u64 = 120;
const EVENT_PAUSE_MS: u64 = 30;
const TOKENS_PER_EVENT: u64 = 70;
/// How long after its notice a host may send a leaving engine a run that it has stopped.
const TAKES_BACK_FOR: time::Duration = time::Duration::from_millis(1_500);
/// How long the leaving engine takes for each of the two copies, which is longer in sum.
const COPY_DELAY_MS: u64 = 800;
/// How long engines keep the KV cache of a stopped run.
const HANDLE_TTL: time::Duration = time::Duration::from_millis(500);
/// Longest time for a caller to read a stream.
const TIMEOUT: time::Duration = time::Duration::from_secs(9);
/// One route that may be resumed and one that may not.
const PATHS: [&str; 2] = ["/brief/x", "/single/x"];

/// A stream whose engine left.
struct Stopped {
    setup: engine_setup::EngineSetup,
    answer: caller::Answer,
    leaving: sync::Arc<server::Server>,
    others: Vec<sync::Arc<server::Server>>,
}

/// Starts a host with decode engines of these ids, whose streams may take long.
async fn start(ids: &[&str]) -> engine_setup::EngineSetup {
    let (store, store_addr) = store::Store::start().await;
    let mut configuration = hosts::configuration(3);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = (TIMEOUT.as_millis() as u64).into();
    }
    store.put("config", "main", configuration);
    let prefill_engine = server::Server::start("i-p", Some("prefill")).await;
    let mut decode_engines = Vec::new();
    for id in ids {
        let engine = server::Server::start(id, Some("decode")).await;
        engine
            .events_per_stream
            .store(EVENTS, atomic::Ordering::Relaxed);
        engine
            .delay_ms
            .store(EVENT_PAUSE_MS, atomic::Ordering::Relaxed);
        decode_engines.push(engine);
    }
    for server in decode_engines.iter().chain([&prefill_engine]) {
        server.register(&store, "scribe");
    }
    let host = hosts::Host::start(BINARY, "h1", store_addr);
    host.wait_ready().await;
    engine_setup::EngineSetup {
        store,
        store_addr,
        host,
        prefill_engine,
        decode_engines,
    }
}

/// Has an engine leave while it writes a stream. `disturb` is applied to that engine and the others meanwhile.
async fn leave(
    ids: &[&str],
    path: &str,
    disturb: impl AsyncFn(&server::Server, &[sync::Arc<server::Server>]),
) -> Stopped {
    let setup = start(ids).await;
    // So that the run is predicted to outlast its engine all the time.
    let hint = EVENTS * TOKENS_PER_EVENT * 2;
    let headers = format!("X-Model: m\r\nX-Token-Count: 500,{hint}\r\nX-Length-Hint: {hint}\r\n");
    let bytes = caller::request("POST", path, "r1", &headers, "a prompt");
    let leaving = async {
        let leaving = setup.wait_for_run("r1").await;
        let others = setup.decode_engines.iter().filter(|e| e.id != leaving.id);
        let others: Vec<_> = others.cloned().collect();
        leaving
            .copy_delay_ms
            .store(COPY_DELAY_MS, atomic::Ordering::Relaxed);
        let entry = leaving.entry("scribe", "draining");
        setup.store.put("servers", &leaving.id, entry);
        disturb(&leaving, &others).await;
        (leaving, others)
    };
    let (answer, (leaving, others)) = tokio::join!(
        caller::send(setup.host.callers_addr, &bytes, TIMEOUT),
        leaving
    );
    Stopped {
        setup,
        answer,
        leaving,
        others,
    }
}

/// Has all these engines refuse runs until one of them has refused one. Returns the number of that one.
async fn refuse_once(engines: &[sync::Arc<server::Server>]) -> usize {
    for engine in engines {
        engine.set_fault(server::Fault::ExpirePrefill);
    }
    let started = time::Instant::now();
    while started.elapsed() < TIMEOUT {
        let refused = engines
            .iter()
            .position(|engine| !offers_to(engine).is_empty());
        if let Some(refused) = refused {
            return refused;
        }
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    }
    panic!("no run was offered");
}

/// Returns when the run was offered to an engine.
fn offers_to(engine: &server::Server) -> Vec<time::Instant> {
    let received = engine.received();
    let offers = received.iter().filter(|request| {
        let source = request.headers.get("x-kv-source");
        source.is_some_and(|source| source.ends_with("/m-r1"))
    });
    offers.map(|offer| offer.at).collect()
}

/// Returns the calls that copy the run to other engines.
fn copies_of(engine: &server::Server) -> Vec<serde_json::Value> {
    let received = engine.received();
    let calls = received.iter();
    let calls = calls.filter(|request| request.request_line.contains("kv-move"));
    let calls = calls.map(|call| serde_json::from_slice(&call.body).unwrap());
    calls.collect()
}

impl Stopped {
    fn assert_whole(&self, path: &str) {
        let Self { setup, answer, .. } = self;
        let log = setup.host.log();
        let ended = (answer.status, answer.complete);
        assert_eq!(ended, (200, true), "{path} was cut: {log}");
        assert_eq!(answer.body, engine_setup::complete_stream(EVENTS), "{path}");
    }

    /// Checks that the run went on without a second reading of its prompt, and only with its KV cache.
    fn assert_moved(&self, path: &str) {
        self.assert_whole(path);
        let log = self.setup.host.log();
        let prefills = self.setup.prefill_engine.received().len();
        assert_eq!(prefills, 1, "{path}: the prompt was prefilled again: {log}");
        assert_eq!(self.setup.runs_of("r1"), 2, "{path}: {log}");
        let handle = format!("{}/m-r1", self.leaving.addr);
        for offer in self.others.iter().flat_map(|other| other.received()) {
            assert_eq!(offer.headers["x-kv-source"], handle, "{path}: {log}");
        }
        assert_eq!(offers_to(&self.leaving).len(), 0, "{path}: it left: {log}");
    }
}

/// Guards against streams that are cut although a third engine could go on with them.
#[tokio::test]
async fn stopped_run_goes_on_at_a_third_engine() {
    for path in PATHS {
        let stopped = leave(&["i-d1", "i-d2", "i-d3"], path, async |_, others| {
            let refused = refuse_once(others).await;
            others[1 - refused].set_fault(server::Fault::None);
        })
        .await;
        stopped.assert_moved(path);
    }
}

/// Guards against streams that are cut because an engine refuses their run for a moment.
#[tokio::test]
async fn stopped_run_is_offered_again_to_an_engine_that_refused_it() {
    for path in PATHS {
        let stopped = leave(&["i-d1", "i-d2"], path, async |_, others| {
            refuse_once(others).await;
            tokio::time::sleep(time::Duration::from_millis(120)).await;
            others[0].set_fault(server::Fault::None);
        })
        .await;
        stopped.assert_moved(path);
        let offers = offers_to(&stopped.others[0]).len();
        assert!((2..=5).contains(&offers), "{path}: {offers} offers");
    }
}

/// Guards against engines that are offered a run whose KV cache isn't kept any more.
#[tokio::test]
async fn refused_run_is_offered_no_longer_than_its_memory_is_kept() {
    let stopped = leave(&["i-d1", "i-d2"], "/single/x", async |_, others| {
        refuse_once(others).await;
    })
    .await;
    let answer = &stopped.answer;
    assert_eq!((answer.status, answer.complete), (200, false), "{answer:?}");
    let offers = offers_to(&stopped.others[0]);
    let took = *offers.last().unwrap() - offers[0];
    assert!(took < HANDLE_TTL, "the last offer came after {took:?}");
    assert!((2..=5).contains(&offers.len()), "{} offers", offers.len());
    assert_eq!(stopped.setup.runs_of("r1"), 1);
}

/// Guards against runs that are stopped although their engine could end them, but couldn't take them back.
#[tokio::test]
async fn run_that_its_leaving_engine_can_end_is_not_stopped() {
    for path in PATHS {
        let stopped = leave(&["i-d1", "i-d2"], path, async |leaving, others| {
            leaving.leaves_ms.store(20_000, atomic::Ordering::Relaxed);
            leaving.copy_delay_ms.store(0, atomic::Ordering::Relaxed);
            leaving
                .refuses_copies
                .store(true, atomic::Ordering::Relaxed);
            others[0].set_fault(server::Fault::ExpirePrefill);
            while copies_of(leaving).is_empty() {
                tokio::time::sleep(time::Duration::from_millis(5)).await;
            }
            tokio::time::sleep(TAKES_BACK_FOR).await;
            leaving
                .refuses_copies
                .store(false, atomic::Ordering::Relaxed);
        })
        .await;
        stopped.assert_whole(path);
        let log = stopped.setup.host.log();
        assert_eq!(stopped.setup.runs_of("r1"), 1, "{path}: {log}");
        let copies = copies_of(&stopped.leaving);
        let stops = copies.iter().filter(|call| call["last"] == true);
        assert_eq!(stops.count(), 0, "{path}: the run was stopped");
    }
}

/// Guards against streams that are cut although their route allows another engine to read the prompt, as the only one left
/// refuses requests for a moment.
#[tokio::test]
async fn stopped_run_that_may_be_sent_again_waits_for_an_engine() {
    let stopped = leave(&["i-d1", "i-d2"], "/brief/x", async |_, others| {
        refuse_once(others).await;
        // Until after the KV cache is kept.
        tokio::time::sleep(HANDLE_TTL + time::Duration::from_millis(200)).await;
        others[0].set_fault(server::Fault::None);
    })
    .await;
    stopped.assert_whole("/brief/x");
    assert_eq!(stopped.setup.runs_of("r1"), 2);
    assert_eq!(stopped.setup.prefill_engine.received().len(), 2);
}
