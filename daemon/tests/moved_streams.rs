//! Streams whose run is to move to another engine while their host leaves, and that engine doesn't take it. The engine that
//! has the run is sound, so the stream must end whole.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::server;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Headers of a request with a long answer.
const LONG_PROMPT: &str = "X-Model: m\r\nX-Token-Count: 500,9000\r\nX-Length-Hint: 4900\r\n";
/// Streams take about two seconds, of which an engine that leaves serves more than one.
const EVENTS: u64 = 70;
const EVENT_PAUSE_MS: u64 = 30;
/// The longest pause of an answer that is on time.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(300);
/// One route that may be resumed and one that may not.
const PATHS: [&str; 2] = ["/brief/x", "/single/x"];

/// A stream whose engine leaves, with what became of it.
struct Moved {
    setup: engine_setup::EngineSetup,
    answer: caller::Answer,
    leaving: sync::Arc<server::Server>,
    other: sync::Arc<server::Server>,
}

/// Starts a host with decode engines of these ids.
async fn start(ids: &[&str]) -> engine_setup::EngineSetup {
    let setup = engine_setup::EngineSetup::start_with(BINARY, ids).await;
    for engine in &setup.decode_engines {
        let events = &engine.events_per_stream;
        events.store(EVENTS, atomic::Ordering::Relaxed);
        engine
            .delay_ms
            .store(EVENT_PAUSE_MS, atomic::Ordering::Relaxed);
    }
    setup
}

/// Has an engine leave while it writes a stream, and its host get SIGTERM. `disturb` is applied to both engines, that which
/// leaves first.
async fn drain_beside_stop(
    path: &str,
    disturb: impl Fn(&server::Server, &server::Server),
) -> Moved {
    let setup = start(&["i-d1", "i-d2"]).await;
    let bytes = caller::request("POST", path, "r1", LONG_PROMPT, "a prompt");
    let drain = async {
        let leaving = setup.wait_for_run("r1").await;
        let other = setup.decode_engines.iter().find(|e| e.id != leaving.id);
        let other = other.unwrap().clone();
        disturb(&leaving, &other);
        setup.host.signal(rustix::process::Signal::TERM).unwrap();
        setup.wait_for_log("\"event\":\"leave\"").await;
        let entry = leaving.entry("scribe", "draining");
        setup.store.put("servers", &leaving.id, entry);
        (leaving, other)
    };
    let (answer, (leaving, other)) = tokio::join!(
        caller::send(setup.host.callers_addr, &bytes, engine_setup::TIMEOUT),
        drain
    );
    Moved {
        setup,
        answer,
        leaving,
        other,
    }
}

impl Moved {
    fn assert_whole(&self, path: &str) {
        let Self { setup, answer, .. } = self;
        let log = setup.host.log();
        assert!(log.contains("\"event\":\"move\""), "no move: {log}");
        let ended = (answer.status, answer.complete);
        assert_eq!(ended, (200, true), "{path} was cut: {log}");
        assert_eq!(answer.body, engine_setup::complete_stream(EVENTS), "{path}");
        assert_eq!(
            setup.prefill_engine.received().len(),
            1,
            "{path}: the prompt was prefilled again: {log}"
        );
    }
}

/// Guards against answers that are held back, and cut if their host ends meanwhile, although their run has ended while its
/// engine copied it.
#[tokio::test]
async fn stream_ends_with_its_run_although_that_is_being_copied() {
    for (path, unframed) in PATHS.into_iter().zip([false, true]) {
        let setup = start(&["i-d1", "i-d2"]).await;
        for engine in &setup.decode_engines {
            engine.copy_delay_ms.store(950, atomic::Ordering::Relaxed);
            engine.unframed.store(unframed, atomic::Ordering::Relaxed);
            // Fewer than predicted.
            engine
                .events_per_stream
                .store(25, atomic::Ordering::Relaxed);
        }
        let bytes = caller::request("POST", path, "r1", LONG_PROMPT, "a prompt");
        let send = async {
            let addr = setup.host.callers_addr;
            let answer = caller::send(addr, &bytes, engine_setup::TIMEOUT).await;
            (answer, time::Instant::now())
        };
        let drain = async {
            let leaving = setup.wait_for_run("r1").await;
            let entry = leaving.entry("scribe", "draining");
            setup.store.put("servers", &leaving.id, entry);
            leaving
        };
        let ((answer, ended), leaving) = tokio::join!(send, drain);
        let log = setup.host.log();
        assert!(log.contains("\"event\":\"move\""), "no move: {log}");
        assert_eq!((answer.status, answer.complete), (200, true), "{log}");
        assert_eq!(answer.body, engine_setup::complete_stream(25), "{path}");
        let run_ended = leaving.stream_ends()[0].at;
        let held_back = ended - run_ended;
        assert!(held_back < MAX_PAUSE, "{path}: {held_back:?}: {log}");
    }
}

/// Guards against streams that their host has stopped for an engine that has no room for them.
#[tokio::test]
async fn stream_stays_if_the_other_engine_has_no_room() {
    for path in PATHS {
        let moved = drain_beside_stop(path, |leaving, _| {
            leaving
                .refuses_copies
                .store(true, atomic::Ordering::Relaxed);
        })
        .await;
        moved.assert_whole(path);
        let runs = (moved.leaving.runs_of("r1"), moved.other.runs_of("r1"));
        assert_eq!(runs, (1, 0), "{path}");
    }
}

/// Guards against streams that are cut because the engine that was to go on with them refuses.
#[tokio::test]
async fn stream_returns_if_the_other_engine_refuses() {
    for path in PATHS {
        let moved = drain_beside_stop(path, |_, other| {
            other.set_fault(server::Fault::ExpirePrefill);
        })
        .await;
        moved.assert_whole(path);
        assert_eq!(moved.other.runs_of("r1"), 0, "{path}");
    }
}

/// Guards against streams that are cut because the engine that was to go on with them fails.
#[tokio::test]
async fn stream_returns_if_the_other_engine_fails() {
    for fault in [
        server::Fault::Status500,
        server::Fault::UnsignedAnswer,
        server::Fault::CloseWithinHeader,
    ] {
        for path in PATHS {
            let moved = drain_beside_stop(path, |_, other| other.set_fault(fault)).await;
            moved.assert_whole(path);
        }
    }
}

/// Guards against streams that are cut because other requests with the same content may have crashed servers.
#[tokio::test]
async fn stream_moves_although_its_content_is_suspected() {
    let setup = start(&["i-d1", "i-d2", "i-d3"]).await;
    let bytes = caller::request("POST", "/single/x", "r1", LONG_PROMPT, "a prompt");
    let suspect_and_drain = async {
        let leaving = setup.wait_for_run("r1").await;
        let others = setup.decode_engines.iter().filter(|e| e.id != leaving.id);
        let others: Vec<_> = others.collect();
        for other in &others {
            other.set_fault(server::Fault::CloseWithinHeader);
        }
        // Each send that breaks is checked for a crash for a while. The requests that the first engine gets last.
        for number in 0..8 {
            let id = format!("b{number}");
            let bytes = caller::request("POST", "/single/x", &id, LONG_PROMPT, "a prompt");
            let addr = setup.host.callers_addr;
            tokio::spawn(async move { caller::send(addr, &bytes, engine_setup::TIMEOUT).await });
        }
        let started = time::Instant::now();
        while setup
            .host
            .log()
            .matches("\"event\":\"send-failed\"")
            .count()
            < 3
        {
            assert!(started.elapsed() < engine_setup::TIMEOUT, "no send failed");
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        for other in &others {
            other.set_fault(server::Fault::None);
        }
        let entry = leaving.entry("scribe", "draining");
        setup.store.put("servers", &leaving.id, entry);
    };
    let (answer, ()) = tokio::join!(
        caller::send(setup.host.callers_addr, &bytes, engine_setup::TIMEOUT),
        suspect_and_drain
    );
    let log = setup.host.log();
    assert!(log.contains("\"event\":\"content-suspected\""), "{log}");
    assert!(log.contains("\"event\":\"moved\",\"id\":\"r1\""), "{log}");
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    assert_eq!(answer.body, engine_setup::complete_stream(EVENTS));
}
