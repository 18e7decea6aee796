//! Plain requests through an entry host, with servers that fail in every way.

use std::sync;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
const WITHIN: time::Duration = time::Duration::from_secs(5);

struct Site {
    host: hosts::Host,
    a: sync::Arc<server::Server>,
    b: sync::Arc<server::Server>,
}

async fn site() -> Site {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let a = server::Server::start("i-a", None).await;
    let b = server::Server::start("i-b", None).await;
    a.register(&store, "gate");
    b.register(&store, "gate");
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    Site { host, a, b }
}

impl Site {
    fn set_fault(&self, fault: server::Fault) {
        self.a.set_fault(fault);
        self.b.set_fault(fault);
    }

    fn runs_of(&self, id: &str) -> usize {
        self.a.runs_of(id) + self.b.runs_of(id)
    }

    async fn send(&self, path: &str, id: &str, headers: &str) -> caller::Answer {
        let bytes = caller::request("POST", path, id, headers, "pass 7");
        caller::send(self.host.callers_addr, &bytes, WITHIN).await
    }
}

#[tokio::test]
async fn the_servers_answer_comes_whole_with_its_signature() {
    let site = site().await;
    let answer = site
        .send(
            "/once/x?y=1",
            "r1",
            "X-Request-Deadline: 2000\r\nX-Own: 5\r\n",
        )
        .await;
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.header("x-server-stamp"), Some("s-r1"));
    assert!(answer.body.starts_with("body of r1 from"), "{answer:?}");
    let seen = [site.a.received(), site.b.received()].concat();
    assert_eq!(seen[0].request_line, "POST /once/x?y=1 HTTP/1.1");
    assert_eq!(seen[0].body, b"pass 7");
    assert_eq!(seen[0].headers["x-own"], "5");
    let deadline: u64 = seen[0].headers["x-request-deadline"].parse().unwrap();
    assert!((1_500..=2_000).contains(&deadline), "{deadline}");
}

#[tokio::test]
async fn headers_of_the_router_never_come_from_callers() {
    let site = site().await;
    let forged = "X-Kv-Source: 1.2.3.4:5/h\r\nX-Kv-Hold: h\r\nX-Stage: prefill\r\n\
                  X-Expect-Instance: i-z\r\nX-Kv-Backup: 1.2.3.4:5\r\nX-Pin-Duration: 9\r\n\
                  X-Request-Priority: 0\r\nKv-Fetch: 1.2.3.4:5\r\nConnection: x-secret\r\n\
                  X-Secret: 1\r\n";
    let answer = site.send("/once/x", "r1", forged).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let seen = [site.a.received(), site.b.received()].concat();
    let forged = [
        "x-kv-source",
        "x-kv-hold",
        "x-stage",
        "x-kv-backup",
        "x-pin-duration",
    ];
    for name in forged
        .into_iter()
        .chain(["x-request-priority", "kv-fetch", "x-secret"])
    {
        assert!(!seen[0].headers.contains_key(name), "{name} was passed on");
    }
    assert!(["i-a", "i-b"].contains(&&*seen[0].headers["x-expect-instance"]));
}

#[tokio::test]
async fn what_may_run_once_is_never_sent_again_after_it_may_have_run() {
    let site = site().await;
    let faults = [
        (server::Fault::CloseUnanswered, 502),
        (server::Fault::TruncateAnswer, 502),
        (server::Fault::Status500, 500),
        (server::Fault::Status503, 502),
        (server::Fault::UnsignedAnswer, 502),
    ];
    for (fault, status) in faults {
        site.set_fault(fault);
        let id = format!("{fault:?}");
        let answer = site.send("/once/x", &id, "").await;
        assert_eq!(answer.status, status, "{fault:?}: {answer:?}");
        assert_eq!(site.runs_of(&id), 1, "{fault:?}");
        assert_eq!(
            answer.header("retry-after"),
            None,
            "{fault:?} promises nothing"
        );
    }
}

#[tokio::test]
async fn a_refusal_is_true_and_tells_when_to_come_back() {
    let site = site().await;
    site.set_fault(server::Fault::Shed);
    let answer = site.send("/once/x", "r1", "").await;
    assert_eq!(answer.status, 503);
    assert_eq!(site.runs_of("r1"), 0);
    let after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!(after > 0.0 && after < 2.0, "{after}");
}

#[tokio::test]
async fn a_repeatable_request_goes_to_another_server_and_no_further_than_its_route_allows() {
    let site = site().await;
    for fault in [
        server::Fault::CloseUnanswered,
        server::Fault::TruncateAnswer,
        server::Fault::Status500,
    ] {
        site.a.set_fault(fault);
        site.b.set_fault(server::Fault::None);
        for i in 0..4 {
            let id = format!("{fault:?}-{i}");
            let answer = site.send("/plain/x", &id, "").await;
            assert_eq!(answer.status, 200, "{id}: {answer:?}");
        }
        site.set_fault(fault);
        let id = format!("{fault:?}-both");
        let answer = site.send("/plain/x", &id, "").await;
        assert!(answer.status >= 500, "{answer:?}");
        assert_eq!(site.runs_of(&id), 2, "the route allows two servers");
    }
}

#[tokio::test]
async fn a_second_answer_reaches_nobody() {
    let site = site().await;
    site.set_fault(server::Fault::DuplicateAnswer);
    for i in 0..30 {
        let path = if i % 2 == 0 { "/plain/x" } else { "/once/x" };
        let id = format!("r{i}");
        let answer = site.send(path, &id, "").await;
        let whole = answer.status == 200 && answer.body.starts_with(&format!("body of {id} "));
        assert!(whole || answer.status == 502, "{id}: {answer:?}");
        assert!(path == "/plain/x" || site.runs_of(&id) <= 1);
    }
}

#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_passed_on() {
    let site = site().await;
    site.set_fault(server::Fault::NoContentLength);
    let answer = site.send("/once/x", "r1", "").await;
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert!(answer.body.starts_with("body of r1"), "{answer:?}");
}

#[tokio::test]
async fn a_silent_server_ends_a_request_at_its_deadline_not_later() {
    let site = site().await;
    site.set_fault(server::Fault::NeverAnswer);
    let start = time::Instant::now();
    let answer = site
        .send("/once/x", "r1", "X-Request-Deadline: 600\r\n")
        .await;
    assert_eq!(answer.status, 504, "{answer:?}");
    let took = start.elapsed();
    assert!(took >= time::Duration::from_millis(500), "{took:?}");
    assert!(
        took < time::Duration::from_millis(600) + time::Duration::from_secs(2),
        "{took:?}"
    );
}

#[tokio::test]
async fn a_caller_that_leaves_takes_its_request_along() {
    let site = site().await;
    site.set_fault(server::Fault::NeverAnswer);
    let bytes = caller::request("POST", "/once/x", "r1", "", "b");
    let short = time::Duration::from_millis(300);
    caller::send(site.host.callers_addr, &bytes, short).await;
    let start = time::Instant::now();
    let working =
        |server: &server::Server| server.active_runs.load(sync::atomic::Ordering::Relaxed);
    while working(&site.a) + working(&site.b) > 0 {
        assert!(start.elapsed() < WITHIN, "the server still works");
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    assert_eq!(site.runs_of("r1"), 1);
}

#[tokio::test]
async fn malformed_and_oversized_requests_are_refused_with_their_fault() {
    let site = site().await;
    let answer = site
        .send("/once/x", "r1", "X-Request-Deadline: soon\r\n")
        .await;
    assert_eq!(answer.status, 400);
    assert!(answer.body.contains("X-Request-Deadline") && answer.body.contains("soon"));
    assert_eq!(site.send("/none/x", "r2", "").await.status, 404);
    let body = "x".repeat(70_000);
    let bytes = caller::request("POST", "/once/x", "r3", "", &body);
    assert_eq!(
        caller::send(site.host.callers_addr, &bytes, WITHIN)
            .await
            .status,
        413
    );
    let smuggled = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r4\r\n\
                    Content-Length: 4\r\nContent-Length: 40\r\n\r\nabcd";
    assert_eq!(
        caller::send(site.host.callers_addr, smuggled, WITHIN)
            .await
            .status,
        400
    );
    assert_eq!(site.runs_of("r3") + site.runs_of("r4"), 0);
}

#[tokio::test]
async fn operators_see_the_state_and_what_became_of_a_request() {
    let site = site().await;
    assert_eq!(site.send("/once/x", "r1", "").await.status, 200);
    let ask = async |path: &str| {
        let bytes = caller::request("GET", path, "q", "", "");
        let answer = caller::send(site.host.metrics_addr, &bytes, WITHIN).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        serde_json::from_str::<serde_json::Value>(&answer.body).unwrap()
    };
    let explained = ask("/admin/requests/r1").await;
    let steps = explained["steps"].as_array().unwrap();
    let last = steps.last().unwrap()["what"].as_str().unwrap();
    assert!(last.contains("\"event\":\"answered\""), "{explained}");
    assert!(last.contains("\"status\":200"), "{explained}");
    let unknown = ask("/admin/requests/r2").await;
    assert_eq!(unknown["steps"].as_array().unwrap().len(), 0);
    let dump = ask("/admin/dump").await;
    assert_eq!(
        (&dump["host"]["name"], &dump["configuration"]),
        (&"h1".into(), &3.into())
    );
    assert_eq!(dump["servers"].as_array().unwrap().len(), 2, "{dump}");
    assert_eq!(dump["takes_callers"], true);
}
