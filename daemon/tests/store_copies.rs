//! A store that comes back from a copy some seconds old.

use std::sync;
use std::time;

use walnuthaven_lib::lease;
use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::engine_setup;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::link;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
/// Longest time to wait for what hosts write or read again.
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// The store's kind of the hosts' entries.
const HOSTS: &str = "walnuthaven-hosts";
/// The store's kinds of crash marks, served versions and streams.
const RECORDS: [&str; 3] = [
    "walnuthaven-crash-marks",
    "walnuthaven-served-versions",
    "walnuthaven-stream-records",
];
/// What a host logs when it has acquired or renewed the lease for orders to engines.
const LEASE_HELD: &str = "\"event\":\"lease-held\"";

async fn wait_until(log_of: &hosts::Host, what: &str, mut is_so: impl FnMut() -> bool) {
    let start = time::Instant::now();
    while !is_so() {
        assert!(start.elapsed() < TIMEOUT, "{what}: {}", log_of.log());
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

/// Guards against content that crashes servers again, and against streams that go on at another version, after a drill
/// and the end of all hosts: what only these knew is in the store again.
#[tokio::test]
async fn records_that_a_drill_lost_are_written_again() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let poisoned = add_server(&store, "i-a").await;
    poisoned.set_fault(server::Fault::CrashOnPoison);
    for (id, version) in [("i-d1", "v1"), ("i-d2", "v2")] {
        let engine = server::Server::start(id, Some("decode")).await;
        engine.set_version(version);
        engine.register(&store, "scribe");
    }
    let copy = store.copy();
    let again = store.copy();
    let all = ["h1", "h2"].map(|name| hosts::Host::start(BINARY, name, addr));
    for host in &all {
        host.wait_ready().await;
    }
    let poison = caller::request("POST", "/once/x", "c", "", "poison");
    caller::send(all[0].callers_addr, &poison, TIMEOUT).await;
    let stream = caller::request("POST", "/brief/x", "s", engine_setup::PROMPT, "p");
    let stream = caller::send(all[0].callers_addr, &stream, TIMEOUT).await;
    assert_eq!((stream.status, stream.complete), (200, true), "{stream:?}");
    let log = || all[0].log() + &all[1].log();
    for copy in [None, Some(copy), Some(again)] {
        if let Some(copy) = copy {
            store.come_back_from(copy);
        }
        let start = time::Instant::now();
        loop {
            let stored = RECORDS.map(|kind| store.object_names(kind).len());
            if stored[0] == 1 && stored[1] == 2 && stored[2] >= 1 {
                break;
            }
            assert!(start.elapsed() < TIMEOUT, "{stored:?}: {}", log());
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }
}

async fn add_server(store: &store::Store, id: &str) -> sync::Arc<server::Server> {
    let server = server::Server::start(id, None).await;
    server.register(store, "gate");
    server
}

/// Twice in a row: what was written since the copy is written again, under revisions that were given out before.
#[tokio::test]
async fn hosts_go_on_with_a_store_that_came_back_from_a_copy() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    add_server(&store, "i-a").await;
    let copy = store.copy();
    let again = store.copy();
    let names = ["h1", "h2"];
    let all = names.map(|name| hosts::Host::start(BINARY, name, addr));
    for host in &all {
        host.wait_ready().await;
    }
    wait_until(&all[0], "the entries were written", || {
        store.object_names(HOSTS) == names
    })
    .await;
    for (copy, id) in [(copy, "i-b"), (again, "i-c")] {
        store.come_back_from(copy);
        let _server = add_server(&store, id).await;
        for host in &all {
            let joined = format!("\"{id}\",\"change\":\"joined\"");
            wait_until(host, id, || host.log().contains(&joined)).await;
        }
        wait_until(&all[0], "the entries are written again", || {
            store.object_names(HOSTS) == names
        })
        .await;
    }
}

/// Guards against two holders of the lease for orders to engines: the first one is cut off from the store, which comes
/// back from a copy without the lease, before another host starts.
#[tokio::test]
async fn host_that_starts_after_a_drill_waits_for_the_former_lease() {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    for number in 0..6 {
        let engine = server::Server::start(&format!("i-e{number}"), Some("prefill")).await;
        engine.register(&store, "scribe");
    }
    let copy = store.copy();
    let link = link::Link::start(addr).await;
    let first = hosts::Host::start(BINARY, "h1", link.addr);
    wait_until(&first, "the first host holds the lease", || {
        first.log().contains(LEASE_HELD)
    })
    .await;
    link.set(link::State::Hanging);
    let held_from = time::Instant::now();
    store.come_back_from(copy);
    let second = hosts::Host::start(BINARY, "h2", addr);
    let longest = lease::LEASE_DURATION + lease::ORDER_TIMEOUT + TIMEOUT;
    while !second.log().contains(LEASE_HELD) {
        assert!(held_from.elapsed() < longest, "{}", second.log());
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    let waited = held_from.elapsed();
    assert!(
        waited >= lease::LEASE_DURATION,
        "the second host holds it after {waited:?}: {}",
        second.log()
    );
}
