//! Previews of requests: where they would go, without sending them.

use std::sync::atomic;
use std::time;

use serde_json::Value;
use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
const TIMEOUT: time::Duration = time::Duration::from_secs(5);

async fn preview(host: &hosts::Host, query: &str) -> (u16, Value) {
    let bytes = caller::request("GET", &format!("/admin/preview?{query}"), "p", "", "");
    let answer = caller::send(host.metrics_addr, &bytes, TIMEOUT).await;
    (answer.status, serde_json::from_str(&answer.body).unwrap())
}

/// Returns the result for a server.
fn result<'a>(preview: &'a Value, server: &str) -> &'a str {
    let mut candidates = preview["candidates"].as_array().unwrap().iter();
    let found = candidates.find(|candidate| candidate["server"] == server);
    found.unwrap()["result"].as_str().unwrap()
}

#[tokio::test]
async fn plain_request_goes_to_the_server_that_does_not_leave() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let sound = server::Server::start("i-a", None).await;
    let leaving = server::Server::start("i-b", None).await;
    sound.register(&store, "gate");
    store.put("servers", &leaving.id, leaving.entry("gate", "draining"));
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    let (status, shown) = preview(&host, "route=plain").await;
    assert_eq!(status, 200, "{shown}");
    assert_eq!(shown["outcome"], "sent", "{shown}");
    assert_eq!(shown["answered_by"], "i-a", "{shown}");
    assert_eq!(shown["kind"], "repeatable");
    assert_eq!(result(&shown, "i-a"), "would get it");
    assert_eq!(result(&shown, "i-b"), "leaves");
    assert!(sound.received().is_empty() && leaving.received().is_empty());
}

#[tokio::test]
async fn prompt_is_read_and_answered_by_different_engines() {
    let setup = engine_setup::EngineSetup::start(BINARY).await;
    let query = "route=brief&prompt=5000&max_output=900&length_hint=800";
    let (status, shown) = preview(&setup.host, query).await;
    assert_eq!(status, 200, "{shown}");
    assert_eq!(shown["outcome"], "sent", "{shown}");
    let reader = shown["read_by"].as_str().unwrap();
    let writer = shown["answered_by"].as_str().unwrap();
    assert_eq!(result(&shown, reader), "would read the prompt");
    assert_eq!(result(&shown, writer), "would generate the answer");
    let engines = setup.decode_engines.iter();
    let active = engines.map(|engine| engine.active_runs.load(atomic::Ordering::Relaxed));
    assert_eq!(active.sum::<usize>(), 0);
    // A prompt beyond the memory of all engines still starts on an empty one, as it would if it were sent.
    let (_, large) = preview(&setup.host, "route=brief&prompt=900000").await;
    assert_eq!(large["outcome"], "sent", "{large}");
}

#[tokio::test]
async fn errors_name_the_parameter_and_its_value() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    let cases = [
        ("", 400, "route"),
        ("route=plain&prompt=many", 400, "prompt: \"many\""),
        ("route=plain&size=3", 400, "size: \"3\""),
        ("route=other", 404, "route \"other\""),
        ("route=plain&workspace=w", 404, "workspace \"w\""),
    ];
    for (query, expected, text) in cases {
        let (status, body) = preview(&host, query).await;
        let message = body["error"]["message"].as_str().unwrap();
        assert_eq!(status, expected, "{query}");
        assert!(message.contains(text), "{query}: {message}");
    }
}
