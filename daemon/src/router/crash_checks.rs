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
use crate::router::events::event;

/// Time between the end of an attempt and the probe that tells whether the server crashed. A crashed
/// server can't be reached for seconds.
const PROBE_DELAY: time::Duration = time::Duration::from_millis(150);
/// Time to a second probe if the server didn't break the connection: it may have gone on with the request
/// after the caller left.
const SECOND_PROBE_DELAY: time::Duration = time::Duration::from_secs(1);
/// Longest time for a probe's connection attempt.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// How long the entries of the store are watched for the end of a process that may have crashed. Entries
/// lapse after three heartbeats of about a second.
const ENTRY_WATCH_TIME: time::Duration = time::Duration::from_secs(6);

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
}

/// Receives the failed attempts.
pub(crate) type Receiver = tokio::sync::mpsc::UnboundedReceiver<Suspicion>;

impl Checks {
    pub(crate) fn new() -> (Self, Receiver) {
        let (tx, rx) = tokio::sync::mpsc::unbounded_channel();
        let open = OpenChecks::default();
        (Self { tx, open }, rx)
    }

    /// Returns how many servers may have crashed by content, as far as that isn't known yet.
    pub(crate) fn open_count(&self, digest: u64) -> usize {
        let open = locks::lock(&self.open);
        open.get(&digest)
            .map_or(0, |attempts| count_crashes(attempts))
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
    digest: u64,
    attempt: BrokenAttempt,
}

impl OpenCheck {
    fn new(open: &OpenChecks, digest: u64, attempt: BrokenAttempt) -> Self {
        let mut checks = locks::lock(open);
        checks.entry(digest).or_default().push(attempt.clone());
        Self {
            open: open.clone(),
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
    }
}

/// A server process that may have crashed with content in flight.
#[derive(Debug)]
pub(crate) struct Suspicion {
    server: sync::Arc<backends::Backend>,
    digest: u64,
    sent_at: time::Duration,
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
    digest: u64,
    /// Whether the server broke the connection.
    broke: bool,
}

impl Attempt {
    /// Records a request that is sent now. `sent_at` is the time since boot.
    pub(crate) fn new(
        checks: &Checks,
        server: &sync::Arc<backends::Backend>,
        digest: u64,
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
            digest,
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
            digest,
            broke,
        } = *unanswered;
        let suspicion = Suspicion {
            server,
            digest,
            sent_at: attempt.sent_at,
            open_check: broke.then(|| OpenCheck::new(&checks.open, digest, attempt)),
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
    suspicion: Suspicion,
    guard: context::InFlightGuard<D>,
) {
    let server = &suspicion.server;
    let process = server.process();
    let attempt = departures::FailedAttempt {
        sent_at: suspicion.sent_at,
        ended_at: cx.now(),
        broke: suspicion.open_check.is_some(),
    };
    tokio::time::sleep(PROBE_DELAY).await;
    let mut result = probe(cx, server).await;
    let mut verdict = judge(cx, &process, attempt, result);
    if verdict == departures::Verdict::Unknown {
        drop(guard);
        if !attempt.broke {
            tokio::time::sleep(SECOND_PROBE_DELAY).await;
            result = probe(cx, server).await;
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
    event!(Info, "crash-check", "digest" => crash_marks::hex(suspicion.digest), "server" => server.id,
        "born" => server.started_unix_ms, "address" => server.addr, "broke" => attempt.broke,
        "probe" => format!("{result:?}"), "verdict" => format!("{verdict:?}"),
        "took_ms" => cx.now().saturating_sub(attempt.ended_at).as_millis() as u64);
    if verdict == departures::Verdict::Crashed {
        let name = ids::Name::from(process.to_string());
        crash_marks::record_crash(cx, suspicion.digest, &name);
    }
    // From here on the mark counts instead.
    drop(suspicion.open_check);
}

fn judge<D: dialect::Dialect>(
    cx: &context::Router<D>,
    process: &backends::Process,
    attempt: departures::FailedAttempt,
    probe: departures::Probe,
) -> departures::Verdict {
    let departure = locks::lock(&cx.departures).get(process);
    departures::judge(attempt, probe, departure)
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
