//! Marks of requests that crash backend servers, by which all hosts refuse them.
//!
//! A crash mark belongs to a content digest (of caller, target and body) and lists the servers that
//! crashed while they had a request with that digest. Every host has to know all marks, and has to know
//! them again after it restarted. They reach it in two ways: the store holds them for hosts that start and
//! tells the others of changes ([`crash_mark_store`](super::crash_mark_store)), and news announce
//! them while the store can't.

use std::time;

use walnuthaven_lib::announced_marks;
use walnuthaven_lib::clock;
use walnuthaven_lib::dialect;
use walnuthaven_lib::ids;
use walnuthaven_lib::outcome;
use walnuthaven_lib::quarantine;
use walnuthaven_lib::stored_marks;
use walnuthaven_wire::news;

use crate::locks;
use crate::router::answer;
use crate::router::context;
use crate::router::events::event;
use crate::router::part_marks;
use crate::router::send;

/// The number of servers that must have crashed before content is refused. In a burst of unrelated
/// crashes, a harmless request may lose its first server and the one that it is sent to next, but
/// hardly a third one.
const SERVERS_TO_REFUSE: usize = 3;
/// Maximum number of changed marks in one news message.
const MAX_MARKS_PER_MESSAGE: usize = 4;
/// Shortest time between two news messages with the same changed mark. Messages may follow each other within
/// milliseconds, and those of a short loss shouldn't be all.
const ANNOUNCEMENT_SPACING: time::Duration = time::Duration::from_millis(200);
/// Retry-After of requests that crashed servers. They are refused until an operator acts.
const CRASHES_RETRY_AFTER: time::Duration = time::Duration::from_secs(60);
/// What a refused caller is told.
const REFUSAL: &str = "this request crashed several servers";
/// Retry-After of requests that may have crashed servers. Most checks have ended by then.
const CHECKS_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);
/// The cause of a send that a part of the request prevents.
const PART_REFUSAL: &str = "a part of the request may crash servers";
/// What a caller is told whose request may have crashed servers.
const CHECKS_REFUSAL: &str = "this request may have crashed several servers";
/// How long a host that has a configuration refuses requests because it hasn't read the marks. Afterwards
/// the store is in trouble, and requests that crash servers are rarer than others.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// The marks that this host knows, and what it has told of them.
#[derive(Debug)]
pub(crate) struct CrashMarks {
    pub(super) table: quarantine::Table,
    pub(super) stored: stored_marks::StoredMarks,
    announcements: announced_marks::Announcements,
    /// Whether the marks were read from the store.
    read: bool,
}

impl Default for CrashMarks {
    fn default() -> Self {
        Self {
            table: quarantine::Table::with_crash_threshold(SERVERS_TO_REFUSE),
            stored: stored_marks::StoredMarks::default(),
            announcements: announced_marks::Announcements::default(),
            read: false,
        }
    }
}

impl CrashMarks {
    /// Returns whether the host knows the marks as well as it can. It has had a configuration for
    /// `configured_for`.
    pub(crate) fn are_known(&self, configured_for: time::Duration) -> bool {
        self.read || configured_for >= READ_TIMEOUT
    }

    /// Records a complete list of the store's marks with their revisions. From then on the marks are known.
    pub(super) fn record_list(
        &mut self,
        listed: Vec<(quarantine::CrashMark, u64)>,
        now: time::Duration,
    ) {
        self.stored
            .replace_all(listed, &self.table, rand::random(), now);
        self.read = true;
    }

    /// Returns the next mark that the store lacks; none until the marks were read, as that isn't known
    /// before.
    pub(super) fn next_write(&mut self, now: time::Duration) -> Option<stored_marks::Write> {
        match self.read {
            true => self.stored.next_write(&self.table, now),
            false => None,
        }
    }

    /// Records that a mark was written to the store.
    pub(super) fn record_written(&mut self, mark: &quarantine::CrashMark) {
        self.stored.record_written(mark, &self.table);
    }

    /// Returns marks for a news message.
    fn next_announced(&mut self, now: time::Duration) -> Vec<quarantine::CrashMark> {
        self.announcements.next(
            &self.table,
            MAX_MARKS_PER_MESSAGE,
            ANNOUNCEMENT_SPACING,
            now,
        )
    }

    /// Returns all marks.
    pub(crate) fn marks(&self) -> impl Iterator<Item = &quarantine::CrashMark> {
        self.table.marks()
    }
}

/// Returns a digest as it is written in logs and object names.
pub(crate) fn hex(digest: u64) -> String {
    format!("{digest:016x}")
}

/// Records that a server crashed with the content in flight.
pub(crate) fn record_crash<D: dialect::Dialect>(
    cx: &context::Router<D>,
    digest: u64,
    server: &ids::Name,
) {
    let mark = {
        let mut marks = locks::lock(&cx.crash_marks);
        marks.table.record_crash(digest, server, cx.unix_time())
    };
    cx.telemetry.count("crash_marks.crashes");
    event!(Warn, "content-crashed-server", "digest" => hex(digest), "server" => server,
        "servers" => mark.servers().len());
    on_change(cx, digest, stored_marks::Origin::Observed);
}

/// Lifts the mark of content that got a complete answer, which shows that it doesn't crash servers.
pub(crate) fn lift_mark<D: dialect::Dialect>(cx: &context::Router<D>, digest: u64) {
    cx.crash_checks.clear_open(digest);
    let lifted = locks::lock(&cx.crash_marks).table.lift(digest);
    if let Some(mark) = lifted {
        event!(Info, "content-cleared", "digest" => hex(digest), "cleared" => mark.cleared.len());
        on_change(cx, digest, stored_marks::Origin::Observed);
    }
}

/// Has a changed mark stored, announced if this host observed the change, and waiting requests checked.
pub(super) fn on_change<D: dialect::Dialect>(
    cx: &context::Router<D>,
    digest: u64,
    origin: stored_marks::Origin,
) {
    let now = cx.now();
    let mut marks = locks::lock(&cx.crash_marks);
    marks
        .stored
        .record_change(digest, origin, rand::random(), now);
    drop(marks);
    if origin == stored_marks::Origin::Observed {
        cx.news_due.notify_one();
    }
    cx.crash_marks_unsaved.notify_one();
    cx.crash_marks_changed.notify_waiters();
}

/// Whether content may be sent to servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Standing {
    /// It may.
    Allowed,
    /// Not until the checks of its failed attempts have ended: it may have crashed several servers.
    Suspected,
    /// It crashed several servers.
    Refused,
}

fn standing<D: dialect::Dialect>(cx: &context::Router<D>, req: &send::CallerRequest) -> Standing {
    let digest = req.digest;
    let unix_time = cx.unix_time();
    let marks = locks::lock(&cx.crash_marks);
    let elsewhere = req.forwarded.as_ref().map_or(0, |f| f.suspected_crashes);
    let suspected = cx.crash_checks.open_count(digest) + elsewhere;
    if marks.table.refuses(digest, unix_time) {
        Standing::Refused
    } else if marks.table.refuses_with(digest, suspected, unix_time) {
        Standing::Suspected
    } else {
        Standing::Allowed
    }
}

/// Returns whether a request may not be sent to servers, for its content or a part of its prompt.
pub(crate) fn refuses<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &send::CallerRequest,
) -> bool {
    standing(cx, req) != Standing::Allowed || part_marks::refuses(cx, req)
}

/// Checks a request right before a send: it may have crashed servers since it arrived. `work` is what the server is
/// asked to do.
///
/// # Errors
///
/// Refuses content that crashed several servers, or may have, and prompts with such a part.
pub(crate) fn check_send<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &send::CallerRequest,
    work: dialect::Work<'_>,
    server: &str,
) -> Result<(), send::SendFailure> {
    let may_send_prompt = || match work {
        // A server that only prefills the prompt doesn't begin to write an answer.
        dialect::Work::Prefill => !part_marks::refuses(cx, req),
        dialect::Work::Whole | dialect::Work::Decode { .. } => part_marks::may_send(cx, req),
    };
    let cause = match standing(cx, req) {
        Standing::Allowed if may_send_prompt() => {
            log_suspect(cx, req, server);
            return Ok(());
        }
        Standing::Allowed => PART_REFUSAL,
        Standing::Suspected => CHECKS_REFUSAL,
        Standing::Refused => REFUSAL,
    };
    cx.telemetry.count("crash_marks.sends_refused");
    let outcome = outcome::Outcome::Quarantined;
    Err(send::SendFailure { outcome, cause })
}

/// Logs that marked content is sent to a server.
fn log_suspect<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &send::CallerRequest,
    server: &str,
) {
    let is_suspect = locks::lock(&cx.crash_marks)
        .table
        .is_suspect(req.digest, cx.unix_time());
    if is_suspect {
        cx.telemetry.count("crash_marks.suspects_sent");
        event!(Info, "suspect-sent", "id" => req.head.request_id, "digest" => hex(req.digest),
            "server" => server);
    }
}

/// Waits until a request may not be sent to servers any more.
pub(crate) async fn wait_until_refused<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &send::CallerRequest,
) {
    wait_until(cx, || refuses(cx, req)).await;
}

/// Waits until the marks are such that a condition holds.
pub(super) async fn wait_until<D: dialect::Dialect>(
    cx: &context::Router<D>,
    holds: impl Fn() -> bool,
) {
    loop {
        let changed = cx.crash_marks_changed.notified();
        if holds() {
            return;
        }
        changed.await;
    }
}

/// Logs that a request is refused, or not continued, because its content or a part of its prompt crashed several
/// servers or may have.
pub(crate) fn log_refusal<D: dialect::Dialect>(cx: &context::Router<D>, req: &send::CallerRequest) {
    let digest = req.digest;
    if standing(cx, req) == Standing::Allowed && part_marks::log_refusal(cx, req) {
        return;
    }
    let marked = locks::lock(&cx.crash_marks)
        .table
        .check(digest, cx.unix_time());
    event!(Info, "refused", "id" => req.head.request_id, "cause" => "crashes servers", "digest" => hex(digest),
        "marked" => marked.err().map(|refusal| refusal.message),
        "open_checks" => cx.crash_checks.open_count(digest));
}

/// Makes the answer to a request that wasn't sent to any server, because its content or a part of its prompt crashed
/// several or may have.
pub(crate) fn refusal_answer<D: dialect::Dialect>(
    cx: &context::Router<D>,
    req: &send::CallerRequest,
) -> answer::Answer {
    match standing(cx, req) {
        Standing::Refused => answer::not_run(REFUSAL, CRASHES_RETRY_AFTER),
        Standing::Suspected => answer::not_run(CHECKS_REFUSAL, CHECKS_RETRY_AFTER),
        // The checks may have ended since the request was refused.
        Standing::Allowed => part_marks::refusal_answer(cx, req)
            .unwrap_or_else(|| answer::not_run(CHECKS_REFUSAL, CHECKS_RETRY_AFTER)),
    }
}

/// Returns marks for a news message to the other hosts.
pub(crate) fn next_announced<D: dialect::Dialect>(cx: &context::Router<D>) -> Vec<news::CrashMark> {
    let announced = locks::lock(&cx.crash_marks).next_announced(cx.now());
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
        part: mark.part.as_ref().map(|part| news::PartEvidence {
            is_content: part.kind == quarantine::PartKind::Content,
            answers: part.answers,
            trials: part.trials.iter().map(ToString::to_string).collect(),
        }),
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
        part: mark.part.map(|part| quarantine::PartEvidence {
            kind: match part.is_content {
                true => quarantine::PartKind::Content,
                false => quarantine::PartKind::Prompt,
            },
            answers: part.answers,
            trials: part.trials.into_iter().map(Into::into).collect(),
        }),
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
    for mark in received.into_iter().map(from_wire) {
        merge(cx, &mark, "news");
    }
}

/// Merges a mark from another host or the store. `source` names where it came from.
pub(super) fn merge<D: dialect::Dialect>(
    cx: &context::Router<D>,
    mark: &quarantine::CrashMark,
    source: &'static str,
) {
    let unix_time = cx.unix_time();
    let merged = locks::lock(&cx.crash_marks)
        .table
        .merge_shared(mark, unix_time);
    if !merged {
        return;
    }
    event!(Info, "content-marked-elsewhere", "digest" => hex(mark.digest), "source" => source,
        "is_part" => mark.part.is_some(),
        "servers" => mark.servers().len(), "cleared" => mark.cleared.len());
    on_change(cx, mark.digest, stored_marks::Origin::Announced);
}
