//! Streams that callers resume after all hosts were killed while several software versions serve.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// The store's kind of the records of streams.
const RECORDS: &str = "walnuthaven-stream-records";
/// Number of events of each stream.
const EVENTS: u64 = 50;
/// Time in which a begun stream is stored.
const STORE_TIME: time::Duration = time::Duration::from_millis(500);

/// Starts a host with a decode engine of `v1` and one of `v2`. Returns the second one, too.
async fn start_setup() -> (engine_setup::EngineSetup, sync::Arc<server::Server>) {
    let mut setup = engine_setup::EngineSetup::start_with(BINARY, &["i-d1"]).await;
    let newer = setup.add_decode_engine("i-d2", "v2").await;
    for engine in &setup.decode_engines {
        engine
            .events_per_stream
            .store(EVENTS, atomic::Ordering::Relaxed);
        engine.delay_ms.store(20, atomic::Ordering::Relaxed);
    }
    (setup, newer)
}

/// Begins a stream at an engine, which then breaks it off. Returns the number of events that the caller got.
async fn begin_and_break(setup: &engine_setup::EngineSetup, at: &server::Server, id: &str) -> u64 {
    for engine in &setup.decode_engines {
        engine.set_fault(match engine.id == at.id {
            true => server::Fault::TruncateStream,
            false => server::Fault::Shed,
        });
    }
    let answer = setup.send("/brief/x", id).await;
    for engine in &setup.decode_engines {
        engine.set_fault(server::Fault::None);
    }
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (200, false), "{log}");
    assert_eq!(at.runs_of(id), 1, "{log}");
    answer.body.matches("id: ").count() as u64
}

async fn kill_and_restart(host: &mut hosts::Host) {
    host.process.kill().unwrap();
    host.restart();
    host.wait_ready().await;
}

async fn resume(host: &hosts::Host, id: &str, began_as: &str, last: u64) -> caller::Answer {
    let headers = format!(
        "{}Resumes: {began_as}\r\nLast-Event-Id: {last}\r\n",
        engine_setup::PROMPT
    );
    let bytes = caller::request("POST", "/brief/x", id, &headers, "a prompt");
    caller::send(host.callers_addr, &bytes, engine_setup::TIMEOUT).await
}

fn rest_of_stream(after: u64) -> String {
    let whole = engine_setup::complete_stream(EVENTS);
    whole[engine_setup::complete_stream(after).len()..].to_owned()
}

#[tokio::test]
async fn streams_go_on_at_their_versions_after_all_hosts_were_killed() {
    let (mut setup, newer) = start_setup().await;
    let older = setup.decode_engines[0].clone();
    let got = [
        ("r1", begin_and_break(&setup, &older, "r1").await, &older),
        ("r2", begin_and_break(&setup, &newer, "r2").await, &newer),
    ];
    tokio::time::sleep(STORE_TIME).await;
    // Killed once more before the callers come back.
    let stored = setup.store.object_names(RECORDS).len();
    kill_and_restart(&mut setup.host).await;
    kill_and_restart(&mut setup.host).await;
    tokio::time::sleep(STORE_TIME).await;
    let stored_again = setup.store.object_names(RECORDS).len() - stored;
    assert_eq!(stored_again, 0, "what was read was stored again");
    for (began_as, got, engine) in got {
        for attempt in 0..3 {
            let id = format!("{began_as}-{attempt}");
            let answer = resume(&setup.host, &id, began_as, got).await;
            let log = setup.host.log();
            assert_eq!((answer.status, answer.complete), (200, true), "{log}");
            assert_eq!(answer.body, rest_of_stream(got), "{log}");
            assert_eq!((setup.runs_of(&id), engine.runs_of(&id)), (1, 1), "{log}");
        }
    }
}

// The host that stores streams may end before it has.
#[tokio::test]
async fn stream_whose_record_is_missing_is_refused() {
    let (mut setup, _newer) = start_setup().await;
    let older = setup.decode_engines[0].clone();
    let got = begin_and_break(&setup, &older, "r1").await;
    tokio::time::sleep(STORE_TIME).await;
    setup.host.process.kill().unwrap();
    let records = setup.store.object_names(RECORDS);
    assert!(!records.is_empty(), "{}", setup.host.log());
    for name in records {
        setup.store.remove(RECORDS, &name);
    }
    setup.host.restart();
    setup.host.wait_ready().await;
    let answer = resume(&setup.host, "again", "r1", got).await;
    let log = setup.host.log();
    assert_eq!(answer.status, 503, "{log}");
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    assert_eq!(setup.runs_of("again"), 0, "{log}");
}

#[tokio::test]
async fn stream_is_refused_if_only_another_version_is_left() {
    let (mut setup, newer) = start_setup().await;
    let older = setup.decode_engines[0].clone();
    let got = begin_and_break(&setup, &older, "r1").await;
    tokio::time::sleep(STORE_TIME).await;
    setup.host.process.kill().unwrap();
    setup.store.remove("servers", "i-d1");
    setup.host.restart();
    setup.host.wait_ready().await;
    let answer = resume(&setup.host, "again", "r1", got).await;
    let log = setup.host.log();
    assert_eq!(answer.status, 503, "{log}");
    assert_eq!(newer.runs_of("again"), 0, "{log}");
}

// The version of a stream that was begun by a version that is gone decides nothing about the others.
#[tokio::test]
async fn stream_goes_on_after_the_other_version_has_left() {
    let (mut setup, newer) = start_setup().await;
    let got = begin_and_break(&setup, &newer, "r1").await;
    tokio::time::sleep(STORE_TIME).await;
    setup.host.process.kill().unwrap();
    setup.store.remove("servers", "i-d1");
    setup.host.restart();
    setup.host.wait_ready().await;
    let answer = resume(&setup.host, "again", "r1", got).await;
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    assert_eq!(answer.body, rest_of_stream(got), "{log}");
}

#[tokio::test]
async fn no_streams_are_stored_while_one_version_serves() {
    let setup = engine_setup::EngineSetup::start_with(BINARY, &["i-d1"]).await;
    let older = setup.decode_engines[0].clone();
    begin_and_break(&setup, &older, "r1").await;
    tokio::time::sleep(STORE_TIME).await;
    assert!(setup.store.object_names(RECORDS).is_empty());
}

// Each host knows of all streams of its group, and one of them writes for all.
#[tokio::test]
async fn stream_is_stored_by_one_of_several_hosts() {
    let (mut setup, _newer) = start_setup().await;
    let beside = hosts::Host::start(BINARY, "h2", setup.store_addr);
    beside.wait_ready().await;
    // Hosts learn of each other by their news.
    tokio::time::sleep(time::Duration::from_millis(1_200)).await;
    let older = setup.decode_engines[0].clone();
    let got = begin_and_break(&setup, &older, "r1").await;
    // Longer than the second host waits for the first one.
    tokio::time::sleep(STORE_TIME * 2).await;
    let stored = [&setup.host, &beside].map(|host| {
        let log = host.log();
        log.matches("\"event\":\"streams-stored\"").count()
    });
    assert_eq!(stored[0] + stored[1], 1, "{}", setup.host.log());
    assert_eq!(setup.store.object_names(RECORDS).len(), 1);
    drop(beside);
    kill_and_restart(&mut setup.host).await;
    let answer = resume(&setup.host, "again", "r1", got).await;
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    assert_eq!(older.runs_of("again"), 1, "{log}");
}
