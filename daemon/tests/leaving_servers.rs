//! Servers that leave, by their entries in the store, between the choice of a server for a request and the send.

use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::engine_setup;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// How long after the store has accepted that a server leaves requests may still reach it.
const DRAIN_TIME: time::Duration = time::Duration::from_secs(2);
/// How long the prefill engine stands still: longer than `DRAIN_TIME`, within the time that its prompt may take.
const PREFILL_PAUSE: time::Duration = time::Duration::from_millis(2_500);
/// Headers of a request whose prompt takes a second to prefill.
const LONG_PROMPT: &str = "X-Model: m\r\nX-Token-Count: 60000,700\r\nX-Length-Hint: 350\r\n";

/// How a server leaves.
#[derive(Clone, Copy, Debug)]
enum Notice {
    Draining,
    EntryRemoved,
}

/// Has the chosen decode engine leave while the prompt is prefilled.
async fn leave_during_prefill(notice: Notice) {
    let setup = engine_setup::EngineSetup::start(BINARY).await;
    setup.prefill_engine.pause(PREFILL_PAUSE);
    let addr = setup.host.callers_addr;
    let bytes = caller::request("POST", "/brief/x", "r1", LONG_PROMPT, "a prompt");
    let sent = tokio::spawn(async move { caller::send(addr, &bytes, engine_setup::TIMEOUT).await });
    setup
        .wait_for_log("\"event\":\"placed\",\"id\":\"r1\"")
        .await;
    let log = setup.host.log();
    let placed = log.lines().find(|line| line.contains("\"placed\""));
    let placed: serde_json::Value = serde_json::from_str(placed.unwrap()).unwrap();
    let engines = &setup.decode_engines;
    let chosen = engines.iter().find(|engine| placed["decode"] == *engine.id);
    let chosen = chosen.unwrap();
    match notice {
        Notice::Draining => {
            let entry = chosen.entry("scribe", "draining");
            setup.store.put("servers", &chosen.id, entry);
        }
        Notice::EntryRemoved => setup.store.remove("servers", &chosen.id),
    }
    let left_at = time::Instant::now();
    let answer = sent.await.unwrap();
    let received = chosen.received();
    let late = received.iter().filter(|r| r.at > left_at + DRAIN_TIME);
    assert_eq!(
        late.count(),
        0,
        "a request reached a server long after it left: {}",
        setup.host.log()
    );
    assert_eq!(answer.status, 200, "{}", setup.host.log());
    assert_eq!(answer.body, engine_setup::complete_stream(5));
    assert_eq!(setup.runs_of("r1"), 1);
}

#[tokio::test]
async fn engine_that_drains_during_a_prefill_gets_no_request() {
    leave_during_prefill(Notice::Draining).await;
}

#[tokio::test]
async fn engine_whose_entry_goes_during_a_prefill_gets_no_request() {
    leave_during_prefill(Notice::EntryRemoved).await;
}
