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
/// Maximum number of changed marks in one news message.
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
            "server" => server_key, "servers" => mark.servers().len());
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
    if let Some(mark) = marks.lift(digest) {
        event!(Info, "content-cleared", "digest" => hex(digest),
            "crashes" => mark.cleared.len());
        cx.news_due.notify_one();
    }
}

/// Returns changed marks for a news message to the other hosts.
pub(crate) fn next_announced<D: dialect::Dialect>(cx: &context::Router<D>) -> Vec<news::CrashMark> {
    let marks = locks::lock(&cx.crash_marks);
    let mut announced = locks::lock(&cx.announced_marks);
    let announced = announced.next(&marks, MAX_MARKS_PER_MESSAGE, cx.now());
    announced.iter().map(to_wire).collect()
}

fn to_wire(mark: &quarantine::CrashMark) -> news::CrashMark {
    let crashes_to_wire = |crashes: &std::collections::BTreeSet<quarantine::Crash>| {
        let crashes = crashes.iter().map(|crash| news::Crash {
            server: crash.server.to_string(),
            at_unix_ms: clock::millis(crash.at),
        });
        crashes.collect()
    };
    news::CrashMark {
        digest: mark.digest,
        expires_unix_ms: clock::millis(mark.expires),
        crashes: crashes_to_wire(&mark.crashes),
        cleared: crashes_to_wire(&mark.cleared),
    }
}

fn from_wire(mark: news::CrashMark) -> quarantine::CrashMark {
    let crashes_from_wire = |crashes: Vec<news::Crash>| {
        let crashes = crashes.into_iter().map(|crash| quarantine::Crash {
            at: time::Duration::from_millis(crash.at_unix_ms),
            server: crash.server.into(),
        });
        crashes.collect()
    };
    quarantine::CrashMark {
        digest: mark.digest,
        crashes: crashes_from_wire(mark.crashes),
        cleared: crashes_from_wire(mark.cleared),
        expires: time::Duration::from_millis(mark.expires_unix_ms),
    }
}

/// Merges the marks of another host's news message.
pub(crate) fn merge_received<D: dialect::Dialect>(
    cx: &context::Router<D>,
    received: Vec<news::CrashMark>,
) {
    let unix_time = cx.unix_time();
    let mut marks = locks::lock(&cx.crash_marks);
    for mark in received.into_iter().map(from_wire) {
        if marks.merge(&mark, unix_time) {
            event!(Info, "content-marked-elsewhere", "digest" => hex(mark.digest),
                "servers" => mark.servers().len(), "lifted" => mark.is_lifted());
        }
    }
}
