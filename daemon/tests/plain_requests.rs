//! Requests to plain services (not model engines) through an entry host, with servers that fail in many
//! ways.

use std::sync;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for an answer or an expected state.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// An entry host with two servers of the service `gate`.
struct Setup {
    host: hosts::Host,
    a: sync::Arc<server::Server>,
    b: sync::Arc<server::Server>,
}

async fn start_setup() -> Setup {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let a = server::Server::start("i-a", None).await;
    let b = server::Server::start("i-b", None).await;
    a.register(&store, "gate");
    b.register(&store, "gate");
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    Setup { host, a, b }
}

impl Setup {
    /// Sets the fault of both servers.
    fn set_fault(&self, fault: server::Fault) {
        self.a.set_fault(fault);
        self.b.set_fault(fault);
    }

    /// Returns how often a request ran, on both servers together.
    fn runs_of(&self, id: &str) -> usize {
        self.a.runs_of(id) + self.b.runs_of(id)
    }

    async fn send(&self, path: &str, id: &str, headers: &str) -> caller::Answer {
        let bytes = caller::request("POST", path, id, headers, "pass 7");
        caller::send(self.host.callers_addr, &bytes, TIMEOUT).await
    }
}

#[tokio::test]
async fn answer_is_complete_and_signed() {
    let setup = start_setup().await;
    let answer = setup
        .send(
            "/once/x?y=1",
            "r1",
            "X-Request-Deadline: 2000\r\nX-Own: 5\r\n",
        )
        .await;
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.header("x-server-stamp"), Some("s-r1"));
    assert!(answer.body.starts_with("body of r1 from"), "{answer:?}");
    let received = [setup.a.received(), setup.b.received()].concat();
    assert_eq!(received[0].request_line, "POST /once/x?y=1 HTTP/1.1");
    assert_eq!(received[0].body, b"pass 7");
    assert_eq!(received[0].headers["x-own"], "5");
    let deadline: u64 = received[0].headers["x-request-deadline"].parse().unwrap();
    assert!((1_500..=2_000).contains(&deadline), "{deadline}");
}

#[tokio::test]
async fn router_headers_from_callers_are_not_forwarded() {
    let setup = start_setup().await;
    let forged = "X-Kv-Source: 1.2.3.4:5/h\r\nX-Kv-Hold: h\r\nX-Stage: prefill\r\n\
                  X-Expect-Instance: i-z\r\nX-Kv-Backup: 1.2.3.4:5\r\nX-Pin-Duration: 9\r\n\
                  X-Request-Priority: 0\r\nKv-Fetch: 1.2.3.4:5\r\nConnection: x-secret\r\n\
                  X-Secret: 1\r\n";
    let answer = setup.send("/once/x", "r1", forged).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let received = [setup.a.received(), setup.b.received()].concat();
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
        assert!(
            !received[0].headers.contains_key(name),
            "{name} was forwarded"
        );
    }
    assert!(["i-a", "i-b"].contains(&&*received[0].headers["x-expect-instance"]));
}

#[tokio::test]
async fn unrepeatable_request_is_not_retried_once_it_may_have_run() {
    let setup = start_setup().await;
    let faults = [
        (server::Fault::CloseUnanswered, 502),
        (server::Fault::TruncateAnswer, 502),
        (server::Fault::Status500, 500),
        (server::Fault::Status503, 502),
        (server::Fault::UnsignedAnswer, 502),
    ];
    for (fault, status) in faults {
        setup.set_fault(fault);
        let id = format!("{fault:?}");
        let answer = setup.send("/once/x", &id, "").await;
        assert_eq!(answer.status, status, "{fault:?}: {answer:?}");
        assert_eq!(setup.runs_of(&id), 1, "{fault:?}");
        assert_eq!(
            answer.header("retry-after"),
            None,
            "{fault:?}: the answer must not invite a retry"
        );
    }
}

#[tokio::test]
async fn refused_request_did_not_run_and_gets_retry_after() {
    let setup = start_setup().await;
    setup.set_fault(server::Fault::Shed);
    let answer = setup.send("/once/x", "r1", "").await;
    assert_eq!(answer.status, 503);
    assert_eq!(setup.runs_of("r1"), 0);
    let after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!(after > 0.0 && after < 2.0, "{after}");
}

#[tokio::test]
async fn repeatable_request_is_retried_within_max_attempts() {
    let setup = start_setup().await;
    for fault in [
        server::Fault::CloseUnanswered,
        server::Fault::TruncateAnswer,
        server::Fault::Status500,
    ] {
        setup.a.set_fault(fault);
        setup.b.set_fault(server::Fault::None);
        for i in 0..4 {
            let id = format!("{fault:?}-{i}");
            let answer = setup.send("/plain/x", &id, "").await;
            assert_eq!(answer.status, 200, "{id}: {answer:?}");
        }
        setup.set_fault(fault);
        let id = format!("{fault:?}-both");
        let answer = setup.send("/plain/x", &id, "").await;
        assert!(answer.status >= 500, "{answer:?}");
        assert_eq!(setup.runs_of(&id), 2, "the route allows two attempts");
    }
}

#[tokio::test]
async fn duplicate_answer_reaches_no_other_request() {
    let setup = start_setup().await;
    setup.set_fault(server::Fault::DuplicateAnswer);
    for i in 0..30 {
        let path = if i % 2 == 0 { "/plain/x" } else { "/once/x" };
        let id = format!("r{i}");
        let answer = setup.send(path, &id, "").await;
        let is_own_answer =
            answer.status == 200 && answer.body.starts_with(&format!("body of {id} "));
        assert!(is_own_answer || answer.status == 502, "{id}: {answer:?}");
        assert!(path == "/plain/x" || setup.runs_of(&id) <= 1);
    }
}

/// The server runs a request after it wrote an earlier refusal once more.
#[tokio::test]
async fn repeated_refusal_is_not_believed() {
    for fault in [
        server::Fault::RepeatRefusal,
        server::Fault::RepeatNamelessRefusal,
    ] {
        let setup = start_setup().await;
        setup.set_fault(fault);
        for number in 0..6 {
            let id = format!("r{number}");
            let answer = setup.send("/once/x", &id, "").await;
            let runs = setup.runs_of(&id);
            assert!(runs <= 1, "{fault:?}: {id} ran {runs} times");
            let refused = [429, 503].contains(&answer.status);
            assert!(
                !refused || runs == 0,
                "{fault:?}: {id} ran and was refused: {}",
                setup.host.log()
            );
        }
    }
}

#[tokio::test]
async fn answer_delimited_by_connection_close_is_forwarded() {
    let setup = start_setup().await;
    setup.set_fault(server::Fault::NoContentLength);
    let answer = setup.send("/once/x", "r1", "").await;
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert!(answer.body.starts_with("body of r1"), "{answer:?}");
}

/// The connection ends as that of a whole answer does.
#[tokio::test]
async fn answer_without_length_that_a_crash_cuts_is_not_complete() {
    for (path, id) in [("/once/x", "r1"), ("/plain/x", "r2")] {
        let setup = start_setup().await;
        setup.set_fault(server::Fault::CrashWithinUnframedAnswer);
        let sent = setup.send(path, id, "");
        let cut = async {
            let start = time::Instant::now();
            while setup.runs_of(id) == 0 {
                assert!(start.elapsed() < TIMEOUT, "{id} never ran");
                tokio::time::sleep(time::Duration::from_millis(1)).await;
            }
            let idle = match setup.a.runs_of(id) {
                0 => &setup.a,
                _ => &setup.b,
            };
            idle.set_fault(server::Fault::None);
        };
        let (answer, ()) = tokio::join!(sent, cut);
        let whole = answer.body.starts_with(&format!("body of {id} from i-"));
        match path {
            "/once/x" => assert_eq!(answer.status, 502, "{answer:?}"),
            _ => assert!(answer.status == 200 && whole, "{answer:?}"),
        }
    }
}

#[tokio::test]
async fn silent_server_times_out_at_the_deadline() {
    let setup = start_setup().await;
    setup.set_fault(server::Fault::NeverAnswer);
    let start = time::Instant::now();
    let answer = setup
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
async fn caller_disconnect_cancels_its_request() {
    let setup = start_setup().await;
    setup.set_fault(server::Fault::NeverAnswer);
    let bytes = caller::request("POST", "/once/x", "r1", "", "b");
    let short_timeout = time::Duration::from_millis(300);
    caller::send(setup.host.callers_addr, &bytes, short_timeout).await;
    let start = time::Instant::now();
    let active_runs =
        |server: &server::Server| server.active_runs.load(sync::atomic::Ordering::Relaxed);
    while active_runs(&setup.a) + active_runs(&setup.b) > 0 {
        assert!(
            start.elapsed() < TIMEOUT,
            "a server still works on the request"
        );
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    assert_eq!(setup.runs_of("r1"), 1);
}

#[tokio::test]
async fn malformed_and_oversized_requests_are_rejected() {
    let setup = start_setup().await;
    let answer = setup
        .send("/once/x", "r1", "X-Request-Deadline: soon\r\n")
        .await;
    assert_eq!(answer.status, 400);
    assert!(answer.body.contains("X-Request-Deadline") && answer.body.contains("soon"));
    assert_eq!(setup.send("/none/x", "r2", "").await.status, 404);
    let body = "x".repeat(70_000);
    let bytes = caller::request("POST", "/once/x", "r3", "", &body);
    assert_eq!(
        caller::send(setup.host.callers_addr, &bytes, TIMEOUT)
            .await
            .status,
        413
    );
    let smuggled = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r4\r\n\
                    Content-Length: 4\r\nContent-Length: 40\r\n\r\nabcd";
    assert_eq!(
        caller::send(setup.host.callers_addr, smuggled, TIMEOUT)
            .await
            .status,
        400
    );
    assert_eq!(setup.runs_of("r3") + setup.runs_of("r4"), 0);
}

#[tokio::test]
async fn operators_can_dump_state_and_explain_a_request() {
    let setup = start_setup().await;
    assert_eq!(setup.send("/once/x", "r1", "").await.status, 200);
    let get_json = async |path: &str| {
        let bytes = caller::request("GET", path, "q", "", "");
        let answer = caller::send(setup.host.metrics_addr, &bytes, TIMEOUT).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        serde_json::from_str::<serde_json::Value>(&answer.body).unwrap()
    };
    let explained = get_json("/admin/requests/r1").await;
    let steps = explained["steps"].as_array().unwrap();
    let last = steps.last().unwrap()["what"].as_str().unwrap();
    assert!(last.contains("\"event\":\"answered\""), "{explained}");
    assert!(last.contains("\"status\":200"), "{explained}");
    let unknown = get_json("/admin/requests/r2").await;
    assert_eq!(unknown["steps"].as_array().unwrap().len(), 0);
    let dump = get_json("/admin/dump").await;
    assert_eq!(
        (&dump["host"]["name"], &dump["configuration"]),
        (&"h1".into(), &3.into())
    );
    assert_eq!(dump["servers"].as_array().unwrap().len(), 2, "{dump}");
    assert_eq!(dump["takes_callers"], true);
}
