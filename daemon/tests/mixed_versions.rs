//! Model engines of several software versions beside each other: a stream goes on only at the
//! version that began it.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::proxy;
use walnuthaven_platform_standin::server;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Headers of a request with a long answer.
const LONG_PROMPT: &str = "X-Model: m\r\nX-Token-Count: 500,9000\r\nX-Length-Hint: 8400\r\n";

/// How long a host hears neither from the store nor from other hosts.
const OUT_OF_STEP: time::Duration = time::Duration::from_millis(800);

/// Starts a host with a decode engine of version v1, whose streams have `events` events 20 ms apart.
async fn start_setup(events: u64) -> engine_setup::EngineSetup {
    let setup = engine_setup::EngineSetup::start_with(BINARY, &["i-d1"]).await;
    make_streams_long(&setup.decode_engines[0], events);
    setup
}

fn make_streams_long(engine: &server::Server, events: u64) {
    engine
        .events_per_stream
        .store(events, atomic::Ordering::Relaxed);
    engine.delay_ms.store(20, atomic::Ordering::Relaxed);
}

async fn add_engine(
    setup: &mut engine_setup::EngineSetup,
    id: &str,
    version: &str,
) -> sync::Arc<server::Server> {
    let engine = setup.add_decode_engine(id, version).await;
    make_streams_long(&engine, 50);
    engine
}

/// Formats a request that resumes a stream after event `last`.
fn resuming(id: &str, began_as: &str, last: u64) -> String {
    let headers = format!(
        "{}Resumes: {began_as}\r\nLast-Event-Id: {last}\r\n",
        engine_setup::PROMPT
    );
    caller::request("POST", "/brief/x", id, &headers, "a prompt")
}

async fn resume(host: &hosts::Host, id: &str, began_as: &str, last: u64) -> caller::Answer {
    let bytes = resuming(id, began_as, last);
    caller::send(host.callers_addr, &bytes, engine_setup::TIMEOUT).await
}

/// Begins a stream at the only engine, which then breaks it off. Returns the number of events that
/// the caller got.
async fn begin_and_break(setup: &engine_setup::EngineSetup, id: &str) -> u64 {
    let engine = &setup.decode_engines[0];
    engine.set_fault(server::Fault::TruncateStream);
    let answer = setup.send("/brief/x", id).await;
    engine.set_fault(server::Fault::None);
    assert_eq!((answer.status, answer.complete), (200, false), "{answer:?}");
    answer.body.matches("id: ").count() as u64
}

/// Sets a field of all routes, and waits until the host has the change.
async fn change_routes(setup: &engine_setup::EngineSetup, field: &str, value: u64) {
    let mut configuration = hosts::configuration(4);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route[field] = value.into();
    }
    setup.store.put("config", "main", configuration);
    setup
        .wait_for_log("\"event\":\"configuration\",\"version\":4")
        .await;
}

/// Returns the events of a stream after the first `after`.
fn rest_of_stream(after: u64, last: u64) -> String {
    let whole = engine_setup::complete_stream(last);
    whole[engine_setup::complete_stream(after).len()..].to_owned()
}

/// Returns the versions of the engines that ran a request.
fn versions_of(setup: &engine_setup::EngineSetup, id: &str) -> Vec<String> {
    let ran = setup.decode_engines.iter().filter(|e| e.runs_of(id) > 0);
    let mut versions: Vec<_> = ran.map(|engine| engine.version()).collect();
    versions.sort();
    versions.dedup();
    versions
}

#[tokio::test]
async fn broken_stream_does_not_go_on_at_another_version() {
    let mut setup = start_setup(50).await;
    setup.decode_engines[0].set_fault(server::Fault::TruncateStream);
    let other = async {
        let begun = setup.decode_engines[0].clone();
        let start = time::Instant::now();
        while begun.runs_of("r1") == 0 {
            assert!(start.elapsed() < engine_setup::TIMEOUT, "r1 never ran");
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
    };
    let bytes = caller::request("POST", "/brief/x", "r1", engine_setup::PROMPT, "a prompt");
    let addr = setup.host.callers_addr;
    let answer =
        tokio::spawn(async move { caller::send(addr, &bytes, engine_setup::TIMEOUT).await });
    other.await;
    let newer = setup.add_decode_engine("i-d2", "v2").await;
    let answer = answer.await.unwrap();
    let log = setup.host.log();
    assert_eq!(
        newer.runs_of("r1"),
        0,
        "the rest came from another version: {log}"
    );
    assert_eq!((answer.status, answer.complete), (200, false), "{log}");
}

#[tokio::test]
async fn broken_stream_goes_on_at_its_version() {
    let mut setup = start_setup(50).await;
    let newer = add_engine(&mut setup, "i-d2", "v2").await;
    let same = add_engine(&mut setup, "i-d3", "v1").await;
    change_routes(&setup, "max_attempts", 4).await;
    // Only the first engine takes the stream at first.
    newer.set_fault(server::Fault::Shed);
    same.set_fault(server::Fault::Shed);
    setup.decode_engines[0].set_fault(server::Fault::TruncateStream);
    let mut answer = caller::Answer::default();
    for attempt in 0..20 {
        let id = format!("r{attempt}");
        let accept = async {
            let begun = setup.decode_engines[0].clone();
            let start = time::Instant::now();
            while begun.runs_of(&id) == 0 && start.elapsed() < time::Duration::from_secs(1) {
                tokio::time::sleep(time::Duration::from_millis(2)).await;
            }
            newer.set_fault(server::Fault::None);
            same.set_fault(server::Fault::None);
        };
        (answer, ()) = tokio::join!(setup.send("/brief/x", &id), accept);
        if setup.decode_engines[0].runs_of(&id) > 0 {
            assert_eq!(versions_of(&setup, &id), ["v1"], "{}", setup.host.log());
            break;
        }
        newer.set_fault(server::Fault::Shed);
        same.set_fault(server::Fault::Shed);
        tokio::time::sleep(time::Duration::from_millis(300)).await;
    }
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    assert_eq!(answer.body, engine_setup::complete_stream(50));
}

#[tokio::test]
async fn run_is_not_moved_to_another_version() {
    let mut setup = start_setup(120).await;
    setup.decode_engines[0]
        .delay_ms
        .store(30, atomic::Ordering::Relaxed);
    let mut configuration = hosts::configuration(4);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = 8_000.into();
    }
    setup.store.put("config", "main", configuration);
    setup
        .wait_for_log("\"event\":\"configuration\",\"version\":4")
        .await;
    let bytes = caller::request("POST", "/single/x", "r1", LONG_PROMPT, "a prompt");
    let addr = setup.host.callers_addr;
    let answer =
        tokio::spawn(async move { caller::send(addr, &bytes, engine_setup::TIMEOUT).await });
    let leaving = setup.wait_for_run("r1").await;
    let newer = setup.add_decode_engine("i-d2", "v2").await;
    let entry = leaving.entry("scribe", "draining");
    setup.store.put("servers", &leaving.id, entry);
    let answer = answer.await.unwrap();
    let log = setup.host.log();
    assert!(newer.received().is_empty(), "{log}");
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    assert_eq!(answer.body, engine_setup::complete_stream(120));
}

#[tokio::test]
async fn silent_engine_is_not_replaced_by_another_version() {
    let mut setup = start_setup(50).await;
    let bytes = caller::request("POST", "/brief/x", "r1", engine_setup::PROMPT, "a prompt");
    let addr = setup.host.callers_addr;
    let answer =
        tokio::spawn(async move { caller::send(addr, &bytes, engine_setup::TIMEOUT).await });
    let begun = setup.wait_for_run("r1").await;
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    begun.pause(time::Duration::from_millis(1_700));
    let newer = setup.add_decode_engine("i-d2", "v2").await;
    let answer = answer.await.unwrap();
    let log = setup.host.log();
    assert_eq!(newer.runs_of("r1"), 0, "{log}");
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    assert_eq!(answer.body, engine_setup::complete_stream(50));
}

#[tokio::test]
async fn prompt_read_at_one_version_is_not_continued_at_another() {
    let mut setup = start_setup(5).await;
    let entry = setup.decode_engines[0].entry("scribe", "draining");
    setup.store.put("servers", "i-d1", entry);
    let newer = setup.add_decode_engine("i-d2", "v2").await;
    setup.wait_for_log("\"change\":\"draining\"").await;
    let answer = setup.send("/single/x", "r1").await;
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    let received = newer.received();
    assert_eq!(received.len(), 1, "{log}");
    assert!(
        !received[0].headers.contains_key("x-kv-source"),
        "continued from a prompt that v1 has read: {log}"
    );
}

#[tokio::test]
async fn resumed_stream_goes_on_at_the_version_that_began_it() {
    let mut setup = start_setup(50).await;
    let got = begin_and_break(&setup, "r1").await;
    let newer = add_engine(&mut setup, "i-d2", "v2").await;
    let newest = add_engine(&mut setup, "i-d3", "v3").await;
    for attempt in 0..6 {
        let id = format!("again{attempt}");
        let answer = resume(&setup.host, &id, "r1", got).await;
        let log = setup.host.log();
        assert_eq!((answer.status, answer.complete), (200, true), "{log}");
        assert_eq!(answer.body, rest_of_stream(got, 50), "{log}");
        assert_eq!(newer.runs_of(&id) + newest.runs_of(&id), 0, "{log}");
    }
}

#[tokio::test]
async fn resumed_stream_whose_version_is_gone_is_refused_at_once() {
    let mut setup = start_setup(50).await;
    let got = begin_and_break(&setup, "r1").await;
    let newer = add_engine(&mut setup, "i-d2", "v2").await;
    setup.store.remove("servers", "i-d1");
    setup.wait_for_log("\"change\":\"vanished\"").await;
    let start = time::Instant::now();
    let answer = resume(&setup.host, "again", "r1", got).await;
    let log = setup.host.log();
    assert_eq!(answer.status, 503, "{log}");
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    assert!(start.elapsed() < time::Duration::from_millis(900), "{log}");
    assert_eq!(newer.runs_of("again"), 0, "{log}");
}

#[tokio::test]
async fn stream_that_no_host_knows_is_refused_beside_several_versions() {
    let mut setup = start_setup(50).await;
    add_engine(&mut setup, "i-d2", "v2").await;
    let answer = resume(&setup.host, "again", "unknown", 7).await;
    assert_eq!(answer.status, 503, "{}", setup.host.log());
    assert_eq!(setup.runs_of("again"), 0);
}

#[tokio::test]
async fn stream_is_resumed_at_hosts_that_did_not_begin_it() {
    let mut setup = start_setup(50).await;
    let beside = hosts::Host::start(BINARY, "h2", setup.store_addr);
    beside.wait_ready().await;
    // Hosts learn of each other by their news.
    tokio::time::sleep(time::Duration::from_millis(1_200)).await;
    let got = begin_and_break(&setup, "r1").await;
    let newer = add_engine(&mut setup, "i-d2", "v2").await;
    setup.host.process.kill().unwrap();
    setup.host.process.wait().unwrap();
    let later = hosts::Host::start(BINARY, "h3", setup.store_addr);
    later.wait_ready().await;
    tokio::time::sleep(time::Duration::from_millis(1_200)).await;
    for (host, id) in [(&beside, "again2"), (&later, "again3")] {
        let answer = resume(host, id, "r1", got).await;
        let log = host.log();
        assert_eq!((answer.status, answer.complete), (200, true), "{log}");
        assert_eq!(answer.body, rest_of_stream(got, 50), "{log}");
        assert_eq!(newer.runs_of(id), 0, "{log}");
    }
}

#[tokio::test]
async fn stream_goes_on_after_all_hosts_were_killed_if_one_version_serves() {
    let mut setup = start_setup(50).await;
    let got = begin_and_break(&setup, "r1").await;
    setup.host.restart();
    setup.host.wait_ready().await;
    let answer = resume(&setup.host, "again", "r1", got).await;
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    assert_eq!(answer.body, rest_of_stream(got, 50), "{log}");
}

#[tokio::test]
async fn stream_is_not_resumed_at_a_server_that_came_back_at_another_version() {
    let setup = start_setup(50).await;
    let got = begin_and_break(&setup, "r1").await;
    let engine = &setup.decode_engines[0];
    engine.set_version("v2");
    engine.register(&setup.store, "scribe");
    setup.wait_for_log("\"change\":\"restarted\"").await;
    let answer = resume(&setup.host, "again", "r1", got).await;
    assert_eq!(answer.status, 503, "{}", setup.host.log());
    assert_eq!(engine.runs_of("again"), 0);
}

#[tokio::test]
async fn resumed_stream_is_not_held_once_its_version_is_gone() {
    let mut setup = start_setup(50).await;
    let got = begin_and_break(&setup, "r1").await;
    add_engine(&mut setup, "i-d2", "v2").await;
    change_routes(&setup, "timeout_ms", 14_000).await;
    // A run at v1 that fills its memory, so that the stream has to wait.
    let engine = setup.decode_engines[0].clone();
    make_streams_long(&engine, 300);
    let prompt = "X-Model: m\r\nX-Token-Count: 97000,2000\r\nX-Length-Hint: 2000\r\n\
                  Resumes: r1\r\nLast-Event-Id: 1\r\n";
    let bytes = caller::request("POST", "/brief/x", "large", prompt, "a prompt");
    let addr = setup.host.callers_addr;
    tokio::spawn(async move { caller::send(addr, &bytes, engine_setup::TIMEOUT).await });
    setup.wait_for_run("large").await;
    let remove = async {
        setup.wait_for_log("\"event\":\"waits\"").await;
        let entry = engine.entry("scribe", "draining");
        setup.store.put("servers", &engine.id, entry);
        setup.wait_for_log("\"change\":\"draining\"").await;
        time::Instant::now()
    };
    let (answer, gone) = tokio::join!(resume(&setup.host, "again", "r1", got), remove);
    let log = setup.host.log();
    assert_eq!(answer.status, 503, "{log}");
    assert!(gone.elapsed() < time::Duration::from_millis(900), "{log}");
}

/// Has a stream resumed at a host whose watch went silent and whose only fellow host, at which the stream began, is gone,
/// while an engine of another version joined. Returns the answer.
async fn resume_out_of_step(
    store_fault: proxy::Fault,
) -> (engine_setup::EngineSetup, caller::Answer) {
    let mut setup = start_setup(50).await;
    let link = proxy::Proxy::start(setup.store_addr).await;
    let fellow = hosts::Host::start(BINARY, "h2", setup.store_addr);
    fellow.wait_ready().await;
    let host = hosts::Host::start(BINARY, "h3", link.addr);
    host.wait_ready().await;
    setup.host = host;
    setup.wait_for_log("\"view\":\"hosts\"").await;
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    link.silence_open();
    link.set_fault(store_fault);
    drop(fellow);
    let newer = server::Server::start("i-d2", Some("decode")).await;
    newer.set_version("v2");
    newer.register(&setup.store, "scribe");
    setup.decode_engines.push(newer);
    tokio::time::sleep(OUT_OF_STEP).await;
    let answer = resume(&setup.host, "r2", "r1", 3).await;
    (setup, answer)
}

#[tokio::test]
async fn host_out_of_step_does_not_presume_the_only_version_it_knows() {
    for store_fault in [
        proxy::Fault::None,
        proxy::Fault::Reset,
        proxy::Fault::DropAll,
    ] {
        let (setup, answer) = resume_out_of_step(store_fault).await;
        let log = setup.host.log();
        assert_eq!(answer.status, 503, "{store_fault:?}: {answer:?} {log}");
        assert_eq!(setup.runs_of("r2"), 0, "{store_fault:?}: {log}");
    }
}
