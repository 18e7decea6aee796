//! Changes of the configuration and of the settings beside requests: a request that a host has begun to
//! receive is answered or refused under the limits under which it came.

use std::sync;
use std::sync::atomic;
use std::time;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for an answer or an expected state.
const TIMEOUT: time::Duration = time::Duration::from_secs(12);
/// Time that the plain server takes for an answer.
const ANSWER_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Number of events in a stream, which lasts about as long.
const EVENTS: u64 = 50;

/// Returns the configuration of which the tests change a part.
fn base(version: u64) -> Value {
    let mut configuration = hosts::configuration(version);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = 8_000.into();
        route["target_latency_ms"] = 3_000.into();
    }
    let services = configuration["services"].as_array_mut().unwrap();
    services.push(
        json!({"name": "spare", "health_path": "/health", "max_connections": 90,
                         "protocol": "h1", "tls": false}),
    );
    configuration
}

/// Sets a field of all routes.
fn set_in_routes(configuration: &mut Value, field: &str, value: impl Into<Value>) {
    let value = value.into();
    for route in configuration["routes"].as_array_mut().unwrap() {
        route[field] = value.clone();
    }
}

/// An entry host with model engines and a server of the plain service `gate`.
struct Setup {
    engines: engine_setup::EngineSetup,
    gate: sync::Arc<server::Server>,
}

impl Setup {
    /// Starts the servers and the host, and puts version 10 of the configuration in force.
    async fn start(configuration: Value) -> Self {
        let engines = engine_setup::EngineSetup::start(BINARY).await;
        for engine in &engines.decode_engines {
            engine
                .events_per_stream
                .store(EVENTS, atomic::Ordering::Relaxed);
            engine.delay_ms.store(30, atomic::Ordering::Relaxed);
        }
        let gate = server::Server::start("i-a", None).await;
        gate.register(&engines.store, "gate");
        let setup = Self { engines, gate };
        setup.put_in_force(configuration).await;
        let text = "\"event\":\"server\",\"server\":\"i-a\",\"change\":\"joined\"";
        setup.wait_for_log(text).await;
        setup
    }

    /// Writes a configuration to the store and waits until the host has put it in force.
    async fn put_in_force(&self, configuration: Value) {
        let version = configuration["version"].clone();
        self.engines.store.put("config", "main", configuration);
        self.wait_for_log(&format!(
            "\"event\":\"configuration\",\"version\":{version},"
        ))
        .await;
    }

    async fn wait_for_log(&self, text: &str) {
        let start = time::Instant::now();
        while !self.log().contains(text) {
            assert!(start.elapsed() < TIMEOUT, "no {text}: {}", self.log());
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    }

    fn log(&self) -> String {
        self.engines.host.log()
    }

    async fn connect(&self) -> tokio::net::TcpStream {
        let addr = self.engines.host.callers_addr;
        tokio::net::TcpStream::connect(addr).await.unwrap()
    }

    /// Returns how often a request ran, on all servers together.
    fn runs_of(&self, id: &str) -> usize {
        self.gate.runs_of(id) + self.engines.runs_of(id)
    }

    /// Waits until a request runs.
    async fn wait_for_run(&self, id: &str) {
        let start = time::Instant::now();
        while self.runs_of(id) == 0 {
            assert!(start.elapsed() < TIMEOUT, "{id} never ran: {}", self.log());
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    }

    /// Sends a request on a new connection and waits until it runs. Returns the connection.
    async fn start_request(&self, route: &str, id: &str) -> tokio::net::TcpStream {
        let mut stream = self.connect().await;
        let bytes = request(route, id);
        stream.write_all(bytes.as_bytes()).await.unwrap();
        self.wait_for_run(id).await;
        stream
    }

    /// Sends a request on an open connection and asserts that it is answered.
    async fn assert_answered(&self, stream: &mut tokio::net::TcpStream, bytes: &str, what: &str) {
        // A connection that the host has closed shows below as a missing answer.
        let _ = stream.write_all(bytes.as_bytes()).await;
        let answer = caller::read(stream, TIMEOUT).await;
        let got = (answer.status, answer.complete);
        assert_eq!(got, (200, true), "{what}: {answer:?}: {}", self.log());
    }
}

/// Formats a request for the route `/{route}/`.
fn request(route: &str, id: &str) -> String {
    let path = format!("/{route}/x");
    let body = "a prompt ".repeat(40);
    caller::request("POST", &path, id, engine_setup::PROMPT, &body)
}

/// Asserts that whole requests are answered although the configuration changes: requests that wait for a
/// server, those whose streams run, and those whose bodies are still being sent.
async fn assert_requests_survive(change: impl FnOnce(&mut Value)) {
    let setup = Setup::start(base(10)).await;
    let delay_ms = ANSWER_TIME.as_millis() as u64;
    setup
        .gate
        .delay_ms
        .store(delay_ms, atomic::Ordering::Relaxed);
    let routes = ["plain", "once", "brief", "single"];
    let mut running = Vec::new();
    for route in routes {
        let stream = setup.start_request(route, route).await;
        running.push((stream, route.to_owned()));
    }
    let mut half_sent = Vec::new();
    for route in routes {
        let id = format!("half-{route}");
        let bytes = request(route, &id);
        let mut stream = setup.connect().await;
        let (first, rest) = bytes.split_at(bytes.len() - 100);
        stream.write_all(first.as_bytes()).await.unwrap();
        half_sent.push((stream, id, rest.to_owned()));
    }
    // The host reads the heads before the change.
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    let mut configuration = base(11);
    change(&mut configuration);
    setup.put_in_force(configuration).await;
    for (mut stream, id, rest) in half_sent {
        stream.write_all(rest.as_bytes()).await.unwrap();
        running.push((stream, id));
    }
    let mut tasks = tokio::task::JoinSet::new();
    for (mut stream, id) in running {
        tasks.spawn(async move { (id, caller::read(&mut stream, TIMEOUT).await) });
    }
    for (id, answer) in tasks.join_all().await {
        let got = (answer.status, answer.complete);
        assert_eq!(got, (200, true), "{id}: {answer:?}: {}", setup.log());
        if id.ends_with("brief") || id.ends_with("single") {
            assert_eq!(answer.body, engine_setup::complete_stream(EVENTS), "{id}");
        }
        assert_eq!(setup.runs_of(&id), 1, "{id}: {}", setup.log());
    }
}

#[tokio::test]
async fn requests_survive_removal_of_their_routes() {
    assert_requests_survive(|configuration| configuration["routes"] = json!([])).await;
}

#[tokio::test]
async fn requests_survive_a_move_of_their_routes() {
    assert_requests_survive(|c| set_in_routes(c, "service", "spare")).await;
}

#[tokio::test]
async fn requests_survive_a_split_of_their_routes() {
    assert_requests_survive(|configuration| {
        let split = json!([{"service": "spare", "weight": 1}]);
        set_in_routes(configuration, "service", Value::Null);
        set_in_routes(configuration, "traffic_split", split);
    })
    .await;
}

#[tokio::test]
async fn requests_survive_removal_of_their_services() {
    assert_requests_survive(|configuration| {
        set_in_routes(configuration, "service", "spare");
        configuration["services"] = json!([{"name": "spare", "health_path": "/health"}]);
    })
    .await;
}

#[tokio::test]
async fn requests_survive_fewer_attempts_and_shorter_limits() {
    assert_requests_survive(|configuration| {
        set_in_routes(configuration, "max_attempts", 1);
        set_in_routes(configuration, "timeout_ms", 300);
        set_in_routes(configuration, "target_latency_ms", 50);
        set_in_routes(configuration, "gap_aim_ms", 1);
    })
    .await;
}

#[tokio::test]
async fn requests_survive_longer_limits() {
    assert_requests_survive(|configuration| {
        set_in_routes(configuration, "timeout_ms", 60_000);
        set_in_routes(configuration, "target_latency_ms", 9_000);
        set_in_routes(configuration, "gap_aim_ms", 900);
    })
    .await;
}

#[tokio::test]
async fn requests_survive_other_kinds_of_their_routes() {
    assert_requests_survive(|configuration| {
        let routes = configuration["routes"].as_array_mut().unwrap();
        for route in routes {
            match route["kind"].as_str() {
                Some("idempotent") => route["kind"] = "non_idempotent".into(),
                Some("non_idempotent") => route["kind"] = "idempotent".into(),
                _ => route["resumable"] = json!(route["name"] != "brief"),
            }
        }
    })
    .await;
}

#[tokio::test]
async fn requests_survive_stricter_limits_on_callers() {
    assert_requests_survive(|configuration| {
        configuration["limits"] = json!({"max_header_bytes": 64, "max_body_bytes": 16,
                                         "header_timeout_ms": 100, "idle_timeout_ms": 100});
    })
    .await;
}

#[tokio::test]
async fn waiting_request_survives_removal_of_its_service() {
    let mut configuration = base(10);
    configuration["services"][1]["engine"]["slots"] = 1.into();
    let setup = Setup::start(configuration).await;
    let mut running = Vec::new();
    for id in ["r1", "r2"] {
        running.push((setup.start_request("single", id).await, id));
    }
    let mut stream = setup.connect().await;
    let bytes = request("single", "r3");
    stream.write_all(bytes.as_bytes()).await.unwrap();
    setup
        .wait_for_log("\"event\":\"waits\",\"id\":\"r3\"")
        .await;
    running.push((stream, "r3"));
    let mut configuration = base(11);
    set_in_routes(&mut configuration, "service", "spare");
    configuration["services"] = json!([{"name": "spare", "health_path": "/health"}]);
    setup.put_in_force(configuration).await;
    for (mut stream, id) in running {
        let answer = caller::read(&mut stream, TIMEOUT).await;
        let got = (answer.status, answer.complete);
        assert_eq!(got, (200, true), "{id}: {answer:?}: {}", setup.log());
        assert_eq!(setup.runs_of(id), 1, "{id}: {}", setup.log());
    }
}

#[tokio::test]
async fn unanswered_request_is_answered_by_the_limit_under_which_it_came() {
    let mut configuration = base(10);
    set_in_routes(&mut configuration, "timeout_ms", 2_500);
    let setup = Setup::start(configuration).await;
    setup.gate.set_fault(server::Fault::NeverAnswer);
    let start = time::Instant::now();
    let mut streams = Vec::new();
    for id in ["r1", "r2"] {
        streams.push(setup.start_request("once", id).await);
    }
    for (version, timeout_ms) in [(11, 400), (12, 60_000)] {
        let mut configuration = base(version);
        set_in_routes(&mut configuration, "timeout_ms", timeout_ms);
        setup.put_in_force(configuration).await;
    }
    for mut stream in streams {
        let answer = caller::read(&mut stream, TIMEOUT).await;
        let got = (answer.status, answer.complete);
        assert_eq!(got, (504, true), "{answer:?}: {}", setup.log());
    }
    let took = start.elapsed();
    assert!(took >= time::Duration::from_millis(2_400), "{took:?}");
}

#[tokio::test]
async fn idle_connection_survives_up_to_a_raised_limit() {
    let mut configuration = base(10);
    configuration["limits"]["idle_timeout_ms"] = 500.into();
    let setup = Setup::start(configuration).await;
    let mut kept = setup.connect().await;
    setup
        .assert_answered(&mut kept, &request("once", "r1"), "first request")
        .await;
    let mut unused = setup.connect().await;
    let mut configuration = base(11);
    configuration["limits"]["idle_timeout_ms"] = 20_000.into();
    setup.put_in_force(configuration).await;
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    setup
        .assert_answered(&mut kept, &request("once", "r2"), "kept connection")
        .await;
    setup
        .assert_answered(&mut unused, &request("once", "r3"), "unused connection")
        .await;
}

#[tokio::test]
async fn lowered_idle_limit_applies_from_the_next_idle_time_on() {
    let setup = Setup::start(base(10)).await;
    let mut kept = setup.connect().await;
    setup
        .assert_answered(&mut kept, &request("once", "r1"), "first request")
        .await;
    let mut configuration = base(11);
    configuration["limits"]["idle_timeout_ms"] = 500.into();
    setup.put_in_force(configuration).await;
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    setup
        .assert_answered(&mut kept, &request("once", "r2"), "kept connection")
        .await;
    // The idle time that begins now is under the lowered limit. The former one was 15 s.
    let closed = tokio::time::timeout(TIMEOUT, kept.read(&mut [0; 1])).await;
    assert!(closed.is_ok(), "the connection is still open");
}

#[tokio::test]
async fn head_may_take_as_long_as_a_raised_limit() {
    let mut configuration = base(10);
    configuration["limits"]["header_timeout_ms"] = 600.into();
    let setup = Setup::start(configuration).await;
    let mut kept = setup.connect().await;
    setup
        .assert_answered(&mut kept, &request("once", "r1"), "first request")
        .await;
    let mut configuration = base(11);
    configuration["limits"]["header_timeout_ms"] = 9_000.into();
    setup.put_in_force(configuration).await;
    let bytes = request("once", "r2");
    let (first, rest) = bytes.split_at(40);
    kept.write_all(first.as_bytes()).await.unwrap();
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    setup.assert_answered(&mut kept, rest, "slow head").await;
}

#[tokio::test]
async fn head_that_began_before_a_lowered_limit_is_not_cut() {
    let mut configuration = base(10);
    configuration["limits"]["header_timeout_ms"] = 9_000.into();
    let setup = Setup::start(configuration).await;
    let mut stream = setup.connect().await;
    let bytes = request("once", "r1");
    let (first, rest) = bytes.split_at(40);
    stream.write_all(first.as_bytes()).await.unwrap();
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    let mut configuration = base(11);
    configuration["limits"]["header_timeout_ms"] = 300.into();
    setup.put_in_force(configuration).await;
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    setup.assert_answered(&mut stream, rest, "slow head").await;
}

#[tokio::test]
async fn head_may_be_as_large_as_a_raised_limit() {
    let setup = Setup::start(base(10)).await;
    let mut kept = setup.connect().await;
    setup
        .assert_answered(&mut kept, &request("once", "r1"), "first request")
        .await;
    let long_headers = format!("X-Own: {}\r\n", "x".repeat(100_000));
    let mut configuration = base(11);
    configuration["limits"]["max_header_bytes"] = 131_072.into();
    setup.put_in_force(configuration).await;
    let bytes = caller::request("POST", "/once/x", "r2", &long_headers, "b");
    setup.assert_answered(&mut kept, &bytes, "long head").await;
    setup.put_in_force(base(12)).await;
    let bytes = caller::request("POST", "/once/x", "r3", &long_headers, "b");
    kept.write_all(bytes.as_bytes()).await.unwrap();
    let answer = caller::read(&mut kept, TIMEOUT).await;
    assert_eq!((answer.status, answer.complete), (431, true), "{answer:?}");
    assert_eq!(setup.runs_of("r3"), 0);
}

#[tokio::test]
async fn body_may_be_as_large_as_a_raised_limit() {
    let setup = Setup::start(base(10)).await;
    let mut kept = setup.connect().await;
    setup
        .assert_answered(&mut kept, &request("once", "r1"), "first request")
        .await;
    let mut configuration = base(11);
    configuration["limits"]["max_body_bytes"] = 300_000.into();
    setup.put_in_force(configuration).await;
    let bytes = caller::request("POST", "/once/x", "r2", "", &"x".repeat(200_000));
    setup.assert_answered(&mut kept, &bytes, "long body").await;
}

#[tokio::test]
async fn requests_survive_many_changes_in_quick_succession() {
    let setup = Setup::start(base(10)).await;
    let mut tasks = tokio::task::JoinSet::new();
    let addr = setup.engines.host.callers_addr;
    for number in 0..4 {
        for route in ["once", "brief", "single"] {
            let id = format!("{route}-{number}");
            let bytes = request(route, &id);
            tasks.spawn(async move { (id, caller::send(addr, &bytes, TIMEOUT).await) });
        }
    }
    for number in 0..4 {
        for route in ["once", "brief", "single"] {
            setup.wait_for_run(&format!("{route}-{number}")).await;
        }
    }
    let mut kept = setup.connect().await;
    for version in 11..31 {
        let mut configuration = base(version);
        match version % 4 {
            0 => configuration["routes"].as_array_mut().unwrap().truncate(2),
            1 => set_in_routes(&mut configuration, "timeout_ms", 200),
            2 => configuration["limits"]["idle_timeout_ms"] = 100.into(),
            _ => set_in_routes(&mut configuration, "max_attempts", 1),
        }
        setup.engines.store.put("config", "main", configuration);
        tokio::time::sleep(time::Duration::from_millis(50)).await;
        let id = format!("kept-{version}");
        setup
            .assert_answered(&mut kept, &request("once", &id), &id)
            .await;
    }
    for (id, answer) in tasks.join_all().await {
        let got = (answer.status, answer.complete);
        assert_eq!(got, (200, true), "{id}: {answer:?}: {}", setup.log());
        assert_eq!(setup.runs_of(&id), 1, "{id}: {}", setup.log());
    }
    setup.wait_for_log("\"version\":30,").await;
}

#[tokio::test]
async fn requests_survive_changed_settings() {
    let setup = Setup::start(base(10)).await;
    let delay_ms = ANSWER_TIME.as_millis() as u64;
    setup
        .gate
        .delay_ms
        .store(delay_ms, atomic::Ordering::Relaxed);
    let mut streams = Vec::new();
    for route in ["plain", "once", "brief", "single"] {
        streams.push(setup.start_request(route, route).await);
    }
    let host = &setup.engines.host;
    let settings = std::fs::read_to_string(host.settings_path()).unwrap();
    let settings = settings.replace("zone = z1", "zone = z2");
    let settings = settings.replace("slack = 50", "slack = 5");
    let settings = format!("{settings}\n[limits]\nmemory = 60kB\nfiles = 900\n");
    std::fs::write(host.settings_path(), settings).unwrap();
    host.signal(rustix::process::Signal::HUP).unwrap();
    setup.wait_for_log("\"event\":\"reload\"").await;
    for mut stream in streams {
        let answer = caller::read(&mut stream, TIMEOUT).await;
        let got = (answer.status, answer.complete);
        assert_eq!(got, (200, true), "{answer:?}: {}", setup.log());
    }
    assert!(setup.log().contains("\"changed\":true"), "{}", setup.log());
}
