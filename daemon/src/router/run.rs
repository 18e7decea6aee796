//! Start, reload and stop of an entry host.

use std::path;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use anyhow::Context as _;
use tokio::signal::unix;
use walnuthaven_lib::clock;
use walnuthaven_lib::dialect;

use crate::locks;
use crate::router::context;
use crate::router::events;
use crate::router::events::event;
use crate::router::forward;
use crate::router::listen;
use crate::router::news;
use crate::router::settings;
use crate::router::stage_orders;
use crate::router::store;
use crate::router::store_sync;

/// How often silent hosts, vanished servers and idle connections are looked at.
const UPKEEP: time::Duration = time::Duration::from_millis(250);
/// How often the settings file is compared, as it may change without a signal.
const SETTINGS: time::Duration = time::Duration::from_secs(2);
/// First pause after the host's entry couldn't be written; doubled up to the longest.
const ENTRY_PAUSE: time::Duration = time::Duration::from_millis(100);
const LONGEST_ENTRY_PAUSE: time::Duration = time::Duration::from_secs(2);
/// Time for callers to learn that the host leaves.
const KNOWN_LEFT: time::Duration = time::Duration::from_millis(3_200);
/// The process ends this long before it would be killed.
const GRACE_MARGIN: time::Duration = time::Duration::from_millis(400);
/// Time for the last requests: a leaving host that is never idle takes no connections for so long
/// before it ends.
const LAST_REQUESTS: time::Duration = time::Duration::from_millis(1_500);
/// Time for the log's thread to write the last lines.
const LOG_WRITTEN: time::Duration = time::Duration::from_millis(20);
/// How often a leaving host looks whether its work has ended.
const LEAVE_LOOK: time::Duration = time::Duration::from_millis(50);

/// Starts logging to standard output.
///
/// # Errors
///
/// Returns an error if logging is set up already or its writer can't be started.
pub fn start_logging(level: log::LevelFilter) -> anyhow::Result<()> {
    events::start(level)
}

/// Runs an entry host until it is told to leave and has left.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn run<D: dialect::Dialect>(
    dialect: D,
    path: &path::Path,
    settings: settings::Settings,
) -> anyhow::Result<()> {
    // Before anything else: until then a signal ends the process.
    let hangup = unix::signal(unix::SignalKind::hangup())?;
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let cx = sync::Arc::new(context::Router::new(dialect, settings, clock::BootClock));
    let settings = cx.settings();
    let doors = [
        (settings.callers_addr, listen::Endpoint::Callers),
        (settings.ready_addr, listen::Endpoint::Discovery),
        (settings.directory_addr, listen::Endpoint::Discovery),
        (settings.metrics_addr, listen::Endpoint::Metrics),
    ];
    for (addr, door) in doors {
        listen::spawn(&cx, addr, door).with_context(|| format!("{door:?} address {addr}"))?;
    }
    news::spawn(&cx)
        .await
        .with_context(|| format!("news address {}", settings.news_addr))?;
    store_sync::spawn(&cx);
    stage_orders::spawn(&cx);
    tokio::spawn(register(cx.clone()));
    tokio::spawn(upkeep(cx.clone()));
    tokio::spawn(reload(cx.clone(), path.to_owned(), hangup));
    event!(Info, "start", "host" => cx.id.to_string(), "zone" => settings.zone,
        "callers" => settings.callers_addr, "store" => settings.store_addr);
    terminate.recv().await;
    leave(&cx).await;
    Ok(())
}

async fn upkeep<D: dialect::Dialect>(cx: sync::Arc<context::Router<D>>) {
    loop {
        tokio::time::sleep(UPKEEP).await;
        let now = cx.now();
        news::expire(&cx);
        locks::lock(&cx.servers).expire(now);
        cx.connection_pool.prune(now);
    }
}

/// Writes the host's entry.
async fn register<D: dialect::Dialect>(cx: sync::Arc<context::Router<D>>) {
    let mut client = store::Client::new(&cx);
    let mut pause = ENTRY_PAUSE;
    while let Err(failure) = try_register(&cx, &mut client).await {
        event!(Info, "entry-not-written", "cause" => failure.to_string());
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
        pause = (pause * 2).min(LONGEST_ENTRY_PAUSE);
    }
    cx.registered.notify_one();
    event!(Info, "entry-written", "host" => cx.id.to_string());
}

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

/// Takes changed settings, at a signal or when the file has changed.
async fn reload<D: dialect::Dialect>(
    cx: sync::Arc<context::Router<D>>,
    path: path::PathBuf,
    mut hangup: unix::Signal,
) {
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS) => false,
        };
        match settings::read(&path) {
            Ok(fresh) if fresh != *cx.settings() => {
                log::set_max_level(fresh.log_level);
                cx.set_settings(fresh);
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

/// Leaves: tells callers and other hosts, ends what runs, and removes the host's entry.
async fn leave<D: dialect::Dialect>(cx: &sync::Arc<context::Router<D>>) {
    let started = cx.now();
    let settings = cx.settings();
    cx.leave();
    cx.news_due.notify_one();
    event!(Info, "leave", "in_flight" => cx.in_flight.load(atomic::Ordering::Relaxed));
    tokio::spawn(unregister(cx.clone()));
    let latest = settings.grace_period.saturating_sub(GRACE_MARGIN);
    let known = KNOWN_LEFT.max(forward::ACCEPT_STREAMS_FOR);
    work_until(cx, started, known, latest.saturating_sub(LAST_REQUESTS)).await;
    cx.stop_accepting();
    work_until(cx, started, time::Duration::ZERO, latest).await;
    event!(Info, "stop", "in_flight" => cx.in_flight.load(atomic::Ordering::Relaxed),
        "took_ms" => cx.now().saturating_sub(started).as_millis() as u64);
    // Blocks this thread, so that no request is read any more.
    thread::sleep(LOG_WRITTEN);
}

/// Works until no request is in flight, for `least` at least and `most` at most since `started`.
async fn work_until<D: dialect::Dialect>(
    cx: &context::Router<D>,
    started: time::Duration,
    least: time::Duration,
    most: time::Duration,
) {
    loop {
        tokio::time::sleep(LEAVE_LOOK).await;
        let gone = cx.now().saturating_sub(started);
        let idle = cx.in_flight.load(atomic::Ordering::Relaxed) == 0;
        if gone >= most || (idle && gone >= least) {
            return;
        }
    }
}

async fn unregister<D: dialect::Dialect>(cx: sync::Arc<context::Router<D>>) {
    let mut client = store::Client::new(&cx);
    let collection = dialect::Collection::Hosts;
    let gone = async {
        match client.find(collection, &cx.id.name).await? {
            Some(own) => client.delete(collection, &cx.id.name, own.revision).await,
            None => Ok(()),
        }
    };
    if let Err(failure) = gone.await {
        // Others notice the silence.
        event!(Info, "entry-not-removed", "cause" => failure.to_string());
    }
}
