//! Detects requests that crash backend servers, and shares them with the other hosts so that all hosts
//! refuse them.
//!
//! A crash mark belongs to a content digest (of caller, target and body) and lists the servers that
//! crashed while they had a request with that digest.

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
use crate::router::send;

/// The number of servers that must have crashed before content is refused. In a burst of unrelated
/// crashes, a harmless request may lose its first server and the one that it is sent to next, but
/// hardly a third one.
pub(crate) const SERVERS_TO_REFUSE: usize = 3;
/// Time between a broken answer and the connection attempt that tells whether the server crashed. A
/// crashed server can't be reached for seconds.
const PROBE_DELAY: time::Duration = time::Duration::from_millis(150);
/// Longest time for that connection attempt.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// How long a changed mark is included in the news. Each datagram may be lost, so a change is sent in
/// many of them.
const ANNOUNCED_FOR: time::Duration = time::Duration::from_secs(5);
/// Maximum number of marks in one news message.
const MAX_MARKS_PER_MESSAGE: usize = 8;

/// Checks in the background whether a server that broke off its answer has crashed, and marks the
/// content if it has.
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
    // A server that leaves may break off answers without having crashed.
    let leaving = locks::lock(&cx.servers).is_leaving(&server.id);
    if !broke || leaving {
        log_check(
            digest,
            &server.id,
            outcome,
            if leaving { "leaving" } else { "not broken" },
        );
        return;
    }
    let (cx, addr) = (cx.clone(), server.addr);
    let id = server.id.clone();
    // The start time is part of the key: a server that restarts under its id and crashes again counts
    // twice.
    let server_key = ids::Name::from(format!(
        "{}@{}",
        server.id,
        server.started_unix_ms.unwrap_or(0)
    ));
    tokio::spawn(async move {
        tokio::time::sleep(PROBE_DELAY).await;
        if connection_pool::connect(addr, PROBE_TIMEOUT).await.is_ok() {
            log_check(digest, &id, outcome, "reachable");
            return;
        }
        log_check(digest, &id, outcome, "crashed");
        cx.telemetry.count("crash_marks.crashes");
        let unix_time = cx.unix_time();
        let mark = locks::lock(&cx.crash_marks).record_crash(digest, &server_key, unix_time);
        event!(Warn, "content-crashed-server", "digest" => hex(digest),
            "server" => server_key, "servers" => mark.servers.len());
        cx.news_due.notify_one();
    });
}

/// Logs what was concluded from a send that brought no answer.
fn log_check(digest: u64, server: &str, outcome: outcome::Outcome, verdict: &'static str) {
    event!(Info, "crash-check", "digest" => hex(digest), "server" => server,
        "outcome" => format!("{outcome:?}"), "verdict" => verdict);
}

/// Returns a digest as it is written in logs.
pub(crate) fn hex(digest: u64) -> String {
    format!("{digest:016x}")
}

/// Logs and counts a send of content that is marked.
pub(crate) fn log_send<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &send::CallerRequest,
    server: &str,
) {
    let marks = locks::lock(&cx.crash_marks);
    if marks.is_suspect(req.digest, cx.unix_time()) {
        let refused = marks.check(req.digest, cx.unix_time()).is_err();
        cx.telemetry.count("crash_marks.suspects_sent");
        event!(Info, "suspect-sent", "id" => req.head.request_id, "digest" => hex(req.digest),
            "server" => server, "refused_by_now" => refused);
    }
}

/// Lifts the mark of content that got a complete answer, which shows that it doesn't crash servers.
pub(crate) fn lift_mark<D: dialect::Dialect>(cx: &context::Router<D>, digest: u64) {
    let mut marks = locks::lock(&cx.crash_marks);
    if let Some(mark) = marks.lift(digest, cx.unix_time()) {
        event!(Info, "content-cleared", "digest" => hex(digest),
            "servers" => mark.servers.len());
        cx.news_due.notify_one();
    }
}

/// Returns the recently changed marks, for a news message to the other hosts.
pub(crate) fn recent_changes<D: dialect::Dialect>(cx: &context::Router<D>) -> Vec<news::CrashMark> {
    let marks = locks::lock(&cx.crash_marks);
    let since = cx.unix_time().saturating_sub(ANNOUNCED_FOR);
    let changed = marks
        .changed_since(since, MAX_MARKS_PER_MESSAGE)
        .into_iter();
    let messages = changed.map(|mark| news::CrashMark {
        digest: mark.digest,
        servers: mark.servers.iter().map(ToString::to_string).collect(),
        expires_unix_ms: clock::millis(mark.expires),
        changed_unix_ms: clock::millis(mark.changed),
        lifted: mark.lifted,
    });
    messages.collect()
}

/// Merges the marks of another host's news message.
pub(crate) fn merge_received<D: dialect::Dialect>(
    cx: &context::Router<D>,
    received: Vec<news::CrashMark>,
) {
    if received.is_empty() {
        return;
    }
    let unix_time = cx.unix_time();
    let mut marks = locks::lock(&cx.crash_marks);
    for mark in received {
        let incoming = quarantine::CrashMark {
            digest: mark.digest,
            servers: mark.servers.into_iter().map(ids::Name::from).collect(),
            expires: time::Duration::from_millis(mark.expires_unix_ms),
            changed: time::Duration::from_millis(mark.changed_unix_ms),
            lifted: mark.lifted,
        };
        if marks.merge(&incoming, unix_time) {
            event!(Info, "content-marked-elsewhere", "digest" => hex(mark.digest),
                "servers" => incoming.servers.len(), "lifted" => incoming.lifted);
        }
    }
}
