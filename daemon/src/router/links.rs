//! Opens connections to backend servers, and finds out which of them this host reaches.

use std::collections;
use std::io;
use std::sync;
use std::sync::atomic;
use std::time;

use rand::seq::IndexedRandom as _;
use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::reachability;

use crate::locks;
use crate::router::connection_pool;
use crate::router::context;
use crate::router::events::event;

/// How often it is looked up which servers have sent something and which are to be checked.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(150);
/// Longest time for the connection attempt of a check. A host may drop the first packet of a connection while
/// it has many new ones.
const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Maximum number of other servers that are checked as soon as one is out of reach: the host's own links may be cut.
const MAX_FURTHER_CHECKS: usize = 8;

/// What connections show of the ways to servers.
#[derive(Debug, Default)]
pub(crate) struct Links {
    pub(crate) reach: sync::Mutex<reachability::Reachability>,
    /// Set when bytes of a server arrive, by server id.
    heard: sync::Mutex<collections::HashMap<sync::Arc<str>, sync::Arc<atomic::AtomicBool>>>,
    /// Wakes requests after a server was lost or regained.
    pub(crate) changed: tokio::sync::Notify,
}

impl Links {
    fn heard_flag(&self, id: &sync::Arc<str>) -> sync::Arc<atomic::AtomicBool> {
        locks::lock(&self.heard)
            .entry(id.clone())
            .or_default()
            .clone()
    }

    /// Counts a connection to a server as waiting for bytes until the guard is dropped.
    pub(crate) fn start_use(
        self: &sync::Arc<Self>,
        id: &sync::Arc<str>,
        now: time::Duration,
    ) -> InUse {
        locks::lock(&self.reach).record_used(id, now);
        InUse {
            links: self.clone(),
            server: id.clone(),
        }
    }

    /// Returns whether all of these servers, of which there must be some, are out of reach.
    pub(crate) fn all_lost(&self, servers: &[sync::Arc<backends::Backend>]) -> bool {
        locks::lock(&self.reach).all_lost(servers.iter().map(|server| &server.id))
    }

    /// Returns whether at least half of these servers, of which there must be some, are out of reach.
    pub(crate) fn mostly_lost(&self, servers: &[sync::Arc<backends::Backend>]) -> bool {
        locks::lock(&self.reach).mostly_lost(servers.iter().map(|server| &server.id))
    }

    /// Removes the servers that are out of reach; those that write answers only if another of them is left.
    pub(crate) fn remove_lost(&self, servers: &mut Vec<sync::Arc<backends::Backend>>) {
        let reach = locks::lock(&self.reach);
        let writes = |server: &backends::Backend| server.stage != Some(backends::Stage::Prefill);
        let writing = servers.iter().filter(|server| writes(server));
        let all_lost = reach.all_lost(writing.map(|server| &server.id));
        servers.retain(|server| !reach.is_lost(&server.id) || (all_lost && writes(server)));
    }
}

/// Counts a connection as in use until it is dropped.
#[derive(Debug)]
pub(crate) struct InUse {
    links: sync::Arc<Links>,
    server: sync::Arc<str>,
}

impl Drop for InUse {
    fn drop(&mut self) {
        locks::lock(&self.links.reach).record_unused(&self.server);
    }
}

/// Opens a connection to a server, which takes `place`, and records whether that shows that it is in reach.
///
/// # Errors
///
/// Returns an error if the connection can't be opened within `timeout`.
pub(crate) async fn open<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    server: &backends::Backend,
    timeout: time::Duration,
    place: connection_pool::Place,
) -> io::Result<connection_pool::Connection> {
    let heard = cx.links.heard_flag(&server.id);
    let opened = connection_pool::connect_in(place, server.addr, timeout, heard).await;
    match &opened {
        // The server may only be busy.
        Err(error) if error.kind() == io::ErrorKind::TimedOut => {
            locks::lock(&cx.links.reach).want_check(&server.id, cx.now());
        }
        result => record_result(cx, server, result.is_ok()),
    }
    opened
}

/// Records whether a connection to a server could be opened.
fn record_result<D: dialect::Dialect>(
    cx: &context::Router<D>,
    server: &backends::Backend,
    reached: bool,
) {
    let now = cx.now();
    let mut reach = locks::lock(&cx.links.reach);
    let changed = match reached {
        true => reach.record_reached(&server.id, now),
        false => reach.record_unreached(&server.id, rand::random(), now),
    };
    drop(reach);
    if !changed {
        return;
    }
    match reached {
        true => on_regained(cx, &server.id),
        false => on_lost(cx, server),
    }
}

fn on_regained<D: dialect::Dialect>(cx: &context::Router<D>, server: &str) {
    event!(Info, "server-regained", "server" => server);
    locks::lock(&cx.health).record_response(server, cx.now());
    cx.links.changed.notify_waiters();
    cx.engine_load_changed.notify_waiters();
    cx.news_due.notify_one();
}

fn on_lost<D: dialect::Dialect>(cx: &context::Router<D>, server: &backends::Backend) {
    event!(Info, "server-lost", "server" => server.id, "service" => server.service);
    cx.telemetry.count("servers.lost");
    let service_lost = cx.links.all_lost(&answering_servers(cx, &server.service));
    let concerned: Vec<_> = {
        let servers = locks::lock(&cx.servers);
        let listed = servers.all().filter(|(_, vanished)| !vanished);
        // Cut links concern servers of all services.
        let concerned = listed.filter(|(other, _)| service_lost || other.service == server.service);
        concerned.map(|(other, _)| other.id.clone()).collect()
    };
    let now = cx.now();
    let mut reach = locks::lock(&cx.links.reach);
    let in_reach: Vec<_> = concerned.iter().filter(|id| !reach.is_lost(id)).collect();
    for id in in_reach.sample(&mut rand::rng(), MAX_FURTHER_CHECKS) {
        reach.want_check(id, now);
    }
    drop(reach);
    cx.links.changed.notify_waiters();
    cx.news_due.notify_one();
}

/// Starts the task that finds out which servers are in reach.
pub(crate) fn spawn<D: dialect::Dialect>(cx: &sync::Arc<context::Router<D>>) {
    let cx = cx.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            record_heard(&cx);
            let due = locks::lock(&cx.links.reach).take_due(cx.now());
            for id in due {
                tokio::spawn(check(cx.clone(), id));
            }
        }
    });
}

/// Records the servers that have sent something.
fn record_heard<D: dialect::Dialect>(cx: &context::Router<D>) {
    let mut regained = Vec::new();
    {
        let now = cx.now();
        let mut reach = locks::lock(&cx.links.reach);
        for (id, heard) in locks::lock(&cx.links.heard).iter() {
            if heard.swap(false, atomic::Ordering::Relaxed) && reach.record_heard(id, now) {
                regained.push(id.clone());
            }
        }
    }
    regained.iter().for_each(|id| on_regained(cx, id));
}

/// Tries to open a connection to a server.
async fn check<D: dialect::Dialect>(cx: sync::Arc<context::Router<D>>, id: sync::Arc<str>) {
    let server = locks::lock(&cx.servers).find(&id);
    let Some(server) = server else {
        locks::lock(&cx.links.reach).forget(&id);
        return;
    };
    cx.telemetry.count("server.checks");
    let opened = connection_pool::connect(server.addr, CHECK_TIMEOUT).await;
    match &opened {
        Ok(_) => {}
        Err(error) if error.kind() == io::ErrorKind::TimedOut => {
            // The server may be sound, and is the last choice then.
            locks::lock(&cx.health).record_silence(&id, cx.now());
            // Requests on them would wait as long as the link is cut.
            cx.connection_pool.close_all(&id);
        }
        Err(_) => locks::lock(&cx.health).record_unreachable(&id, cx.now()),
    }
    record_result(&cx, &server, opened.is_ok());
}

/// Forgets servers that aren't known any more. Must be called regularly.
pub(crate) fn expire<D: dialect::Dialect>(cx: &context::Router<D>) {
    let known: collections::HashSet<_> = {
        let servers = locks::lock(&cx.servers);
        servers.all().map(|(server, _)| server.id.clone()).collect()
    };
    locks::lock(&cx.links.reach).retain(|id| known.contains(id));
    locks::lock(&cx.links.heard).retain(|id, _| known.contains(id));
}

/// Returns the services of which this host reaches no server.
pub(crate) fn unreached_services<D: dialect::Dialect>(cx: &context::Router<D>) -> Vec<String> {
    let Some(table) = cx.table() else {
        return Vec::new();
    };
    let unreached = table.services().filter(|service| {
        let servers = answering_servers(cx, &service.name);
        cx.links.all_lost(&servers)
    });
    unreached.map(|service| service.name.to_string()).collect()
}

/// Returns the usable servers of a service that write answers: of engines those that generate tokens.
pub(crate) fn answering_servers<D: dialect::Dialect>(
    cx: &context::Router<D>,
    service: &str,
) -> Vec<sync::Arc<backends::Backend>> {
    let usable = locks::lock(&cx.servers).usable(service, cx.now());
    let mut servers = usable.to_vec();
    servers.retain(|server| server.stage != Some(backends::Stage::Prefill));
    servers
}
