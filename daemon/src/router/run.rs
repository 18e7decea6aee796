//! Start, settings reload and graceful shutdown of an entry host.

use std::path;
use std::sync;
use std::sync::atomic;
use std::time;

use anyhow::Context as _;
use tokio::signal::unix;
use walnuthaven_lib::clock;
use walnuthaven_lib::dialect;

use crate::locks;
use crate::router::context;
use crate::router::crash_checks;
use crate::router::crash_mark_store;
use crate::router::events;
use crate::router::events::event;
use crate::router::forward;
use crate::router::links;
use crate::router::listen;
use crate::router::news;
use crate::router::peer_service;
use crate::router::plain_room;
use crate::router::served_version_store;
use crate::router::server_choice;
use crate::router::server_limits;
use crate::router::settings;
use crate::router::stage_orders;
use crate::router::store;
use crate::router::store_sync;
use crate::router::stream_record_store;
use crate::router::workspace_limits;

/// How often silent hosts, vanished servers and expired idle connections are removed.
pub(super) const UPKEEP_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// How often the settings file is read again, as it may change without a signal.
const SETTINGS_READ_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// First pause after a failure to write the host's entry to the store. Doubled after each further
/// failure.
const FIRST_REGISTER_PAUSE: time::Duration = time::Duration::from_millis(100);
/// The longest such pause.
const MAX_REGISTER_PAUSE: time::Duration = time::Duration::from_secs(2);
/// Time for callers to learn that the host leaves. It accepts their connections for at least that long.
const CALLER_NOTICE_TIME: time::Duration = time::Duration::from_millis(3_200);
/// Time to answer the last requests. A leaving host that is never idle stops accepting connections this
/// long before it exits.
const LAST_REQUESTS_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Time for connections to close once they are told to, even if the process was late and its end has come.
const CLOSE_TIME: time::Duration = time::Duration::from_millis(100);
/// How often a leaving host checks whether its callers' connections have closed.
const CLOSE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Longest time for the log's writer thread to write the last lines.
const LOG_WRITE_TIME: time::Duration = time::Duration::from_millis(100);
/// How often a leaving host checks whether its requests have been answered.
const IDLE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Starts logging to standard output.
///
/// # Errors
///
/// Returns an error if logging is already set up or the writer thread can't be started.
pub fn start_logging(level: log::LevelFilter) -> anyhow::Result<()> {
    events::start(level)
}

/// Runs an entry host until SIGTERM tells it to leave and it has answered its requests. `path` is the
/// settings file, which is read again while the host runs.
///
/// # Errors
///
/// Returns an error if a signal handler can't be installed or an address can't be bound.
pub async fn run<D: dialect::Dialect>(
    dialect: D,
    path: &path::Path,
    settings: settings::Settings,
) -> anyhow::Result<()> {
    // Handlers are installed first: until then a signal kills the process.
    let hangup = unix::signal(unix::SignalKind::hangup())?;
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let (crash_checks, crash_checks_rx) = crash_checks::Checks::new();
    let cx = context::Router::new(dialect, settings, clock::BootClock, crash_checks);
    let cx = sync::Arc::new(cx);
    let settings = cx.settings();
    let endpoints = [
        (settings.callers_addr, listen::Endpoint::Callers),
        (settings.ready_addr, listen::Endpoint::Discovery),
        (settings.directory_addr, listen::Endpoint::Discovery),
        (settings.metrics_addr, listen::Endpoint::Metrics),
    ];
    for (addr, endpoint) in endpoints {
        listen::spawn(&cx, addr, endpoint)
            .with_context(|| format!("cannot bind the {endpoint:?} address {addr}"))?;
    }
    news::spawn(&cx)
        .await
        .with_context(|| format!("cannot bind the news address {}", settings.news_addr))?;
    peer_service::spawn(&cx, settings.news_addr)
        .with_context(|| format!("cannot bind the news address {}", settings.news_addr))?;
    links::spawn(&cx);
    store_sync::spawn(&cx);
    crash_checks::spawn(&cx, crash_checks_rx);
    crash_mark_store::spawn(&cx);
    served_version_store::spawn(&cx);
    stream_record_store::spawn(&cx);
    stage_orders::spawn(&cx);
    tokio::spawn(keep_registered(cx.clone()));
    tokio::spawn(upkeep(cx.clone()));
    tokio::spawn(reload(cx.clone(), path.to_owned(), hangup));
    event!(Info, "start", "host" => cx.id.to_string(), "zone" => settings.zone,
        "callers" => settings.callers_addr, "store" => settings.store_addr);
    terminate.recv().await;
    shut_down(&cx).await;
    Ok(())
}

/// Regularly removes silent hosts, vanished servers and expired idle connections.
async fn upkeep<D: dialect::Dialect>(cx: sync::Arc<context::Router<D>>) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        let now = cx.now();
        locks::lock(&cx.stalls).record(now);
        news::expire_silent_hosts(&cx);
        locks::lock(&cx.servers).expire(now);
        locks::lock(&cx.server_pauses).expire(now);
        cx.connection_pool.prune(now);
        server_limits::expire(&cx);
        workspace_limits::expire(&cx);
        plain_room::expire(&cx);
        server_choice::update(&cx);
        links::expire(&cx);
    }
}

/// Keeps the host's entry in the store: writes it at the start, and again when the store came back from a copy.
async fn keep_registered<D: dialect::Dialect>(cx: sync::Arc<context::Router<D>>) {
    loop {
        // An entry that was written before a new era began may be lost, even if the host learned of the era first.
        let era = cx.renewals.era();
        register(&cx).await;
        let written_in = era.or_else(|| cx.renewals.era());
        cx.renewals.wait_for_era_after(written_in).await;
        if cx.is_leaving() {
            return;
        }
    }
}

/// Writes the host's entry to the store, and retries until that succeeds.
async fn register<D: dialect::Dialect>(cx: &sync::Arc<context::Router<D>>) {
    let mut client = store::Client::new(cx);
    let mut pause = FIRST_REGISTER_PAUSE;
    while let Err(failure) = try_register(cx, &mut client).await {
        event!(Info, "entry-not-written", "cause" => failure.to_string());
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
        pause = (pause * 2).min(MAX_REGISTER_PAUSE);
    }
    cx.registered.notify_one();
    event!(Info, "entry-written", "host" => cx.id.to_string());
}

/// Creates the host's entry, or replaces the entry of an earlier process of this name.
async fn try_register<D: dialect::Dialect>(
    cx: &context::Router<D>,
    client: &mut store::Client<D>,
) -> Result<(), store::Failure> {
    let settings = cx.settings();
    let entry = store_sync::HostEntry {
        incarnation: cx.id.incarnation,
        callers: settings.callers_addr,
        news: settings.news_addr,
    };
    let value = serde_json::to_value(&entry).map_err(|_| store::Failure::Unreadable)?;
    let collection = dialect::Collection::Hosts;
    match client.create(collection, &cx.id.name, &value).await {
        Err(store::Failure::Status(dialect::StoreStatus::Conflict)) => {}
        other => return other,
    }
    let Some(old) = client.find(collection, &cx.id.name).await? else {
        return client.create(collection, &cx.id.name, &value).await;
    };
    client
        .replace(collection, &cx.id.name, old.revision, &value)
        .await
}

/// Applies changed settings, after SIGHUP or when the file has changed. Addresses that are already
/// bound don't change.
async fn reload<D: dialect::Dialect>(
    cx: sync::Arc<context::Router<D>>,
    path: path::PathBuf,
    mut hangup: unix::Signal,
) {
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_READ_INTERVAL) => false,
        };
        let read = settings::read(&path);
        match read.map(|read| context::with_features(&cx.dialect, read)) {
            Ok(changed) if changed != *cx.settings() => {
                log::set_max_level(changed.log_level);
                cx.set_settings(changed);
                event!(Info, "reload", "signalled" => signalled, "changed" => true);
            }
            Ok(_) if signalled => {
                event!(Info, "reload", "signalled" => true, "changed" => false);
            }
            Ok(_) => {}
            Err(fault) => event!(Error, "reload-refused", "fault" => fault.to_string()),
        }
    }
}

/// Shuts the host down gracefully: tells callers and other hosts that it leaves, removes its entry from
/// the store, and goes on serving until no request is in flight and all answers are written, or the grace period is
/// nearly over.
async fn shut_down<D: dialect::Dialect>(cx: &sync::Arc<context::Router<D>>) {
    let started = cx.now();
    let late = cx.told_late_by();
    let end = cx.start_leaving(late);
    cx.news_due.notify_one();
    let max_time = end.saturating_sub(started);
    event!(Info, "leave", "in_flight" => cx.in_flight.load(atomic::Ordering::Relaxed),
        "connections" => cx.open_connections(), "marks_unsaved" => has_unsaved_marks(cx),
        "grace_ms" => clock::millis(max_time), "late_ms" => clock::millis(late));
    tokio::spawn(unregister(cx.clone()));
    let min_time = CALLER_NOTICE_TIME.max(forward::ACCEPT_STREAMS_FOR);
    let mut held_up = HeldUp::default();
    serve_until_idle(
        cx,
        started,
        min_time,
        max_time.saturating_sub(LAST_REQUESTS_TIME),
        &mut held_up,
    )
    .await;
    cx.stop_accepting();
    serve_until_idle(cx, started, time::Duration::ZERO, max_time, &mut held_up).await;
    // Requests that arrive from now on aren't read. The answers of the last ones may not have left yet.
    cx.close_connections();
    let close_by = end.max(cx.now() + CLOSE_TIME);
    while cx.open_connections() > 0 && cx.now() < close_by {
        held_up.connections = cx.now().saturating_sub(started);
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
    }
    let took = cx.now().saturating_sub(started);
    cx.log_cut();
    event!(Info, "stop", "in_flight" => cx.in_flight.load(atomic::Ordering::Relaxed),
        "connections" => cx.open_connections(), "marks_unsaved" => has_unsaved_marks(cx),
        "cause" => if took < max_time { "idle" } else { "end of grace period" },
        "took_ms" => clock::millis(took), "requests_until_ms" => clock::millis(held_up.requests),
        "marks_until_ms" => clock::millis(held_up.marks),
        "connections_until_ms" => clock::millis(held_up.connections), "refused" => cx.refused_leaving(),
        "streams_broken" => cx.streams_broken_leaving(), "log_dropped" => events::dropped_lines());
    // Blocks the only runtime thread on purpose, so that no further request is read.
    events::flush(LOG_WRITE_TIME);
}

/// What a leaving host last waited for: when it was last seen, since the host was told to leave; zero if never.
#[derive(Default)]
struct HeldUp {
    /// Requests in flight.
    requests: time::Duration,
    /// Crash marks that the store lacks.
    marks: time::Duration,
    /// Open connections of callers, after the requests.
    connections: time::Duration,
}

fn has_unsaved_marks<D>(cx: &context::Router<D>) -> bool {
    locks::lock(&cx.crash_marks).stored.has_unsaved()
}

/// Waits while the other tasks serve requests, until none is in flight and no crash mark is left to
/// write. Returns no earlier than `min_time` and no later than about `max_time` after `started`.
async fn serve_until_idle<D: dialect::Dialect>(
    cx: &context::Router<D>,
    started: time::Duration,
    min_time: time::Duration,
    max_time: time::Duration,
    held_up: &mut HeldUp,
) {
    loop {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        let elapsed = cx.now().saturating_sub(started);
        let marks_unsaved = has_unsaved_marks(cx);
        let in_flight = cx.in_flight.load(atomic::Ordering::Relaxed);
        if marks_unsaved {
            held_up.marks = elapsed;
        }
        if in_flight > 0 {
            held_up.requests = elapsed;
        }
        let idle = !marks_unsaved && in_flight == 0;
        if elapsed >= max_time || (idle && elapsed >= min_time) {
            return;
        }
    }
}

/// Removes the host's entry from the store.
async fn unregister<D: dialect::Dialect>(cx: sync::Arc<context::Router<D>>) {
    let mut client = store::Client::new(&cx);
    let collection = dialect::Collection::Hosts;
    let removal = async {
        match client.find(collection, &cx.id.name).await? {
            Some(entry) => client.delete(collection, &cx.id.name, entry.revision).await,
            None => Ok(()),
        }
    };
    if let Err(failure) = removal.await {
        // The other hosts notice the shutdown anyway, because this host's news stop.
        event!(Info, "entry-not-removed", "cause" => failure.to_string());
    }
}
