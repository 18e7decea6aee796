//! Calls between hosts: who may make them, malformed ones, and hosts or callers that leave meanwhile.

use std::net;
use std::sync::atomic;
use std::time;

use tokio::io::AsyncWriteExt as _;
use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::link;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;
use walnuthaven_wire::forward;
use walnuthaven_wire::forward::forward_client;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
const TIMEOUT: time::Duration = time::Duration::from_secs(6);
/// Time for hosts to hear of each other.
const NEWS_TIME: time::Duration = time::Duration::from_millis(1_200);
/// Time for a host to notice that its links are cut.
const NOTICE_TIME: time::Duration = time::Duration::from_secs(2);

/// Returns the address at which a host takes calls of other hosts.
fn peer_addr(host: &hosts::Host) -> net::SocketAddr {
    let settings = std::fs::read_to_string(host.settings_path()).unwrap();
    let mut lines = settings.lines();
    let addr = lines.find_map(|line| line.strip_prefix("news = "));
    addr.unwrap().parse().unwrap()
}

fn call(target: &str) -> forward::ServeRequest {
    let header = |name: &str, value: &str| forward::Header {
        name: name.to_owned(),
        value: value.as_bytes().to_vec(),
    };
    forward::ServeRequest {
        caller: "127.0.0.9".to_owned(),
        method: "POST".to_owned(),
        target: target.to_owned(),
        headers: vec![header("host", "h.example"), header("x-request-id", "c1")],
        time_left_ms: 2_000,
        ..forward::ServeRequest::default()
    }
}

/// Makes a call and returns its first reply.
async fn serve(
    host: &hosts::Host,
    call: forward::ServeRequest,
) -> Result<forward::serve_reply::Reply, tonic::Status> {
    let addr = format!("http://{}", peer_addr(host));
    let mut client = forward_client::ForwardClient::connect(addr).await.unwrap();
    let mut replies = client.serve(call).await?.into_inner();
    Ok(replies.message().await?.unwrap().reply.unwrap())
}

fn is_declined(reply: &forward::serve_reply::Reply) -> bool {
    matches!(reply, forward::serve_reply::Reply::Declined(_))
}

/// Makes a call malformed.
type Spoil = fn(&mut forward::ServeRequest);

/// Starts a plain server and some hosts.
async fn start(count: usize) -> (std::sync::Arc<server::Server>, Vec<hosts::Host>) {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let server = server::Server::start("i-0", None).await;
    server.register(&store, "gate");
    let hosts = (0..count).map(|number| hosts::Host::start(BINARY, &format!("h{number}"), addr));
    let hosts: Vec<_> = hosts.collect();
    for host in &hosts {
        host.wait_ready().await;
    }
    tokio::time::sleep(NEWS_TIME).await;
    (server, hosts)
}

#[tokio::test]
async fn calls_of_strangers_are_refused() {
    let (server, hosts) = start(1).await;
    let refused = serve(&hosts[0], call("/plain/x")).await.unwrap_err();
    assert_eq!(refused.code(), tonic::Code::PermissionDenied);
    assert_eq!(server.runs_of("c1"), 0);
    // A thread of its own writes the log, so a line may come after the answer.
    let start = time::Instant::now();
    while !hosts[0].log().contains("stranger-refused") {
        assert!(start.elapsed() < TIMEOUT, "{}", hosts[0].log());
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn malformed_calls_are_declined_and_harm_nothing() {
    let (server, hosts) = start(2).await;
    let malformed: [(&str, Spoil); 6] = [
        ("method", |call| call.method = "no method".to_owned()),
        ("caller", |call| call.caller = "nobody".to_owned()),
        ("target", |call| call.target = "\u{1}".to_owned()),
        ("route", |call| call.target = "/nowhere/x".to_owned()),
        ("version", |call| call.config_version = u64::MAX),
        ("header", |call| {
            call.headers.push(forward::Header {
                name: "x-request-deadline".to_owned(),
                value: b"soon".to_vec(),
            });
        }),
    ];
    for (name, spoil) in malformed {
        let mut call = call("/plain/x");
        spoil(&mut call);
        let reply = serve(&hosts[0], call).await.unwrap();
        assert!(is_declined(&reply), "{name}: {reply:?}");
    }
    let mut stream = tokio::net::TcpStream::connect(peer_addr(&hosts[0]))
        .await
        .unwrap();
    // The host may close the connection before all of it is written.
    let _ = stream.write_all(&[0xff; 10_000]).await;
    assert_eq!(server.runs_of("c1"), 0);
    let extreme = forward::ServeRequest {
        used_attempts: 1,
        suspected_crashes: 0,
        time_left_ms: u64::MAX,
        ..call("/plain/x")
    };
    let reply = serve(&hosts[0], extreme).await.unwrap();
    assert!(!is_declined(&reply), "{reply:?}\n{}", hosts[0].log());
    assert_eq!(server.runs_of("c1"), 1);
}

// That it isn't run here says nothing of the sends before.
#[tokio::test]
async fn request_that_may_have_run_elsewhere_is_not_answered_as_not_run() {
    let (server, hosts) = start(2).await;
    server.set_fault(server::Fault::Shed);
    let call = forward::ServeRequest {
        used_attempts: 1,
        may_have_run: true,
        ..call("/plain/x")
    };
    let reply = serve(&hosts[0], call).await.unwrap();
    let forward::serve_reply::Reply::Head(head) = &reply else {
        panic!("{reply:?}");
    };
    assert_eq!(head.status, 502, "{reply:?}");
}

/// Two hosts of which the first is cut off from the engines, and the second serves for it.
struct CutOff {
    hosts: Vec<hosts::Host>,
    engines: Vec<std::sync::Arc<server::Server>>,
}

impl CutOff {
    async fn start() -> Self {
        let (store, addr) = store::Store::start().await;
        hosts::configure(&store, 3);
        let (mut engines, mut links, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
        for (id, stage) in [("i-p", "prefill"), ("i-d", "decode")] {
            let engine = server::Server::start(id, Some(stage)).await;
            engine.register(&store, "scribe");
            engine
                .events_per_stream
                .store(20, atomic::Ordering::Relaxed);
            engine.delay_ms.store(50, atomic::Ordering::Relaxed);
            let link = link::Link::start(engine.addr).await;
            addresses.push((engine.addr, link.addr));
            engines.push(engine);
            links.push(link);
        }
        let view = store.start_view(addresses).await;
        let hosts = vec![
            hosts::Host::start(BINARY, "h0", view),
            hosts::Host::start(BINARY, "h1", addr),
        ];
        for host in &hosts {
            host.wait_ready().await;
        }
        tokio::time::sleep(NEWS_TIME).await;
        links.iter().for_each(|link| link.set(link::State::Reset));
        let setup = Self { hosts, engines };
        let _ = setup.send("first", TIMEOUT).await;
        tokio::time::sleep(NOTICE_TIME).await;
        setup
    }

    async fn send(&self, id: &str, timeout: time::Duration) -> caller::Answer {
        let bytes = caller::request("POST", "/single/x", id, engine_setup::PROMPT, id);
        caller::send(self.hosts[0].callers_addr, &bytes, timeout).await
    }

    async fn wait_for_run(&self, id: &str) {
        let start = time::Instant::now();
        while self.engines[1].runs_of(id) == 0 {
            assert!(
                start.elapsed() < TIMEOUT,
                "{id} never ran: {}",
                self.hosts[0].log()
            );
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    }
}

#[tokio::test]
async fn host_that_leaves_finishes_what_it_serves_for_another() {
    let setup = CutOff::start().await;
    let leave = async {
        setup.wait_for_run("r1").await;
        setup.hosts[1]
            .signal(rustix::process::Signal::TERM)
            .unwrap();
    };
    let (answer, ()) = tokio::join!(setup.send("r1", TIMEOUT), leave);
    let whole = engine_setup::complete_stream(20);
    assert_eq!(
        (answer.status, answer.body),
        (200, whole),
        "{}",
        setup.hosts[0].log()
    );
}

#[tokio::test]
async fn engine_is_freed_when_a_caller_leaves_that_another_host_serves() {
    let setup = CutOff::start().await;
    let leave = setup.send("r1", time::Duration::from_millis(300));
    tokio::join!(leave, setup.wait_for_run("r1"));
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    let active = setup.engines[1].active_runs.load(atomic::Ordering::Relaxed);
    assert_eq!(active, 0, "{}", setup.hosts[1].log());
}

// It is unknown whether the request ran.
#[tokio::test]
async fn request_that_may_run_once_fails_if_the_host_that_serves_it_is_killed() {
    let setup = CutOff::start().await;
    setup.engines[1]
        .delay_ms
        .store(600, atomic::Ordering::Relaxed);
    let kill = async {
        setup.wait_for_run("r1").await;
        setup.hosts[1]
            .signal(rustix::process::Signal::KILL)
            .unwrap();
    };
    let (answer, ()) = tokio::join!(setup.send("r1", TIMEOUT), kill);
    assert!(!answer.complete || answer.status == 502, "{answer:?}");
    assert_eq!(setup.engines[1].runs_of("r1"), 1);
}
