//! Hosts keep the requests at the servers of a plain service within what these do at once.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Switches the feature on.
const SETTINGS: &str = "[deployment]\nterms = pressure\n";
/// Longest time to wait for an answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// The route's target latency.
const TARGET: time::Duration = time::Duration::from_millis(500);
/// Nothing is held longer than this part of the target latency and refused then.
const REFUSED_WITHIN: time::Duration = time::Duration::from_millis(500 / 8);
/// What a server's entry says that it runs at once, and how long that takes.
const SLOTS: usize = 8;
const WORK_MS: u64 = 50;
/// Requests of callers a second: three quarters of what two servers do.
const RATE: f64 = 240.0;
/// Time in which hosts divide what is left when a server is gone.
const NOTICE_TIME: time::Duration = time::Duration::from_secs(3);

/// What became of a request.
struct Told {
    sent: time::Instant,
    status: u16,
    took: time::Duration,
    retry_after: Option<f64>,
}

async fn start_server(store: &store::Store, id: &str) -> sync::Arc<server::Server> {
    let server = server::Server::start(id, None).await;
    let unused = tokio::sync::Semaphore::MAX_PERMITS - SLOTS;
    server.slots.forget_permits(unused);
    server.delay_ms.store(WORK_MS, atomic::Ordering::Relaxed);
    server.register(store, "gate");
    server
}

/// Sends `RATE` requests a second for a time to all hosts in turn.
async fn load(hosts: &[hosts::Host], duration: time::Duration) -> Vec<Told> {
    let start = time::Instant::now();
    let mut tasks = Vec::new();
    for number in 0..(duration.as_secs_f64() * RATE) as usize {
        let due = start + time::Duration::from_secs_f64(number as f64 / RATE);
        tokio::time::sleep_until(due.into()).await;
        let id = format!("r-{}-{number}", start.elapsed().as_micros());
        let bytes = caller::request("POST", "/once/x", &id, "", &id);
        let addr = hosts[number % hosts.len()].callers_addr;
        tasks.push(tokio::spawn(async move {
            let sent = time::Instant::now();
            let answer = caller::send(addr, &bytes, TIMEOUT).await;
            let retry_after = answer.header("retry-after");
            Told {
                sent,
                status: answer.status,
                took: sent.elapsed(),
                retry_after: retry_after.map(|text| text.parse().unwrap()),
            }
        }));
    }
    let mut told = Vec::new();
    for task in tasks {
        told.push(task.await.unwrap());
    }
    told
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crashed_server() {
    let (store, store_addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let server = start_server(&store, "i-a").await;
    let crashing = start_server(&store, "i-b").await;
    let hosts: Vec<_> = (0..3)
        .map(|number| hosts::Host::start_with(BINARY, &format!("h{number}"), store_addr, SETTINGS))
        .collect();
    for host in &hosts {
        host.wait_ready().await;
    }
    let before = load(&hosts, time::Duration::from_secs(3)).await;
    let served = before.iter().filter(|told| told.status == 200).count();
    assert!(
        served as f64 >= 0.99 * before.len() as f64,
        "{served} of {}\n{}",
        before.len(),
        hosts[0].log()
    );
    crashing.crash();
    let crashed_at = time::Instant::now();
    let after = load(&hosts, time::Duration::from_secs(8)).await;
    let settled: Vec<_> = after
        .iter()
        .filter(|told| told.sent >= crashed_at + NOTICE_TIME)
        .collect();
    let in_time = settled
        .iter()
        .filter(|told| told.status == 200 && told.took <= TARGET)
        .count();
    let late = settled
        .iter()
        .filter(|told| told.status == 200 && told.took > TARGET)
        .count();
    let refused: Vec<_> = settled.iter().filter(|told| told.status == 503).collect();
    let seconds = settled.len() as f64 / RATE;
    let does = seconds * SLOTS as f64 * 1_000.0 / WORK_MS as f64;
    let summary = format!(
        "{in_time} in time, {late} late, {} refused of {}; a server does {does}",
        refused.len(),
        settled.len()
    );
    println!("{summary}");
    assert!(
        in_time as f64 >= 0.8 * does,
        "{summary}\n{}",
        hosts[0].log()
    );
    assert_eq!(late, 0, "{summary}\n{}", hosts[0].log());
    assert_eq!(in_time + refused.len(), settled.len(), "{summary}");
    for told in refused {
        assert!(told.took <= REFUSED_WITHIN, "{:?} {summary}", told.took);
        assert!(
            told.retry_after.is_some_and(|after| after > 0.0),
            "{summary}"
        );
    }
    // What was refused hasn't run.
    let ran = server.received().len() + crashing.received().len();
    let sent_on = before.len() + after.iter().filter(|told| told.status != 503).count();
    assert!(ran <= sent_on, "{ran} of {sent_on}");
}
