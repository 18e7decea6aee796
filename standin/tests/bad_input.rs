//! Invalid requests get the documented error or their connection is closed. Neither connections nor
//! engine memory stay in use.

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::time;

use serde_json::json;
use walnuthaven_standin::local_fleet;
use walnuthaven_standin::world;

async fn setup() -> (world::World, local_fleet::Fleet, String) {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, 2, "current")
        .await
        .unwrap();
    let host = fleet.api_addresses()[0].clone();
    (world, fleet, host)
}

async fn post(
    host: &str,
    key: &str,
    headers: &[(&str, &str)],
    body: impl Into<reqwest::Body>,
) -> (u16, serde_json::Value) {
    let mut req = reqwest::Client::new()
        .post(format!("http://{host}/v1/completions"))
        .bearer_auth(key)
        .body(body);
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let response = req.send().await.unwrap();
    let status = response.status().as_u16();
    (status, response.json().await.unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_get_their_error_code_and_field() {
    let (_world, _fleet, host) = setup().await;
    let good = || json!({ "model": "summary", "prompt": "p", "max_tokens": 3 });
    let with = |field: &str, value: serde_json::Value| {
        let mut body = good();
        body[field] = value;
        body.to_string()
    };
    let key = world::COOP_KEY;
    type Case = (
        &'static str,
        &'static [(&'static str, &'static str)],
        String,
        u16,
        &'static str,
        &'static str,
    );
    let cases: Vec<Case> = vec![
        ("wrong", &[], good().to_string(), 401, "unauthorized", "key"),
        (
            key,
            &[],
            "{\"model\": \"summ".into(),
            400,
            "bad_request",
            "body",
        ),
        (key, &[], "[]".into(), 400, "bad_request", "body"),
        (
            key,
            &[],
            with("max_tokens", json!("many")),
            400,
            "bad_request",
            "many",
        ),
        (
            key,
            &[],
            with("max_tokens", json!(0)),
            400,
            "bad_request",
            "max_tokens: 0",
        ),
        (
            key,
            &[],
            with("max_tokens", json!(5_000)),
            400,
            "bad_request",
            "max_tokens: 5000",
        ),
        (
            key,
            &[],
            with("prompt", json!("")),
            400,
            "bad_request",
            "prompt",
        ),
        (
            key,
            &[],
            with("model", json!("nothing")),
            404,
            "not_found",
            "\"nothing\"",
        ),
        (
            key,
            &[],
            with("model", json!("turnstile")),
            404,
            "not_found",
            "\"turnstile\"",
        ),
        (
            key,
            &[],
            with("priority", json!("soon")),
            400,
            "bad_request",
            "\"soon\"",
        ),
        (
            key,
            &[("x-request-id", "h~~")],
            good().to_string(),
            400,
            "bad_request",
            "x-request-id",
        ),
        (
            key,
            &[("x-offset", "-1")],
            good().to_string(),
            400,
            "bad_request",
            "x-offset",
        ),
        (
            key,
            &[("x-repeatable", "no")],
            good().to_string(),
            400,
            "bad_request",
            "x-repeatable",
        ),
        (
            key,
            &[],
            with("prompt", json!("p".repeat(300_000))),
            413,
            "too_large",
            "75000 tokens",
        ),
        (
            key,
            &[],
            with("prompt", json!("p".repeat(1_100_000))),
            413,
            "too_large",
            "1048576",
        ),
    ];
    for (key, headers, body, status, code, named) in cases {
        let shown: String = body.chars().take(60).collect();
        let (got, answer) = post(&host, key, headers, body).await;
        let error = &answer["error"];
        assert_eq!(
            (got, &error["code"]),
            (status, &json!(code)),
            "{shown}: {answer}"
        );
        assert_eq!(error["ran"], "not_run", "{shown}");
        let message = error["message"].as_str().unwrap();
        assert!(message.contains(named), "{shown}: {message}");
    }
    let unknown = reqwest::get(format!("http://{host}/v2/nothing"))
        .await
        .unwrap();
    assert_eq!(unknown.status(), 404);
}

/// Reads until the host closes the connection. Returns the bytes received.
fn read_all(stream: &mut net::TcpStream) -> Vec<u8> {
    stream
        .set_read_timeout(Some(time::Duration::from_secs(40)))
        .unwrap();
    let mut all = Vec::new();
    // A reset also counts as the end of the connection.
    let _ = stream.read_to_end(&mut all);
    all
}

/// Returns the number of connections that callers have to the first host.
fn open_connections(fleet: &local_fleet::Fleet) -> u64 {
    let host = fleet.host(0);
    host.counters
        .connections
        .load(std::sync::atomic::Ordering::Relaxed)
}

#[tokio::test(flavor = "multi_thread")]
async fn incomplete_header_closes_the_connection() {
    let (_world, fleet, host) = setup().await;
    let received = tokio::task::spawn_blocking(move || {
        let mut stream = net::TcpStream::connect(host).unwrap();
        stream
            .write_all(b"POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthor")
            .unwrap();
        read_all(&mut stream)
    });
    let answer = received.await.unwrap();
    assert!(answer.is_empty() || answer.starts_with(b"HTTP/1.1 4"));
    local_fleet::wait_until("the connection is gone", || open_connections(&fleet) == 0)
        .await
        .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_header_is_refused() {
    let (_world, fleet, host) = setup().await;
    let received = tokio::task::spawn_blocking(move || {
        let mut stream = net::TcpStream::connect(host).unwrap();
        let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\n");
        for _ in 0..10_000 {
            if stream
                .write_all(b"x-filler: 0123456789012345678901234567890\r\n")
                .is_err()
            {
                break;
            }
        }
        read_all(&mut stream)
    });
    let answer = received.await.unwrap();
    assert!(
        answer.is_empty() || answer.starts_with(b"HTTP/1.1 4"),
        "{answer:?}"
    );
    local_fleet::wait_until("the connection is gone", || open_connections(&fleet) == 0)
        .await
        .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_body_reaches_no_engine() {
    let (world, fleet, host) = setup().await;
    let received = tokio::task::spawn_blocking(move || {
        let mut stream = net::TcpStream::connect(host).unwrap();
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
             content-length: 1000\r\n\r\n{{\"model\":",
            world::COOP_KEY
        );
        stream.write_all(head.as_bytes()).unwrap();
        stream.shutdown(net::Shutdown::Write).unwrap();
        read_all(&mut stream)
    });
    let answer = String::from_utf8_lossy(&received.await.unwrap()).into_owned();
    assert!(
        answer.is_empty() || answer.contains("bad_request"),
        "{answer}"
    );
    local_fleet::wait_until("the connection is gone", || open_connections(&fleet) == 0)
        .await
        .unwrap();
    assert_eq!(
        world.recorder.records().len(),
        0,
        "no engine received the request"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_disconnects_unread_holds_no_resources() {
    let (world, fleet, host) = setup().await;
    let sent = tokio::task::spawn_blocking(move || {
        let mut stream = net::TcpStream::connect(host).unwrap();
        let body =
            json!({ "model": "summary", "prompt": "p", "max_tokens": 4_000, "stream": true });
        let body = body.to_string();
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
             content-length: {}\r\n\r\n{body}",
            world::COOP_KEY,
            body.len()
        );
        stream.write_all(head.as_bytes()).unwrap();
        stream
    });
    let stream = sent.await.unwrap();
    local_fleet::wait_until("the request runs", || {
        world.engines.iter().any(|engine| engine.slots_used() > 0)
    })
    .await
    .unwrap();
    drop(stream);
    local_fleet::wait_until("nothing is held", || {
        world.engines.iter().all(|engine| engine.slots_used() == 0) && open_connections(&fleet) == 0
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn peer_and_admin_calls_without_a_key_are_refused() {
    let (_world, fleet, _host) = setup().await;
    let peer = fleet.hosts[0].peer_addr.to_string();
    let wrong = walnuthaven_daemon::settings::Secret("another-key-of-length".into());
    let peers = walnuthaven_daemon::peer_client::Peers::new(&wrong);
    let probe = peers
        .probe(&peer, walnuthaven_wire::peer::ProbeRequest::default())
        .await;
    assert_eq!(probe.unwrap_err().code(), tonic::Code::Unauthenticated);
    let admin = fleet.hosts[0].admin_addr.to_string();
    let dump = reqwest::get(format!("http://{admin}/admin/dump"))
        .await
        .unwrap();
    assert_eq!(dump.status(), 401);
}
