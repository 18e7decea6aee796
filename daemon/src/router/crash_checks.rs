//! Finds out whether a server crashed when a request to it brought no complete answer.

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
/// How long the entry of a server that may have crashed is watched. Entries lapse after three heartbeats
/// of about a second.
const ENTRY_WATCH_TIME: time::Duration = time::Duration::from_secs(6);
/// How often such an entry is looked at.
const ENTRY_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Sends failed attempts to the task that checks them.
pub(crate) type Sender = tokio::sync::mpsc::UnboundedSender<Suspicion>;
/// Receives them.
pub(crate) type Receiver = tokio::sync::mpsc::UnboundedReceiver<Suspicion>;

/// A server that may have crashed with content in flight.
#[derive(Debug)]
pub(crate) struct Suspicion {
    server: sync::Arc<backends::Backend>,
    digest: u64,
    attempt_broke: bool,
}

/// A request that was sent to a server. Unless it is answered, dropping it has the server checked for a
/// crash, whatever ended the attempt: a failure, a time limit, or a caller that left.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// Where to report the attempt; `None` once the request was answered.
    checks: Option<Sender>,
    server: sync::Arc<backends::Backend>,
    digest: u64,
    broke: bool,
}

impl Attempt {
    pub(crate) fn new(checks: &Sender, server: &sync::Arc<backends::Backend>, digest: u64) -> Self {
        Self {
            checks: Some(checks.clone()),
            server: server.clone(),
            digest,
            broke: false,
        }
    }

    /// Records that the server answered, or that nothing was sent to it.
    pub(crate) fn set_answered(&mut self) {
        self.checks = None;
    }

    /// Records that the server broke the connection.
    pub(crate) fn set_broken(&mut self) {
        self.broke = true;
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let Some(checks) = self.checks.take() else {
            return;
        };
        let suspicion = Suspicion {
            server: self.server.clone(),
            digest: self.digest,
            attempt_broke: self.broke,
        };
        // Fails only while the process ends.
        let _ = checks.send(suspicion);
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

/// Checks one server, and marks the content if the server crashed.
async fn check<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    suspicion: Suspicion,
    guard: context::InFlightGuard<D>,
) {
    let server = &suspicion.server;
    let attempt = departures::FailedAttempt {
        ended_at: cx.now(),
        broke: suspicion.attempt_broke,
    };
    tokio::time::sleep(PROBE_DELAY).await;
    let mut probed_at = cx.now();
    let mut result = probe(cx, server).await;
    let mut verdict = judge(cx, server, attempt, result, probed_at);
    if verdict == departures::Verdict::Unknown {
        drop(guard);
        tokio::time::sleep(SECOND_PROBE_DELAY).await;
        probed_at = cx.now();
        result = probe(cx, server).await;
        verdict = judge(cx, server, attempt, result, probed_at);
    }
    let watch_until = cx.now() + ENTRY_WATCH_TIME;
    while verdict == departures::Verdict::Unknown && cx.now() < watch_until {
        tokio::time::sleep(ENTRY_CHECK_INTERVAL).await;
        verdict = judge(cx, server, attempt, result, probed_at);
    }
    event!(Info, "crash-check", "digest" => crash_marks::hex(suspicion.digest), "server" => server.id,
        "born" => server.started_unix_ms, "address" => server.addr, "broke" => attempt.broke, "probe" => format!("{result:?}"), "verdict" => format!("{verdict:?}"),
        "took_ms" => cx.now().saturating_sub(attempt.ended_at).as_millis() as u64);
    if verdict == departures::Verdict::Crashed {
        // The start time is part of the name: a server that restarts under its id and crashes again
        // counts twice.
        let born = server.started_unix_ms.unwrap_or(0);
        let name = ids::Name::from(format!("{}@{born}", server.id));
        crash_marks::record_crash(cx, suspicion.digest, &name);
    }
}

fn judge<D: dialect::Dialect>(
    cx: &context::Router<D>,
    server: &backends::Backend,
    attempt: departures::FailedAttempt,
    probe: departures::Probe,
    probed_at: time::Duration,
) -> departures::Verdict {
    let departure = locks::lock(&cx.departures).get(&server.id);
    departures::judge(attempt, probe, probed_at, departure)
}

/// Tries to reach a server. An idle connection that is still open shows as well that it runs.
async fn probe<D: dialect::Dialect>(
    cx: &context::Router<D>,
    server: &backends::Backend,
) -> departures::Probe {
    if cx.connection_pool.has_open(&server.id) {
        return departures::Probe::Reachable;
    }
    cx.telemetry.count("server.connections");
    match connection_pool::connect(server.addr, PROBE_TIMEOUT).await {
        Ok(_) => departures::Probe::Reachable,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            departures::Probe::Refused
        }
        Err(_) => departures::Probe::Unreachable,
    }
}
