//! Requests that a server ran and answered with a failure of its own, while hosts reach only half of the engines.

use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Time for hosts to hear of each other.
const START_TIME: time::Duration = time::Duration::from_millis(1_200);
const INTERVAL: time::Duration = time::Duration::from_millis(40);
const REQUESTS: usize = 60;

/// Returns how often each request ran, and its status.
async fn fail_while_an_engine_is_lost(path: &str) -> (Vec<(usize, u16)>, String) {
    let setup = engine_setup::EngineSetup::start(BINARY).await;
    let fellow = hosts::Host::start(BINARY, "h2", setup.store_addr);
    fellow.wait_ready().await;
    tokio::time::sleep(START_TIME).await;
    setup.decode_engines[0].crash();
    setup.decode_engines[1].set_fault(server::Fault::Status500);
    let mut sends = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("r{number}");
        let addr = [setup.host.callers_addr, fellow.callers_addr][number % 2];
        let bytes = caller::request("POST", path, &id, engine_setup::PROMPT, "a prompt");
        sends.push(tokio::spawn(async move {
            caller::send(addr, &bytes, engine_setup::TIMEOUT).await
        }));
        tokio::time::sleep(INTERVAL).await;
    }
    let mut ends = Vec::new();
    for (number, send) in sends.into_iter().enumerate() {
        let answer = send.await.unwrap();
        ends.push((setup.runs_of(&format!("r{number}")), answer.status));
    }
    (ends, setup.host.log() + &fellow.log())
}

/// Guards against requests that run twice after a server's own failure, or are refused although they ran (review/1, TWICE and
/// REFUSED).
#[tokio::test]
async fn failure_of_a_server_is_the_answer_to_what_may_run_once() {
    let (ends, log) = fail_while_an_engine_is_lost("/single/x").await;
    for (number, (runs, status)) in ends.iter().enumerate() {
        assert!(*runs <= 1, "r{number} ran {runs} times: {log}");
        let is_refused = [429, 503].contains(status);
        assert_eq!(
            is_refused,
            *runs == 0,
            "r{number}: {runs} runs, {status}: {log}"
        );
    }
    assert!(
        ends.iter()
            .any(|(runs, status)| (*runs, *status) == (1, 500))
    );
}
