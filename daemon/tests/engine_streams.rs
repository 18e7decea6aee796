//! Streamed answers of model engines through an entry host.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// How long engines keep the KV cache of a stopped run.
const HANDLE_TTL: time::Duration = time::Duration::from_millis(500);

#[tokio::test]
async fn prefill_and_decode_run_on_different_engines() {
    let setup = engine_setup::EngineSetup::start(BINARY).await;
    let answer = setup.send("/single/x", "r1").await;
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.body, engine_setup::complete_stream(5));
    assert_eq!(setup.prefill_engine.received().len(), 1);
    let received: Vec<_> = setup
        .decode_engines
        .iter()
        .flat_map(|engine| engine.received())
        .collect();
    assert_eq!(received.len(), 1);
    let source = format!("{}/h-r1", setup.prefill_engine.addr);
    assert_eq!(received[0].headers["x-kv-source"], source);
    assert_eq!(received[0].headers["x-token-count"], "500,700");
}

#[tokio::test]
async fn broken_resumable_stream_continues_after_last_complete_event() {
    let setup = engine_setup::EngineSetup::start(BINARY).await;
    setup.decode_engines[0]
        .events_per_stream
        .store(40, atomic::Ordering::Relaxed);
    setup.decode_engines[1]
        .events_per_stream
        .store(40, atomic::Ordering::Relaxed);
    setup.set_fault(server::Fault::TruncateStream);
    let (engine_1, engine_2) = (
        setup.decode_engines[0].clone(),
        setup.decode_engines[1].clone(),
    );
    let heal = tokio::spawn(async move {
        loop {
            let runs = engine_1.runs_of("r1") + engine_2.runs_of("r1");
            if runs > 0 {
                let healthy = if engine_1.runs_of("r1") > 0 {
                    engine_2
                } else {
                    engine_1
                };
                healthy.set_fault(server::Fault::None);
                return;
            }
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
    });
    let answer = setup.send("/brief/x", "r1").await;
    heal.await.unwrap();
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.body, engine_setup::complete_stream(40));
    assert_eq!(setup.runs_of("r1"), 2);
}

#[tokio::test]
async fn broken_unresumable_stream_is_visibly_incomplete() {
    let setup = engine_setup::EngineSetup::start(BINARY).await;
    setup.set_fault(server::Fault::TruncateStream);
    let answer = setup.send("/single/x", "r1").await;
    assert_eq!((answer.status, answer.complete), (200, false), "{answer:?}");
    assert_eq!(
        answer.body,
        engine_setup::complete_stream(2),
        "only complete events are forwarded"
    );
    assert_eq!(setup.runs_of("r1"), 1);
}

#[tokio::test]
async fn caller_disconnect_frees_the_engine() {
    let setup = engine_setup::EngineSetup::start(BINARY).await;
    for engine in &setup.decode_engines {
        engine
            .events_per_stream
            .store(10_000, atomic::Ordering::Relaxed);
    }
    let bytes = caller::request("POST", "/single/x", "r1", engine_setup::PROMPT, "a prompt");
    let short_timeout = time::Duration::from_millis(400);
    let answer = caller::send(setup.host.callers_addr, &bytes, short_timeout).await;
    assert!(answer.body.starts_with("id: 1\n"), "{answer:?}");
    let start = time::Instant::now();
    while setup
        .decode_engines
        .iter()
        .any(|engine| engine.active_runs.load(atomic::Ordering::Relaxed) > 0)
    {
        assert!(
            start.elapsed() < engine_setup::TIMEOUT,
            "an engine still works on the request"
        );
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    assert_eq!(setup.runs_of("r1"), 1);
}

#[tokio::test]
async fn lost_prefill_result_is_freed_and_decode_engine_prefills_prompt() {
    let setup = engine_setup::EngineSetup::start(BINARY).await;
    setup.set_fault(server::Fault::ExpirePrefill);
    let answer = setup.send("/single/x", "r1").await;
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.body, engine_setup::complete_stream(5));
    assert_eq!(setup.runs_of("r1"), 1);
    assert_eq!(setup.prefill_engine.received().len(), 1);
    let start = time::Instant::now();
    while setup
        .prefill_engine
        .freed_handles
        .load(atomic::Ordering::Relaxed)
        == 0
    {
        assert!(
            start.elapsed() < engine_setup::TIMEOUT,
            "the result of the prefill wasn't freed"
        );
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn unreachable_decode_engine_wastes_no_prefill() {
    let setup = engine_setup::EngineSetup::start(BINARY).await;
    let entry = setup.decode_engines[0].entry("scribe", "ready");
    for id in ["i-x1", "i-x2", "i-x3"] {
        let mut gone = entry.clone();
        gone["address"] = "127.0.0.1:1".into();
        setup.store.put("servers", id, gone);
    }
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    for i in 0..8 {
        let answer = setup.send("/single/x", &format!("r{i}")).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    }
    assert_eq!(
        setup.prefill_engine.received().len(),
        8,
        "a prompt was prefilled more than once"
    );
}

/// Waits until a decode engine runs request `id` and marks that engine as draining. Returns it and
/// the other decode engine.
async fn drain_running_engine(
    setup: &engine_setup::EngineSetup,
    id: &str,
) -> (sync::Arc<server::Server>, sync::Arc<server::Server>) {
    let leaving = setup.wait_for_run(id).await;
    let entry = leaving.entry("scribe", "draining");
    setup.store.put("servers", &leaving.id, entry);
    let other = setup.decode_engines.iter().find(|e| e.id != leaving.id);
    (leaving, other.unwrap().clone())
}

/// Makes the decode engines' streams long: 70 events, 30 ms apart. They take longer than the host
/// needs to learn that an engine is draining.
fn make_streams_long(setup: &engine_setup::EngineSetup) {
    for engine in &setup.decode_engines {
        engine
            .events_per_stream
            .store(70, atomic::Ordering::Relaxed);
        engine.delay_ms.store(30, atomic::Ordering::Relaxed);
    }
}

/// Headers of a request with a long answer.
const LONG_PROMPT: &str = "X-Model: m\r\nX-Token-Count: 500,9000\r\nX-Length-Hint: 4900\r\n";

#[tokio::test]
async fn run_moves_to_another_engine_when_its_engine_drains() {
    let setup = engine_setup::EngineSetup::start(BINARY).await;
    make_streams_long(&setup);
    let bytes = caller::request("POST", "/single/x", "r1", LONG_PROMPT, "a prompt");
    let (answer, (leaving, other)) = tokio::join!(
        caller::send(setup.host.callers_addr, &bytes, engine_setup::TIMEOUT),
        drain_running_engine(&setup, "r1")
    );
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(
        answer.body,
        engine_setup::complete_stream(70),
        "each event once and in order"
    );
    let received = other.received();
    assert_eq!(
        received.len(),
        1,
        "the run didn't continue on the other engine"
    );
    let source = format!("{}/m-r1", leaving.addr);
    assert_eq!(received[0].headers["x-kv-source"], source);
    let after: u64 = received[0].headers["last-event-id"].parse().unwrap();
    assert!((1..70).contains(&after), "continued after {after}");
    assert_eq!(leaving.active_runs.load(atomic::Ordering::Relaxed), 0);
    assert_eq!(
        setup.prefill_engine.received().len(),
        1,
        "the prompt was prefilled again"
    );
}

#[tokio::test]
async fn run_that_cannot_be_copied_stays_on_its_engine() {
    let setup = engine_setup::EngineSetup::start(BINARY).await;
    make_streams_long(&setup);
    for engine in &setup.decode_engines {
        engine.refuses_copies.store(true, atomic::Ordering::Relaxed);
    }
    for (path, id, prefills) in [("/single/x", "r1", 1), ("/brief/x", "r2", 2)] {
        let bytes = caller::request("POST", path, id, LONG_PROMPT, "a prompt");
        let (answer, (leaving, _)) = tokio::join!(
            caller::send(setup.host.callers_addr, &bytes, engine_setup::TIMEOUT),
            drain_running_engine(&setup, id)
        );
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        assert_eq!(answer.body, engine_setup::complete_stream(70), "{path}");
        let copies = leaving.received();
        let copies = copies
            .iter()
            .filter(|request| request.request_line.contains("kv-move"));
        assert!(copies.count() > 0, "{path}: no move was tried");
        assert_eq!((leaving.runs_of(id), setup.runs_of(id)), (1, 1), "{path}");
        assert_eq!(setup.prefill_engine.received().len(), prefills, "{path}");
        leaving.register(&setup.store, "scribe");
        tokio::time::sleep(time::Duration::from_millis(600)).await;
    }
}

#[tokio::test]
async fn stopped_unrepeatable_run_refused_by_both_engines_is_not_restarted() {
    let setup = engine_setup::EngineSetup::start(BINARY).await;
    make_streams_long(&setup);
    let bytes = caller::request("POST", "/single/x", "r1", LONG_PROMPT, "a prompt");
    let drain_and_refuse = async {
        let (leaving, other) = drain_running_engine(&setup, "r1").await;
        setup.set_fault(server::Fault::ExpirePrefill);
        (leaving, other)
    };
    let (answer, (leaving, other)) = tokio::join!(
        caller::send(setup.host.callers_addr, &bytes, engine_setup::TIMEOUT),
        drain_and_refuse
    );
    assert_eq!((answer.status, answer.complete), (200, false), "{answer:?}");
    // It is offered again while its KV cache is kept, and to nobody after that.
    for engine in [&other, &leaving] {
        let received = engine.received();
        let offers = received
            .iter()
            .filter(|request| request.headers.contains_key("last-event-id"));
        let offers: Vec<_> = offers.collect();
        let id = &engine.id;
        assert!((1..=5).contains(&offers.len()), "{id}: {offers:?}");
        for offer in &offers {
            assert!(offer.headers["x-kv-source"].ends_with("/m-r1"), "{id}");
        }
        let took = offers[offers.len() - 1].at - offers[0].at;
        assert!(
            took < HANDLE_TTL,
            "{id}: the last offer came after {took:?}"
        );
    }
    let fresh = other.received();
    let fresh = fresh
        .iter()
        .filter(|request| !request.headers.contains_key("last-event-id"));
    assert_eq!(fresh.count(), 0, "the run was started anew");
    assert_eq!((leaving.runs_of("r1"), other.runs_of("r1")), (1, 0));
    assert_eq!(
        setup.prefill_engine.received().len(),
        1,
        "the prompt was prefilled again"
    );
}

/// Has an engine run out of memory, whose newest run is therefore moved to another engine, which refuses it.
/// Returns the answer to that run's request, and the setup.
async fn move_run_to_refusing_engine(path: &str) -> (caller::Answer, engine_setup::EngineSetup) {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let prefill_engine = server::Server::start("i-p", Some("prefill")).await;
    let source = server::Server::start("i-d1", Some("decode")).await;
    let target = server::Server::start("i-d2", Some("decode")).await;
    source
        .events_per_stream
        .store(400, atomic::Ordering::Relaxed);
    target.set_fault(server::Fault::ExpirePrefill);
    for server in [&prefill_engine, &source] {
        server.register(&store, "scribe");
    }
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    // Both fit as predicted, but not with as many tokens as they generate.
    let prompt = "X-Model: m\r\nX-Token-Count: 40000,60000\r\nX-Length-Hint: 350\r\n";
    let mut answers = Vec::new();
    for id in ["r1", "r2"] {
        let bytes = caller::request("POST", path, id, prompt, id);
        let host_addr = host.callers_addr;
        answers.push(tokio::spawn(async move {
            caller::send(host_addr, &bytes, engine_setup::TIMEOUT).await
        }));
        let start = time::Instant::now();
        while source.runs_of(id) == 0 {
            assert!(
                start.elapsed() < engine_setup::TIMEOUT,
                "{id} never ran: {}",
                host.log()
            );
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
        // The newest run is moved, so the second one has to be clearly newer.
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    target.register(&store, "scribe");
    let mut last = caller::Answer::default();
    for answer in answers {
        last = answer.await.unwrap();
    }
    assert!(!target.received().is_empty(), "no move: {}", host.log());
    let setup = engine_setup::EngineSetup {
        store,
        store_addr: addr,
        host,
        prefill_engine,
        decode_engines: vec![source, target],
    };
    (last, setup)
}

// An engine may refuse a run that is moved to it, for instance while it changes its stage. The
// engine that the run left still has its memory.
#[tokio::test]
async fn run_that_its_new_engine_refuses_continues_on_the_one_it_left() {
    for path in ["/single/x", "/brief/x"] {
        let (answer, setup) = move_run_to_refusing_engine(path).await;
        let log = setup.host.log();
        assert_eq!((answer.status, answer.complete), (200, true), "{log}");
        assert_eq!(answer.body, engine_setup::complete_stream(400), "{path}");
        let continued = setup.decode_engines[0].received();
        let continued = continued.iter().filter(|request| {
            let source = request.headers.get("x-kv-source");
            request.ran && source.is_some_and(|source| source.ends_with("/m-r2"))
        });
        assert!(continued.count() >= 1, "{path}: {log}");
        let prefills = setup.prefill_engine.received().len();
        assert_eq!(prefills, 2, "a prompt was prefilled again: {log}");
    }
}

#[tokio::test]
async fn request_without_usable_engines_is_refused_at_once() {
    let setup = engine_setup::EngineSetup::start(BINARY).await;
    for id in ["i-d1", "i-d2", "i-p"] {
        let server = setup
            .decode_engines
            .iter()
            .chain([&setup.prefill_engine])
            .find(|server| server.id == id);
        setup
            .store
            .put("servers", id, server.unwrap().entry("scribe", "draining"));
    }
    tokio::time::sleep(time::Duration::from_millis(700)).await;
    let start = time::Instant::now();
    let answer = setup.send("/single/x", "r1").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(start.elapsed() < time::Duration::from_secs(2));
    assert_eq!(
        setup.runs_of("r1") + setup.prefill_engine.received().len(),
        0
    );
}
