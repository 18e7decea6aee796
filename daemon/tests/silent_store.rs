//! Connections to the store that go silent without being closed, while new ones work.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::proxy;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Requests at a host at once, so many that it uses each server that it may use.
const REQUESTS_AT_ONCE: usize = 20;
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// How long after the store has accepted that a server leaves requests may still reach it, and a former configuration
/// may be in force.
const NOTICE_TIME: time::Duration = time::Duration::from_secs(2);
/// How long after its connections went silent a host needn't keep that bound.
const STABILITY: time::Duration = time::Duration::from_secs(3);

struct Fleet {
    store: sync::Arc<store::Store>,
    proxies: Vec<sync::Arc<proxy::Proxy>>,
    hosts: Vec<hosts::Host>,
    servers: Vec<sync::Arc<server::Server>>,
}

impl Fleet {
    /// Starts three hosts, each with a link of its own to the store, and three servers.
    async fn start() -> Self {
        let (store, addr) = store::Store::start().await;
        hosts::configure(&store, 3);
        let mut fleet = Self {
            store,
            proxies: Vec::new(),
            hosts: Vec::new(),
            servers: Vec::new(),
        };
        for id in ["i-a", "i-b", "i-c"] {
            let server = server::Server::start(id, None).await;
            server.delay_ms.store(50, atomic::Ordering::Relaxed);
            server.register(&fleet.store, "gate");
            fleet.servers.push(server);
        }
        for name in ["h1", "h2", "h3"] {
            let proxy = proxy::Proxy::start(addr).await;
            fleet
                .hosts
                .push(hosts::Host::start(BINARY, name, proxy.addr));
            fleet.proxies.push(proxy);
        }
        for host in &fleet.hosts {
            host.wait_ready().await;
        }
        // All hosts know each other and watch.
        tokio::time::sleep(time::Duration::from_millis(1_500)).await;
        fleet
    }

    /// Silences the open connections to the store of the first `hosts` hosts.
    fn silence(&self, hosts: usize) {
        for proxy in &self.proxies[..hosts] {
            proxy.silence_open();
        }
    }

    /// Has server `i-a` leave, and moves a route.
    fn change(&self) {
        let entry = self.servers[0].entry("gate", "draining");
        self.store.put("servers", "i-a", entry);
        let mut newer = hosts::configuration(4);
        newer["routes"][0]["path_prefix"] = "/moved/".into();
        self.store.put("config", "main", newer);
    }

    /// Checks that all hosts know of the change.
    async fn check_changed(&self) {
        for host in &self.hosts {
            assert_eq!(self.status(host, "/moved/x").await, 200, "{}", host.log());
        }
        self.check_unused("i-a").await;
    }

    async fn status(&self, host: &hosts::Host, path: &str) -> u16 {
        let bytes = caller::request("POST", path, "r", "", "");
        let answer = caller::send(host.callers_addr, &bytes, TIMEOUT);
        answer.await.status
    }

    /// Checks that no host sends anything to a server.
    async fn check_unused(&self, id: &str) {
        let server = self.servers.iter().find(|server| server.id == id).unwrap();
        let before = server.received().len();
        for host in &self.hosts {
            let sends = (0..REQUESTS_AT_ONCE).map(|_| self.status(host, "/once/x"));
            let statuses = futures_util::future::join_all(sends).await;
            assert_eq!(statuses, [200; REQUESTS_AT_ONCE], "{}", host.log());
            let received = server.received().len() - before;
            let name = &host.name;
            assert_eq!(received, 0, "{name} uses {id}: {}", host.log());
        }
    }
}

#[tokio::test]
async fn host_with_silent_watch_learns_of_a_leaving_server() {
    let fleet = Fleet::start().await;
    fleet.silence(1);
    let entry = fleet.servers[0].entry("gate", "draining");
    fleet.store.put("servers", "i-a", entry);
    tokio::time::sleep(NOTICE_TIME).await;
    fleet.check_unused("i-a").await;
}

#[tokio::test]
async fn host_with_silent_watch_learns_of_a_removed_server() {
    let fleet = Fleet::start().await;
    fleet.silence(1);
    fleet.store.remove("servers", "i-b");
    tokio::time::sleep(NOTICE_TIME).await;
    fleet.check_unused("i-b").await;
}

/// No host can tell another one.
#[tokio::test]
async fn hosts_whose_watches_all_go_silent_find_out() {
    let fleet = Fleet::start().await;
    let began = time::Instant::now();
    fleet.silence(fleet.hosts.len());
    tokio::time::sleep(time::Duration::from_millis(1_000)).await;
    fleet.change();
    let due = (began + STABILITY).max(time::Instant::now()) + NOTICE_TIME;
    tokio::time::sleep_until(due.into()).await;
    fleet.check_changed().await;
}

/// Calls that are made during the silence are lost, too.
#[tokio::test]
async fn views_are_current_after_a_silent_store_answers_again() {
    let fleet = Fleet::start().await;
    for proxy in &fleet.proxies {
        proxy.set_fault(proxy::Fault::DropAll);
    }
    tokio::time::sleep(time::Duration::from_millis(4_500)).await;
    for proxy in &fleet.proxies {
        proxy.set_fault(proxy::Fault::None);
    }
    tokio::time::sleep(STABILITY).await;
    fleet.change();
    tokio::time::sleep(NOTICE_TIME).await;
    fleet.check_changed().await;
}
