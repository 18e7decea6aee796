//! Limits of workspaces, which hosts keep together.

use std::sync;
use std::time;

use serde_json::Value;
use serde_json::json;
use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for an answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// The span of time in which use is counted against a limit.
const WINDOW: time::Duration = time::Duration::from_secs(8);
/// Time until a new configuration must be in force.
const APPLY_TIME: time::Duration = time::Duration::from_secs(3);
/// What a request counts as, and how many a second and at once the workspace `north` may use.
const COST: f64 = 20_000.0;
const RATE: f64 = 20.0;
const BURST: f64 = 20.0;
/// What may be used beyond a limit: a part of it, and some tokens.
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 120_000.0;
/// Requests of callers a second.
const LOAD: f64 = 60.0;

fn configuration(version: u64, rate: f64) -> Value {
    let mut configuration = hosts::configuration(version);
    configuration["tenants"] = json!([
        {"name": "north", "api_keys": ["key-n"], "unit": "token_stream", "plain_tokens": COST,
         "rate_per_s": rate * COST, "burst": BURST * COST},
        {"name": "south", "api_keys": ["key-s"]},
    ]);
    configuration
}

/// Hosts, and a server of the service `gate`.
struct Setup {
    store: sync::Arc<store::Store>,
    hosts: Vec<hosts::Host>,
    gate: sync::Arc<server::Server>,
}

/// What callers were told.
#[derive(Debug, Default)]
struct Told {
    served: usize,
    retry_after: Vec<f64>,
    slowest_refusal: time::Duration,
    others: Vec<u16>,
}

impl Setup {
    async fn new(count: usize) -> Self {
        let (store, addr) = store::Store::start().await;
        store.put("config", "main", configuration(3, RATE));
        let gate = server::Server::start("i-a", None).await;
        let hosts: Vec<_> = (0..count)
            .map(|number| hosts::Host::start(BINARY, &format!("h{number}"), addr))
            .collect();
        for host in &hosts {
            host.wait_ready().await;
        }
        // Gives the hosts time to hear of each other.
        tokio::time::sleep(time::Duration::from_millis(1_500)).await;
        Self { store, hosts, gate }
    }

    /// Sends `LOAD` requests a second for a time, each to the host that `host` chooses by its number.
    async fn load(&self, key: &str, length: time::Duration, host: impl Fn(usize) -> usize) -> Told {
        let mut tasks = Vec::new();
        let start = time::Instant::now();
        for number in 0..(length.as_secs_f64() * LOAD) as usize {
            let due = start + time::Duration::from_secs_f64(number as f64 / LOAD);
            tokio::time::sleep_until(due.into()).await;
            let id = format!("r-{number}-{}", start.elapsed().as_micros());
            let headers = format!("Authorization: Bearer {key}\r\n");
            let bytes = caller::request("POST", "/plain/x", &id, &headers, &id);
            let addr = self.hosts[host(number)].callers_addr;
            tasks.push(tokio::spawn(async move {
                let sent = time::Instant::now();
                let answer = caller::send(addr, &bytes, TIMEOUT).await;
                (answer, sent.elapsed())
            }));
        }
        let mut told = Told::default();
        for task in tasks {
            let (answer, took) = task.await.unwrap();
            match answer.status {
                200 => told.served += 1,
                429 => {
                    let retry_after = answer.header("retry-after").unwrap();
                    told.retry_after.push(retry_after.parse().unwrap());
                    told.slowest_refusal = told.slowest_refusal.max(took);
                }
                other => told.others.push(other),
            }
        }
        told
    }

    /// Checks that requests that arrived at `since` or later were within a limit.
    fn assert_kept(&self, rate: f64, since: time::Instant) {
        let received = self.gate.received();
        let arrivals: Vec<_> = received.iter().map(|request| request.at).collect();
        let in_window = |start: &time::Instant| {
            let end = *start + WINDOW;
            arrivals
                .iter()
                .filter(|at| *at >= start && **at < end)
                .count()
        };
        let counted = arrivals.iter().filter(|at| **at >= since);
        let most = counted.map(in_window).max().unwrap_or(0) as f64 * COST;
        let allowed = (rate * WINDOW.as_secs_f64() + BURST) * COST * (1.0 + OVERAGE) + SLACK;
        assert!(most <= allowed, "{most} used in 8 s, allowed {allowed}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn two_hosts() {
    let setup = Setup::new(2).await;
    setup.gate.register(&setup.store, "gate");
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let start = time::Instant::now();
    let both = |number| number % 2;
    let told = setup.load("key-n", WINDOW, both).await;
    setup.assert_kept(RATE, start);
    assert!(told.others.is_empty(), "{told:?}");
    assert!(
        told.served as f64 >= 0.95 * RATE * WINDOW.as_secs_f64(),
        "{told:?}"
    );
    assert!(
        told.retry_after
            .iter()
            .all(|wait| (0.0..30.1).contains(wait)),
        "{told:?}"
    );
    assert!(told.slowest_refusal.as_millis() < 400, "{told:?}");
    // Others have limits of their own, or none.
    let south = setup
        .load("key-s", time::Duration::from_secs(1), both)
        .await;
    assert_eq!(south.served, LOAD as usize, "{south:?}");
    let log = setup.hosts[0].log();
    assert!(log.contains(r#""workspace":"north""#), "{log}");
    assert!(!log.contains("key-n"), "{log}");
}

// From two seconds on, a host with all requests may use nearly the whole limit.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_four() {
    let setup = Setup::new(4).await;
    setup.gate.register(&setup.store, "gate");
    setup
        .load("key-n", time::Duration::from_secs(2), |_| 1)
        .await;
    let start = time::Instant::now();
    let told = setup.load("key-n", WINDOW, |_| 1).await;
    setup.assert_kept(RATE, start);
    assert!(
        told.served as f64 >= 0.95 * RATE * WINDOW.as_secs_f64(),
        "{told:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_hosts() {
    let mut setup = Setup::new(2).await;
    setup.gate.register(&setup.store, "gate");
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let start = time::Instant::now();
    let second = time::Duration::from_secs(2);
    let both = |number| number % 2;
    setup.load("key-n", second, both).await;
    setup.hosts[0].restart();
    setup.load("key-n", second, both).await;
    setup.hosts.iter_mut().for_each(hosts::Host::restart);
    for host in &setup.hosts {
        host.wait_ready().await;
    }
    setup.load("key-n", second, both).await;
    setup.hosts.iter_mut().for_each(hosts::Host::restart);
    for host in &setup.hosts {
        host.wait_ready().await;
    }
    setup.load("key-n", second * 2, both).await;
    setup.assert_kept(RATE, start);
}

// What is refused for another reason uses nothing.
#[tokio::test(flavor = "multi_thread")]
async fn no_servers() {
    let setup = Setup::new(2).await;
    let both = |number| number % 2;
    let told = setup
        .load("key-n", time::Duration::from_secs(3), both)
        .await;
    assert_eq!(told.served, 0);
    assert!(told.others.iter().all(|status| *status == 503), "{told:?}");
    assert_eq!(told.retry_after.len(), 0, "{told:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn lower_limit() {
    let setup = Setup::new(2).await;
    setup.gate.register(&setup.store, "gate");
    let both = |number| number % 2;
    setup
        .load("key-n", time::Duration::from_secs(2), both)
        .await;
    setup.store.put("config", "main", configuration(4, 5.0));
    let changed = time::Instant::now();
    setup.load("key-n", APPLY_TIME + WINDOW, both).await;
    setup.assert_kept(5.0, changed + APPLY_TIME);
}
