//! Prompts with parts that are suspected to crash engines.

use std::sync::atomic;
use std::time;

use serde_json::json;
use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::prompt_traffic;
use walnuthaven_platform_standin::store;
use xxhash_rust::xxh3;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
const DEADLINE: time::Duration = time::Duration::from_secs(6);
/// Time for a host to learn of a mark from the store.
const WATCH_TIME: time::Duration = time::Duration::from_millis(450);

/// Writes a mark to the store that says that three engines crashed with the part in flight, to prompts with which there
/// are some answers.
fn put_mark(store: &store::Store, part: &str, answers: u64) {
    let mut hasher = xxh3::Xxh3::new();
    for text in ["prompt part", "scribe", part] {
        hasher.update(text.as_bytes());
        hasher.update(&[0]);
    }
    let name = format!("{:016x}", hasher.digest());
    let crash = |server: &str| json!({"server": server, "at_unix_ms": 0});
    let mark = json!({
        "crashes": [crash("i-1@1"), crash("i-2@1"), crash("i-3@1")], "cleared": [],
        "expires_unix_ms": 4_000_000_000_000_u64, "part": {"answers": answers, "trials": []},
    });
    store.put("walnuthaven-crash-marks", &name, mark);
}

/// Sends a request with a long answer.
async fn send(setup: &engine_setup::EngineSetup, id: &str, parts: &str) -> caller::Answer {
    let headers = prompt_traffic::headers(parts, id, DEADLINE);
    let headers = headers
        .replace("500,700", "500,9000")
        .replace(": 350", ": 4900");
    let bytes = caller::request("POST", "/single/x", id, &headers, id);
    caller::send(setup.host.callers_addr, &bytes, DEADLINE).await
}

async fn start(delay_ms: u64) -> engine_setup::EngineSetup {
    let setup = engine_setup::EngineSetup::start_with(BINARY, &["i-d1", "i-d2", "i-d3"]).await;
    for engine in &setup.decode_engines {
        engine
            .events_per_stream
            .store(70, atomic::Ordering::Relaxed);
        engine.delay_ms.store(delay_ms, atomic::Ordering::Relaxed);
    }
    setup
}

// A run that an engine has begun to write crashes none, so that it needn't wait for a trial to end.
#[tokio::test]
async fn run_moves_while_another_prompt_is_on_trial() {
    let setup = start(30).await;
    let parts = "f00d:200";
    let disturb = async {
        let leaving = setup.wait_for_run("r1").await;
        put_mark(&setup.store, "f00d", 64);
        tokio::time::sleep(WATCH_TIME).await;
        let entry = leaving.entry("scribe", "draining");
        setup.store.put("servers", &leaving.id, entry);
        send(&setup, "r2", parts).await
    };
    let (moved, on_trial) = tokio::join!(send(&setup, "r1", parts), disturb);
    let log = setup.host.log();
    assert!(
        log.contains(r#""event":"trial-started","id":"r2""#),
        "{log}"
    );
    assert!(log.contains(r#""event":"moved","id":"r1""#), "{log}");
    for answer in [moved, on_trial] {
        assert_eq!(
            (answer.status, answer.complete),
            (200, true),
            "{answer:?}\n{log}"
        );
        assert_eq!(answer.body, engine_setup::complete_stream(70));
    }
}

// Prompts with a part that was answered before are probably harmless, so they wait for the one that is on trial.
#[tokio::test]
async fn prompts_wait_for_the_trial_of_a_part_that_was_answered_before() {
    let setup = start(4).await;
    put_mark(&setup.store, "f00d", 64);
    tokio::time::sleep(WATCH_TIME).await;
    let ids: Vec<String> = (0..6).map(|number| format!("r{number}")).collect();
    let sends = ids.iter().map(|id| send(&setup, id, "f00d:200"));
    for answer in futures_util::future::join_all(sends).await {
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    }
    let log = setup.host.log();
    assert_eq!(log.matches("trial-started").count(), 1, "{log}");
    assert!(log.contains("part-cleared"), "{log}");
}

// Nothing speaks for a part that no engine has answered, so its prompts don't wait.
#[tokio::test]
async fn prompts_beside_the_trial_of_a_part_without_answers_are_refused_at_once() {
    let setup = start(10).await;
    put_mark(&setup.store, "f00d", 0);
    tokio::time::sleep(WATCH_TIME).await;
    let beside = async {
        setup.wait_for_run("r1").await;
        let answer = send(&setup, "r2", "f00d:200").await;
        let running = setup.decode_engines.iter();
        let running = running.map(|engine| engine.active_runs.load(atomic::Ordering::Relaxed));
        (answer, running.sum::<usize>())
    };
    let (on_trial, (refused, running)) = tokio::join!(send(&setup, "r1", "f00d:200"), beside);
    assert_eq!(
        (on_trial.status, on_trial.complete),
        (200, true),
        "{on_trial:?}"
    );
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    assert_eq!(running, 1, "it waited for the trial to end");
    assert_eq!(setup.runs_of("r2"), 0);
    let again = send(&setup, "r3", "f00d:200").await;
    assert_eq!((again.status, again.complete), (200, true), "{again:?}");
}
