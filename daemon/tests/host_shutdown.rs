//! Signals to an entry host: graceful shutdown after SIGTERM, and settings reload after SIGHUP.

use std::sync::atomic;
use std::time;

use tokio::io::AsyncWriteExt as _;
use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for an answer or an expected state.
const TIMEOUT: time::Duration = time::Duration::from_secs(9);
/// When callers send on kept connections, after the signal: near the end of the grace period.
const LATE: time::Duration = time::Duration::from_millis(6_500);
const SPACING: time::Duration = time::Duration::from_millis(50);
/// The grace period in the hosts' settings: after it, the platform would kill the process.
const GRACE: time::Duration = time::Duration::from_secs(8);

#[tokio::test]
async fn shutdown_answers_all_requests_within_grace_period() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let server = server::Server::start("i-a", None).await;
    server.register(&store, "gate");
    let engine = server::Server::start("i-d", Some("decode")).await;
    engine
        .events_per_stream
        .store(30, atomic::Ordering::Relaxed);
    engine.delay_ms.store(50, atomic::Ordering::Relaxed);
    engine.register(&store, "scribe");
    let mut host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    let callers = host.callers_addr;
    let stream = tokio::spawn(async move {
        let headers = "X-Token-Count: 10,70\r\n";
        let bytes = caller::request("POST", "/single/x", "long", headers, "p");
        caller::send(callers, &bytes, TIMEOUT).await
    });
    let start = time::Instant::now();
    while engine.runs_of("long") == 0 {
        assert!(start.elapsed() < TIMEOUT, "{}", host.log());
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    let signalled = time::Instant::now();
    host.signal(rustix::process::Signal::TERM).unwrap();
    while host.ready().await == 200 {
        assert!(
            signalled.elapsed() < time::Duration::from_secs(2),
            "still ready"
        );
    }
    let bytes = caller::request("POST", "/once/x", "late", "", "");
    let late = caller::send(callers, &bytes, TIMEOUT).await;
    assert_eq!(
        late.status, 200,
        "callers that don't know of the shutdown yet are still served: {late:?}"
    );
    assert_eq!(late.header("connection"), Some("close"));
    let stream = stream.await.unwrap();
    assert_eq!((stream.status, stream.complete), (200, true), "{stream:?}");
    assert!(stream.body.ends_with("id: 30\ndata: event 30\n\n"));
    let status = loop {
        if let Some(status) = host.process.try_wait().unwrap() {
            break status;
        }
        assert!(
            signalled.elapsed() < GRACE,
            "the process still runs: {}",
            host.log()
        );
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    };
    assert!(status.success(), "{status}");
    assert_eq!(
        store.object_names("walnuthaven-hosts"),
        Vec::<String>::new()
    );
    assert!(host.log().contains("\"event\":\"stop\""));
}

#[tokio::test]
async fn sighup_reloads_settings_and_invalid_file_is_refused() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let server = server::Server::start("i-a", None).await;
    server.register(&store, "gate");
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    host.signal(rustix::process::Signal::HUP).unwrap();
    let start = time::Instant::now();
    while !host.log().contains("\"event\":\"reload\"") {
        assert!(start.elapsed() < TIMEOUT, "{}", host.log());
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    std::fs::write(host.settings_path(), "[host]\nname = two words\n").unwrap();
    while !host.log().contains("reload-refused") {
        assert!(start.elapsed() < TIMEOUT, "{}", host.log());
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    assert!(
        host.log().contains("two words"),
        "the logged fault doesn't name the value: {}",
        host.log()
    );
    let bytes = caller::request("POST", "/once/x", "r", "", "");
    assert_eq!(
        caller::send(host.callers_addr, &bytes, TIMEOUT)
            .await
            .status,
        200
    );
    let metrics = caller::request("GET", "/metrics", "m", "", "");
    let metrics = caller::send(host.metrics_addr, &metrics, TIMEOUT).await;
    assert!(
        metrics.body.contains("walnuthaven_requests 1"),
        "{metrics:?}"
    );
    assert!(
        metrics.body.contains("walnuthaven_plain_answer_ms_count 1"),
        "{metrics:?}"
    );
}

/// Callers that don't know of the shutdown yet connect until the last moment. A host that still
/// accepted a request just before it exited would cut it off while it ran on a server.
#[tokio::test]
async fn request_accepted_during_shutdown_is_answered() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let server = server::Server::start("i-a", None).await;
    server.delay_ms.store(30, atomic::Ordering::Relaxed);
    server.register(&store, "gate");
    let mut host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    host.signal(rustix::process::Signal::TERM).unwrap();
    let callers = host.callers_addr;
    let mut tasks = Vec::new();
    for task in 0..6 {
        tasks.push(tokio::spawn(async move {
            let start = time::Instant::now();
            let mut unanswered = Vec::new();
            for number in 0.. {
                let id = format!("t{task}-{number}");
                let bytes = caller::request("POST", "/once/x", &id, "", "pass 7");
                let answer = caller::send(callers, &bytes, TIMEOUT).await;
                if answer.status != 200 || !answer.complete {
                    unanswered.push(id);
                }
                if unanswered.len() > 20 || start.elapsed() > GRACE {
                    break;
                }
            }
            unanswered
        }));
    }
    for task in tasks {
        for id in task.await.unwrap() {
            assert_eq!(server.runs_of(&id), 0, "{id} ran and was cut off");
        }
    }
    let callers_done = time::Instant::now();
    let status = loop {
        if let Some(status) = host.process.try_wait().unwrap() {
            break status;
        }
        assert!(
            callers_done.elapsed() < GRACE,
            "the process still runs: {}",
            host.log()
        );
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    };
    assert!(status.success(), "{status}");
}

/// Guards against requests of kept connections that run at a server and are cut by their host's end (review/5, LOST). A long
/// stream keeps the host up until the end of its grace period, while callers send on connections that they have
/// kept open.
#[tokio::test]
async fn leaving_host_passes_on_nothing_that_it_would_cut() {
    let (store, addr) = store::Store::start().await;
    let mut configuration = hosts::configuration(3);
    configuration["routes"][3]["timeout_ms"] = 14_000.into();
    store.put("config", "main", configuration);
    let server = server::Server::start("i-a", None).await;
    server.delay_ms.store(150, atomic::Ordering::Relaxed);
    server.register(&store, "gate");
    let engine = server::Server::start("i-d", Some("decode")).await;
    engine
        .events_per_stream
        .store(60, atomic::Ordering::Relaxed);
    engine.delay_ms.store(200, atomic::Ordering::Relaxed);
    engine.register(&store, "scribe");
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    let callers = host.callers_addr;
    let mut kept = Vec::new();
    for number in 0..30 {
        let mut stream = tokio::net::TcpStream::connect(callers).await.unwrap();
        let bytes = caller::request("POST", "/once/x", &format!("a{number}"), "", "");
        stream.write_all(bytes.as_bytes()).await.unwrap();
        let answer = caller::read(&mut stream, TIMEOUT).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        kept.push(stream);
    }
    let long = tokio::spawn(async move {
        let headers = "X-Token-Count: 10,7000\r\n";
        let bytes = caller::request("POST", "/single/x", "long", headers, "p");
        caller::send(callers, &bytes, TIMEOUT * 2).await
    });
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    host.signal(rustix::process::Signal::TERM).unwrap();
    let signalled = tokio::time::Instant::now();
    let mut sends = Vec::new();
    for (number, mut stream) in kept.into_iter().enumerate() {
        let at = signalled + LATE + SPACING * number as u32;
        sends.push(tokio::spawn(async move {
            tokio::time::sleep_until(at).await;
            let headers = "X-Request-Deadline: 1500\r\n";
            let bytes = caller::request("POST", "/once/x", &format!("b{number}"), headers, "");
            // The host may have ended.
            let _ = stream.write_all(bytes.as_bytes()).await;
            caller::read(&mut stream, TIMEOUT).await
        }));
    }
    let mut refused = 0;
    for (number, send) in sends.into_iter().enumerate() {
        let answer = send.await.unwrap();
        let runs = server.runs_of(&format!("b{number}"));
        assert!(
            runs == 0 || answer.complete,
            "b{number} was cut: {}",
            host.log()
        );
        refused += usize::from(answer.status == 503);
    }
    assert!(refused > 0, "the host ended early: {}", host.log());
    drop(long);
}

/// Guards against answers that are cut because the host ends when it has made them, not when they have left.
#[tokio::test]
async fn answer_to_a_slow_reader_is_complete() {
    const BYTES: usize = 3_500_000;
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let server = server::Server::start("i-a", None).await;
    server.padding.store(BYTES, atomic::Ordering::Relaxed);
    server.register(&store, "gate");
    let mut host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut stream = socket.connect(host.callers_addr).await.unwrap();
    let bytes = caller::request("POST", "/once/x", "r", "", "");
    stream.write_all(bytes.as_bytes()).await.unwrap();
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    assert_eq!(server.runs_of("r"), 1, "{}", host.log());
    host.signal(rustix::process::Signal::TERM).unwrap();
    // Longer than the host stays up for callers that don't know of its shutdown.
    tokio::time::sleep(time::Duration::from_secs(5)).await;
    let answer = caller::read(&mut stream, TIMEOUT).await;
    assert!(
        answer.complete && answer.body.len() > BYTES,
        "{} bytes: {}",
        answer.body.len(),
        host.log()
    );
    let read = time::Instant::now();
    while host.process.try_wait().unwrap().is_none() {
        assert!(read.elapsed() < time::Duration::from_secs(1), "it waits");
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}
