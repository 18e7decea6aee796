//! Limits on the requests a second that servers name in their answers.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for an answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Time from the first answer that names a limit until it must be kept.
const NOTICE_TIME: time::Duration = time::Duration::from_secs(3);
/// The span of time in which requests are counted against a limit.
const WINDOW: time::Duration = time::Duration::from_secs(4);
/// Requests of callers a second, over all hosts, while a limit is tested.
const RATE: f64 = 60.0;
/// How long requests are sent while a limit is tested.
const LOAD_TIME: time::Duration = time::Duration::from_secs(9);

/// Three hosts and servers of the service `gate`.
struct Setup {
    store: sync::Arc<store::Store>,
    store_addr: std::net::SocketAddr,
    hosts: Vec<hosts::Host>,
    servers: Vec<sync::Arc<server::Server>>,
}

/// What callers were told.
#[derive(Debug, Default)]
struct Told {
    served: usize,
    /// Times after which callers were refused, in milliseconds.
    refused_after_ms: Vec<u128>,
    /// The `Retry-After` of refusals, in seconds.
    retry_after: Vec<f64>,
    others: Vec<u16>,
}

impl Setup {
    async fn new(servers: usize) -> Self {
        let (store, store_addr) = store::Store::start().await;
        hosts::configure(&store, 3);
        let mut started = Vec::new();
        for number in 0..servers {
            let server = server::Server::start(&format!("i-{number}"), None).await;
            server.register(&store, "gate");
            started.push(server);
        }
        let hosts: Vec<_> = (0..3)
            .map(|number| hosts::Host::start(BINARY, &format!("h{number}"), store_addr))
            .collect();
        for host in &hosts {
            host.wait_ready().await;
        }
        // Gives the hosts time to hear of each other.
        tokio::time::sleep(time::Duration::from_millis(700)).await;
        Self {
            store,
            store_addr,
            hosts,
            servers: started,
        }
    }

    /// Sends `RATE` requests a second for a time, each to the host that `host` chooses by its number.
    async fn load(&self, duration: time::Duration, host: impl Fn(usize) -> usize) -> Told {
        self.load_route("plain", duration, host).await
    }

    async fn load_route(
        &self,
        route: &str,
        duration: time::Duration,
        host: impl Fn(usize) -> usize,
    ) -> Told {
        let mut tasks = Vec::new();
        let start = time::Instant::now();
        let count = (duration.as_secs_f64() * RATE) as usize;
        for number in 0..count {
            let due = start + time::Duration::from_secs_f64(number as f64 / RATE);
            tokio::time::sleep_until(due.into()).await;
            let id = format!("{route}-{}-{number}", start.elapsed().as_micros());
            let bytes = caller::request("POST", &format!("/{route}/x"), &id, "", &id);
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
                503 => {
                    told.refused_after_ms.push(took.as_millis());
                    let retry_after = answer.header("retry-after");
                    told.retry_after
                        .push(retry_after.map_or(0.0, |text| text.parse().unwrap()));
                }
                other => told.others.push(other),
            }
        }
        told
    }
}

/// Returns when a server received requests, oldest first.
fn arrivals(server: &server::Server) -> Vec<time::Instant> {
    let mut at: Vec<_> = server.received().iter().map(|request| request.at).collect();
    at.sort();
    at
}

/// Returns the most requests that a server received in any `WINDOW` that began `NOTICE_TIME` after `since` or
/// later.
fn most_in_window(server: &server::Server, since: time::Instant) -> usize {
    let arrivals = arrivals(server);
    let counted = arrivals.iter().filter(|at| **at >= since + NOTICE_TIME);
    let in_window = |start: &time::Instant| {
        let window = arrivals
            .iter()
            .filter(|at| *at >= start && **at < *start + WINDOW);
        window.count()
    };
    counted.map(in_window).max().unwrap_or(0)
}

/// Returns how many requests a server may get in `WINDOW`: one and a half times what its limit allows, and five.
fn allowed(limit: f64) -> f64 {
    1.5 * limit * WINDOW.as_secs_f64() + 5.0
}

fn assert_kept(server: &server::Server, limit: f64, since: time::Instant, setup: &Setup) {
    let most = most_in_window(server, since);
    assert!(
        most as f64 <= allowed(limit),
        "{} got {most} requests in 4 s, allowed {}\n{}",
        server.id,
        allowed(limit),
        setup.hosts[0].log()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_keep_the_limit_together_and_send_the_rest_elsewhere() {
    let setup = Setup::new(2).await;
    let limited = &setup.servers[0];
    limited.set_limit(Some("5"));
    // Hosts prefer the faster server, so they use as much of its limit as they may.
    setup.servers[1]
        .delay_ms
        .store(40, atomic::Ordering::Relaxed);
    let start = time::Instant::now();
    let told = setup.load(LOAD_TIME, |number| number % 3).await;
    assert_kept(limited, 5.0, start, &setup);
    assert!(told.refused_after_ms.is_empty(), "{told:?}");
    assert!(told.others.is_empty(), "{told:?}");
    // The limit is used, too.
    let got = arrivals(limited);
    let late = got.iter().filter(|at| **at >= start + NOTICE_TIME).count();
    assert!(
        late >= 15,
        "{late} requests in 6 s\n{}",
        setup.hosts[0].log()
    );
}

// One host's callers may use what the other hosts' don't.
#[tokio::test(flavor = "multi_thread")]
async fn host_with_all_callers_gets_the_whole_limit() {
    let setup = Setup::new(1).await;
    setup.servers[0].set_limit(Some("12"));
    let start = time::Instant::now();
    let told = setup.load(LOAD_TIME, |_| 1).await;
    assert_kept(&setup.servers[0], 12.0, start, &setup);
    assert!(told.served >= 80, "{} served of 108", told.served);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_beyond_all_limits_are_refused_at_once() {
    let setup = Setup::new(2).await;
    for server in &setup.servers {
        server.set_limit(Some("6"));
    }
    let start = time::Instant::now();
    let told = setup.load(LOAD_TIME, |number| number % 3).await;
    for server in &setup.servers {
        assert_kept(server, 6.0, start, &setup);
    }
    assert!(told.others.is_empty(), "{told:?}");
    assert!(told.refused_after_ms.len() > 200, "{told:?}");
    let slowest = told.refused_after_ms.iter().max().unwrap();
    assert!(*slowest < 400, "refused after {slowest} ms");
    assert!(told.served >= 70, "{} served of 108", told.served);
    // Each host is refused about 16 a second and has 4 a second.
    let told_when = told.retry_after.iter().sum::<f64>() / told.retry_after.len() as f64;
    assert!((1.0..10.0).contains(&told_when), "{told_when} s");
}

// Requests that may run once are sent once, and bound like all others.
#[tokio::test(flavor = "multi_thread")]
async fn retries_count_against_the_limit() {
    let setup = Setup::new(2).await;
    let limited = &setup.servers[0];
    limited.set_limit(Some("5"));
    for server in &setup.servers {
        server.set_fault(server::Fault::Status500);
    }
    let start = time::Instant::now();
    setup.load(LOAD_TIME, |number| number % 3).await;
    assert_kept(limited, 5.0, start, &setup);
}

#[tokio::test(flavor = "multi_thread")]
async fn limit_ends_once_answers_no_longer_name_it() {
    let setup = Setup::new(1).await;
    setup.servers[0].set_limit(Some("4"));
    let limited = setup.load(NOTICE_TIME, |number| number % 3).await;
    assert!(limited.refused_after_ms.len() > 50, "{limited:?}");
    setup.servers[0].set_limit(None);
    setup.load(NOTICE_TIME, |number| number % 3).await;
    let unlimited = setup.load(NOTICE_TIME / 2, |number| number % 3).await;
    assert!(
        unlimited.refused_after_ms.is_empty(),
        "{unlimited:?}\n{}",
        setup.hosts[0].log()
    );
}

// A server that takes nothing is asked now and then whether that is still so.
#[tokio::test(flavor = "multi_thread")]
async fn limit_of_zero_is_kept_and_ends() {
    let setup = Setup::new(1).await;
    setup.servers[0].set_limit(Some("0"));
    let start = time::Instant::now();
    setup.load(LOAD_TIME, |number| number % 3).await;
    assert_kept(&setup.servers[0], 0.0, start, &setup);
    setup.servers[0].set_limit(None);
    setup.load(LOAD_TIME, |number| number % 3).await;
    let unlimited = setup.load(NOTICE_TIME / 2, |number| number % 3).await;
    assert!(unlimited.refused_after_ms.is_empty(), "{unlimited:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn values_that_are_no_rate_limit_nothing() {
    let setup = Setup::new(1).await;
    for value in ["", "many", "-1", "inf", "NaN"] {
        setup.servers[0].set_limit(Some(value));
        let told = setup.load(NOTICE_TIME / 2, |number| number % 3).await;
        assert!(told.refused_after_ms.is_empty(), "{value}: {told:?}");
    }
    let log = setup.hosts[0].log();
    let logged = log.matches(r#""event":"server-limit-unreadable""#).count();
    assert_eq!(logged, 5, "once a value: {log}");
}

// What a process named says nothing of the one that takes its place.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_server_has_no_limit() {
    let setup = Setup::new(1).await;
    let server = &setup.servers[0];
    server.set_limit(Some("2"));
    let limited = setup.load(NOTICE_TIME / 2, |number| number % 3).await;
    assert!(!limited.refused_after_ms.is_empty(), "{limited:?}");
    server.crash();
    let restarted = server.start_again(&server.id).await;
    restarted.register(&setup.store, "gate");
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    let unlimited = setup.load(NOTICE_TIME / 2, |number| number % 3).await;
    assert!(
        unlimited.refused_after_ms.is_empty(),
        "{unlimited:?}\n{}",
        setup.hosts[0].log()
    );
}

// A host that starts later takes its part of what the others have had, not a limit of its own.
#[tokio::test(flavor = "multi_thread")]
async fn limit_holds_while_hosts_are_killed_and_start() {
    let mut setup = Setup::new(1).await;
    setup.servers[0].set_limit(Some("8"));
    let start = time::Instant::now();
    setup.load(LOAD_TIME / 3, |number| number % 3).await;
    setup.hosts[0].restart();
    setup
        .hosts
        .push(hosts::Host::start(BINARY, "h3", setup.store_addr));
    setup.hosts[0].wait_ready().await;
    setup.hosts[3].wait_ready().await;
    setup.load(LOAD_TIME, |number| number % 4).await;
    assert_kept(&setup.servers[0], 8.0, start, &setup);
}

// A server that is full says nothing of a limit, whether or not another one could take the request.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_a_full_server_is_not_taken_for_a_limit() {
    let setup = Setup::new(2).await;
    let mut document = hosts::configuration(4);
    document["routes"][0]["max_attempts"] = serde_json::json!(1);
    setup.store.put("config", "main", document);
    for server in &setup.servers {
        server.set_fault(server::Fault::Shed);
    }
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let told = setup.load(time::Duration::from_secs(1), |_| 0).await;
    assert!(!told.retry_after.is_empty(), "{told:?}");
    let longest = told.retry_after.iter().copied().fold(0.0, f64::max);
    assert!(longest < 1.0, "{longest} s\n{}", setup.hosts[0].log());
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_of_engines_are_kept() {
    let setup = engine_setup::EngineSetup::start(BINARY).await;
    let limited = &setup.decode_engines[0];
    limited.set_limit(Some("2"));
    let start = time::Instant::now();
    let mut tasks = Vec::new();
    for number in 0..150 {
        let bytes = caller::request(
            "POST",
            "/single/x",
            &format!("s{number}"),
            engine_setup::PROMPT,
            "p",
        );
        let addr = setup.host.callers_addr;
        tasks.push(tokio::spawn(async move {
            caller::send(addr, &bytes, TIMEOUT).await
        }));
        tokio::time::sleep(time::Duration::from_millis(60)).await;
    }
    for task in tasks {
        let answer = task.await.unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let most = most_in_window(limited, start);
    assert!(
        most as f64 <= allowed(2.0),
        "{most} requests\n{}",
        setup.host.log()
    );
}
