//! Streams whose silent engine is replaced, or whose host stood still, around SIGTERM.

use std::sync::atomic;
use std::time;

use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::stream_calls;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
const RESUMABLE: &str = "/brief/x";

fn secs(seconds: f64) -> time::Duration {
    time::Duration::from_secs_f64(seconds)
}

/// Guards against streams that are cut early because the signal is taken for older than it is.
#[tokio::test]
async fn stream_is_cut_early_as_the_signal_came_at_the_end_of_a_pause() {
    let setup = stream_calls::start(BINARY, &["i-d1"], 110, 100).await;
    let now = tokio::time::Instant::now();
    let addr = setup.host.callers_addr;
    let sending = stream_calls::send_at(now, addr, "/single/x", "long".to_owned(), 110);
    setup.wait_for_run("long").await;
    setup.host.signal(rustix::process::Signal::STOP).unwrap();
    tokio::time::sleep(secs(1.6)).await;
    let signalled = stream_calls::leave(&setup.host);
    setup.host.signal(rustix::process::Signal::CONT).unwrap();
    let stream = sending.await.unwrap();
    stream_calls::check("stall", &setup, signalled, [&stream]).await;
}

/// Has a silent engine crash while another one is about to begin.
async fn crash_beside_replacement(unframed: bool) {
    let setup = stream_calls::start(BINARY, &["i-d1", "i-d2"], 70, 60).await;
    for engine in &setup.decode_engines {
        engine.unframed.store(unframed, atomic::Ordering::Relaxed);
    }
    let addr = setup.host.callers_addr;
    let disturb = async {
        let engine = setup.wait_for_run("r1").await;
        let other = setup.decode_engines.iter().find(|e| e.id != engine.id);
        other
            .unwrap()
            .queue_ms
            .store(1_500, atomic::Ordering::Relaxed);
        tokio::time::sleep(secs(0.5)).await;
        engine.pause(secs(2.0));
        tokio::time::sleep(secs(1.5)).await;
        engine.crash();
        tokio::time::Instant::now()
    };
    let sending = stream_calls::send(addr, RESUMABLE, "r1".to_owned(), 70);
    let (stream, _) = tokio::join!(sending, disturb);
    let log = setup.host.log();
    assert!(log.contains("\"server-replaced\""), "not replaced: {log}");
    assert!(stream.answer.body.contains("id: 70\n"), "cut: {log}");
}

/// Guards against streams without framing whose replacement is given up as the connection of the silent engine closed.
#[tokio::test]
async fn unframed_stream_is_cut_as_its_silent_engine_crashes() {
    crash_beside_replacement(true).await;
}

/// Guards against streams whose replacement is given up as the silent engine crashed.
#[tokio::test]
async fn framed_stream_is_cut_as_its_silent_engine_crashes() {
    crash_beside_replacement(false).await;
}

/// Guards against streams that are cut because a run was stopped for a move while another engine was asked, which refuses.
#[tokio::test]
async fn stream_is_cut_as_its_run_was_stopped_beside_a_replacement() {
    let setup = stream_calls::start(BINARY, &["i-d1", "i-d2"], 70, 60).await;
    let addr = setup.host.callers_addr;
    let disturb = async {
        let engine = setup.wait_for_run("r1").await;
        let other = setup
            .decode_engines
            .iter()
            .find(|e| e.id != engine.id)
            .unwrap();
        tokio::time::sleep(secs(0.3)).await;
        engine.copy_delay_ms.store(150, atomic::Ordering::Relaxed);
        let signalled = stream_calls::leave(&setup.host);
        setup
            .store
            .put("servers", &engine.id, engine.entry("scribe", "draining"));
        while engine
            .received()
            .iter()
            .filter(|r| r.request_line.contains("kv-move"))
            .count()
            < 2
        {
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
        engine.pause(secs(2.0));
        other.set_fault(server::Fault::Shed);
        other.queue_ms.store(1_500, atomic::Ordering::Relaxed);
        tokio::time::sleep(secs(1.8)).await;
        other.set_fault(server::Fault::None);
        other.queue_ms.store(0, atomic::Ordering::Relaxed);
        signalled
    };
    let sending = stream_calls::send(addr, RESUMABLE, "r1".to_owned(), 70);
    let (stream, signalled) = tokio::join!(sending, disturb);
    let log = setup.host.log();
    assert!(log.contains("\"server-replaced\""), "not replaced: {log}");
    stream_calls::check("moved", &setup, signalled, [&stream]).await;
    assert!(stream.answer.complete, "cut: {log}");
}

/// Guards against silent streams that are left for an engine that sends the head of its answer and then nothing.
#[tokio::test]
async fn stream_is_cut_as_its_replacement_sends_a_head_only() {
    let setup = stream_calls::start(BINARY, &["i-d1", "i-d2"], 60, 60).await;
    let addr = setup.host.callers_addr;
    let disturb = async {
        let engine = setup.wait_for_run("r1").await;
        let other = setup
            .decode_engines
            .iter()
            .find(|e| e.id != engine.id)
            .unwrap();
        let signalled = stream_calls::leave(&setup.host);
        other.delay_ms.store(12_000, atomic::Ordering::Relaxed);
        tokio::time::sleep(secs(0.5)).await;
        engine.pause(secs(2.0));
        signalled
    };
    let sending = stream_calls::send(addr, RESUMABLE, "r1".to_owned(), 60);
    let (stream, signalled) = tokio::join!(sending, disturb);
    let log = setup.host.log();
    assert!(log.contains("\"server-replaced\""), "not replaced: {log}");
    stream_calls::check("head only", &setup, signalled, [&stream]).await;
    assert!(stream.answer.complete, "cut: {log}");
}

/// Guards against stopped runs whose engine is slow to begin and is left for one that refuses.
#[tokio::test]
async fn stopped_run_is_cut_as_it_was_left_for_an_engine_that_refuses() {
    let setup = stream_calls::start(BINARY, &["i-d1", "i-d2", "i-d3"], 60, 60).await;
    let addr = setup.host.callers_addr;
    let disturb = async {
        let engine = setup.wait_for_run("r1").await;
        let others: Vec<_> = setup
            .decode_engines
            .iter()
            .filter(|e| e.id != engine.id)
            .collect();
        tokio::time::sleep(secs(0.3)).await;
        for other in &others {
            other.queue_ms.store(2_600, atomic::Ordering::Relaxed);
        }
        let signalled = stream_calls::leave(&setup.host);
        setup
            .store
            .put("servers", &engine.id, engine.entry("scribe", "draining"));
        // Requests are recorded after their queue, so the copy tells which one gets the run.
        while !setup.host.log().contains("\"event\":\"move\"") {
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
        tokio::time::sleep(secs(0.4)).await;
        for other in &others {
            other.queue_ms.store(0, atomic::Ordering::Relaxed);
            other.set_fault(server::Fault::Shed);
        }
        signalled
    };
    let sending = stream_calls::send(addr, RESUMABLE, "r1".to_owned(), 60);
    let (stream, signalled) = tokio::join!(sending, disturb);
    let log = setup.host.log();
    stream_calls::check("continued", &setup, signalled, [&stream]).await;
    assert!(stream.answer.complete, "cut: {log}");
}
