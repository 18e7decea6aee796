//! Keeps this host's views of the store's collections up to date: configuration, backend servers,
//! crash marks and other hosts.
//!
//! The hosts are listed from time to time; the other collections are listed once and then watched. Records of
//! served versions are read elsewhere ([`served_version_store`](super::served_version_store)).
//! While the store doesn't answer, each view stays as it was.

use std::sync;
use std::sync::atomic;
use std::time;

use serde::Deserialize;
use serde::Serialize;
use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::peers;
use walnuthaven_lib::view_revisions;

use crate::locks;
use crate::router::context;
use crate::router::crash_mark_store;
use crate::router::events::event;
use crate::router::server_choice;
use crate::router::store;
use crate::router::view_renewal;

/// First pause after a failed call. Doubled after each further failure.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(80);
/// The longest such pause. It is short compared with the two seconds within which a new
/// configuration must be in force.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(700);

/// How often the hosts are listed again. A low frequency is enough because hosts learn of each other by
/// news: a new host lists the others after its own entry was written, so of two new hosts at least one
/// finds the other and sends it news.
const HOSTS_LIST_INTERVAL: time::Duration = time::Duration::from_secs(40);
/// How old a list that may lag is at most.
const MAX_LIST_LAG: time::Duration = time::Duration::from_secs(5);
/// Pause before each watch call for backend servers, so that many changes at once cost few calls. It is
/// short compared with the two seconds within which requests to a leaving server must stop.
const SERVERS_WATCH_PAUSE: time::Duration = time::Duration::from_millis(600);
/// Pause before each watch call for the configuration.
const CONFIGURATION_WATCH_PAUSE: time::Duration = time::Duration::from_millis(40);
/// Pause before each watch call for crash marks. The crash of an engine changes many of them at once, and
/// the other hosts must know of the third crash within three seconds.
const MARKS_WATCH_PAUSE: time::Duration = time::Duration::from_millis(300);

/// A host's entry in the store.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct HostEntry {
    /// When the process started, in Unix milliseconds.
    pub(crate) incarnation: u64,
    /// The host's address for callers.
    pub(crate) callers: std::net::SocketAddr,
    /// The host's UDP address for news.
    pub(crate) news: std::net::SocketAddr,
}

/// Starts a task for each view.
pub(crate) fn spawn<D: dialect::Dialect>(cx: &sync::Arc<context::Router<D>>) {
    let collections = [
        dialect::Collection::Configuration,
        dialect::Collection::Backends,
        dialect::Collection::Hosts,
        dialect::Collection::CrashMarks,
    ];
    for collection in collections {
        tokio::spawn(follow(cx.clone(), collection));
    }
}

/// Keeps one view up to date.
async fn follow<D: dialect::Dialect>(
    cx: sync::Arc<context::Router<D>>,
    collection: dialect::Collection,
) {
    let mut client = store::Client::new(&cx);
    let mut pause = FIRST_PAUSE;
    let mut watch_from: Option<u64> = None;
    // The store's era of the view.
    let mut view_era = None;
    let mut failing = false;
    // Whether the last answer brought changes, so that more may follow soon.
    let mut has_changed = true;
    let mut may_lag = collection == dialect::Collection::Backends;
    loop {
        if watch_from.is_none() {
            view_era = cx.renewals.era();
        }
        let is_watching = watch_from.is_some();
        let step = async {
            match watch_from {
                None => {
                    let freshness = match may_lag {
                        true => dialect::Freshness::MayLag,
                        false => dialect::Freshness::Newest,
                    };
                    let asked_at = cx.now();
                    let (objects, revision) = client.list(collection, freshness).await?;
                    // A view must never go back to an older state, so of a watched collection only the
                    // first list may lag. The watch that follows delivers what it lacks.
                    may_lag = false;
                    has_changed = true;
                    record_success(&cx, collection, &mut failing);
                    apply_list(&cx, collection, objects, revision);
                    if collection == dialect::Collection::Backends {
                        let shows = match freshness {
                            dialect::Freshness::Newest => asked_at,
                            dialect::Freshness::MayLag => asked_at.saturating_sub(MAX_LIST_LAG),
                        };
                        locks::lock(&cx.served_versions).record_answer(shows);
                        cx.renewals.notify_listed();
                    }
                    Ok(Some(revision))
                }
                Some(_) if collection == dialect::Collection::Hosts => {
                    let pause = HOSTS_LIST_INTERVAL.mul_f64(rand::random_range(0.5..1.0));
                    tokio::select! {
                        () = tokio::time::sleep(pause) => may_lag = true,
                        () = cx.registered.notified() => {}
                    }
                    Ok(None)
                }
                Some(revision) => {
                    if has_changed {
                        tokio::time::sleep(watch_pause(collection)).await;
                    }
                    let wait = watch_time(&cx, collection);
                    let changes = client.watch(collection, revision, wait).await?;
                    if cx.renewals.era() != view_era {
                        return Ok(None);
                    }
                    record_success(&cx, collection, &mut failing);
                    has_changed = !changes.changes.is_empty();
                    for change in &changes.changes {
                        apply_change(&cx, collection, change);
                    }
                    if collection == dialect::Collection::Backends {
                        cx.renewals.record_changes(&changes);
                        locks::lock(&cx.served_versions).record_answer(cx.now());
                    }
                    Ok(Some(changes.revision))
                }
            }
        };
        let result: Result<Option<u64>, store::Failure> = tokio::select! {
            result = step => result,
            // A list that is under way is as good as another one.
            () = view_renewal::wait(&cx, collection, view_era), if is_watching => {
                watch_from = None;
                client = store::Client::new(&cx);
                continue;
            }
        };
        match result {
            Ok(revision) => {
                // The first answer of the store names its era.
                view_era = view_era.or_else(|| cx.renewals.era());
                watch_from = revision;
                pause = FIRST_PAUSE;
            }
            Err(store::Failure::Status(dialect::StoreStatus::HistoryGone)) => {
                event!(Info, "history-gone", "view" => view_name(collection), "revision" => watch_from);
                watch_from = None;
            }
            Err(failure) => {
                if is_watching && failure == store::Failure::Silent {
                    cx.renewals.record_silence();
                }
                // Changes during the store's outage may be missing from its history, so the view is
                // listed again.
                watch_from = None;
                record_failure(&cx, collection, &mut failing, &failure);
                let jitter = pause.mul_f64(rand::random_range(0.5..1.0));
                tokio::time::sleep(jitter).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

/// Returns the pause before each watch call.
fn watch_pause(collection: dialect::Collection) -> time::Duration {
    match collection {
        dialect::Collection::Configuration => CONFIGURATION_WATCH_PAUSE,
        dialect::Collection::CrashMarks => MARKS_WATCH_PAUSE,
        _ => SERVERS_WATCH_PAUSE,
    }
}

/// Returns how long a watch call waits for a change. Only the calls for the servers end early to find out whether
/// connections went silent.
fn watch_time<D: dialect::Dialect>(
    cx: &context::Router<D>,
    collection: dialect::Collection,
) -> time::Duration {
    match collection {
        dialect::Collection::Backends => {
            view_revisions::watch_time(cx.host_count(), rand::random())
        }
        _ => view_revisions::MAX_WATCH_TIME,
    }
}

/// Returns the name of a view in log lines.
fn view_name(collection: dialect::Collection) -> &'static str {
    match collection {
        dialect::Collection::Configuration => "configuration",
        dialect::Collection::Backends => "backend servers",
        dialect::Collection::Hosts => "hosts",
        dialect::Collection::Leases => "leases",
        dialect::Collection::CrashMarks => "crash marks",
        dialect::Collection::ServedVersions => "served versions",
        dialect::Collection::StreamRecords => "stream records",
    }
}

/// Records a failed call to the store. Logs it if the call before didn't fail.
fn record_failure<D: dialect::Dialect>(
    cx: &context::Router<D>,
    collection: dialect::Collection,
    failing: &mut bool,
    failure: &store::Failure,
) {
    if collection == dialect::Collection::Backends {
        locks::lock(&cx.servers).store_lost(cx.now());
    }
    cx.telemetry.count("store.failures");
    if !std::mem::replace(failing, true) {
        event!(Warn, "dependency-lost", "dependency" => "store", "view" => view_name(collection),
            "cause" => failure.to_string());
    }
}

/// Records a successful call to the store. Logs it if the call before failed.
fn record_success<D: dialect::Dialect>(
    cx: &context::Router<D>,
    collection: dialect::Collection,
    failing: &mut bool,
) {
    if collection == dialect::Collection::Backends {
        locks::lock(&cx.servers).store_answered(cx.now());
    }
    if std::mem::replace(failing, false) {
        event!(Info, "dependency-regained", "dependency" => "store", "view" => view_name(collection));
    }
}

/// Replaces a view by a list of all its objects.
fn apply_list<D: dialect::Dialect>(
    cx: &context::Router<D>,
    collection: dialect::Collection,
    objects: Vec<dialect::Object>,
    revision: u64,
) {
    match collection {
        dialect::Collection::Configuration => {
            objects
                .iter()
                .for_each(|object| apply_configuration(cx, object));
        }
        dialect::Collection::Backends => {
            let listed = objects.iter().filter_map(|object| read_backend(cx, object));
            let changes = locks::lock(&cx.servers).replace_all(listed.collect(), cx.now());
            changes
                .into_iter()
                .for_each(|change| on_server_change(cx, change));
            cx.renewals.record_list(&objects, revision);
            cx.servers_listed.store(true, atomic::Ordering::Relaxed);
        }
        dialect::Collection::Hosts => {
            let listed = objects.iter().filter_map(|object| read_host(cx, object));
            locks::lock(&cx.peers).replace_entries(listed.collect());
        }
        dialect::Collection::CrashMarks => crash_mark_store::apply_list(cx, &objects),
        dialect::Collection::Leases
        | dialect::Collection::ServedVersions
        | dialect::Collection::StreamRecords => {}
    }
    event!(Info, "view-listed", "view" => view_name(collection), "revision" => revision,
        "objects" => objects.len());
}

/// Applies a watched change to a view.
fn apply_change<D: dialect::Dialect>(
    cx: &context::Router<D>,
    collection: dialect::Collection,
    change: &dialect::ObjectChange,
) {
    let object = &change.object;
    match collection {
        dialect::Collection::Configuration if !change.removed => apply_configuration(cx, object),
        dialect::Collection::Backends => {
            let mut servers = locks::lock(&cx.servers);
            let entry = if change.removed {
                None
            } else {
                read_backend(cx, object)
            };
            // A server whose entry can't be read counts as removed.
            let change = match entry {
                Some(entry) => servers.put(entry),
                None => servers.remove(&object.name, cx.now()),
            };
            drop(servers);
            if let Some(change) = change {
                on_server_change(cx, change);
            }
        }
        dialect::Collection::CrashMarks => crash_mark_store::apply_change(cx, change),
        // Hosts are listed, not watched. A removed configuration stays in force.
        dialect::Collection::Configuration
        | dialect::Collection::Hosts
        | dialect::Collection::Leases
        | dialect::Collection::ServedVersions
        | dialect::Collection::StreamRecords => {}
    }
}

/// Puts a configuration in force if it is newer than the current one.
fn apply_configuration<D: dialect::Dialect>(cx: &context::Router<D>, object: &dialect::Object) {
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

/// Reads the entry of a backend server. Logs an entry that can't be read.
fn read_backend<D: dialect::Dialect>(
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

/// Reads the entry of another host. Logs an entry that can't be read.
fn read_host<D: dialect::Dialect>(
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

/// Discards what is outdated after a change of a backend server, and wakes queued requests.
pub(crate) fn on_server_change<D: dialect::Dialect>(
    cx: &context::Router<D>,
    change: backends::Change,
) {
    let (change_name, server) = match &change {
        backends::Change::Joined(server) => ("joined", server),
        backends::Change::Updated(server) if server.draining => ("draining", server),
        backends::Change::Updated(server) => ("updated", server),
        backends::Change::Restarted(server) => ("restarted", server),
        backends::Change::Vanished(server) => ("vanished", server),
    };
    locks::lock(&cx.departures).record(&change, cx.now());
    cx.departures_changed.notify_waiters();
    locks::lock(&cx.served_versions).record(&change, cx.now());
    event!(Info, "server", "server" => server.id, "change" => change_name, "service" => server.service,
        "address" => server.addr, "stage" => server.stage.map(|stage| format!("{stage:?}")),
        "born" => server.started_unix_ms, "version" => server.version);
    if matches!(
        change,
        backends::Change::Restarted(_) | backends::Change::Vanished(_)
    ) {
        cx.connection_pool.close_all(&server.id);
    }
    if matches!(change, backends::Change::Updated(_)) {
        // The observations may have been made in another stage.
        locks::lock(&cx.health).forget(&server.id);
    }
    if let backends::Change::Restarted(_) = change {
        locks::lock(&cx.links.reach).forget(&server.id);
        locks::lock(&cx.health).forget(&server.id);
        locks::lock(&cx.engine_load).forget_engine(&server.id);
    }
    server_choice::record_change(cx, &change);
    cx.engine_load_changed.notify_waiters();
}
