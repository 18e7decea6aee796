//! Content that crashes backend servers: noticed here, told to other hosts, refused by all.

use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::clock;
use walnuthaven_lib::dialect;
use walnuthaven_lib::ids;
use walnuthaven_lib::outcome;
use walnuthaven_lib::quarantine;
use walnuthaven_wire::news;

use crate::locks;
use crate::router::connection_pool;
use crate::router::context;
use crate::router::events::event;

/// Servers that must have crashed before content is refused. A burst of crashes takes the first server
/// of an innocent request and the one that it is sent to next, but hardly three.
pub(crate) const SERVERS_TO_REFUSE: usize = 3;
/// A server that broke off is asked for a connection after this time; one that crashed is away for
/// seconds.
const LOOK_AFTER: time::Duration = time::Duration::from_millis(150);
/// Longest time to open that connection.
const CONNECT: time::Duration = time::Duration::from_millis(250);
/// How long a change of a mark stays in the news, so that lost datagrams don't lose it.
const TOLD_FOR: time::Duration = time::Duration::from_secs(5);
/// Most marks in one message.
const MAX_TOLD: usize = 8;

/// Looks whether a server crashed on content that it was working on, and marks the content if so.
pub(crate) fn check_for_crash<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    server: &backends::Backend,
    digest: u64,
    outcome: outcome::Outcome,
) {
    let broke = matches!(
        outcome,
        outcome::Outcome::BrokenBeforeAnswer | outcome::Outcome::BrokenMidway
    );
    // What a server that leaves cuts off didn't crash it.
    if !broke || locks::lock(&cx.servers).is_leaving(&server.id) {
        return;
    }
    let (cx, addr) = (cx.clone(), server.addr);
    // A server that starts again under its id and crashes again counts twice.
    let start = ids::Name::from(format!(
        "{}@{}",
        server.id,
        server.started_unix_ms.unwrap_or(0)
    ));
    tokio::spawn(async move {
        tokio::time::sleep(LOOK_AFTER).await;
        if connection_pool::connect(addr, CONNECT).await.is_ok() {
            return;
        }
        let unix = cx.unix();
        let mark = locks::lock(&cx.crash_marks).record_crash(digest, &start, unix);
        event!(Warn, "content-crashed-server", "digest" => format!("{digest:016x}"),
            "server" => start, "servers" => mark.servers.len());
        cx.news_due.notify_one();
    });
}

/// Notes that content was answered whole, which proves it innocent.
pub(crate) fn clear_mark<D: dialect::Dialect>(cx: &context::Router<D>, digest: u64) {
    let mut crashes = locks::lock(&cx.crash_marks);
    if let Some(mark) = crashes.lift(digest, cx.unix()) {
        event!(Info, "content-cleared", "digest" => format!("{digest:016x}"),
            "servers" => mark.servers.len());
        cx.news_due.notify_one();
    }
}

/// Returns what other hosts are told.
pub(crate) fn recent_changes<D: dialect::Dialect>(cx: &context::Router<D>) -> Vec<news::CrashMark> {
    let crashes = locks::lock(&cx.crash_marks);
    let since = cx.unix().saturating_sub(TOLD_FOR);
    let changed = crashes.changed_since(since, MAX_TOLD).into_iter();
    let told = changed.map(|mark| news::CrashMark {
        digest: mark.digest,
        servers: mark.servers.iter().map(ToString::to_string).collect(),
        expires_unix_ms: clock::millis(mark.expires),
        changed_unix_ms: clock::millis(mark.changed),
        lifted: mark.lifted,
    });
    told.collect()
}

/// Takes what another host told.
pub(crate) fn merge_received<D: dialect::Dialect>(
    cx: &context::Router<D>,
    told: Vec<news::CrashMark>,
) {
    if told.is_empty() {
        return;
    }
    let unix = cx.unix();
    let mut crashes = locks::lock(&cx.crash_marks);
    for mark in told {
        let known = quarantine::CrashMark {
            digest: mark.digest,
            servers: mark.servers.into_iter().map(ids::Name::from).collect(),
            expires: time::Duration::from_millis(mark.expires_unix_ms),
            changed: time::Duration::from_millis(mark.changed_unix_ms),
            lifted: mark.lifted,
        };
        if crashes.merge(&known, unix) {
            event!(Info, "content-marked-elsewhere", "digest" => format!("{:016x}", mark.digest),
                "servers" => known.servers.len(), "lifted" => known.lifted);
        }
    }
}
