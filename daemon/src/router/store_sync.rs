//! Views of the store: the configuration, backend servers and other hosts.
//!
//! A view is listed once and then watched. While the store doesn't answer, the view stays as it was.

use std::sync;
use std::sync::atomic;
use std::time;

use serde::Deserialize;
use serde::Serialize;
use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::peers;

use crate::locks;
use crate::router::context;
use crate::router::events::event;
use crate::router::store;

/// First pause after a failed call; doubled up to the longest.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(80);
/// Longest pause: short against the two seconds in which a configuration must be in force.
const LONGEST_PAUSE: time::Duration = time::Duration::from_millis(700);

/// How often the hosts are listed again. They learn of each other by news: a new host lists them after
/// its own entry was written, so that of two new hosts one finds the other, and sends it news.
const HOSTS_EVERY: time::Duration = time::Duration::from_secs(40);
/// How long changes of backend servers gather before the next are asked for, so that many changes at
/// once cost few calls. Short against the two seconds in which a leaving server must be left alone.
const GATHER_SERVERS: time::Duration = time::Duration::from_millis(600);
/// The same for the configuration.
const GATHER_CONFIGURATION: time::Duration = time::Duration::from_millis(40);

/// How long another host may be ahead until the configuration is read again: a watch that works
/// brings a large one within half a second.
const BEHIND: time::Duration = time::Duration::from_millis(900);

/// A host's entry in the store.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct HostEntry {
    /// When the process started, in Unix milliseconds.
    pub(crate) incarnation: u64,
    /// Where callers connect.
    pub(crate) callers: std::net::SocketAddr,
    /// Where it takes news.
    pub(crate) news: std::net::SocketAddr,
}

/// Starts to follow everything that the host needs to know.
pub(crate) fn spawn<D: dialect::Dialect>(cx: &sync::Arc<context::Router<D>>) {
    let collections = [
        dialect::Collection::Configuration,
        dialect::Collection::Backends,
        dialect::Collection::Hosts,
    ];
    for collection in collections {
        tokio::spawn(follow(cx.clone(), collection));
    }
}

async fn follow<D: dialect::Dialect>(
    cx: sync::Arc<context::Router<D>>,
    collection: dialect::Collection,
) {
    let mut client = store::Client::new(&cx);
    let mut pause = FIRST_PAUSE;
    let mut known: Option<u64> = None;
    let mut failing = false;
    let mut may_lag = collection == dialect::Collection::Backends;
    loop {
        let step = async {
            match known {
                None => {
                    let freshness = match may_lag {
                        true => dialect::Freshness::MayLag,
                        false => dialect::Freshness::Newest,
                    };
                    let (objects, revision) = client.list(collection, freshness).await?;
                    // A view never goes back, so only the first list of what is watched may lag; the
                    // watch that follows brings what it lacks.
                    may_lag = false;
                    back(&cx, collection, &mut failing);
                    take_all(&cx, collection, objects, revision);
                    Ok(Some(revision))
                }
                Some(_) if collection == dialect::Collection::Hosts => {
                    let pause = HOSTS_EVERY.mul_f64(rand::random_range(0.5..1.0));
                    tokio::select! {
                        () = tokio::time::sleep(pause) => may_lag = true,
                        () = cx.registered.notified() => {}
                    }
                    Ok(None)
                }
                Some(revision) => {
                    tokio::time::sleep(gather(collection)).await;
                    let changes = client.watch(collection, revision).await?;
                    back(&cx, collection, &mut failing);
                    for change in &changes.changes {
                        take(&cx, collection, change);
                    }
                    Ok(Some(changes.revision))
                }
            }
        };
        let ended: Result<Option<u64>, store::Failure> = tokio::select! {
            ended = step => ended,
            () = outdated(&cx, collection) => {
                known = None;
                client = store::Client::new(&cx);
                continue;
            }
        };
        match ended {
            Ok(revision) => {
                known = revision;
                pause = FIRST_PAUSE;
            }
            Err(store::Failure::Status(dialect::StoreStatus::HistoryGone)) => {
                event!(Info, "history-gone", "view" => name(collection), "revision" => known);
                known = None;
            }
            Err(failure) => {
                // What changed while the store was away may be missing from its history.
                known = None;
                lost(&cx, collection, &mut failing, &failure);
                let jitter = pause.mul_f64(rand::random_range(0.5..1.0));
                tokio::time::sleep(jitter).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Waits until another host has had a newer configuration than this one for a while.
async fn outdated<D: dialect::Dialect>(cx: &context::Router<D>, collection: dialect::Collection) {
    if collection != dialect::Collection::Configuration {
        return std::future::pending().await;
    }
    loop {
        cx.table_outdated.notified().await;
        tokio::time::sleep(BEHIND).await;
        let newest = locks::lock(&cx.peers).config_version();
        if cx.table().is_none_or(|table| table.version < newest) {
            event!(Warn, "configuration-behind", "newest" => newest);
            return;
        }
    }
}

fn gather(collection: dialect::Collection) -> time::Duration {
    match collection {
        dialect::Collection::Configuration => GATHER_CONFIGURATION,
        _ => GATHER_SERVERS,
    }
}

fn name(collection: dialect::Collection) -> &'static str {
    match collection {
        dialect::Collection::Configuration => "configuration",
        dialect::Collection::Backends => "backend servers",
        dialect::Collection::Hosts => "hosts",
        dialect::Collection::Leases => "leases",
    }
}

fn lost<D: dialect::Dialect>(
    cx: &context::Router<D>,
    collection: dialect::Collection,
    failing: &mut bool,
    failure: &store::Failure,
) {
    if collection == dialect::Collection::Backends {
        locks::lock(&cx.servers).store_lost();
    }
    cx.telemetry.count("store.failures");
    if !std::mem::replace(failing, true) {
        event!(Warn, "dependency-lost", "dependency" => "store", "view" => name(collection),
            "cause" => failure.to_string());
    }
}

fn back<D: dialect::Dialect>(
    cx: &context::Router<D>,
    collection: dialect::Collection,
    failing: &mut bool,
) {
    if collection == dialect::Collection::Backends {
        locks::lock(&cx.servers).store_answered(cx.now());
    }
    if std::mem::replace(failing, false) {
        event!(Info, "dependency-regained", "dependency" => "store", "view" => name(collection));
    }
}

fn take_all<D: dialect::Dialect>(
    cx: &context::Router<D>,
    collection: dialect::Collection,
    objects: Vec<dialect::Object>,
    revision: u64,
) {
    match collection {
        dialect::Collection::Configuration => {
            objects.iter().for_each(|object| take_table(cx, object));
        }
        dialect::Collection::Backends => {
            let listed = objects.iter().filter_map(|object| backend(cx, object));
            let changes = locks::lock(&cx.servers).replace_all(listed.collect(), cx.now());
            changes
                .into_iter()
                .for_each(|change| server_changed(cx, change));
            cx.servers_listed.store(true, atomic::Ordering::Relaxed);
        }
        dialect::Collection::Hosts => {
            let listed = objects.iter().filter_map(|object| host(cx, object));
            locks::lock(&cx.peers).replace_entries(listed.collect());
        }
        dialect::Collection::Leases => {}
    }
    event!(Info, "view-listed", "view" => name(collection), "revision" => revision,
        "objects" => objects.len());
}

fn take<D: dialect::Dialect>(
    cx: &context::Router<D>,
    collection: dialect::Collection,
    change: &dialect::ObjectChange,
) {
    let object = &change.object;
    match collection {
        dialect::Collection::Configuration if !change.removed => take_table(cx, object),
        dialect::Collection::Backends => {
            let mut servers = locks::lock(&cx.servers);
            let entry = if change.removed {
                None
            } else {
                backend(cx, object)
            };
            // An entry that can't be read names no server.
            let change = match entry {
                Some(entry) => servers.put(entry),
                None => servers.remove(&object.name, cx.now()),
            };
            drop(servers);
            if let Some(change) = change {
                server_changed(cx, change);
            }
        }
        // Hosts are listed, not watched.
        dialect::Collection::Configuration
        | dialect::Collection::Hosts
        | dialect::Collection::Leases => {}
    }
}

fn take_table<D: dialect::Dialect>(cx: &context::Router<D>, object: &dialect::Object) {
    match cx.dialect.table(object) {
        Ok(None) => {}
        Ok(Some(table)) => {
            let version = table.version;
            let in_force = cx.install_table(table);
            event!(Info, "configuration", "version" => version, "revision" => object.revision,
                "in_force" => in_force);
            cx.news_due.notify_one();
        }
        Err(fault) => event!(Error, "configuration-unreadable", "revision" => object.revision,
            "fault" => fault),
    }
}

fn backend<D: dialect::Dialect>(
    cx: &context::Router<D>,
    object: &dialect::Object,
) -> Option<backends::Backend> {
    match cx.dialect.backend(object) {
        Ok(backend) => Some(backend),
        Err(fault) => {
            event!(Warn, "server-unreadable", "server" => object.name, "fault" => fault);
            None
        }
    }
}

fn host<D: dialect::Dialect>(
    cx: &context::Router<D>,
    object: &dialect::Object,
) -> Option<peers::PeerEntry> {
    if object.name == cx.id.name {
        return None;
    }
    let entry = match HostEntry::deserialize(&object.value) {
        Ok(entry) => entry,
        Err(fault) => {
            event!(Warn, "host-unreadable", "host" => object.name, "fault" => fault.to_string());
            return None;
        }
    };
    Some(peers::PeerEntry {
        name: object.name.clone(),
        incarnation: entry.incarnation,
        caller_addr: entry.callers,
        news_addr: entry.news,
    })
}

fn server_changed<D: dialect::Dialect>(cx: &context::Router<D>, change: backends::Change) {
    let (what, server) = match &change {
        backends::Change::Joined(server) => ("joined", server),
        backends::Change::Updated(server) if server.draining => ("draining", server),
        backends::Change::Updated(server) => ("updated", server),
        backends::Change::Restarted(server) => ("restarted", server),
        backends::Change::Vanished(server) => ("vanished", server),
    };
    event!(Info, "server", "server" => server.id, "change" => what, "service" => server.service,
        "address" => server.addr, "stage" => server.stage.map(|stage| format!("{stage:?}")),
        "born" => server.started_unix_ms);
    if matches!(
        change,
        backends::Change::Restarted(_) | backends::Change::Vanished(_)
    ) {
        cx.connection_pool.close_all(&server.id);
    }
    if matches!(change, backends::Change::Updated(_)) {
        // What was seen of it may have been another stage.
        locks::lock(&cx.health).forget(&server.id);
    }
    if let backends::Change::Restarted(_) = change {
        locks::lock(&cx.health).forget(&server.id);
        locks::lock(&cx.engine_load).forget_engine(&server.id);
    }
    cx.engine_load_changed.notify_waiters();
}
