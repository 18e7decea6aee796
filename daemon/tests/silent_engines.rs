//! Model engines that send nothing for a moment and then go on: their answers are neither broken off nor
//! failed.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::server;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// How long an engine is silent. It is longer than the pause after which a host looks for another engine, and
/// shorter than callers wait for the next event.
const SILENCE: time::Duration = time::Duration::from_millis(1_500);

/// Starts a host with decode engines whose streams last a second.
async fn start_setup(ids: &[&str]) -> engine_setup::EngineSetup {
    let setup = engine_setup::EngineSetup::start_with(BINARY, ids).await;
    for engine in &setup.decode_engines {
        engine
            .events_per_stream
            .store(50, atomic::Ordering::Relaxed);
        engine.delay_ms.store(20, atomic::Ordering::Relaxed);
    }
    setup
}

/// Sends a request, and pauses the engine that runs it in the middle of its stream. Returns the answer and
/// that engine.
async fn pause_midway(
    setup: &engine_setup::EngineSetup,
    path: &str,
    id: &str,
) -> (caller::Answer, sync::Arc<server::Server>) {
    let pause = async {
        let engine = setup.wait_for_run(id).await;
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        engine.pause(SILENCE);
        engine
    };
    tokio::join!(setup.send(path, id), pause)
}

#[tokio::test]
async fn stream_of_the_only_engine_survives_its_silence() {
    let setup = start_setup(&["i-d1"]).await;
    for (path, id) in [("/brief/x", "r1"), ("/single/x", "r2")] {
        let (answer, _) = pause_midway(&setup, path, id).await;
        let log = setup.host.log();
        assert_eq!(
            (answer.status, answer.complete),
            (200, true),
            "{path}: {log}"
        );
        assert_eq!(answer.body, engine_setup::complete_stream(50), "{path}");
        assert_eq!(setup.runs_of(id), 1, "{path}: {log}");
    }
}

#[tokio::test]
async fn stream_survives_silence_while_the_other_engine_refuses() {
    let setup = start_setup(&["i-d1", "i-d2"]).await;
    let refuse_elsewhere = async {
        let engine = setup.wait_for_run("r1").await;
        let other = setup.decode_engines.iter().find(|e| e.id != engine.id);
        other.unwrap().set_fault(server::Fault::Shed);
    };
    let ((answer, _), ()) = tokio::join!(pause_midway(&setup, "/brief/x", "r1"), refuse_elsewhere);
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    assert_eq!(answer.body, engine_setup::complete_stream(50));
    assert_eq!(setup.runs_of("r1"), 1, "{log}");
}

/// Guards against streams that are cut because their engine stood still and the one that was to replace it failed.
#[tokio::test]
async fn stream_survives_silence_while_the_other_engine_fails() {
    let setup = start_setup(&["i-d1", "i-d2"]).await;
    let fail_elsewhere = async {
        let engine = setup.wait_for_run("r1").await;
        let other = setup.decode_engines.iter().find(|e| e.id != engine.id);
        other.unwrap().set_fault(server::Fault::Status500);
        setup.host.signal(rustix::process::Signal::TERM).unwrap();
    };
    let ((answer, engine), ()) =
        tokio::join!(pause_midway(&setup, "/brief/x", "r1"), fail_elsewhere);
    let log = setup.host.log();
    assert!(
        log.contains("\"event\":\"server-replaced\""),
        "not replaced: {log}"
    );
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    assert_eq!(answer.body, engine_setup::complete_stream(50));
    assert_eq!(engine.runs_of("r1"), 1, "{log}");
}

#[tokio::test]
async fn stream_survives_the_silence_of_all_engines() {
    let setup = start_setup(&["i-d1", "i-d2"]).await;
    let pause_all = async {
        setup.wait_for_run("r1").await;
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        setup.decode_engines.iter().for_each(|e| e.pause(SILENCE));
    };
    let (answer, ()) = tokio::join!(setup.send("/brief/x", "r1"), pause_all);
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    assert_eq!(answer.body, engine_setup::complete_stream(50));
}

#[tokio::test]
async fn stream_leaves_an_engine_that_stays_silent() {
    let setup = start_setup(&["i-d1", "i-d2"]).await;
    let pause = async {
        let engine = setup.wait_for_run("r1").await;
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        engine.pause(engine_setup::TIMEOUT);
    };
    let (answer, ()) = tokio::join!(setup.send("/brief/x", "r1"), pause);
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    assert_eq!(answer.body, engine_setup::complete_stream(50));
    assert_eq!(setup.runs_of("r1"), 2, "{log}");
}

#[tokio::test]
async fn answer_of_the_only_engine_may_begin_late() {
    let setup = start_setup(&["i-d1"]).await;
    for (path, id) in [("/brief/x", "r1"), ("/single/x", "r2")] {
        setup.decode_engines[0].pause(time::Duration::from_millis(2_300));
        setup.decode_engines[0]
            .events_per_stream
            .store(5, atomic::Ordering::Relaxed);
        let answer = setup.send(path, id).await;
        let log = setup.host.log();
        assert_eq!(
            (answer.status, answer.complete),
            (200, true),
            "{path}: {log}"
        );
        assert_eq!(setup.runs_of(id), 1, "{path}: {log}");
    }
}

#[tokio::test]
async fn prefill_may_be_late_if_no_other_send_is_allowed() {
    let setup = start_setup(&["i-d1"]).await;
    let mut configuration = walnuthaven_platform_standin::hosts::configuration(4);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["max_attempts"] = 1.into();
    }
    setup.store.put("config", "main", configuration);
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    setup.prefill_engine.pause(SILENCE);
    let answer = setup.send("/single/x", "r1").await;
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
}

#[tokio::test]
async fn silence_of_the_only_engine_refuses_no_other_request() {
    let setup = start_setup(&["i-d1"]).await;
    let second = async {
        setup.wait_for_run("r1").await;
        // The first stream counts as silent by then, and the engine answers again soon after.
        tokio::time::sleep(time::Duration::from_millis(1_650)).await;
        setup.send("/single/x", "r2").await
    };
    let ((first, _), second) = tokio::join!(pause_midway(&setup, "/brief/x", "r1"), second);
    let log = setup.host.log();
    assert_eq!((first.status, first.complete), (200, true), "{log}");
    assert_eq!((second.status, second.complete), (200, true), "{log}");
}

#[tokio::test]
async fn run_is_moved_although_its_engine_is_silent_meanwhile() {
    let setup = start_setup(&["i-d1", "i-d2"]).await;
    for engine in &setup.decode_engines {
        engine.delay_ms.store(30, atomic::Ordering::Relaxed);
        engine
            .events_per_stream
            .store(70, atomic::Ordering::Relaxed);
    }
    let mut configuration = walnuthaven_platform_standin::hosts::configuration(4);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = 8_000.into();
    }
    setup.store.put("config", "main", configuration);
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let prompt = "X-Model: m\r\nX-Token-Count: 500,9000\r\nX-Length-Hint: 4900\r\n";
    let bytes = caller::request("POST", "/single/x", "r1", prompt, "a prompt");
    let drain_and_pause = async {
        let engine = setup.wait_for_run("r1").await;
        let entry = engine.entry("scribe", "draining");
        setup.store.put("servers", &engine.id, entry);
        // The call that moves the run has been sent, or is read after the pause.
        let start = time::Instant::now();
        while !setup.host.log().contains("\"event\":\"move\"") {
            assert!(start.elapsed() < engine_setup::TIMEOUT, "no move");
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
        engine.pause(SILENCE);
    };
    let (answer, ()) = tokio::join!(
        caller::send(setup.host.callers_addr, &bytes, engine_setup::TIMEOUT),
        drain_and_pause
    );
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    assert_eq!(answer.body, engine_setup::complete_stream(70));
}

#[tokio::test]
async fn run_is_moved_although_its_engine_is_silent_after_it_stopped_the_run() {
    let setup = start_setup(&["i-d1", "i-d2"]).await;
    for engine in &setup.decode_engines {
        engine.delay_ms.store(30, atomic::Ordering::Relaxed);
        engine
            .copy_delay_ms
            .store(SILENCE.as_millis() as u64, atomic::Ordering::Relaxed);
    }
    allow_more(&setup).await;
    let prompt = "X-Model: m\r\nX-Token-Count: 500,9000\r\nX-Length-Hint: 4900\r\n";
    let bytes = caller::request("POST", "/single/x", "r1", prompt, "a prompt");
    let drain = async {
        let engine = setup.wait_for_run("r1").await;
        let entry = engine.entry("scribe", "draining");
        setup.store.put("servers", &engine.id, entry);
    };
    let (answer, ()) = tokio::join!(
        caller::send(setup.host.callers_addr, &bytes, engine_setup::TIMEOUT),
        drain
    );
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    assert_eq!(answer.body, engine_setup::complete_stream(50));
}

/// Puts a configuration in force that allows each request three attempts and eight seconds.
async fn allow_more(setup: &engine_setup::EngineSetup) {
    let mut configuration = walnuthaven_platform_standin::hosts::configuration(4);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = 8_000.into();
        route["max_attempts"] = 3.into();
    }
    setup.store.put("config", "main", configuration);
    tokio::time::sleep(time::Duration::from_millis(500)).await;
}

#[tokio::test]
async fn request_returns_to_a_silent_engine_if_the_other_refuses() {
    let setup = start_setup(&["i-d1"]).await;
    allow_more(&setup).await;
    let refuse_elsewhere = async {
        tokio::time::sleep(time::Duration::from_millis(500)).await;
        let refusing = server::Server::start("i-d2", Some("decode")).await;
        refusing.set_fault(server::Fault::Shed);
        refusing.register(&setup.store, "scribe");
    };
    setup.decode_engines[0].pause(time::Duration::from_millis(3_000));
    let (answer, ()) = tokio::join!(setup.send("/brief/x", "r1"), refuse_elsewhere);
    let log = setup.host.log();
    assert!(log.contains("engine refused"), "{log}");
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    assert_eq!(answer.body, engine_setup::complete_stream(50));
}

/// Sends a request, and pauses the engine that runs it and the other one. The latter refuses requests.
async fn pause_midway_beside_refusals(
    setup: &engine_setup::EngineSetup,
    own: time::Duration,
    other: time::Duration,
) -> caller::Answer {
    let pause_both = async {
        let engine = setup.wait_for_run("r1").await;
        let refusing = setup.decode_engines.iter().find(|e| e.id != engine.id);
        let refusing = refusing.unwrap();
        refusing.set_fault(server::Fault::Shed);
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        engine.pause(own);
        refusing.pause(other);
    };
    tokio::join!(setup.send("/brief/x", "r1"), pause_both).0
}

#[tokio::test]
async fn stream_survives_silence_while_the_other_engine_refuses_late() {
    let setup = start_setup(&["i-d1", "i-d2"]).await;
    allow_more(&setup).await;
    let own = time::Duration::from_millis(1_800);
    let other = time::Duration::from_millis(2_200);
    let answer = pause_midway_beside_refusals(&setup, own, other).await;
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    assert_eq!(answer.body, engine_setup::complete_stream(50));
}

#[tokio::test]
async fn stream_that_goes_on_is_kept_while_the_other_engine_has_not_answered() {
    let setup = start_setup(&["i-d1", "i-d2"]).await;
    allow_more(&setup).await;
    let own = time::Duration::from_millis(1_350);
    let other = time::Duration::from_millis(2_200);
    let answer = pause_midway_beside_refusals(&setup, own, other).await;
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    assert_eq!(answer.body, engine_setup::complete_stream(50));
    assert_eq!(setup.runs_of("r1"), 1, "{log}");
}

#[tokio::test]
async fn moved_stream_survives_a_late_answer_of_its_new_engine() {
    let setup = start_setup(&["i-d1", "i-d2"]).await;
    for engine in &setup.decode_engines {
        engine.delay_ms.store(30, atomic::Ordering::Relaxed);
    }
    allow_more(&setup).await;
    let prompt = "X-Model: m\r\nX-Token-Count: 500,9000\r\nX-Length-Hint: 4900\r\n";
    let bytes = caller::request("POST", "/brief/x", "r1", prompt, "a prompt");
    let drain_and_pause = async {
        let engine = setup.wait_for_run("r1").await;
        let other = setup.decode_engines.iter().find(|e| e.id != engine.id);
        other.unwrap().pause(time::Duration::from_millis(2_600));
        let entry = engine.entry("scribe", "draining");
        setup.store.put("servers", &engine.id, entry);
    };
    let (answer, ()) = tokio::join!(
        caller::send(setup.host.callers_addr, &bytes, engine_setup::TIMEOUT),
        drain_and_pause
    );
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    assert_eq!(answer.body, engine_setup::complete_stream(50));
}

#[tokio::test]
async fn engine_that_never_answers_is_not_recorded_as_answering() {
    let setup = start_setup(&["i-d1"]).await;
    setup.decode_engines[0].pause(engine_setup::TIMEOUT * 2);
    let headers = format!("{}X-Request-Deadline: 2600\r\n", engine_setup::PROMPT);
    let bytes = caller::request("POST", "/brief/x", "r1", &headers, "a prompt");
    let answer = caller::send(setup.host.callers_addr, &bytes, engine_setup::TIMEOUT).await;
    let log = setup.host.log();
    assert_eq!(answer.status, 504, "{log}");
    assert!(log.contains("\"event\":\"server-silent\""), "{log}");
    assert!(!log.contains("server-sends-again"), "{log}");
}

#[tokio::test]
async fn request_waits_for_the_only_engine_while_that_accepts_no_connections() {
    let setup = start_setup(&["i-d1"]).await;
    let engine = setup.decode_engines[0].clone();
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let addr = listener.local_addr().unwrap();
    // Fills the queue of connections that the engine hasn't accepted, so that further ones wait.
    let mut waiting = Vec::new();
    for _ in 0..4 {
        let opening = tokio::net::TcpStream::connect(addr);
        let opened = tokio::time::timeout(time::Duration::from_millis(100), opening).await;
        waiting.extend(opened.ok().and_then(Result::ok));
    }
    let mut entry = engine.entry("scribe", "ready");
    entry["address"] = addr.to_string().into();
    setup.store.put("servers", &engine.id, entry);
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    let accept = async {
        tokio::time::sleep(time::Duration::from_millis(500)).await;
        drop(waiting);
        loop {
            let (mut near, _) = listener.accept().await.unwrap();
            let engine_addr = engine.addr;
            tokio::spawn(async move {
                let mut far = tokio::net::TcpStream::connect(engine_addr).await.unwrap();
                // Ends when either side closes.
                let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
            });
        }
    };
    let answer = tokio::select! {
        answer = setup.send("/single/x", "r1") => answer,
        () = accept => unreachable!(),
    };
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
}

#[tokio::test]
async fn prefill_may_be_late_if_no_retry_is_allowed() {
    let settings = "[retry]\nratio = 0\nslack = 0\n";
    let setup = engine_setup::EngineSetup::start_with_settings(BINARY, &["i-d1"], settings).await;
    setup.prefill_engine.pause(SILENCE);
    let answer = setup.send("/single/x", "r1").await;
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
}
