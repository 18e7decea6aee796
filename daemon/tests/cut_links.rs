//! Hosts whose network links to the servers are cut, while callers, the store and the other hosts reach them.

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
const HOSTS: usize = 4;
/// How long callers wait for an answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Time for hosts to notice that their links are cut.
const NOTICE_TIME: time::Duration = time::Duration::from_secs(3);
/// Time between two requests.
const INTERVAL: time::Duration = time::Duration::from_millis(25);
/// Time for hosts to hear of each other, and to use their servers.
const START_TIME: time::Duration = time::Duration::from_millis(1_200);

/// Served requests and all, at hosts behind links and at the others.
#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    behind_links: (usize, usize),
    others: (usize, usize),
}

impl Rates {
    /// Asserts that hosts behind links serve nearly as much as the others.
    fn assert_alike(&self, setup: &Setup) {
        let (served, all) = self.behind_links;
        let logs = setup.hosts[..setup.behind_links]
            .iter()
            .map(|host| host.log());
        let log = logs.collect::<String>();
        assert!(all > 0 && served * 20 >= all * 19, "{self:?}\n{log}");
        let (served, all) = self.others;
        assert!(served * 20 >= all * 19, "others: {self:?}\n{log}");
    }
}

/// Hosts of which the first ones are behind links to the servers, and a store that all reach.
struct Setup {
    hosts: Vec<hosts::Host>,
    behind_links: usize,
    links: Vec<sync::Arc<link::Link>>,
    servers: Vec<sync::Arc<server::Server>>,
    sent: atomic::AtomicUsize,
}

impl Setup {
    async fn start(behind_links: usize, stages: &[Option<&'static str>]) -> Self {
        Self::start_with(behind_links, stages, "").await
    }

    /// Starts hosts with additional sections in their settings files.
    async fn start_with(
        behind_links: usize,
        stages: &[Option<&'static str>],
        settings: &str,
    ) -> Self {
        let (store, addr) = store::Store::start().await;
        hosts::configure(&store, 3);
        let (mut servers, mut links, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
        for (number, stage) in stages.iter().enumerate() {
            let server = server::Server::start(&format!("i-{number}"), *stage).await;
            server.register(&store, if stage.is_some() { "scribe" } else { "gate" });
            let link = link::Link::start(server.addr).await;
            addresses.push((server.addr, link.addr));
            servers.push(server);
            links.push(link);
        }
        let view = store.start_view(addresses).await;
        let hosts = (0..HOSTS).map(|number| {
            let store = if number < behind_links { view } else { addr };
            hosts::Host::start_with(BINARY, &format!("h{number}"), store, settings)
        });
        let setup = Self {
            hosts: hosts.collect(),
            behind_links,
            links,
            servers,
            sent: atomic::AtomicUsize::new(0),
        };
        for host in &setup.hosts {
            host.wait_ready().await;
        }
        tokio::time::sleep(START_TIME).await;
        setup
    }

    /// Starts three servers of the service `gate`.
    async fn plain(behind_links: usize) -> Self {
        Self::start(behind_links, &[None; 3]).await
    }

    /// Starts an engine for prefill and two for decode.
    async fn engines(behind_links: usize) -> Self {
        let stages = [Some("prefill"), Some("decode"), Some("decode")];
        Self::start(behind_links, &stages).await
    }

    fn set_links(&self, state: link::State) {
        self.links.iter().for_each(|link| link.set(state));
    }

    /// Sends requests to the hosts in turn for `duration`, each once. Returns which were served.
    async fn send_for(&self, path: &str, duration: time::Duration) -> Rates {
        let start = time::Instant::now();
        let mut sends = Vec::new();
        while start.elapsed() < duration {
            let number = self.sent.fetch_add(1, atomic::Ordering::Relaxed);
            let host = number % HOSTS;
            let addr = self.hosts[host].callers_addr;
            let id = format!("r{number}");
            let headers = match path {
                "/brief/x" | "/single/x" => engine_setup::PROMPT,
                _ => "X-Request-Deadline: 2000\r\n",
            };
            let bytes = caller::request("POST", path, &id, headers, &id);
            let send = async move { (host, caller::send(addr, &bytes, TIMEOUT).await) };
            sends.push(tokio::spawn(send));
            tokio::time::sleep(INTERVAL).await;
        }
        let mut rates = Rates::default();
        for send in sends {
            let (host, answer) = send.await.unwrap();
            let counts = match host < self.behind_links {
                true => &mut rates.behind_links,
                false => &mut rates.others,
            };
            counts.0 += usize::from(answer.status == 200 && answer.complete);
            counts.1 += 1;
        }
        rates
    }

    /// Cuts the links under load, and asserts that all hosts serve alike once they had time to notice.
    async fn assert_served_while(&self, state: link::State, path: &str) {
        self.send_for(path, time::Duration::from_millis(500)).await;
        self.set_links(state);
        self.send_for(path, NOTICE_TIME).await;
        let rates = self.send_for(path, time::Duration::from_secs(2)).await;
        rates.assert_alike(self);
        self.assert_each_ran_once_at_most(path);
    }

    fn assert_each_ran_once_at_most(&self, path: &str) {
        if !["/once/x", "/single/x"].contains(&path) {
            return;
        }
        for number in 0..self.sent.load(atomic::Ordering::Relaxed) {
            let id = format!("r{number}");
            let runs: usize = self.servers.iter().map(|s| s.runs_of(&id)).sum();
            assert!(runs <= 1, "{id} ran {runs} times");
        }
    }
}

#[tokio::test]
async fn hosts_whose_connections_are_reset_serve_through_others() {
    let setup = Setup::plain(2).await;
    setup
        .assert_served_while(link::State::Reset, "/plain/x")
        .await;
}

#[tokio::test]
async fn hosts_whose_connections_hang_serve_through_others() {
    let setup = Setup::plain(2).await;
    setup
        .assert_served_while(link::State::Hanging, "/plain/x")
        .await;
}

#[tokio::test]
async fn one_host_serves_for_three_that_are_cut_off() {
    let setup = Setup::plain(3).await;
    setup
        .assert_served_while(link::State::Hanging, "/plain/x")
        .await;
}

#[tokio::test]
async fn requests_that_may_run_once_are_served_through_others() {
    for state in [link::State::Reset, link::State::Hanging] {
        let setup = Setup::plain(2).await;
        setup.assert_served_while(state, "/once/x").await;
    }
}

#[tokio::test]
async fn slow_requests_are_served_through_others_when_new_connections_are_refused() {
    let setup = Setup::plain(2).await;
    for server in &setup.servers {
        server.delay_ms.store(900, atomic::Ordering::Relaxed);
    }
    setup
        .assert_served_while(link::State::RefusesNew, "/plain/x")
        .await;
}

#[tokio::test]
async fn streams_are_served_through_others_when_connections_are_reset() {
    for path in ["/brief/x", "/single/x"] {
        let setup = Setup::engines(2).await;
        setup.assert_served_while(link::State::Reset, path).await;
    }
}

#[tokio::test]
async fn streams_are_served_through_others_when_connections_hang() {
    for path in ["/brief/x", "/single/x"] {
        let setup = Setup::engines(2).await;
        setup.assert_served_while(link::State::Hanging, path).await;
    }
}

// Nobody can serve: the callers are told at once, and hosts serve again when the links are back.
#[tokio::test]
async fn requests_are_refused_while_all_hosts_are_cut_off_and_served_afterwards() {
    for state in [link::State::Reset, link::State::Hanging] {
        let setup = Setup::plain(HOSTS).await;
        setup.set_links(state);
        setup.send_for("/plain/x", NOTICE_TIME).await;
        let started = time::Instant::now();
        let rates = setup
            .send_for("/plain/x", time::Duration::from_millis(500))
            .await;
        assert_eq!(rates.behind_links.0, 0, "{rates:?}");
        assert!(
            started.elapsed() < time::Duration::from_secs(2),
            "{state:?}"
        );
        setup.set_links(link::State::Whole);
        setup.send_for("/plain/x", NOTICE_TIME).await;
        let rates = setup
            .send_for("/plain/x", time::Duration::from_secs(1))
            .await;
        rates.assert_alike(&setup);
    }
}

impl Setup {
    /// Sends a content to the hosts behind links again and again, and resets the links while servers work on it.
    async fn break_off_by_links(&self, path: &str, body: &str) {
        for round in 0..6 {
            let sends = (0..self.behind_links).map(|host| async move {
                let id = format!("b{round}-{host}");
                let bytes = caller::request("POST", path, &id, engine_setup::PROMPT, body);
                caller::send(self.hosts[host].callers_addr, &bytes, TIMEOUT).await
            });
            let cut = async {
                tokio::time::sleep(time::Duration::from_millis(300)).await;
                self.set_links(link::State::Reset);
                tokio::time::sleep(time::Duration::from_millis(700)).await;
                self.set_links(link::State::Whole);
                tokio::time::sleep(time::Duration::from_millis(1_200)).await;
            };
            tokio::join!(futures_util::future::join_all(sends), cut);
        }
    }

    /// Asserts that no host holds that a server crashed, and that one that was never cut off serves the content.
    async fn assert_not_blamed(&self, path: &str, body: &str) {
        for host in &self.hosts {
            let log = host.log();
            assert!(!log.contains("-crashed-server"), "{}:\n{log}", host.name);
        }
        let bytes = caller::request("POST", path, "last", engine_setup::PROMPT, body);
        let last = &self.hosts[HOSTS - 1];
        let answer = caller::send(last.callers_addr, &bytes, 2 * TIMEOUT).await;
        assert_eq!(answer.status, 200, "{answer:?}\n{}", last.log());
    }
}

// A host whose links are cut sees what a crash looks like. Its view must not have content refused everywhere.
#[tokio::test]
async fn content_is_not_blamed_for_connections_that_cut_links_reset() {
    let setup = Setup::plain(2).await;
    for server in &setup.servers {
        server.delay_ms.store(2_000, atomic::Ordering::Relaxed);
    }
    setup.break_off_by_links("/once/x", "slow").await;
    setup.assert_not_blamed("/once/x", "slow").await;
}

#[tokio::test]
async fn prompts_are_not_blamed_for_streams_that_cut_links_reset() {
    let setup = Setup::engines(2).await;
    for server in &setup.servers {
        server.delay_ms.store(400, atomic::Ordering::Relaxed);
    }
    setup.break_off_by_links("/single/x", "slow").await;
    setup.assert_not_blamed("/single/x", "slow").await;
}

// Hosts with whole links see a crash, and hosts without mustn't hide it.
#[tokio::test]
async fn crashes_are_counted_while_other_hosts_are_cut_off() {
    let setup = Setup::plain(2).await;
    setup.set_links(link::State::Hanging);
    tokio::time::sleep(NOTICE_TIME).await;
    for server in &setup.servers {
        server.set_fault(server::Fault::CrashOnPoison);
    }
    for number in 0..2 {
        let id = format!("p{number}");
        let bytes = caller::request("POST", "/once/x", &id, "", "poison");
        caller::send(setup.hosts[HOSTS - 1].callers_addr, &bytes, TIMEOUT).await;
        tokio::time::sleep(time::Duration::from_millis(800)).await;
    }
    let log = setup.hosts[HOSTS - 1].log();
    let crashes = log.matches("\"content-crashed-server\"").count();
    assert_eq!(crashes, 2, "{log}");
}

// One server in reach is not enough for all requests of a host.
#[tokio::test]
async fn requests_that_the_only_server_in_reach_refuses_are_served_through_others() {
    // Each request is a retry at the other host.
    let settings = "[retry]\nratio = 1\nslack = 500\nwindow = 10s\n";
    let setup = Setup::start_with(2, &[None; 3], settings).await;
    setup
        .send_for("/once/x", time::Duration::from_millis(500))
        .await;
    setup.links[1..]
        .iter()
        .for_each(|link| link.set(link::State::Hanging));
    setup.send_for("/once/x", NOTICE_TIME).await;
    setup.servers[0].set_fault(server::Fault::Shed);
    let rates = setup
        .send_for("/once/x", time::Duration::from_secs(2))
        .await;
    rates.assert_alike(&setup);
    setup.assert_each_ran_once_at_most("/once/x");
}
