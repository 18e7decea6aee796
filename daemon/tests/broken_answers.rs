//! Answers that break off, and servers that fail after them: callers get whole answers, or parts that look like parts.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::link;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Time for hosts that know each other to hear which servers each reaches.
const START_TIME: time::Duration = time::Duration::from_millis(1_200);
const EVENTS: u64 = 8;
const EVENT_PAUSE_MS: u64 = 50;
/// How a stream breaks.
const BREAKS: [server::Fault; 2] = [server::Fault::ResetStream, server::Fault::TruncateStream];
/// What the next server does.
const FAILURES: [server::Fault; 8] = [
    server::Fault::CloseBeforeHeadEnds,
    server::Fault::CloseWithinHeader,
    server::Fault::EndBeforeFirstEvent,
    server::Fault::Shed,
    server::Fault::Status404,
    server::Fault::Status500,
    server::Fault::Status503,
    server::Fault::UnsignedAnswer,
];

/// Waits until a host tells callers the address of another one, from which it has heard then.
async fn wait_until_known(host: &hosts::Host, other: &hosts::Host) {
    let start = time::Instant::now();
    loop {
        let answer = caller::resolve(host.directory_addr, engine_setup::TIMEOUT).await;
        if answer.body.contains(&other.callers_addr.to_string()) {
            return;
        }
        assert!(start.elapsed() < engine_setup::TIMEOUT, "{}", host.log());
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

/// Two servers of a service, and two hosts. The first host reaches the servers over links. Engines have one beside them that
/// prefills, so that none of them is ordered to.
struct Setup {
    prefill_engine: sync::Arc<server::Server>,
    servers: Vec<sync::Arc<server::Server>>,
    links: Vec<sync::Arc<link::Link>>,
    hosts: [hosts::Host; 2],
}

impl Setup {
    async fn start(stage: Option<&'static str>) -> Self {
        let (store, addr) = store::Store::start().await;
        hosts::configure(&store, 3);
        let (mut servers, mut links, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
        for id in ["i-1", "i-2"] {
            let server = server::Server::start(id, stage).await;
            server
                .events_per_stream
                .store(EVENTS, atomic::Ordering::Relaxed);
            server
                .delay_ms
                .store(EVENT_PAUSE_MS, atomic::Ordering::Relaxed);
            server.register(&store, if stage.is_some() { "scribe" } else { "gate" });
            let link = link::Link::start(server.addr).await;
            addresses.push((server.addr, link.addr));
            servers.push(server);
            links.push(link);
        }
        let prefill_engine = server::Server::start("i-p", Some("prefill")).await;
        let link = link::Link::start(prefill_engine.addr).await;
        addresses.push((prefill_engine.addr, link.addr));
        links.push(link);
        if stage.is_some() {
            prefill_engine.register(&store, "scribe");
        }
        let view = store.start_view(addresses).await;
        let hosts = [("h1", view), ("h2", addr)]
            .map(|(name, store)| hosts::Host::start(BINARY, name, store));
        for host in &hosts {
            host.wait_ready().await;
        }
        wait_until_known(&hosts[0], &hosts[1]).await;
        tokio::time::sleep(START_TIME).await;
        Self {
            prefill_engine,
            servers,
            links,
            hosts,
        }
    }

    /// Leaves the servers in reach of the second host only.
    fn cut_links(&self) {
        self.links
            .iter()
            .for_each(|link| link.set(link::State::Reset));
    }

    fn set_fault(&self, fault: server::Fault) {
        self.servers
            .iter()
            .for_each(|server| server.set_fault(fault));
    }

    /// Sends a request to the first host.
    async fn send(&self, path: &str, id: &str) -> caller::Answer {
        let bytes = caller::request("POST", path, id, engine_setup::PROMPT, "a prompt");
        caller::send(self.hosts[0].callers_addr, &bytes, engine_setup::TIMEOUT).await
    }

    /// Waits until a server runs request `id`, and sets the fault of the other one.
    async fn fail_next(&self, id: &str, fault: server::Fault) {
        let start = time::Instant::now();
        loop {
            if let Some(running) = self
                .servers
                .iter()
                .position(|server| server.runs_of(id) > 0)
            {
                self.servers[1 - running].set_fault(fault);
                return;
            }
            assert!(
                start.elapsed() < engine_setup::TIMEOUT,
                "{id} never ran: {}",
                self.log()
            );
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
    }

    /// Returns how often servers received request `id`.
    fn sends_of(&self, id: &str) -> usize {
        let received = self.servers.iter().flat_map(|server| server.received());
        received.filter(|request| request.id == id).count()
    }

    fn log(&self) -> String {
        self.hosts.iter().map(hosts::Host::log).collect()
    }
}

/// Where the server is that a stream begins at, as seen from the caller's host.
#[derive(Clone, Copy, Debug)]
enum Way {
    Direct,
    /// Behind another host.
    OtherHost,
    /// Direct, but only another host reaches the next server.
    NextAtOtherHost,
}

/// Breaks a stream, lets the next server fail, and checks what the caller gets.
async fn check_broken_stream(way: Way, broken: server::Fault, failure: server::Fault) {
    let setup = Setup::start(Some("decode")).await;
    if matches!(way, Way::OtherHost) {
        setup.cut_links();
    }
    setup.set_fault(broken);
    let fail = async {
        setup.fail_next("r", failure).await;
        if matches!(way, Way::NextAtOtherHost) {
            tokio::time::sleep(time::Duration::from_millis(2 * EVENT_PAUSE_MS)).await;
            setup.cut_links();
            setup.set_fault(failure);
        }
    };
    let (answer, ()) = tokio::join!(setup.send("/brief/x", "r"), fail);
    let case = format!("{way:?}, {broken:?}, {failure:?}: {answer:?}");
    let passed_on = setup.hosts[0].log().contains("\"event\":\"passed-on\"");
    assert_eq!(
        passed_on,
        !matches!(way, Way::Direct),
        "{case}: {}",
        setup.log()
    );
    assert!(setup.sends_of("r") >= 2, "{case}: {}", setup.log());
    assert!(!setup.prefill_engine.received().is_empty(), "{case}");
    let whole = engine_setup::complete_stream(EVENTS);
    assert!(whole.starts_with(&answer.body), "{case}: {}", setup.log());
    assert!(
        !answer.complete || answer.body == whole,
        "{case}: {}",
        setup.log()
    );
    assert_eq!(answer.status, 200, "{case}: {}", setup.log());
    assert!(answer.body.contains("event 1"), "{case}: {}", setup.log());
}

async fn check_broken_streams(way: Way) {
    for broken in BREAKS {
        let checks =
            FAILURES.map(|failure| tokio::spawn(check_broken_stream(way, broken, failure)));
        for check in checks {
            check.await.unwrap();
        }
    }
}

/// Guards against a failure's text within a stream, and against parts that look whole.
#[tokio::test]
async fn failure_of_the_next_server_is_no_part_of_a_stream() {
    check_broken_streams(Way::Direct).await;
}

#[tokio::test]
async fn failure_of_the_next_server_is_no_part_of_a_stream_of_another_host() {
    check_broken_streams(Way::OtherHost).await;
}

#[tokio::test]
async fn failure_at_another_host_is_no_part_of_a_stream() {
    check_broken_streams(Way::NextAtOtherHost).await;
}

/// Sends a request whose servers close the connection within the head of the answer, and checks what its caller gets.
async fn check_cut_head(through_other_host: bool, path: &'static str, fault: server::Fault) {
    let is_stream = ["/brief/x", "/single/x"].contains(&path);
    let setup = Setup::start(is_stream.then_some("decode")).await;
    if through_other_host {
        setup.cut_links();
    }
    setup.set_fault(fault);
    let answer = setup.send(path, "r").await;
    let case = format!("{path}, {fault:?}, other host: {through_other_host}: {answer:?}");
    assert!(setup.sends_of("r") >= 1, "{case}: {}", setup.log());
    assert!(
        answer.complete && answer.status == 502,
        "{case}: {}",
        setup.log()
    );
}

async fn check_cut_heads(through_other_host: bool) {
    let mut checks = Vec::new();
    for path in ["/plain/x", "/once/x", "/brief/x", "/single/x"] {
        for fault in [
            server::Fault::CloseBeforeHeadEnds,
            server::Fault::CloseWithinHeader,
        ] {
            checks.push(tokio::spawn(check_cut_head(
                through_other_host,
                path,
                fault,
            )));
        }
    }
    for check in checks {
        check.await.unwrap();
    }
}

/// Guards against answers that are framed as whole although their heads broke off.
#[tokio::test]
async fn answer_whose_head_breaks_off_is_a_failure() {
    check_cut_heads(false).await;
}

#[tokio::test]
async fn answer_whose_head_breaks_off_at_another_host_is_a_failure() {
    check_cut_heads(true).await;
}
