//! Requests around SIGTERM to a host: each that has reached a server ends with a whole answer, whatever keeps the host up
//! or lets it end, and however the request is written.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io::AsyncWriteExt as _;
use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::link;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for an answer: until the host has ended for certain.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// A host may close a connection this long after the last byte of a request arrived that it hasn't read.
const CLOSE_SLACK: time::Duration = time::Duration::from_millis(200);
/// The time limit of the incident's requests.
const ONE_SECOND: &str = "X-Request-Deadline: 1000\r\n";
/// Time for hosts to hear of each other, or to notice that their links are cut.
const NEWS_TIME: time::Duration = time::Duration::from_secs(2);
/// Time for a host to notice a crash.
const CRASH_TIME: time::Duration = time::Duration::from_millis(1_500);

fn secs(seconds: f64) -> time::Duration {
    time::Duration::from_secs_f64(seconds)
}

/// Parts of a request, with the times after SIGTERM at which they are written.
type Parts = Vec<(f64, String)>;

fn whole(id: &str, at: f64, headers: &str) -> Parts {
    vec![(at, caller::request("POST", "/once/x", id, headers, "body"))]
}

/// Returns a request in chunks, the last of which is written at `end`.
fn chunks(id: &str, at: f64, end: f64, headers: &str) -> Parts {
    let head = format!(
        "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\n{headers}\
         Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n"
    );
    vec![(at, head), (end, "2\r\ndy\r\n0\r\n\r\n".to_owned())]
}

/// Returns a request with a length or, if its number is odd, in chunks.
fn either(number: usize, id: &str, at: f64, headers: &str) -> Parts {
    match number % 2 {
        0 => whole(id, at, headers),
        _ => chunks(id, at, at + 0.002, headers),
    }
}

/// What became of a request.
#[derive(Debug)]
struct Sent {
    id: String,
    /// When its last byte was written, as time since SIGTERM; `None` if the connection had closed.
    written: Option<time::Duration>,
    /// When its answer or its connection ended, as time since SIGTERM.
    ended: time::Duration,
    answer: caller::Answer,
}

/// Writes a request's parts and reads its answer.
async fn send(
    mut stream: tokio::net::TcpStream,
    signalled: tokio::time::Instant,
    id: String,
    parts: Parts,
) -> Sent {
    let mut is_written = true;
    for (at, part) in parts {
        tokio::time::sleep_until(signalled + secs(at)).await;
        // The host may have ended.
        is_written &= stream.write_all(part.as_bytes()).await.is_ok();
    }
    let written = is_written.then(|| signalled.elapsed());
    let answer = caller::read(&mut stream, TIMEOUT).await;
    Sent {
        id,
        written,
        ended: signalled.elapsed(),
        answer,
    }
}

/// Opens connections, each of which is used once.
async fn keep(addr: net::SocketAddr, prefix: &str, count: usize) -> Vec<tokio::net::TcpStream> {
    let mut kept = Vec::new();
    for number in 0..count {
        let bytes = caller::request("POST", "/once/x", &format!("{prefix}k{number}"), "", "");
        kept.push(tokio::spawn(async move {
            let mut stream = tokio::net::TcpStream::connect(addr).await.unwrap();
            stream.write_all(bytes.as_bytes()).await.unwrap();
            let answer = caller::read(&mut stream, TIMEOUT).await;
            assert_eq!(answer.status, 200, "{answer:?}");
            stream
        }));
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    let mut streams = Vec::new();
    for task in kept {
        streams.push(task.await.unwrap());
    }
    streams
}

/// A host and servers that only it uses.
struct Setup {
    store: sync::Arc<store::Store>,
    servers: Vec<sync::Arc<server::Server>>,
    host: hosts::Host,
    /// A stream that keeps the host up until the end of its grace period.
    long: Option<tokio::task::JoinHandle<caller::Answer>>,
}

impl Setup {
    /// Starts a host with plain servers that take `delay_ms` for an answer. `limit_ms` is the time limit of its routes.
    async fn start(servers: usize, delay_ms: u64, limit_ms: u64) -> Self {
        let (store, addr) = store::Store::start().await;
        let mut configuration = hosts::configuration(3);
        for route in configuration["routes"].as_array_mut().unwrap() {
            route["timeout_ms"] = limit_ms.into();
            route["max_attempts"] = 1.into();
        }
        configuration["routes"][3]["timeout_ms"] = 20_000.into();
        store.put("config", "main", configuration);
        let mut setup = Self {
            servers: Vec::new(),
            host: hosts::Host::start(BINARY, "h1", addr),
            store,
            long: None,
        };
        for number in 0..servers {
            let server = server::Server::start(&format!("i-{number}"), None).await;
            server.delay_ms.store(delay_ms, atomic::Ordering::Relaxed);
            server.register(&setup.store, "gate");
            setup.servers.push(server);
        }
        setup.host.wait_ready().await;
        setup
    }

    /// Has a long stream keep the host up until the end of its grace period.
    async fn hold_up(&mut self) {
        let engine = server::Server::start("i-d", Some("decode")).await;
        let events = &engine.events_per_stream;
        events.store(80, atomic::Ordering::Relaxed);
        engine.delay_ms.store(200, atomic::Ordering::Relaxed);
        engine.register(&self.store, "scribe");
        tokio::time::sleep(secs(1.0)).await;
        let addr = self.host.callers_addr;
        let headers = "X-Token-Count: 10,7000\r\nX-Length-Hint: 5600\r\n";
        let bytes = caller::request("POST", "/single/x", "long", headers, "p");
        let send = async move { caller::send(addr, &bytes, TIMEOUT * 2).await };
        self.long = Some(tokio::spawn(send));
        let started = time::Instant::now();
        while engine.runs_of("long") == 0 {
            assert!(started.elapsed() < TIMEOUT, "{}", self.host.log());
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    }

    fn set_fault(&self, fault: server::Fault) {
        self.servers
            .iter()
            .for_each(|server| server.set_fault(fault));
    }

    /// Tells the host to leave. Returns when.
    fn leave(&self) -> tokio::time::Instant {
        self.host.signal(rustix::process::Signal::TERM).unwrap();
        tokio::time::Instant::now()
    }

    /// Tells the host to leave, sends requests on kept connections, and checks what became of them. Returns when the
    /// host ended.
    async fn stop(&mut self, what: &str, requests: Vec<Parts>) -> time::Duration {
        let kept = keep(self.host.callers_addr, what, requests.len()).await;
        self.stop_with(what, requests, kept).await
    }

    async fn stop_with(
        &mut self,
        what: &str,
        requests: Vec<Parts>,
        kept: Vec<tokio::net::TcpStream>,
    ) -> time::Duration {
        let signalled = self.leave();
        let sends = kept.into_iter().zip(requests).enumerate();
        let sends: Vec<_> = sends
            .map(|(number, (stream, parts))| {
                tokio::spawn(send(stream, signalled, format!("r{number}"), parts))
            })
            .collect();
        let took = wait_for_end(&mut self.host, signalled).await;
        let mut sent = Vec::new();
        for send in sends {
            sent.push(send.await.unwrap());
        }
        check(what, took, &sent, &self.servers, &self.host);
        if let Some(long) = self.long.take() {
            let long = long.await.unwrap();
            assert!(!long.complete, "ended early: {}", self.host.log());
        }
        took
    }
}

/// Waits until a host's process has ended by itself. Returns when, as time since SIGTERM.
async fn wait_for_end(host: &mut hosts::Host, signalled: tokio::time::Instant) -> time::Duration {
    loop {
        if let Some(status) = host.process.try_wait().unwrap() {
            assert!(status.success(), "{status}: {}", host.log());
            return signalled.elapsed();
        }
        assert!(signalled.elapsed() < TIMEOUT, "still runs: {}", host.log());
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}

/// Checks that no request was lost.
fn check(
    what: &str,
    took: time::Duration,
    sent: &[Sent],
    servers: &[sync::Arc<server::Server>],
    host: &hosts::Host,
) {
    let runs = |sent: &Sent| -> usize { servers.iter().map(|s| s.runs_of(&sent.id)).sum() };
    let is_late = |sent: &Sent| {
        sent.written
            .is_some_and(|at| sent.ended.saturating_sub(at) > CLOSE_SLACK)
    };
    let is_lost = |sent: &&Sent| match sent.answer.complete {
        true => runs(sent) > 0 && matches!(sent.answer.status, 408 | 421 | 429 | 503),
        false => runs(sent) > 0 || is_late(sent),
    };
    let lost: Vec<_> = sent.iter().filter(is_lost).collect();
    let count = |status| sent.iter().filter(|s| s.answer.status == status).count();
    let counts = format!(
        "{what}: ended after {took:?}; {} lost of {}, {} reached servers; {} served, {} failed, {} out of time, \
         {} refused, {} not read",
        lost.len(),
        sent.len(),
        sent.iter().filter(|sent| runs(sent) > 0).count(),
        count(200),
        count(500) + count(502),
        count(504),
        count(503),
        count(0),
    );
    println!("{counts}");
    assert!(
        sent.iter().any(|sent| sent.answer.complete),
        "nothing was read in time: {counts}"
    );
    let log = host.log();
    let leave = log.lines().filter(|line| {
        let is_of_lost = |sent: &&Sent| line.contains(&format!("\"id\":\"{}\"", sent.id));
        line.contains("\"event\":\"leave\"")
            || line.contains("\"event\":\"stop\"")
            || lost.iter().any(is_of_lost)
    });
    let leave: Vec<_> = leave.collect();
    assert!(lost.is_empty(), "{counts}\n{lost:#?}\n{}", leave.join("\n"));
}

/// Waits until all of these have ended, and panics if one has.
async fn join(runs: impl IntoIterator<Item = tokio::task::JoinHandle<()>>) {
    let mut ends = Vec::new();
    for run in runs {
        ends.push(run.await);
    }
    ends.into_iter().for_each(Result::unwrap);
}

/// Returns requests that are written at equal intervals from `first` to `last`.
fn spread(count: usize, first: f64, last: f64, headers: &str) -> Vec<Parts> {
    (0..count)
        .map(|number| {
            let at = first + (last - first) * number as f64 / count as f64;
            either(number, &format!("r{number}"), at, headers)
        })
        .collect()
}

/// Guards against requests that are cut because the grace period ends before their servers answer.
#[tokio::test]
async fn requests_of_idle_connections_are_not_cut_at_the_end() {
    let mut setup = Setup::start(2, 100, 3_000).await;
    setup.hold_up().await;
    let requests = spread(100, 6.4, 7.65, ONE_SECOND);
    setup.stop("idle connections", requests).await;
}

/// Guards against requests that are cut at the end because a silent server has them until their time limit.
#[tokio::test]
async fn requests_of_a_silent_server_are_not_cut_at_the_end() {
    let mut setup = Setup::start(1, 100, 3_000).await;
    setup.hold_up().await;
    let requests = spread(100, 6.0, 7.65, ONE_SECOND);
    let kept = keep(setup.host.callers_addr, "", requests.len()).await;
    setup.servers[0].set_fault(server::Fault::NeverAnswer);
    setup.stop_with("silent server", requests, kept).await;
}

/// Guards against requests that are cut at the end because their server is paused.
#[tokio::test]
async fn requests_of_a_paused_server_are_not_cut_at_the_end() {
    let mut setup = Setup::start(1, 100, 3_000).await;
    setup.hold_up().await;
    let requests = spread(100, 6.0, 7.65, ONE_SECOND);
    let kept = keep(setup.host.callers_addr, "", requests.len()).await;
    let paused = setup.servers[0].clone();
    tokio::spawn(async move {
        tokio::time::sleep(secs(5.9)).await;
        paused.pause(secs(1.6));
    });
    // The server goes on, and counts what it received, just before the host ends.
    setup.stop_with("paused server", requests, kept).await;
}

/// Guards against requests that are cut because answers without a length, or failures, are made at the end.
#[tokio::test]
async fn answers_of_faulty_servers_are_not_cut_at_the_end() {
    let faults = [
        ("no length", server::Fault::NoContentLength),
        ("status 500", server::Fault::Status500),
    ];
    let runs = faults.map(|(what, fault)| {
        tokio::spawn(async move {
            let mut setup = Setup::start(2, 100, 3_000).await;
            setup.hold_up().await;
            let headers = "X-Request-Deadline: 300\r\n";
            let requests = spread(80, 6.9, 7.65, headers);
            let kept = keep(setup.host.callers_addr, "", requests.len()).await;
            setup.set_fault(fault);
            setup.stop_with(what, requests, kept).await;
        })
    });
    join(runs).await;
}

/// Guards against requests that are cut because their last chunk came when they couldn't be answered any more.
#[tokio::test]
async fn requests_whose_last_chunk_is_late_are_not_cut() {
    let runs = [
        ("late chunk, 1 s", 3_000, ONE_SECOND),
        ("late chunk, 14 s", 14_000, ""),
    ]
    .map(|(what, limit_ms, headers)| {
        tokio::spawn(async move {
            let mut setup = Setup::start(2, 100, limit_ms).await;
            setup.hold_up().await;
            let requests = (0..80).map(|number| {
                let end = 6.6 + f64::from(number) / 80.0;
                let start = match headers {
                    "" => 1.0,
                    _ => end - 0.9,
                };
                chunks(&format!("r{number}"), start, end, headers)
            });
            setup.stop(what, requests.collect()).await;
        })
    });
    join(runs).await;
}

/// Guards against requests that are cut at the end of hosts that stay until crash marks are saved.
#[tokio::test]
async fn requests_are_not_cut_while_marks_wait_for_the_store() {
    let runs = [(1, true), (3, true), (3, false)].map(|(crashes, refuses)| {
        tokio::spawn(async move {
            let mut setup = Setup::start(5, 100, 3_000).await;
            setup.set_fault(server::Fault::CrashOnPoison);
            let requests = spread(80, 6.4, 7.65, ONE_SECOND);
            let kept = keep(setup.host.callers_addr, "", requests.len()).await;
            let fault = match refuses {
                true => &setup.store.refuses,
                false => &setup.store.silent,
            };
            fault.store(true, atomic::Ordering::Relaxed);
            for number in 0..crashes {
                let id = format!("p{number}");
                let poison = caller::request("POST", "/once/x", &id, "", "poison");
                let answer = caller::send(setup.host.callers_addr, &poison, TIMEOUT).await;
                assert_eq!(answer.status, 502, "{answer:?}");
                tokio::time::sleep(CRASH_TIME).await;
            }
            let what = format!("{crashes} crashes, store refuses {refuses}");
            setup.stop_with(&what, requests, kept).await;
        })
    });
    join(runs).await;
}

/// Guards against requests that are cut because they go through another host, and that one or their own leaves.
#[tokio::test]
async fn requests_through_another_host_are_not_cut() {
    let variants = [
        (Some(0.0), None, false),
        (Some(0.0), None, true),
        (Some(0.0), Some(3.5), false),
        (None, Some(1.0), true),
    ];
    let runs = variants.map(|(own, other, is_silent)| {
        tokio::spawn(send_through_another_host(own, other, is_silent))
    });
    join(runs).await;
}

/// Sends requests to a host that is cut off from the servers, while that host and the one that serves them are told to
/// leave at these times, in seconds. One server is silent if `is_silent`.
async fn send_through_another_host(own: Option<f64>, other: Option<f64>, is_silent: bool) {
    let servers = if is_silent { 1 } else { 2 };
    let mut setup = Setup::start(servers, 100, 3_000).await;
    let (mut pairs, mut links) = (Vec::new(), Vec::new());
    for server in &setup.servers {
        let link = link::Link::start(server.addr).await;
        pairs.push((server.addr, link.addr));
        links.push(link);
    }
    let view = setup.store.start_view(pairs).await;
    let cut_off = hosts::Host::start(BINARY, "h2", view);
    cut_off.wait_ready().await;
    let mut other_host = std::mem::replace(&mut setup.host, cut_off);
    tokio::time::sleep(NEWS_TIME).await;
    setup.hold_up().await;
    let requests = spread(160, 0.0, 7.65, ONE_SECOND);
    let kept = keep(setup.host.callers_addr, "", requests.len()).await;
    links.iter().for_each(|link| link.set(link::State::Reset));
    tokio::time::sleep(NEWS_TIME).await;
    if is_silent {
        setup.servers[0].set_fault(server::Fault::NeverAnswer);
    }
    let started = tokio::time::Instant::now();
    let sends = kept.into_iter().zip(requests).enumerate();
    let sends = sends.map(|(number, (stream, parts))| {
        tokio::spawn(send(stream, started, format!("r{number}"), parts))
    });
    let sends: Vec<_> = sends.collect();
    let mut took = time::Duration::ZERO;
    let own_end = async {
        let Some(at) = own else { return };
        tokio::time::sleep_until(started + secs(at)).await;
        let signalled = setup.leave();
        took = wait_for_end(&mut setup.host, signalled).await;
    };
    let other_end = async {
        let Some(at) = other else { return };
        tokio::time::sleep_until(started + secs(at)).await;
        let term = rustix::process::Signal::TERM;
        other_host.signal(term).unwrap();
        let signalled = tokio::time::Instant::now();
        wait_for_end(&mut other_host, signalled).await;
    };
    tokio::join!(own_end, other_end);
    let mut sent = Vec::new();
    for send in sends {
        sent.push(send.await.unwrap());
    }
    let passed = setup.host.log().matches("\"passed-on\"").count();
    let what = format!("leaves {own:?}, other {other:?}, silent {is_silent}, {passed} passed on");
    assert!(passed > 0, "{what}: {}", setup.host.log());
    check(&what, took, &sent, &setup.servers, &setup.host);
}
