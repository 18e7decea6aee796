//! Finds out whether a server crashed when a request to it brought no complete answer.

use std::collections;
use std::io;
use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::departures;
use walnuthaven_lib::dialect;
use walnuthaven_lib::ids;

use crate::locks;
use crate::router::connection_pool;
use crate::router::context;
use crate::router::crash_marks;
use crate::router::crash_witness;
use crate::router::events::event;
use crate::router::part_marks;
use crate::router::trials;

/// Time between the end of an attempt and the probe that tells whether the server crashed. A crashed
/// server can't be reached for seconds.
const PROBE_DELAY: time::Duration = time::Duration::from_millis(150);
/// Time in which a process that ends closes all of its sockets.
const END_TIME: time::Duration = time::Duration::from_millis(20);
/// Time to a second probe if the server didn't break the connection: it may have gone on with the request
/// after the caller left.
const SECOND_PROBE_DELAY: time::Duration = time::Duration::from_secs(1);
/// Longest time for a probe's connection attempt.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// How long the entries of the store are watched for the end of a process that may have crashed. Entries
/// lapse after three heartbeats of about a second.
const ENTRY_WATCH_TIME: time::Duration = time::Duration::from_secs(6);

/// How long a request whose content may have crashed a server isn't sent on while that is found out.
const MAX_CHECK_TIME: time::Duration = time::Duration::from_millis(300);

/// Checks that aren't concluded, by digest, of attempts that the server broke off.
type OpenChecks = sync::Arc<sync::Mutex<collections::HashMap<u64, Vec<BrokenAttempt>>>>;

/// An attempt that a server broke off. Times are times since boot.
#[derive(Clone, Debug, Eq, PartialEq)]
struct BrokenAttempt {
    process: backends::Process,
    sent_at: time::Duration,
    ended_at: time::Duration,
}

/// Returns how many crashes there may have been. Attempts that overlap at a process ended by the same one.
fn count_crashes(attempts: &[BrokenAttempt]) -> usize {
    let overlaps = |a: &BrokenAttempt, b: &BrokenAttempt| {
        a.process == b.process && a.sent_at <= b.ended_at && b.sent_at <= a.ended_at
    };
    let is_first = |number: usize, attempt: &BrokenAttempt| {
        let before = &attempts[..number];
        !before.iter().any(|earlier| overlaps(earlier, attempt))
    };
    let attempts = attempts.iter().enumerate();
    attempts
        .filter(|(number, attempt)| is_first(*number, attempt))
        .count()
}

/// Takes failed attempts, to check whether their servers crashed.
#[derive(Clone, Debug)]
pub(crate) struct Checks {
    tx: tokio::sync::mpsc::UnboundedSender<Suspicion>,
    open: OpenChecks,
    /// Wakes requests that wait for the end of a check.
    ended: sync::Arc<tokio::sync::Notify>,
}

/// Receives the failed attempts.
pub(crate) type Receiver = tokio::sync::mpsc::UnboundedReceiver<Suspicion>;

impl Checks {
    pub(crate) fn new() -> (Self, Receiver) {
        let (tx, rx) = tokio::sync::mpsc::unbounded_channel();
        let open = OpenChecks::default();
        let ended = sync::Arc::default();
        (Self { tx, open, ended }, rx)
    }

    /// Returns how many servers may have crashed by content, as far as that isn't known yet.
    pub(crate) fn open_count(&self, digest: u64) -> usize {
        let open = locks::lock(&self.open);
        open.get(&digest)
            .map_or(0, |attempts| count_crashes(attempts))
    }

    /// Waits until content has no open check, but not longer than a check of a server that ended takes.
    pub(crate) async fn wait_until_ended(&self, digest: u64) {
        let all_ended = async {
            loop {
                let ended = self.ended.notified();
                if self.open_count(digest) == 0 {
                    return;
                }
                ended.await;
            }
        };
        let _ = tokio::time::timeout(MAX_CHECK_TIME, all_ended).await;
    }

    /// Stops counting the open checks of content that got a complete answer.
    pub(crate) fn clear_open(&self, digest: u64) {
        locks::lock(&self.open).remove(&digest);
    }
}

/// Counts a check as open until it is dropped.
#[derive(Debug)]
struct OpenCheck {
    open: OpenChecks,
    ended: sync::Arc<tokio::sync::Notify>,
    digest: u64,
    attempt: BrokenAttempt,
}

impl OpenCheck {
    fn new(checks: &Checks, digest: u64, attempt: BrokenAttempt) -> Self {
        let mut open = locks::lock(&checks.open);
        open.entry(digest).or_default().push(attempt.clone());
        Self {
            open: checks.open.clone(),
            ended: checks.ended.clone(),
            digest,
            attempt,
        }
    }
}

impl Drop for OpenCheck {
    fn drop(&mut self) {
        let mut open = locks::lock(&self.open);
        // Gone if the content got an answer meanwhile.
        let Some(attempts) = open.get_mut(&self.digest) else {
            return;
        };
        if let Some(number) = attempts.iter().position(|a| *a == self.attempt) {
            attempts.remove(number);
        }
        if attempts.is_empty() {
            open.remove(&self.digest);
        }
        drop(open);
        self.ended.notify_waiters();
    }
}

/// What a server that crashes may have crashed by.
#[derive(Clone, Debug)]
pub(crate) struct Subject {
    /// The digest of the request's content.
    pub(crate) digest: u64,
    /// The parts that other requests may share; empty if the server doesn't write the answer.
    pub(crate) parts: sync::Arc<[part_marks::RequestPart]>,
    /// Set if some of the parts were suspected before. They are on trial until the check has ended.
    pub(crate) trial: Option<sync::Arc<trials::Permit>>,
}

/// A server process that may have crashed with a request in flight.
#[derive(Debug)]
pub(crate) struct Suspicion {
    server: sync::Arc<backends::Backend>,
    subject: Subject,
    /// When the server began to write the answer, if it did.
    began: Option<time::Duration>,
    attempt: BrokenAttempt,
    /// Whether the answer ended like a complete one, but with its connection.
    may_be_complete: bool,
    /// Set if the server broke the connection.
    open_check: Option<OpenCheck>,
}

/// A request that was sent to a server. Unless it is answered, dropping it has the server checked for a
/// crash, whatever ended the attempt: a failure, a time limit, or a caller that left.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// What to report; `None` once the request was answered. Boxed, as it is part of larger values.
    unanswered: Option<Box<Unanswered>>,
}

#[derive(Debug)]
struct Unanswered {
    checks: Checks,
    attempt: BrokenAttempt,
    server: sync::Arc<backends::Backend>,
    subject: Subject,
    began: Option<time::Duration>,
    may_be_complete: bool,
    /// Whether the server broke the connection.
    broke: bool,
}

impl Attempt {
    /// Records a request that is sent now. `sent_at` is the time since boot.
    pub(crate) fn new(
        checks: &Checks,
        server: &sync::Arc<backends::Backend>,
        subject: Subject,
        sent_at: time::Duration,
    ) -> Self {
        let attempt = BrokenAttempt {
            process: server.process(),
            sent_at,
            ended_at: sent_at,
        };
        let unanswered = Unanswered {
            checks: checks.clone(),
            attempt,
            server: server.clone(),
            subject,
            began: None,
            may_be_complete: false,
            broke: false,
        };
        Self {
            unanswered: Some(Box::new(unanswered)),
        }
    }

    /// Records that the server answered, or that nothing was sent to it.
    pub(crate) fn set_answered(&mut self) {
        self.unanswered = None;
    }

    /// Records that the server began to write the answer. `now` is the time since boot.
    pub(crate) fn set_began(&mut self, now: time::Duration) {
        if let Some(unanswered) = &mut self.unanswered {
            unanswered.began.get_or_insert(now);
        }
    }

    /// Returns when the server began to write the answer, as time since boot.
    pub(crate) fn began(&self) -> Option<time::Duration> {
        self.unanswered.as_ref()?.began
    }

    /// Records that the answer ended like a complete one, but with its connection, as it would if the server crashed
    /// just then. `now` is the time since boot.
    pub(crate) fn set_ended_with_connection(&mut self, now: time::Duration) {
        if let Some(unanswered) = &mut self.unanswered {
            unanswered.may_be_complete = true;
            unanswered.attempt.ended_at = now;
        }
    }

    /// Records that the server broke the connection. `now` is the time since boot.
    pub(crate) fn set_broken(&mut self, now: time::Duration) {
        if let Some(unanswered) = &mut self.unanswered {
            unanswered.broke = true;
            unanswered.attempt.ended_at = now;
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let Some(unanswered) = self.unanswered.take() else {
            return;
        };
        let Unanswered {
            checks,
            attempt,
            server,
            subject,
            began,
            may_be_complete,
            broke,
        } = *unanswered;
        let suspicion = Suspicion {
            server,
            began,
            may_be_complete,
            open_check: broke.then(|| OpenCheck::new(&checks, subject.digest, attempt.clone())),
            subject,
            attempt,
        };
        // Fails only while the process ends.
        let _ = checks.tx.send(suspicion);
    }
}

/// Starts the task that checks the servers of failed attempts.
pub(crate) fn spawn<D: dialect::Dialect>(cx: &sync::Arc<context::Router<D>>, mut rx: Receiver) {
    let cx = cx.clone();
    tokio::spawn(async move {
        while let Some(suspicion) = rx.recv().await {
            // A host that leaves finishes its probes first.
            let guard = context::InFlightGuard::new(&cx);
            let cx = cx.clone();
            tokio::spawn(async move { check(&cx, suspicion, guard).await });
        }
    });
}

/// Checks one server process, and marks the content if it crashed.
async fn check<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    mut suspicion: Suspicion,
    guard: context::InFlightGuard<D>,
) {
    let server = &suspicion.server;
    let process = server.process();
    let on_trial = suspicion.subject.trial.is_some();
    let attempt = departures::FailedAttempt {
        sent_at: suspicion.attempt.sent_at,
        ended_at: cx.now(),
        broke: suspicion.open_check.is_some(),
    };
    tokio::time::sleep(PROBE_DELAY).await;
    let mut result = probe_with_witnesses(cx, server).await;
    let mut verdict = judge(cx, &process, attempt, result);
    if suspicion.may_be_complete {
        if verdict == departures::Verdict::Unknown {
            record_answer(cx, &suspicion.subject, suspicion.began);
            return;
        }
    } else if verdict == departures::Verdict::Unknown {
        // The server probably lives, so the next request may be tried.
        suspicion.subject.trial = None;
        drop(guard);
        if !attempt.broke {
            tokio::time::sleep(SECOND_PROBE_DELAY).await;
            result = probe_with_witnesses(cx, server).await;
        }
    }
    let watch_until = cx.now() + ENTRY_WATCH_TIME;
    while verdict == departures::Verdict::Unknown && cx.now() < watch_until {
        let changed = cx.departures_changed.notified();
        verdict = judge(cx, &process, attempt, result);
        if verdict == departures::Verdict::Unknown {
            let left = watch_until.saturating_sub(cx.now());
            let _ = tokio::time::timeout(left, changed).await;
        }
    }
    event!(Info, "crash-check", "digest" => crash_marks::hex(suspicion.subject.digest), "server" => server.id,
        "born" => server.started_unix_ms, "address" => server.addr, "broke" => attempt.broke,
        "probe" => format!("{:?}", result.0), "other_hosts" => format!("{:?}", result.1), "verdict" => format!("{verdict:?}"),
        "took_ms" => cx.now().saturating_sub(attempt.ended_at).as_millis() as u64);
    if verdict == departures::Verdict::Crashed {
        let name = ids::Name::from(process.to_string());
        crash_marks::record_crash(cx, suspicion.subject.digest, &name);
        record_part_crashes(cx, &suspicion, &name, on_trial);
    }
    // From here on the mark counts instead.
    drop(suspicion.open_check);
}

/// Records that the parts of a request may have crashed a server, unless it had begun the answer long before.
fn record_part_crashes<D: dialect::Dialect>(
    cx: &context::Router<D>,
    suspicion: &Suspicion,
    server: &ids::Name,
    on_trial: bool,
) {
    let Suspicion {
        subject, attempt, ..
    } = suspicion;
    let ended = attempt.ended_at;
    let wrote_for = suspicion.began.map(|began| ended.saturating_sub(began));
    if wrote_for.is_none_or(|wrote_for| wrote_for < part_marks::BEGIN_TIME) {
        part_marks::record_crash(cx, &subject.parts, server, ended, on_trial);
    }
}

/// Records that a server could write a complete answer, of which it sent the first event at `began`.
pub(crate) fn record_answer<D: dialect::Dialect>(
    cx: &context::Router<D>,
    subject: &Subject,
    began: Option<time::Duration>,
) {
    crash_marks::lift_mark(cx, subject.digest);
    if let Some(began) = began {
        part_marks::record_answer(cx, &subject.parts, began);
    }
}

fn judge<D: dialect::Dialect>(
    cx: &context::Router<D>,
    process: &backends::Process,
    attempt: departures::FailedAttempt,
    (probe, others): (departures::Probe, departures::OtherHosts),
) -> departures::Verdict {
    let departure = locks::lock(&cx.departures).get(process);
    departures::judge(attempt, probe, others, departure)
}

/// Returns whether a server that just closed a connection has ended. It is tried at once, as another process may soon
/// listen at its address, and again once all sockets of a process that ends are closed.
pub(crate) async fn has_ended<D: dialect::Dialect>(
    cx: &context::Router<D>,
    server: &backends::Backend,
) -> bool {
    if probe(cx, server).await == departures::Probe::Refused {
        return true;
    }
    tokio::time::sleep(END_TIME).await;
    probe(cx, server).await == departures::Probe::Refused
}

/// Tries to reach a server, and asks other hosts if that fails.
async fn probe_with_witnesses<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    server: &sync::Arc<backends::Backend>,
) -> (departures::Probe, departures::OtherHosts) {
    let result = probe(cx, server).await;
    let others = match result {
        departures::Probe::Accepted => departures::OtherHosts::None,
        departures::Probe::Refused | departures::Probe::Unreachable => {
            crash_witness::ask(cx, server).await
        }
    };
    (result, others)
}

/// Tries to reach a server on a new connection: one that is open already may have lost its process unnoticed.
async fn probe<D: dialect::Dialect>(
    cx: &context::Router<D>,
    server: &backends::Backend,
) -> departures::Probe {
    cx.telemetry.count("server.connections");
    match connection_pool::connect(server.addr, PROBE_TIMEOUT).await {
        Ok(_) => departures::Probe::Accepted,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            departures::Probe::Refused
        }
        Err(_) => departures::Probe::Unreachable,
    }
}
