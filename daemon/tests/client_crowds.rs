//! Crowds of clients that keep to no limit, at the address for callers of an entry host. One test runs at a time.

use std::sync::atomic;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::client_crowd;
use walnuthaven_platform_standin::crowd_setup;
use walnuthaven_platform_standin::engine_setup;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Bytes of a long answer, near the longest that the host buffers.
const LONG_ANSWER: usize = 3_000_000;

/// Starts a host and checks that it bears a crowd that follows a script.
async fn check(clients: usize, script: client_crowd::Script) {
    let _turn = crowd_setup::TURN.lock().await;
    let mut setup = crowd_setup::CrowdSetup::start(BINARY).await;
    let addr = setup.host.callers_addr;
    setup.check(&[addr], clients, &script).await;
}

/// Returns the beginning of the head of a request.
fn head(path: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd\r\n")
}

/// Returns a script whose heads have a line that doesn't end.
fn endless_head() -> client_crowd::Script {
    let first = format!("{}X-Own: ", head("/once/x"));
    client_crowd::Script::new(&first, &"x".repeat(4_096))
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end() {
    check(crowd_setup::CLIENTS, endless_head()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_of_many_lines() {
    let script = client_crowd::Script::new(&head("/once/x"), &"X-Own: yes\r\n".repeat(300));
    check(crowd_setup::CLIENTS, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_heads() {
    let script = client_crowd::Script {
        repeated: vec![b'x'; 2_048],
        pause: time::Duration::from_millis(20),
        ..endless_head()
    };
    check(crowd_setup::CLIENTS, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_heads() {
    let script = client_crowd::Script {
        max_bytes: 250_000,
        ..endless_head()
    };
    check(crowd_setup::CLIENTS, script).await;
}

/// Each head keeps to the limit, and never ends.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_heads_within_the_limit() {
    let script = client_crowd::Script {
        max_bytes: 16_000,
        ..endless_head()
    };
    check(crowd_setup::CLIENTS, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn blank_lines() {
    check(
        crowd_setup::CLIENTS,
        client_crowd::Script::new("", &"\r\n".repeat(2_048)),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_blank_lines() {
    let script = client_crowd::Script {
        pause: time::Duration::from_millis(20),
        ..client_crowd::Script::new("", &"\r\n".repeat(1_024))
    };
    check(crowd_setup::CLIENTS, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn blank_lines_after_a_request() {
    let first = format!("{}Content-Length: 0\r\n\r\n", head("/once/x"));
    check(
        crowd_setup::CLIENTS,
        client_crowd::Script::new(&first, &"\r\n".repeat(2_048)),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_bodies() {
    let first = format!("{}Content-Length: 65536\r\n\r\n", head("/once/x"));
    let script = client_crowd::Script {
        max_bytes: 65_000,
        ..client_crowd::Script::new(&first, &"x".repeat(4_096))
    };
    check(crowd_setup::CLIENTS, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_over_the_limit() {
    let first = format!("{}Content-Length: 900000\r\n\r\n", head("/once/x"));
    check(
        crowd_setup::CLIENTS,
        client_crowd::Script::new(&first, &"x".repeat(4_096)),
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_tiny_parts() {
    let first = format!("{}Transfer-Encoding: chunked\r\n\r\n", head("/once/x"));
    check(
        crowd_setup::CLIENTS,
        client_crowd::Script::new(&first, &"1\r\nx\r\n".repeat(700)),
    )
    .await;
}

/// The parts of each body keep to the limit, and their end never comes.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_bodies_of_tiny_parts() {
    let first = format!("{}Transfer-Encoding: chunked\r\n\r\n", head("/once/x"));
    let script = client_crowd::Script {
        max_bytes: 380_000,
        ..client_crowd::Script::new(&first, &"1\r\nx\r\n".repeat(700))
    };
    check(crowd_setup::CLIENTS, script).await;
}

/// Checks requests that are sent ahead, whose answers are read as `reading` says.
async fn check_pipeline(path: &str, answer: usize, reading: client_crowd::Reading) {
    let _turn = crowd_setup::TURN.lock().await;
    let mut setup = crowd_setup::CrowdSetup::start(BINARY).await;
    let addr = setup.host.callers_addr;
    setup.plain.padding.store(answer, atomic::Ordering::Relaxed);
    setup.plain.delay_ms.store(0, atomic::Ordering::Relaxed);
    let request = format!("{}Content-Length: 0\r\n\r\n", head(path));
    let script = client_crowd::Script {
        reading,
        ..client_crowd::Script::new("", &request.repeat(20))
    };
    setup.check(&[addr], crowd_setup::CLIENTS, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_ahead() {
    check_pipeline("/plain/x", 1_000, client_crowd::Reading::Nothing).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_ahead_with_longer_answers() {
    check_pipeline("/plain/x", 100_000, client_crowd::Reading::Nothing).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_ahead_that_are_refused() {
    check_pipeline("/none/x", 0, client_crowd::Reading::Nothing).await;
}

/// Checks one request a connection, whose long answer is read as `reading` says.
async fn check_long_answers(reading: client_crowd::Reading) {
    let _turn = crowd_setup::TURN.lock().await;
    let mut setup = crowd_setup::CrowdSetup::start(BINARY).await;
    let addr = setup.host.callers_addr;
    let padding = &setup.plain.padding;
    padding.store(LONG_ANSWER, atomic::Ordering::Relaxed);
    let request = format!("{}Content-Length: 0\r\n\r\n", head("/plain/x"));
    let script = client_crowd::Script {
        reading,
        ..client_crowd::Script::new(&request, "")
    };
    setup.check(&[addr], crowd_setup::CLIENTS, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unread_answers() {
    check_long_answers(client_crowd::Reading::Nothing).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_read_slowly() {
    check_long_answers(client_crowd::Reading::Slow).await;
}

/// Checks long streams that are read as `reading` says.
async fn check_streams(reading: client_crowd::Reading) {
    let _turn = crowd_setup::TURN.lock().await;
    let mut setup = crowd_setup::CrowdSetup::start(BINARY).await;
    let addr = setup.host.callers_addr;
    for engine in &setup.engines {
        let events = &engine.events_per_stream;
        events.store(1_000_000, atomic::Ordering::Relaxed);
        engine.delay_ms.store(0, atomic::Ordering::Relaxed);
    }
    let request = caller::request(
        "POST",
        "/brief/x",
        "crowd",
        engine_setup::PROMPT,
        "a prompt",
    );
    let script = client_crowd::Script {
        reading,
        ..client_crowd::Script::new(&request, "")
    };
    setup.check(&[addr], crowd_setup::CLIENTS, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unread_streams() {
    check_streams(client_crowd::Reading::Nothing).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_read_slowly() {
    check_streams(client_crowd::Reading::Slow).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_without_a_request() {
    check(crowd_setup::MANY_CLIENTS, client_crowd::Script::new("", "")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_kept_after_a_request() {
    let request = format!("{}Content-Length: 0\r\n\r\n", head("/plain/x"));
    check(
        crowd_setup::MANY_CLIENTS,
        client_crowd::Script::new(&request, ""),
    )
    .await;
}
