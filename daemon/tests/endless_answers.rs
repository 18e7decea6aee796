//! Servers that send bytes without end, in a head or a body, until their connections are closed.

use std::fs;
use std::sync;
use std::sync::atomic;
use std::time;

use serde_json::json;
use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// The memory that a host may take, as its settings state it.
const MEMORY_MB: usize = 110;
/// The time limit of routes, with which answers that are cut at the latest arrive.
const ROUTE_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Longest time to wait for an answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(6);
/// Time after an answer in which all connections to the server must be closed.
const CLOSE_TIME: time::Duration = time::Duration::from_secs(2);
/// Requests at the same time.
const CONCURRENT: usize = 60;

fn settings() -> String {
    format!("[limits]\nmemory = {MEMORY_MB}MB\nfiles = 4100\n")
}

/// Returns the most memory that a host has taken, in MB.
fn peak_memory_mb(host: &hosts::Host) -> usize {
    let status = fs::read_to_string(format!("/proc/{}/status", host.process.id())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak_kb = peak.unwrap().trim().trim_end_matches("kB").trim();
    peak_kb.parse::<usize>().unwrap() / 1024
}

/// Waits until no connection is left on which a server sends bytes without end.
async fn assert_closed(server: &server::Server, what: &str) {
    let start = time::Instant::now();
    loop {
        let open = server.endless_connections.load(atomic::Ordering::Relaxed);
        if open == 0 {
            return;
        }
        assert!(
            start.elapsed() < CLOSE_TIME,
            "{what}: {open} connections are open"
        );
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

async fn start_plain(fault: server::Fault) -> (hosts::Host, Vec<sync::Arc<server::Server>>) {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let server = server::Server::start("i-a", None).await;
    server.set_fault(fault);
    server.register(&store, "gate");
    let host = hosts::Host::start_with(BINARY, "h1", addr, &settings());
    host.wait_ready().await;
    (host, vec![server])
}

/// Sends requests at the same time and returns their answers.
async fn send_many(
    host: &hosts::Host,
    path: &str,
    headers: &str,
    count: usize,
) -> Vec<caller::Answer> {
    let sends = (0..count).map(|number| {
        let bytes = caller::request("POST", path, &format!("r{number}"), headers, "body");
        let addr = host.callers_addr;
        async move { caller::send(addr, &bytes, TIMEOUT).await }
    });
    futures_util::future::join_all(sends).await
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_answers_without_end_are_cut_and_take_little_memory() {
    use server::Endless;
    for endless in [
        Endless::Garbage,
        Endless::HeaderLine,
        Endless::Headers,
        Endless::Interim,
        Endless::Body,
        Endless::Chunks,
        Endless::ChunkSize,
        Endless::LongChunkSizes,
    ] {
        let (host, servers) = start_plain(server::Fault::Endless(endless)).await;
        for answer in send_many(&host, "/once/x", "", CONCURRENT).await {
            let failed = matches!(answer.status, 502 | 504);
            assert!(failed, "{endless:?}: {answer:?}\n{}", host.log());
        }
        assert_closed(&servers[0], &format!("{endless:?}")).await;
        let peak = peak_memory_mb(&host);
        assert!(peak < MEMORY_MB, "{endless:?}: {peak} MB");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_without_end_are_cut_and_take_little_memory() {
    use server::Endless;
    for endless in [
        Endless::Garbage,
        Endless::HeaderLine,
        Endless::Body,
        Endless::Event,
        Endless::SlowEvent,
        Endless::ForeignEvents,
    ] {
        let setup =
            engine_setup::EngineSetup::start_with_settings(BINARY, &["i-d1"], &settings()).await;
        setup.set_fault(server::Fault::Endless(endless));
        let answers = send_many(&setup.host, "/single/x", engine_setup::PROMPT, CONCURRENT).await;
        for answer in answers {
            assert!(
                !answer.complete || answer.status != 200,
                "{endless:?}: {answer:?}"
            );
            let body = answer.body.len();
            assert!(body < 3 << 20, "{endless:?}: {body} bytes were passed on");
        }
        assert_closed(&setup.decode_engines[0], &format!("{endless:?}")).await;
        let peak = peak_memory_mb(&setup.host);
        assert!(peak < MEMORY_MB, "{endless:?}: {peak} MB");
    }
}

// A stream that may be resumed is left for another server if no event comes, whatever else does.
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_continued_elsewhere_if_bytes_come_but_no_event() {
    for endless in [server::Endless::SlowEvent, server::Endless::ForeignEvents] {
        let setup = engine_setup::EngineSetup::start(BINARY).await;
        let broken = &setup.decode_engines[0];
        broken.set_fault(server::Fault::Endless(endless));
        let answers = send_many(&setup.host, "/brief/x", engine_setup::PROMPT, 4).await;
        let sent = broken.received().iter().filter(|r| r.ran).count();
        assert!(sent > 0, "nothing was sent to {}", broken.id);
        for answer in answers {
            let served = (answer.status, answer.complete);
            assert_eq!(
                served,
                (200, true),
                "{endless:?}: {answer:?}\n{}",
                setup.host.log()
            );
            assert_eq!(answer.body, engine_setup::complete_stream(5), "{answer:?}");
        }
    }
}

// Prefills and the calls that free their results.
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_are_answered_without_end_take_little_memory() {
    use server::Endless;
    for endless in [
        Endless::Body,
        Endless::Chunks,
        Endless::ChunkSize,
        Endless::HeaderLine,
        Endless::Garbage,
    ] {
        let setup =
            engine_setup::EngineSetup::start_with_settings(BINARY, &["i-d1"], &settings()).await;
        for engine in [&setup.prefill_engine, &setup.decode_engines[0]] {
            *engine.endless_calls.lock().unwrap() = Some(endless);
        }
        setup
            .prefill_engine
            .set_fault(server::Fault::Endless(endless));
        send_many(
            &setup.host,
            "/single/x",
            engine_setup::PROMPT,
            CONCURRENT / 3,
        )
        .await;
        assert_closed(&setup.prefill_engine, &format!("{endless:?}")).await;
        assert_closed(&setup.decode_engines[0], &format!("{endless:?}")).await;
        let peak = peak_memory_mb(&setup.host);
        assert!(peak < MEMORY_MB, "{endless:?}: {peak} MB");
    }
}

// The copy of a run whose engine drains, and orders that change an engine's stage.
#[tokio::test(flavor = "multi_thread")]
async fn copies_and_orders_that_are_answered_without_end_take_little_memory() {
    let setup =
        engine_setup::EngineSetup::start_with_settings(BINARY, &["i-d1", "i-d2"], &settings())
            .await;
    for engine in &setup.decode_engines {
        engine
            .events_per_stream
            .store(70, atomic::Ordering::Relaxed);
        engine.delay_ms.store(30, atomic::Ordering::Relaxed);
        *engine.endless_calls.lock().unwrap() = Some(server::Endless::Body);
    }
    let prompt = "X-Model: m\r\nX-Token-Count: 500,9000\r\nX-Length-Hint: 4900\r\n";
    let drain = async {
        let leaving = setup.wait_for_run("r0").await;
        let entry = leaving.entry("scribe", "draining");
        setup.store.put("servers", &leaving.id, entry);
        // Pool balance asks engines for reports before it gives orders.
        tokio::time::sleep(ROUTE_TIMEOUT).await;
    };
    let (answers, ()) = tokio::join!(send_many(&setup.host, "/single/x", prompt, 6), drain);
    for answer in answers {
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    for engine in &setup.decode_engines {
        assert_closed(engine, &engine.id).await;
    }
    let peak = peak_memory_mb(&setup.host);
    assert!(peak < MEMORY_MB, "{peak} MB\n{}", json!(setup.host.log()));
}

/// Guards against a server whose answers take up the time of the host, so that other services aren't served.
#[tokio::test(flavor = "multi_thread")]
async fn other_services_are_served_beside_answers_without_end() {
    use server::Endless;
    const SOUND: usize = 20;
    for endless in [
        Endless::ChunkSize,
        Endless::LongChunkSizes,
        Endless::Chunks,
        Endless::Interim,
    ] {
        for of_engines in [false, true] {
            let setup =
                engine_setup::EngineSetup::start_with_settings(BINARY, &["i-d1"], &settings())
                    .await;
            let plain = server::Server::start("i-a", None).await;
            plain.register(&setup.store, "gate");
            setup.wait_for_log("\"server\":\"i-a\"").await;
            let fault = server::Fault::Endless(endless);
            let (bad, sound) = match of_engines {
                true => {
                    setup.set_fault(fault);
                    ("/single/x", "/once/x")
                }
                false => {
                    plain.set_fault(fault);
                    ("/once/x", "/single/x")
                }
            };
            let (failed, served) = tokio::join!(
                send_many(&setup.host, bad, engine_setup::PROMPT, CONCURRENT),
                async {
                    tokio::time::sleep(time::Duration::from_millis(200)).await;
                    let mut served = Vec::new();
                    while served.len() < SOUND {
                        // No more than an engine takes at once.
                        let answers = send_many(&setup.host, sound, engine_setup::PROMPT, 4);
                        served.extend(answers.await);
                    }
                    served
                }
            );
            let what = format!("{endless:?}, engines {of_engines}");
            let log = setup.host.log();
            // Requests that wait for room at a server may be refused.
            let unanswered = failed.iter().filter(|answer| answer.status == 0).count();
            assert_eq!(unanswered, 0, "{what}: {log}");
            let whole = served
                .iter()
                .filter(|answer| answer.status == 200 && answer.complete);
            assert_eq!(whole.count(), SOUND, "{what}: {log}");
        }
    }
}
