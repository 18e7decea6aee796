//! Requests are answered at the edges of a planned stop: settings and configurations that change meanwhile, a process
//! that is late, callers that read or write slowly, and answers for other hosts.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::link;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for an answer: until the host has ended for certain.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// The routes' time limit, which is longer than the hosts' grace period of 8 s.
const TIME_LIMIT_MS: u64 = 14_000;
/// Answers of this size take many reads and writes.
const LARGE: usize = 3_500_000;
/// Time for hosts to hear of each other.
const NEWS_TIME: time::Duration = time::Duration::from_millis(1_200);
/// Time for a host to notice that its links are cut.
const NOTICE_TIME: time::Duration = time::Duration::from_secs(2);

/// A host with a plain server, and an engine for a stream that keeps the host up to the end of its grace period.
struct Setup {
    store: sync::Arc<store::Store>,
    server: sync::Arc<server::Server>,
    host: hosts::Host,
}

impl Setup {
    /// Starts a host, with a plain server that takes `plain_ms` for an answer.
    async fn start(plain_ms: u64, idle_timeout_ms: u64) -> Self {
        let (store, addr) = store::Store::start().await;
        let mut configuration = long_configuration(3);
        configuration["limits"]["idle_timeout_ms"] = idle_timeout_ms.into();
        store.put("config", "main", configuration);
        let engine = server::Server::start("i-d", Some("decode")).await;
        engine
            .events_per_stream
            .store(60, atomic::Ordering::Relaxed);
        engine.delay_ms.store(200, atomic::Ordering::Relaxed);
        engine.register(&store, "scribe");
        let server = server::Server::start("i-a", None).await;
        server.delay_ms.store(plain_ms, atomic::Ordering::Relaxed);
        server.register(&store, "gate");
        let host = hosts::Host::start(BINARY, "h1", addr);
        host.wait_ready().await;
        Self {
            store,
            server,
            host,
        }
    }

    /// Starts a stream that lasts longer than the host.
    async fn hold_up(&self) -> tokio::task::JoinHandle<caller::Answer> {
        let addr = self.host.callers_addr;
        let long = tokio::spawn(async move {
            let headers = "X-Token-Count: 10,7000\r\n";
            let bytes = caller::request("POST", "/single/x", "long", headers, "p");
            caller::send(addr, &bytes, TIMEOUT * 2).await
        });
        self.wait_for_log("\"placed\",\"id\":\"long\"").await;
        long
    }

    async fn wait_for_log(&self, text: &str) {
        let started = time::Instant::now();
        while !self.host.log().contains(text) {
            assert!(started.elapsed() < TIMEOUT, "{}", self.host.log());
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    }

    async fn wait_for_run(&self, id: &str) {
        wait_for_run(&self.server, id, &self.host).await;
    }

    /// Tells the host to leave. Returns when.
    fn leave(&self) -> tokio::time::Instant {
        self.host.signal(rustix::process::Signal::TERM).unwrap();
        tokio::time::Instant::now()
    }
}

/// Returns a configuration whose routes have a long time limit.
fn long_configuration(version: u64) -> serde_json::Value {
    let mut configuration = hosts::configuration(version);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = TIME_LIMIT_MS.into();
        route["target_latency_ms"] = 6_000.into();
    }
    configuration
}

async fn wait_for_run(server: &server::Server, id: &str, host: &hosts::Host) {
    let started = time::Instant::now();
    while server.runs_of(id) == 0 {
        assert!(started.elapsed() < TIMEOUT, "{id}: {}", host.log());
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}

fn secs(seconds: f64) -> time::Duration {
    time::Duration::from_secs_f64(seconds)
}

/// Sends a request that may run once, on a new connection.
fn send_once(
    addr: net::SocketAddr,
    id: &str,
    headers: &str,
) -> tokio::task::JoinHandle<caller::Answer> {
    let bytes = caller::request("POST", "/once/x", id, headers, "a body");
    tokio::spawn(async move { caller::send(addr, &bytes, TIMEOUT).await })
}

/// Opens connections, each of which has had an answer.
async fn keep_connections(addr: net::SocketAddr, count: usize) -> Vec<tokio::net::TcpStream> {
    let mut kept = Vec::new();
    for number in 0..count {
        let mut stream = tokio::net::TcpStream::connect(addr).await.unwrap();
        let bytes = caller::request("POST", "/once/x", &format!("a{number}"), "", "");
        stream.write_all(bytes.as_bytes()).await.unwrap();
        let answer = caller::read(&mut stream, TIMEOUT).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        kept.push(stream);
    }
    kept
}

/// Guards against requests that are sent because the settings changed, though the process ends as it began to leave.
#[tokio::test]
async fn grace_period_that_changes_meanwhile_cuts_nothing() {
    let setup = Setup::start(400, 15_000).await;
    let kept = keep_connections(setup.host.callers_addr, 20).await;
    let long = setup.hold_up().await;
    let signalled = setup.leave();
    let path = setup.host.settings_path();
    let settings = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, settings.replace("grace = 8s", "grace = 60s")).unwrap();
    setup.host.signal(rustix::process::Signal::HUP).unwrap();
    setup.wait_for_log("\"reload\"").await;
    let mut sends = Vec::new();
    for (number, mut stream) in kept.into_iter().enumerate() {
        let at = signalled + secs(6.6 + number as f64 / 20.0);
        sends.push(tokio::spawn(async move {
            tokio::time::sleep_until(at).await;
            let headers = "X-Request-Deadline: 1500\r\n";
            let bytes = caller::request("POST", "/once/x", &format!("b{number}"), headers, "");
            // The host may have ended.
            let _ = stream.write_all(bytes.as_bytes()).await;
            caller::read(&mut stream, TIMEOUT).await
        }));
    }
    let mut cut = Vec::new();
    let mut answered = 0;
    for (number, send) in sends.into_iter().enumerate() {
        let answer = send.await.unwrap();
        answered += usize::from(answer.complete);
        if setup.server.runs_of(&format!("b{number}")) > 0 && !answer.complete {
            cut.push(number);
        }
    }
    assert!(cut.is_empty(), "cut: {cut:?}: {}", setup.host.log());
    assert!(answered > 0, "the host ended early: {}", setup.host.log());
    drop(long);
}

/// Guards against answers that are cut because the process was late and took its end for more urgent.
#[tokio::test]
async fn host_that_is_late_at_its_end_gives_the_last_answers() {
    let mut setup = Setup::start(12_000, 15_000).await;
    let signalled = setup.leave();
    let running = send_once(setup.host.callers_addr, "r", "");
    setup.wait_for_run("r").await;
    tokio::time::sleep_until(signalled + secs(7.3)).await;
    setup.host.signal(rustix::process::Signal::STOP).unwrap();
    tokio::time::sleep_until(signalled + secs(7.65)).await;
    setup.host.signal(rustix::process::Signal::CONT).unwrap();
    let answer = running.await.unwrap();
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (504, true), "{log}");
    while setup.host.process.try_wait().unwrap().is_none() {
        assert!(signalled.elapsed() < secs(8.0), "it would be killed: {log}");
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}

/// Guards against answers that are cut because the process had no processor time when it was told to leave, and counts its
/// grace period from when it saw that.
#[tokio::test]
async fn host_that_is_told_late_gives_the_last_answers() {
    let mut setup = Setup::start(12_000, 15_000).await;
    let running = send_once(setup.host.callers_addr, "r", "");
    setup.wait_for_run("r").await;
    setup.host.signal(rustix::process::Signal::STOP).unwrap();
    let signalled = setup.leave();
    tokio::time::sleep_until(signalled + secs(0.9)).await;
    setup.host.signal(rustix::process::Signal::CONT).unwrap();
    while setup.host.process.try_wait().unwrap().is_none() {
        let log = setup.host.log();
        assert!(signalled.elapsed() < secs(8.0), "it would be killed: {log}");
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    let answer = running.await.unwrap();
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (504, true), "{log}");
    assert!(signalled.elapsed() > secs(7.0), "it ended early: {log}");
}

/// Guards against requests that are sent to a silent server and given up before their time limit, because the host ends.
#[tokio::test]
async fn request_that_is_sent_is_not_given_up_before_its_limit() {
    const LIMIT: time::Duration = time::Duration::from_secs(1);
    let setup = Setup::start(0, 15_000).await;
    let kept = keep_connections(setup.host.callers_addr, 20).await;
    setup.server.set_fault(server::Fault::NeverAnswer);
    let long = setup.hold_up().await;
    let signalled = setup.leave();
    let mut sends = Vec::new();
    for (number, mut stream) in kept.into_iter().enumerate() {
        let at = signalled + secs(6.3 + number as f64 / 50.0);
        sends.push(tokio::spawn(async move {
            tokio::time::sleep_until(at).await;
            let headers = format!("X-Request-Deadline: {}\r\n", LIMIT.as_millis());
            let bytes = caller::request("POST", "/once/x", &format!("b{number}"), &headers, "");
            let sent = time::Instant::now();
            // The host may have ended.
            let _ = stream.write_all(bytes.as_bytes()).await;
            let answer = caller::read(&mut stream, TIMEOUT).await;
            (answer, sent.elapsed())
        }));
    }
    let mut early = Vec::new();
    let mut timed_out = 0;
    for (number, send) in sends.into_iter().enumerate() {
        let (answer, took) = send.await.unwrap();
        timed_out += usize::from(answer.status == 504);
        if answer.status == 504 && took < LIMIT {
            early.push((number, took));
        }
    }
    assert!(early.is_empty(), "early: {early:?}: {}", setup.host.log());
    assert!(timed_out > 0, "nothing was sent: {}", setup.host.log());
    drop(long);
}

/// Guards against answers that are cut by the limit on idle connections, because their callers read them slowly.
#[tokio::test]
async fn connection_is_not_idle_while_its_answer_is_read() {
    let setup = Setup::start(0, 1_000).await;
    setup.server.padding.store(LARGE, atomic::Ordering::Relaxed);
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut stream = socket.connect(setup.host.callers_addr).await.unwrap();
    let bytes = caller::request("POST", "/once/x", "r", "", "");
    stream.write_all(bytes.as_bytes()).await.unwrap();
    // Longer in all than a connection may be idle.
    let mut buf = vec![0; LARGE / 100];
    let mut read = 0;
    let mut pause = tokio::time::interval(time::Duration::from_millis(80));
    let started = time::Instant::now();
    while read < LARGE {
        pause.tick().await;
        match stream.read(&mut buf).await {
            Ok(0) | Err(_) => break,
            Ok(part) => read += part,
        }
        if started.elapsed() > secs(6.0) {
            // The rest at once.
            pause = tokio::time::interval(time::Duration::from_micros(1));
        }
    }
    let took = started.elapsed();
    assert!(took > secs(4.0), "read too fast: {took:?}");
    assert!(read >= LARGE, "{read} bytes: {}", setup.host.log());
}

/// Guards against a second signal that ends the process at once.
#[tokio::test]
async fn second_sigterm_cuts_nothing() {
    let setup = Setup::start(2_000, 15_000).await;
    let running = send_once(setup.host.callers_addr, "r", "");
    setup.wait_for_run("r").await;
    let signalled = setup.leave();
    for at in [0.3, 1.0] {
        tokio::time::sleep_until(signalled + secs(at)).await;
        setup.leave();
    }
    let answer = running.await.unwrap();
    let log = setup.host.log();
    assert_eq!((answer.status, answer.complete), (200, true), "{log}");
}

/// Guards against requests that are cut because a newer configuration has no place for them.
#[tokio::test]
async fn configuration_without_the_route_cuts_nothing() {
    let setup = Setup::start(5_000, 15_000).await;
    let addr = setup.host.callers_addr;
    let mut sends = vec![send_once(addr, "r", "")];
    setup.wait_for_run("r").await;
    let bytes = caller::request("POST", "/once/x", "slow", "", "a body");
    sends.push(tokio::spawn(async move {
        let (head, body) = bytes.split_at(bytes.len() - 1);
        let mut stream = tokio::net::TcpStream::connect(addr).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        tokio::time::sleep(secs(3.0)).await;
        stream.write_all(body.as_bytes()).await.unwrap();
        caller::read(&mut stream, TIMEOUT).await
    }));
    tokio::time::sleep(secs(0.3)).await;
    let mut configuration = hosts::configuration(4);
    let routes = configuration["routes"].as_array_mut().unwrap();
    routes.retain(|route| route["service"] != "gate");
    let services = configuration["services"].as_array_mut().unwrap();
    services.retain(|service| service["name"] != "gate");
    configuration["limits"]["idle_timeout_ms"] = 200.into();
    configuration["limits"]["header_timeout_ms"] = 200.into();
    configuration["limits"]["max_body_bytes"] = 1.into();
    setup.store.put("config", "main", configuration);
    for send in sends {
        let answer = send.await.unwrap();
        let log = setup.host.log();
        assert_eq!((answer.status, answer.complete), (200, true), "{log}");
    }
    let answer = send_once(addr, "later", "").await.unwrap();
    assert_eq!(answer.status, 404, "the configuration isn't in force");
}

/// Guards against answers that are lost because their callers still write the body in chunks.
#[tokio::test]
async fn caller_that_still_writes_gets_the_last_answer() {
    let setup = Setup::start(0, 15_000).await;
    let long = setup.hold_up().await;
    let addr = setup.host.callers_addr;
    let signalled = setup.leave();
    let mut sends = Vec::new();
    for number in 0..10 {
        sends.push(tokio::spawn(async move {
            let mut stream = tokio::net::TcpStream::connect(addr).await.unwrap();
            let head = format!(
                "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r{number}\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await.unwrap();
            let chunk = format!("400\r\n{}\r\n", "c".repeat(1_024));
            let mut pause = tokio::time::interval(time::Duration::from_millis(10 + number));
            while signalled.elapsed() < secs(7.7) {
                pause.tick().await;
                if signalled.elapsed() < secs(7.2) {
                    continue;
                }
                if stream.write_all(chunk.as_bytes()).await.is_err() {
                    break;
                }
            }
            caller::read(&mut stream, TIMEOUT).await
        }));
    }
    for (number, send) in sends.into_iter().enumerate() {
        let answer = send.await.unwrap();
        let log = setup.host.log();
        assert_eq!(
            (answer.status, answer.complete),
            (503, true),
            "r{number}: {log}"
        );
        assert_eq!(setup.server.runs_of(&format!("r{number}")), 0);
    }
    drop(long);
}

/// Guards against answers for another host that are cut because the host that made them ends before they have left.
#[tokio::test]
async fn answers_for_another_host_leave_before_the_host_ends() {
    const COUNT: usize = 8;
    let (store, addr) = store::Store::start().await;
    store.put("config", "main", long_configuration(3));
    let server = server::Server::start("i-a", None).await;
    server.register(&store, "gate");
    let link = link::Link::start(server.addr).await;
    let view = store.start_view(vec![(server.addr, link.addr)]).await;
    let cut_off = hosts::Host::start(BINARY, "h0", view);
    let helper = hosts::Host::start(BINARY, "h1", addr);
    cut_off.wait_ready().await;
    helper.wait_ready().await;
    tokio::time::sleep(NEWS_TIME).await;
    link.set(link::State::Reset);
    let _ = send_once(cut_off.callers_addr, "first", "").await.unwrap();
    tokio::time::sleep(NOTICE_TIME).await;
    server.padding.store(LARGE, atomic::Ordering::Relaxed);
    server.delay_ms.store(4_500, atomic::Ordering::Relaxed);
    let mut sends = Vec::new();
    for number in 0..COUNT {
        sends.push(send_once(cut_off.callers_addr, &format!("r{number}"), ""));
    }
    for number in 0..COUNT {
        wait_for_run(&server, &format!("r{number}"), &cut_off).await;
    }
    helper.signal(rustix::process::Signal::TERM).unwrap();
    // The other host is short of processor time just then.
    tokio::time::sleep(secs(3.8)).await;
    cut_off.signal(rustix::process::Signal::STOP).unwrap();
    tokio::time::sleep(secs(1.2)).await;
    cut_off.signal(rustix::process::Signal::CONT).unwrap();
    let mut answers = Vec::new();
    for send in sends {
        let answer = send.await.unwrap();
        answers.push((answer.status, answer.complete));
    }
    let log = format!("{}{}", cut_off.log(), helper.log());
    assert_eq!(answers, vec![(200, true); COUNT], "{log}");
}
