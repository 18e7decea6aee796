//! Polls the load reports of the engines in the cells that this host stewards. Detects crashed engines
//! and requests that are running for a caller that is gone.

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::cell;
use walnuthaven_lib::config;
use walnuthaven_lib::engines;
use walnuthaven_lib::grant;
use walnuthaven_lib::ids;
use walnuthaven_lib::prefix;

use crate::convert;
use crate::engine;
use crate::host;
use crate::locks;
use crate::steward;

/// Interval between two load reports of an engine.
pub const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// How long a request may hold a decode slot while nobody is connected to its stream. A home host
/// reconnects within this time or not at all.
const MAX_DETACHED_TIME: time::Duration = time::Duration::from_secs(5);
/// Consecutive failed polls after which an engine counts as crashed.
const FAILED_POLLS_FOR_CRASH: u32 = 2;

/// Starts to poll the engines of this host's cells, and to schedule the requests that wait for them.
pub fn spawn(cx: &sync::Arc<host::Host>) {
    steward::spawn(cx);
    let cx = cx.clone();
    tokio::spawn(async move {
        let mut pollers = Pollers::default();
        let mut ticks = tokio::time::interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let assignments = cx.current_assignments();
            remove_other_cells(&cx, &assignments.cells);
            pollers.poll_all(&cx, &assignments.cells);
        }
    });
}

/// Removes the idle cells that this host no longer stewards.
fn remove_other_cells(cx: &host::Host, specs: &[config::CellSpec]) {
    for cell in cx.steward.cells() {
        if !specs.iter().any(|spec| spec.name == cell.name) {
            cx.steward.remove_if_idle(&cell.name);
        }
    }
}

#[derive(Debug, Default)]
struct Pollers {
    engines: collections::HashMap<ids::Name, sync::Arc<sync::Mutex<Poller>>>,
}

/// What is known of one engine between polls.
#[derive(Debug, Default)]
struct Poller {
    /// Whether a poll is in progress.
    busy: bool,
    /// Consecutive failed polls.
    failures: u32,
    /// Number of the newest cache event received.
    last_event: u64,
    /// The engine's incarnation as last reported.
    incarnation: u64,
    /// The decoding requests whose stream nobody is connected to, and since when.
    detached: collections::HashMap<String, time::Duration>,
}

impl Pollers {
    /// Polls every engine whose last poll has ended.
    fn poll_all(&mut self, cx: &sync::Arc<host::Host>, specs: &[config::CellSpec]) {
        for spec in specs {
            let cell = cx.steward.cell(spec);
            for engine in &spec.engines {
                let name = engine.address.name.clone();
                let poller = self.engines.entry(name).or_default().clone();
                if std::mem::replace(&mut locks::lock(&poller).busy, true) {
                    continue;
                }
                let cx = cx.clone();
                let cell = cell.clone();
                let address = engine.address.clone();
                tokio::spawn(async move {
                    poll(&cx, &cell, &address, &poller).await;
                    locks::lock(&poller).busy = false;
                });
            }
        }
    }
}

/// Reads the load report of an engine, and applies it or counts the failure.
async fn poll(
    cx: &sync::Arc<host::Host>,
    cell: &sync::Arc<steward::Cell>,
    address: &engines::Address,
    poller: &sync::Mutex<Poller>,
) {
    let last_event = locks::lock(poller).last_event;
    match cx.engines.load(&address.addr, last_event).await {
        Ok(load) => {
            {
                let mut poller = locks::lock(poller);
                poller.failures = 0;
                if poller.incarnation != load.incarnation {
                    poller.incarnation = load.incarnation;
                    poller.last_event = 0;
                }
                let newest = load.events.iter().map(|event| event.number).max();
                poller.last_event = poller.last_event.max(newest.unwrap_or(0));
            }
            let orphans = find_orphans(cx, poller, &load);
            apply_load(cx, cell, address, &load);
            cancel_orphans(cx, address, orphans);
        }
        Err(failure) => {
            let failures = {
                let mut poller = locks::lock(poller);
                poller.failures += 1;
                poller.failures
            };
            log::debug!("can't read the load of {}: {failure:?}", address.name);
            let connection_failed = matches!(
                failure,
                engine::Failure::Lost(_) | engine::Failure::Unreached
            );
            if connection_failed && failures == FAILED_POLLS_FOR_CRASH {
                on_crash(cx, &cell.name, &address.name);
            }
        }
    }
}

/// Passes a load report to the engine's cell, which may then grant free capacity.
fn apply_load(
    cx: &sync::Arc<host::Host>,
    cell: &sync::Arc<steward::Cell>,
    address: &engines::Address,
    load: &engine::Load,
) {
    let now = cx.now();
    let decoding = load.running.iter().filter(|running| running.decoding);
    let restarted = cell.with(|cell| {
        let foreign = decoding
            .filter(|running| !cell.granted_recently(&running.request))
            .count();
        let report = engines::Load {
            incarnation: load.incarnation,
            leaving: load.leaving,
            role: Some(load.role),
            serving: Some(engines::Serving {
                model: load.model.as_str().into(),
                version: load.version.as_str().into(),
            }),
            foreign: u32::try_from(foreign).unwrap_or(u32::MAX),
        };
        let request_ids = load.running.iter().map(|running| running.request.as_str());
        cell.on_running_requests(&address.name, request_ids, now);
        cell.engines_mut().on_load(&address.name, &report, now)
    });
    if restarted {
        on_crash(cx, &cell.name, &address.name);
    }
    for event in &load.events {
        let change = match event.stored {
            true => prefix::Change::Stored(event.block),
            false => prefix::Change::Evicted(event.block),
        };
        cell.on_cache_event(&address.name, event.number, change);
    }
    cell.advance(now);
}

/// Returns the decoding requests to whose stream nobody is connected, if their home host is gone or
/// nobody has connected for `MAX_DETACHED_TIME`. A connected stream shows that the home host is
/// alive, whatever the membership table says.
fn find_orphans(
    cx: &host::Host,
    poller: &sync::Mutex<Poller>,
    load: &engine::Load,
) -> Vec<engine::Running> {
    let now = cx.now();
    let members = locks::lock(&cx.members);
    let mut poller = locks::lock(poller);
    let detached = |running: &&engine::Running| running.decoding && !running.attached;
    let before = std::mem::take(&mut poller.detached);
    let mut orphans = Vec::new();
    for running in load.running.iter().filter(detached) {
        let since = before.get(&running.request).copied().unwrap_or(now);
        poller.detached.insert(running.request.clone(), since);
        let home = convert::parse_host_id(&running.home);
        let gone = home.is_some_and(|home| members.is_gone(&home));
        if gone || now.saturating_sub(since) >= MAX_DETACHED_TIME {
            orphans.push(running.clone());
        }
    }
    orphans
}

fn cancel_orphans(
    cx: &sync::Arc<host::Host>,
    address: &engines::Address,
    orphans: Vec<engine::Running>,
) {
    for running in orphans {
        log::info!(
            "cancelling request {} at {}: its home host is gone or has not reconnected",
            running.request,
            address.name
        );
        cx.metrics.count("engine.orphan");
        let order = grant::Cancel {
            server: address.clone(),
            request_id: running.request.into(),
            attempt: running.attempt,
        };
        cx.cancel(order);
    }
}

/// Handles a home host's report that an engine crashed while it worked on a grant. Later reports of
/// the same crash are ignored, since the first one ends the engine's grants.
pub fn on_reported_crash(cx: &sync::Arc<host::Host>, cell: &str, grant: u64, server: &ids::Name) {
    let Some(found) = cx.steward.find(cell) else {
        return;
    };
    if found.with(|cell| cell.holds_grant(grant)) {
        on_crash(cx, cell, server);
        found.on_grant_event(grant, grant::Event::Released, cx.now());
    }
}

/// Records the crash of an engine: marks the content of its requests as suspected of causing it, and
/// announces that to the other hosts at once.
pub fn on_crash(cx: &sync::Arc<host::Host>, cell: &str, server: &ids::Name) {
    let Some(cell) = cx.steward.find(cell) else {
        return;
    };
    let digests = cell.with(|cell| cell.on_engine_crash(server, cx.now()));
    cell.advance(cx.now());
    if digests.is_empty() || cx.settings.scheduler == cell::Policy::Baseline {
        return;
    }
    log::warn!(
        "backend server {server} crashed with {} requests in flight",
        digests.len()
    );
    cx.metrics.count("engine.crash");
    {
        let mut quarantine = locks::lock(&cx.quarantine);
        for digest in digests {
            quarantine.record_crash(digest, server, cx.unix_time());
        }
    }
    let cx = cx.clone();
    tokio::spawn(async move { crate::gossip::announce(&cx).await });
}
