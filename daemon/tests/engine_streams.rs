//! Streams of model engines through an entry host.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_platform_standin::caller;
use walnuthaven_platform_standin::hosts;
use walnuthaven_platform_standin::server;
use walnuthaven_platform_standin::store;

const BINARY: &str = env!("CARGO_BIN_EXE_walnuthavend");
const WITHIN: time::Duration = time::Duration::from_secs(6);
const PROMPT: &str = "X-Model: m\r\nX-Token-Count: 500,700\r\nX-Length-Hint: 350\r\n";

struct Site {
    store: sync::Arc<store::Store>,
    host: hosts::Host,
    reader: sync::Arc<server::Server>,
    engines: Vec<sync::Arc<server::Server>>,
}

async fn site() -> Site {
    let (store, addr) = store::Store::start().await;
    hosts::configure(&store, 3);
    let reader = server::Server::start("i-p", Some("prefill")).await;
    let mut engines = Vec::new();
    for id in ["i-d1", "i-d2"] {
        engines.push(server::Server::start(id, Some("decode")).await);
    }
    for server in engines.iter().chain([&reader]) {
        server.register(&store, "scribe");
    }
    let host = hosts::Host::start(BINARY, "h1", addr);
    host.wait_ready().await;
    Site {
        store,
        host,
        reader,
        engines,
    }
}

impl Site {
    fn set_fault(&self, fault: server::Fault) {
        self.engines
            .iter()
            .for_each(|engine| engine.set_fault(fault));
    }

    fn runs_of(&self, id: &str) -> usize {
        self.engines.iter().map(|engine| engine.runs_of(id)).sum()
    }

    async fn send(&self, path: &str, id: &str) -> caller::Answer {
        let bytes = caller::request("POST", path, id, PROMPT, "a prompt");
        caller::send(self.host.callers_addr, &bytes, WITHIN).await
    }
}

fn whole(last: u64) -> String {
    (1..=last)
        .map(|id| format!("id: {id}\ndata: event {id}\n\n"))
        .collect()
}

#[tokio::test]
async fn the_prompt_is_read_on_one_engine_and_the_answer_made_on_another() {
    let site = site().await;
    let answer = site.send("/single/x", "r1").await;
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.body, whole(5));
    assert_eq!(site.reader.received().len(), 1);
    let seen: Vec<_> = site
        .engines
        .iter()
        .flat_map(|engine| engine.received())
        .collect();
    assert_eq!(seen.len(), 1);
    let source = format!("{}/h-r1", site.reader.addr);
    assert_eq!(seen[0].headers["x-kv-source"], source);
    assert_eq!(seen[0].headers["x-token-count"], "500,700");
}

#[tokio::test]
async fn a_resumable_stream_goes_on_after_its_last_whole_event() {
    let site = site().await;
    site.engines[0]
        .events_per_stream
        .store(40, atomic::Ordering::Relaxed);
    site.engines[1]
        .events_per_stream
        .store(40, atomic::Ordering::Relaxed);
    site.set_fault(server::Fault::TruncateStream);
    let (first, second) = (site.engines[0].clone(), site.engines[1].clone());
    let heal = tokio::spawn(async move {
        loop {
            let runs = first.runs_of("r1") + second.runs_of("r1");
            if runs > 0 {
                let healthy = if first.runs_of("r1") > 0 {
                    second
                } else {
                    first
                };
                healthy.set_fault(server::Fault::None);
                return;
            }
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
    });
    let answer = site.send("/brief/x", "r1").await;
    heal.await.unwrap();
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.body, whole(40));
    assert_eq!(site.runs_of("r1"), 2);
}

#[tokio::test]
async fn another_stream_breaks_off_and_never_looks_complete() {
    let site = site().await;
    site.set_fault(server::Fault::TruncateStream);
    let answer = site.send("/single/x", "r1").await;
    assert_eq!((answer.status, answer.complete), (200, false), "{answer:?}");
    assert_eq!(answer.body, whole(2), "only whole events are passed on");
    assert_eq!(site.runs_of("r1"), 1);
}

#[tokio::test]
async fn a_caller_that_leaves_frees_its_engine() {
    let site = site().await;
    for engine in &site.engines {
        engine
            .events_per_stream
            .store(10_000, atomic::Ordering::Relaxed);
    }
    let bytes = caller::request("POST", "/single/x", "r1", PROMPT, "a prompt");
    let short = time::Duration::from_millis(400);
    let answer = caller::send(site.host.callers_addr, &bytes, short).await;
    assert!(answer.body.starts_with("id: 1\n"), "{answer:?}");
    let start = time::Instant::now();
    while site
        .engines
        .iter()
        .any(|engine| engine.active_runs.load(atomic::Ordering::Relaxed) > 0)
    {
        assert!(start.elapsed() < WITHIN, "an engine still works");
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    assert_eq!(site.runs_of("r1"), 1);
}

#[tokio::test]
async fn a_result_that_lapsed_is_freed_and_the_prompt_read_where_the_answer_is_made() {
    let site = site().await;
    site.set_fault(server::Fault::ExpirePrefill);
    let answer = site.send("/single/x", "r1").await;
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.body, whole(5));
    assert_eq!(site.runs_of("r1"), 1);
    assert_eq!(site.reader.received().len(), 1);
    let start = time::Instant::now();
    while site.reader.freed_handles.load(atomic::Ordering::Relaxed) == 0 {
        assert!(
            start.elapsed() < WITHIN,
            "the result of the prefill is kept"
        );
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn an_engine_that_is_gone_costs_no_prompt() {
    let site = site().await;
    let entry = site.engines[0].entry("scribe", "ready");
    for id in ["i-x1", "i-x2", "i-x3"] {
        let mut gone = entry.clone();
        gone["address"] = "127.0.0.1:1".into();
        site.store.put("servers", id, gone);
    }
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    for i in 0..8 {
        let answer = site.send("/single/x", &format!("r{i}")).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    }
    assert_eq!(site.reader.received().len(), 8, "each prompt is read once");
}

/// Lets the engine that runs `id` leave, and returns it with the other one.
async fn let_engine_leave(
    site: &Site,
    id: &str,
) -> (sync::Arc<server::Server>, sync::Arc<server::Server>) {
    let start = time::Instant::now();
    let running = loop {
        let running = site.engines.iter().position(|e| e.runs_of(id) > 0);
        if let Some(running) = running {
            break running;
        }
        assert!(start.elapsed() < WITHIN, "the request never ran");
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    };
    let leaving = site.engines[running].clone();
    let entry = leaving.entry("scribe", "draining");
    site.store.put("servers", &leaving.id, entry);
    (leaving, site.engines[1 - running].clone())
}

/// Streams of 70 events, 30 ms apart: they outlast an engine's notice to leave.
fn make_long(site: &Site) {
    for engine in &site.engines {
        engine
            .events_per_stream
            .store(70, atomic::Ordering::Relaxed);
        engine.delay_ms.store(30, atomic::Ordering::Relaxed);
    }
}

const LONG_PROMPT: &str = "X-Model: m\r\nX-Token-Count: 500,9000\r\nX-Length-Hint: 4900\r\n";

#[tokio::test]
async fn a_run_goes_on_at_another_engine_when_its_own_leaves() {
    let site = site().await;
    make_long(&site);
    let bytes = caller::request("POST", "/single/x", "r1", LONG_PROMPT, "a prompt");
    let (answer, (leaving, other)) = tokio::join!(
        caller::send(site.host.callers_addr, &bytes, WITHIN),
        let_engine_leave(&site, "r1")
    );
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.body, whole(70), "each event once and in order");
    let seen = other.received();
    assert_eq!(seen.len(), 1, "the run didn't go on elsewhere");
    let source = format!("{}/m-r1", leaving.addr);
    assert_eq!(seen[0].headers["x-kv-source"], source);
    let after: u64 = seen[0].headers["last-event-id"].parse().unwrap();
    assert!((1..70).contains(&after), "went on after {after}");
    assert_eq!(leaving.active_runs.load(atomic::Ordering::Relaxed), 0);
    assert_eq!(site.reader.received().len(), 1, "the prompt is read once");
}

#[tokio::test]
async fn a_stopped_run_without_a_copy_is_sent_again_only_if_it_may_be() {
    let site = site().await;
    make_long(&site);
    for engine in &site.engines {
        engine.refuses_copies.store(true, atomic::Ordering::Relaxed);
    }
    for (path, id, whole_answer, runs) in
        [("/single/x", "r1", false, 1), ("/brief/x", "r2", true, 2)]
    {
        let bytes = caller::request("POST", path, id, LONG_PROMPT, "a prompt");
        let (answer, (leaving, _)) = tokio::join!(
            caller::send(site.host.callers_addr, &bytes, WITHIN),
            let_engine_leave(&site, id)
        );
        assert_eq!(
            (answer.status, answer.complete),
            (200, whole_answer),
            "{answer:?}"
        );
        assert!(whole(70).starts_with(&answer.body), "{answer:?}");
        assert_eq!(site.runs_of(id), runs, "{path}");
        leaving.register(&site.store, "scribe");
        tokio::time::sleep(time::Duration::from_millis(600)).await;
    }
}

#[tokio::test]
async fn a_stopped_run_that_no_engine_takes_is_not_run_anew() {
    let site = site().await;
    make_long(&site);
    let bytes = caller::request("POST", "/single/x", "r1", LONG_PROMPT, "a prompt");
    let refuse_at_other = async {
        let (leaving, other) = let_engine_leave(&site, "r1").await;
        other.set_fault(server::Fault::ExpirePrefill);
        (leaving, other)
    };
    let (answer, (leaving, other)) = tokio::join!(
        caller::send(site.host.callers_addr, &bytes, WITHIN),
        refuse_at_other
    );
    assert_eq!((answer.status, answer.complete), (200, false), "{answer:?}");
    assert_eq!(
        other.received().len(),
        1,
        "the move wasn't tried: {:?}",
        other.received()
    );
    assert_eq!((leaving.runs_of("r1"), other.runs_of("r1")), (1, 0));
    assert_eq!(site.reader.received().len(), 1, "the prompt was read again");
}

#[tokio::test]
async fn without_engines_a_request_is_refused_at_once() {
    let site = site().await;
    for id in ["i-d1", "i-d2", "i-p"] {
        let server = site
            .engines
            .iter()
            .chain([&site.reader])
            .find(|server| server.id == id);
        site.store
            .put("servers", id, server.unwrap().entry("scribe", "draining"));
    }
    tokio::time::sleep(time::Duration::from_millis(700)).await;
    let start = time::Instant::now();
    let answer = site.send("/single/x", "r1").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(start.elapsed() < time::Duration::from_secs(2));
    assert_eq!(site.runs_of("r1") + site.reader.received().len(), 0);
}
