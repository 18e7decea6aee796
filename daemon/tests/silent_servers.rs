//! Servers of plain services that send nothing for a moment and then go on: requests sent to them are
//! neither failed nor given up.

use std::fs;
use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for an answer or an expected state.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// How long a server is silent. It is longer than the time after which a host looks for another server, and
/// shorter than the routes' time limit.
const SILENCE: time::Duration = time::Duration::from_millis(1_500);
/// A silence during which a host looks for another server for two sends, one after the other.
const LONG_SILENCE: time::Duration = time::Duration::from_millis(2_300);
/// The time limit of the routes.
const TIME_LIMIT: time::Duration = time::Duration::from_millis(3_000);

/// An entry host with servers of the service `gate`.
struct Setup {
    store: sync::Arc<store::Store>,
    host: hosts::Host,
    a: sync::Arc<server::Server>,
    /// Registered only where a test does it.
    b: sync::Arc<server::Server>,
}

/// An answer and the time it took.
struct TimedAnswer {
    answer: caller::Answer,
    took: time::Duration,
}

/// Starts a host that knows only the server `a`.
async fn start_setup() -> Setup {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let a = server::Server::start("i-a", None).await;
    let b = server::Server::start("i-b", None).await;
    a.register(&store, "gate");
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    Setup { store, host, a, b }
}

/// Starts a host that knows both servers.
async fn start_setup_with_both() -> Setup {
    let setup = start_setup().await;
    setup.register_b().await;
    setup
}

impl Setup {
    /// Registers the server `b` and waits until the host knows it.
    async fn register_b(&self) {
        self.b.register(&self.store, "gate");
        tokio::time::sleep(time::Duration::from_millis(300)).await;
    }

    /// Pauses both servers.
    fn pause_both(&self, duration: time::Duration) {
        self.a.pause(duration);
        self.b.pause(duration);
    }

    /// Returns how often a request ran, on both servers together.
    fn runs_of(&self, id: &str) -> usize {
        self.a.runs_of(id) + self.b.runs_of(id)
    }

    fn active_runs(&self) -> usize {
        let active_runs =
            |server: &server::Server| server.active_runs.load(atomic::Ordering::Relaxed);
        active_runs(&self.a) + active_runs(&self.b)
    }

    async fn send(&self, path: &str, id: &str) -> TimedAnswer {
        let start = time::Instant::now();
        let bytes = caller::request("POST", path, id, "", "pass 7");
        let answer = caller::send(self.host.callers_addr, &bytes, TIMEOUT).await;
        let took = start.elapsed();
        TimedAnswer { answer, took }
    }

    /// Sends a request that may be repeated to `a`, then registers `b`.
    async fn send_then_register_b(&self, id: &str) -> TimedAnswer {
        let register = async {
            tokio::time::sleep(time::Duration::from_millis(200)).await;
            self.register_b().await;
        };
        tokio::join!(self.send("/plain/x", id), register).0
    }

    /// Asserts that a request was answered completely with a success.
    fn assert_served(&self, sent: &TimedAnswer, id: &str) {
        let log = self.host.log();
        let answer = &sent.answer;
        assert_eq!((answer.status, answer.complete), (200, true), "{id}: {log}");
        let own_body = format!("body of {id} from");
        assert!(answer.body.starts_with(&own_body), "{id}: {answer:?}");
    }
}

#[tokio::test]
async fn request_survives_the_silence_of_the_only_server() {
    let setup = start_setup().await;
    for (path, id) in [("/once/x", "r1"), ("/plain/x", "r2")] {
        setup.a.pause(SILENCE);
        let sent = setup.send(path, id).await;
        setup.assert_served(&sent, id);
        assert_eq!(setup.runs_of(id), 1, "{}", setup.host.log());
    }
}

#[tokio::test]
async fn request_survives_the_silence_of_all_servers() {
    let setup = start_setup_with_both().await;
    for (path, id, max_runs) in [("/once/x", "r1", 1), ("/plain/x", "r2", 2)] {
        setup.pause_both(LONG_SILENCE);
        let sent = setup.send(path, id).await;
        setup.assert_served(&sent, id);
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        assert!(setup.runs_of(id) <= max_runs, "{}", setup.host.log());
    }
}

#[tokio::test]
async fn request_survives_silence_while_the_other_server_refuses() {
    let setup = start_setup().await;
    setup.a.pause(SILENCE);
    setup.b.set_fault(server::Fault::Shed);
    let sent = setup.send_then_register_b("r1").await;
    setup.assert_served(&sent, "r1");
    assert_eq!(setup.b.received().len(), 1, "{}", setup.host.log());
    assert_eq!(setup.runs_of("r1"), 1, "{}", setup.host.log());
}

#[tokio::test]
async fn request_survives_silence_while_the_other_server_breaks_off() {
    let setup = start_setup().await;
    setup.a.pause(SILENCE);
    setup.b.set_fault(server::Fault::CloseUnanswered);
    let sent = setup.send_then_register_b("r1").await;
    setup.assert_served(&sent, "r1");
    assert_eq!(setup.b.runs_of("r1"), 1, "{}", setup.host.log());
}

#[tokio::test]
async fn request_survives_silence_if_no_other_attempt_is_allowed() {
    let setup = start_setup_with_both().await;
    let mut configuration = hosts::configuration(4);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["max_attempts"] = 1.into();
    }
    setup.store.put("config", "main", configuration);
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    setup.pause_both(SILENCE);
    let sent = setup.send("/plain/x", "r1").await;
    setup.assert_served(&sent, "r1");
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    assert_eq!(setup.runs_of("r1"), 1, "{}", setup.host.log());
}

#[tokio::test]
async fn request_survives_silence_if_the_retry_budget_is_used_up() {
    let mut setup = start_setup_with_both().await;
    let settings = fs::read_to_string(setup.host.settings_path()).unwrap();
    let no_retries = settings.replace("ratio = 0.2\nslack = 50", "ratio = 0\nslack = 0");
    assert_ne!(no_retries, settings);
    fs::write(setup.host.settings_path(), no_retries).unwrap();
    setup.host.restart();
    setup.host.wait_ready().await;
    setup.pause_both(SILENCE);
    let sent = setup.send("/plain/x", "r1").await;
    setup.assert_served(&sent, "r1");
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    assert_eq!(setup.runs_of("r1"), 1, "{}", setup.host.log());
}

#[tokio::test]
async fn server_that_appears_during_a_silence_is_used() {
    let setup = start_setup().await;
    setup.a.pause(TIMEOUT);
    let register = async {
        tokio::time::sleep(SILENCE).await;
        setup.register_b().await;
    };
    let (sent, ()) = tokio::join!(setup.send("/plain/x", "r1"), register);
    setup.assert_served(&sent, "r1");
    assert_eq!(setup.b.runs_of("r1"), 1, "{}", setup.host.log());
}

#[tokio::test]
async fn request_leaves_a_server_that_stays_silent() {
    let setup = start_setup().await;
    setup.a.pause(TIMEOUT);
    let sent = setup.send_then_register_b("r1").await;
    setup.assert_served(&sent, "r1");
    assert!(sent.took < LONG_SILENCE, "{:?}", sent.took);
    assert_eq!(setup.b.runs_of("r1"), 1, "{}", setup.host.log());
}

#[tokio::test]
async fn error_answer_of_a_server_that_was_silent_is_relayed() {
    let setup = start_setup().await;
    setup.a.pause(SILENCE);
    setup.a.set_fault(server::Fault::Status500);
    let sent = setup.send("/plain/x", "r1").await;
    assert_eq!(sent.answer.status, 500, "{}", setup.host.log());
    assert_eq!(sent.answer.header("x-server-stamp"), Some("s-r1"));
}

#[tokio::test]
async fn error_answer_is_not_held_back_by_a_silent_server() {
    let setup = start_setup().await;
    setup.a.pause(TIMEOUT);
    setup.b.set_fault(server::Fault::Status500);
    let sent = setup.send_then_register_b("r1").await;
    assert_eq!(sent.answer.status, 500, "{}", setup.host.log());
    assert!(sent.took < LONG_SILENCE, "{:?}", sent.took);
}

#[tokio::test]
async fn request_that_a_silent_server_may_have_run_is_not_refused() {
    let setup = start_setup().await;
    setup.a.set_fault(server::Fault::NeverAnswer);
    setup.b.set_fault(server::Fault::Shed);
    let sent = setup.send_then_register_b("r1").await;
    assert_eq!(sent.answer.status, 504, "{}", setup.host.log());
    assert_eq!(sent.answer.header("retry-after"), None);
    assert_eq!(setup.b.received().len(), 1, "{}", setup.host.log());
}

#[tokio::test]
async fn servers_that_never_answer_time_out_at_the_time_limit() {
    let setup = start_setup_with_both().await;
    setup.a.set_fault(server::Fault::NeverAnswer);
    setup.b.set_fault(server::Fault::NeverAnswer);
    for (path, id, runs) in [("/once/x", "r1", 1), ("/plain/x", "r2", 2)] {
        let sent = setup.send(path, id).await;
        assert_eq!(sent.answer.status, 504, "{path}: {}", setup.host.log());
        let too_soon = TIME_LIMIT - time::Duration::from_millis(100);
        assert!(sent.took >= too_soon, "{path}: {:?}", sent.took);
        assert_eq!(setup.runs_of(id), runs, "{path}: {}", setup.host.log());
    }
}

#[tokio::test]
async fn silent_servers_take_no_more_sends_than_attempts() {
    let setup = start_setup_with_both().await;
    let third = server::Server::start("i-c", None).await;
    third.register(&setup.store, "gate");
    for server in [&setup.a, &setup.b, &third] {
        server.set_fault(server::Fault::NeverAnswer);
    }
    // All servers count as silent long before the time limit.
    let mut configuration = hosts::configuration(4);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["target_latency_ms"] = 200.into();
    }
    setup.store.put("config", "main", configuration);
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let sent = setup.send("/plain/x", "r1").await;
    assert_eq!(sent.answer.status, 504, "{}", setup.host.log());
    let runs = setup.runs_of("r1") + third.runs_of("r1");
    assert_eq!(runs, 2, "{}", setup.host.log());
}

#[tokio::test]
async fn crash_of_a_silent_server_is_found_while_its_request_waits() {
    let setup = start_setup().await;
    setup.a.set_fault(server::Fault::FallSilentOnPoison);
    let bytes = caller::request("POST", "/plain/x", "r1", "", "poison");
    let crash_found = async {
        let start = time::Instant::now();
        while !setup.host.log().contains("content-crashed-server") {
            assert!(start.elapsed() < TIMEOUT, "{}", setup.host.log());
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        start.elapsed()
    };
    let sending = caller::send(setup.host.callers_addr, &bytes, TIMEOUT);
    let (answer, found_after) = tokio::join!(sending, crash_found);
    assert!(answer.status >= 500, "{answer:?}");
    assert!(found_after < LONG_SILENCE, "{found_after:?}");
}

#[tokio::test]
async fn all_sends_end_when_the_caller_leaves() {
    let setup = start_setup_with_both().await;
    setup.a.set_fault(server::Fault::NeverAnswer);
    setup.b.set_fault(server::Fault::NeverAnswer);
    let bytes = caller::request("POST", "/plain/x", "r1", "", "pass 7");
    caller::send(setup.host.callers_addr, &bytes, SILENCE).await;
    let left_at = time::Instant::now();
    while setup.active_runs() > 0 {
        let waited = left_at.elapsed();
        assert!(waited < time::Duration::from_millis(500), "still at work");
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    assert_eq!(setup.runs_of("r1"), 2, "{}", setup.host.log());
}
