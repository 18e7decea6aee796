//! Streams of engines that have neither a length nor chunks, and end with their connection.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::server;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Headers of a request with a long answer.
const LONG_PROMPT: &str = "X-Model: m\r\nX-Token-Count: 500,9000\r\nX-Length-Hint: 4900\r\n";

async fn start() -> engine_setup::EngineSetup {
    let setup = engine_setup::EngineSetup::start(BINARY).await;
    for engine in setup.decode_engines.iter().chain([&setup.prefill_engine]) {
        engine.unframed.store(true, atomic::Ordering::Relaxed);
    }
    setup
}

fn set_length(setup: &engine_setup::EngineSetup, events: u64, delay_ms: u64) {
    for engine in &setup.decode_engines {
        engine
            .events_per_stream
            .store(events, atomic::Ordering::Relaxed);
        engine.delay_ms.store(delay_ms, atomic::Ordering::Relaxed);
    }
}

/// Has the engine that runs a request show a fault, and the other one none.
async fn fail_first_run(setup: &engine_setup::EngineSetup, id: &str, fault: server::Fault) {
    setup.set_fault(fault);
    let running = setup.wait_for_run(id).await;
    let other = setup.decode_engines.iter().find(|e| e.id != running.id);
    other.unwrap().set_fault(server::Fault::None);
}

#[tokio::test]
async fn whole_streams_are_complete() {
    let setup = start().await;
    for (path, id, events) in [("/single/x", "r1", 5), ("/brief/x", "r2", 600)] {
        set_length(&setup, events, 1);
        let answer = setup.send(path, id).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        assert_eq!(answer.body, engine_setup::complete_stream(events));
        assert_eq!(setup.runs_of(id), 1);
    }
    assert_eq!(setup.prefill_engine.received().len(), 2);
}

#[tokio::test]
async fn stream_that_breaks_off_continues_at_another_engine() {
    for fault in [
        server::Fault::TruncateStream,
        server::Fault::ResetStream,
        server::Fault::EndBeforeFirstEvent,
    ] {
        let setup = start().await;
        set_length(&setup, 40, 5);
        let (answer, ()) = tokio::join!(
            setup.send("/brief/x", "r1"),
            fail_first_run(&setup, "r1", fault)
        );
        let ended = (answer.status, answer.complete);
        assert_eq!(
            ended,
            (200, true),
            "{fault:?}: {answer:?}\n{}",
            setup.host.log()
        );
        assert_eq!(answer.body, engine_setup::complete_stream(40), "{fault:?}");
        assert_eq!(setup.runs_of("r1"), 2, "{fault:?}");
    }
}

#[tokio::test]
async fn stream_that_may_run_once_and_breaks_off_is_visibly_incomplete() {
    for fault in [
        server::Fault::TruncateStream,
        server::Fault::ResetStream,
        server::Fault::EndBeforeFirstEvent,
    ] {
        let setup = start().await;
        set_length(&setup, 10, 5);
        setup.set_fault(fault);
        let answer = setup.send("/single/x", "r1").await;
        assert!(
            !answer.complete || answer.status != 200,
            "{fault:?}: {answer:?}"
        );
        assert_ne!(answer.status, 503, "{fault:?}: it has run");
        assert_eq!(setup.runs_of("r1"), 1, "{fault:?}");
    }
}

// An engine that crashes between two events ends its stream like a complete one.
#[tokio::test]
async fn stream_of_an_engine_that_crashes_between_events_continues_at_another_engine() {
    let setup = start().await;
    set_length(&setup, 40, 10);
    let crash = async {
        let running = setup.wait_for_run("r1").await;
        tokio::time::sleep(time::Duration::from_millis(150)).await;
        running.crash();
    };
    let (answer, ()) = tokio::join!(setup.send("/brief/x", "r1"), crash);
    let ended = (answer.status, answer.complete);
    assert_eq!(ended, (200, true), "{answer:?}\n{}", setup.host.log());
    assert_eq!(answer.body, engine_setup::complete_stream(40));
}

/// Waits until a decode engine runs the request, and marks that engine as draining.
async fn drain_running_engine(
    setup: &engine_setup::EngineSetup,
    id: &str,
) -> sync::Arc<server::Server> {
    let leaving = setup.wait_for_run(id).await;
    let entry = leaving.entry("scribe", "draining");
    setup.store.put("servers", &leaving.id, entry);
    leaving
}

// The stream of a run that is stopped to be moved ends like a complete one. The engine answers the call that stops
// it later, or not at all.
#[tokio::test]
async fn moved_run_is_whole() {
    for (path, answered) in [("/single/x", true), ("/brief/x", true), ("/brief/x", false)] {
        let setup = start().await;
        set_length(&setup, 70, 20);
        for engine in &setup.decode_engines {
            let delay = if answered { 400 } else { 60_000 };
            engine.copy_delay_ms.store(delay, atomic::Ordering::Relaxed);
        }
        let deadline = time::Duration::from_millis(5_500).as_millis();
        let headers = format!("{LONG_PROMPT}X-Request-Deadline: {deadline}\r\n");
        let bytes = caller::request("POST", path, "r1", &headers, "a prompt");
        let (answer, _) = tokio::join!(
            caller::send(setup.host.callers_addr, &bytes, engine_setup::TIMEOUT),
            drain_running_engine(&setup, "r1")
        );
        let ended = (answer.status, answer.complete);
        assert_eq!(
            ended,
            (200, true),
            "{path} {answered}: {answer:?}\n{}",
            setup.host.log()
        );
        assert_eq!(
            answer.body,
            engine_setup::complete_stream(70),
            "{path} {answered}"
        );
    }
}
