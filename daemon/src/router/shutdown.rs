//! What a host that leaves still accepts and sends.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_lib::clock;
use walnuthaven_lib::dialect;

use crate::locks;
use crate::router::answer;
use crate::router::connection_timer;
use crate::router::context;
use crate::router::events::event;

/// The process ends this long before the end of its grace period, at which it would be killed.
const GRACE_MARGIN: time::Duration = time::Duration::from_millis(400);
/// How long a leaving host sends requests whose time limit is later than its end. Callers that don't know yet that it
/// leaves expect an answer, and few requests use up their time.
const SEND_ALL_FOR: time::Duration = time::Duration::from_secs(3);
/// A leaving host answers what is left this long before it ends, so that callers get these answers.
const LAST_ANSWERS_TIME: time::Duration = time::Duration::from_millis(200);
/// Retry-After of requests that a leaving host refuses. It is short because callers send them to another host.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(50);
/// The most requests that the log of the host's end names.
const MAX_NAMED: usize = 20;
/// The cause of these refusals.
pub(crate) const LEAVES: &str = "this host leaves";

/// Makes the answer of a leaving host to a request that hasn't run.
fn refusal() -> answer::Answer {
    answer::not_run(LEAVES, RETRY_AFTER)
}

/// Makes the answer of a host that ends to a request that may have run.
pub(crate) fn unknown_outcome() -> answer::Answer {
    answer::from_router(http::StatusCode::GATEWAY_TIMEOUT, LEAVES)
}

/// The time in which a host leaves, as times since boot.
#[derive(Clone, Copy, Debug)]
struct Period {
    /// When the host was told to leave, at the earliest.
    since: time::Duration,
    /// When the process ends at the latest, but for the time that connections have to close then.
    end: time::Duration,
}

/// How far a host's shutdown is.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    /// `None` until the host is told to leave.
    period: tokio::sync::watch::Sender<Option<Period>>,
    /// Whether the host has stopped accepting connections of callers.
    accepting_stopped: tokio::sync::watch::Sender<bool>,
    /// Whether connections of callers close after the answers that are being written.
    closing: tokio::sync::watch::Sender<bool>,
    /// The open connections of callers.
    connections: sync::Mutex<collections::HashMap<u64, connection_timer::HeadState>>,
    next_connection: atomic::AtomicU64,
    /// The number of requests that were refused because the host leaves.
    refused: atomic::AtomicUsize,
    /// The number of streams that were broken off while the host left.
    streams_broken: atomic::AtomicUsize,
}

/// Counts a connection of a caller as open until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionGuard<D> {
    cx: sync::Arc<context::Router<D>>,
    number: u64,
}

impl<D> ConnectionGuard<D> {
    pub(crate) fn new(
        cx: &sync::Arc<context::Router<D>>,
        head_state: connection_timer::HeadState,
    ) -> Self {
        let next = &cx.shutdown.next_connection;
        let number = next.fetch_add(1, atomic::Ordering::Relaxed);
        locks::lock(&cx.shutdown.connections).insert(number, head_state);
        let cx = cx.clone();
        Self { cx, number }
    }
}

impl<D> Drop for ConnectionGuard<D> {
    fn drop(&mut self) {
        locks::lock(&self.cx.shutdown.connections).remove(&self.number);
    }
}

/// Waits until a switch is on that the caller keeps alive.
async fn wait_until_on(switch: &tokio::sync::watch::Sender<bool>) {
    // This only fails once the sender is dropped.
    let _ = switch.subscribe().wait_for(|is_on| *is_on).await;
}

impl<D: dialect::Dialect> context::Router<D> {
    pub(crate) fn is_leaving(&self) -> bool {
        self.shutdown.period.borrow().is_some()
    }

    /// Records that the host was told to leave, by a signal that is `late` by this much. Returns when the process ends at
    /// the latest, as time since boot; a grace period that changes later doesn't move it.
    pub(crate) fn start_leaving(&self, late: time::Duration) -> time::Duration {
        let grace_period = self.settings().grace_period;
        let since = self.now().saturating_sub(late);
        let end = since + grace_period.saturating_sub(GRACE_MARGIN);
        self.shutdown
            .period
            .send_replace(Some(Period { since, end }));
        end
    }

    /// Returns by how much a signal that is handled now may be late.
    pub(crate) fn told_late_by(&self) -> time::Duration {
        let stalled = locks::lock(&self.stalls).stalled_for(self.now());
        // The signal may have come at the end of the pause: streams aren't cut before the last sixth of the period.
        let longest = (self.settings().grace_period / 6).saturating_sub(GRACE_MARGIN);
        stalled.min(longest)
    }

    /// Returns how long the host has been leaving, or zero if it isn't leaving.
    pub(crate) fn leaving_for(&self) -> time::Duration {
        let period = *self.shutdown.period.borrow();
        period.map_or(time::Duration::ZERO, |period| {
            self.now().saturating_sub(period.since)
        })
    }

    /// Returns since when a request that must be answered by `deadline`, as time since boot, and whose answer takes
    /// `takes`, may not be sent to a server: the last answers may come before that. `None` if it may be.
    fn unsendable_since(
        &self,
        deadline: time::Duration,
        takes: time::Duration,
    ) -> Option<time::Duration> {
        let period = (*self.shutdown.period.borrow())?;
        let last_answers = period.end.saturating_sub(LAST_ANSWERS_TIME);
        let since = (period.since + SEND_ALL_FOR).min(last_answers.saturating_sub(takes));
        (last_answers < deadline).then_some(since)
    }

    /// Returns whether a request that must be answered by `deadline`, as time since boot, may be sent to a server.
    pub(crate) fn may_send(&self, deadline: time::Duration) -> bool {
        self.may_start(deadline, time::Duration::ZERO)
    }

    /// Returns whether such a request may be sent to a server, if its answer takes `takes` from now on.
    pub(crate) fn may_start(&self, deadline: time::Duration, takes: time::Duration) -> bool {
        self.unsendable_since(deadline, takes)
            .is_none_or(|since| self.now() < since)
    }

    /// Waits until the host is told to leave.
    async fn wait_until_leaving(&self) {
        let mut period = self.shutdown.period.subscribe();
        // This only fails once the sender is dropped, and `self` owns the sender.
        let _ = period.wait_for(Option::is_some).await;
    }

    /// Waits until this host answers what is left, because it ends.
    pub(crate) async fn wait_for_last_answers(&self) {
        self.wait_until_leaving().await;
        let end = self.shutdown.period.borrow().map(|period| period.end);
        let left = end.unwrap_or_default().saturating_sub(self.now());
        tokio::time::sleep(left.saturating_sub(LAST_ANSWERS_TIME)).await;
    }

    /// Waits until such a request may not be sent any more.
    pub(crate) async fn wait_until_unsendable(
        &self,
        deadline: time::Duration,
        takes: time::Duration,
    ) {
        self.wait_until_leaving().await;
        match self.unsendable_since(deadline, takes) {
            Some(since) => tokio::time::sleep(since.saturating_sub(self.now())).await,
            None => std::future::pending().await,
        }
    }

    /// Stops accepting connections of callers.
    pub(crate) fn stop_accepting(&self) {
        self.shutdown.accepting_stopped.send_replace(true);
    }

    /// Waits until `stop_accepting` is called.
    pub(crate) async fn accepting_stopped(&self) {
        wait_until_on(&self.shutdown.accepting_stopped).await;
    }

    /// Closes the connections of callers, each after the answer that is being written.
    pub(crate) fn close_connections(&self) {
        self.shutdown.closing.send_replace(true);
    }

    /// Waits until `close_connections` is called.
    pub(crate) async fn connections_closing(&self) {
        wait_until_on(&self.shutdown.closing).await;
    }

    /// Returns the number of open connections of callers.
    pub(crate) fn open_connections(&self) -> usize {
        locks::lock(&self.shutdown.connections).len()
    }

    /// Counts a request that is refused because the host leaves, and makes its answer.
    pub(crate) fn refuse_leaving(&self) -> answer::Answer {
        self.telemetry.count("leaving.refusals");
        let refused = &self.shutdown.refused;
        refused.fetch_add(1, atomic::Ordering::Relaxed);
        refusal()
    }

    /// Returns the number of requests that were refused because the host leaves.
    pub(crate) fn refused_leaving(&self) -> usize {
        self.shutdown.refused.load(atomic::Ordering::Relaxed)
    }

    /// Counts a stream that is broken off, if the host leaves.
    pub(crate) fn record_broken_stream(&self) {
        if self.is_leaving() {
            let broken = &self.shutdown.streams_broken;
            broken.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    /// Returns the number of streams that were broken off while the host left.
    pub(crate) fn streams_broken_leaving(&self) -> usize {
        self.shutdown.streams_broken.load(atomic::Ordering::Relaxed)
    }

    /// Logs which requests the end of the process cuts, just before it: those without a whole answer, and those whose
    /// answers may not have left.
    pub(crate) fn log_cut(&self) {
        let connections = locks::lock(&self.shutdown.connections);
        let in_flight = self.in_flight.load(atomic::Ordering::Relaxed);
        if connections.is_empty() && in_flight == 0 {
            return;
        }
        let newest = connections.values().filter_map(|state| {
            let is_blocked = state.client().is_blocked();
            state
                .newest()
                .map(|(request, answer)| (request, answer, is_blocked))
        });
        let mut cut: Vec<_> = newest.collect();
        cut.sort_by_key(|(request, state, _)| {
            (
                *state == connection_timer::AnswerState::Made,
                request.arrived,
            )
        });
        let named = cut.iter().take(MAX_NAMED).map(|(request, state, _)| {
            let taken = self.now().saturating_sub(request.arrived);
            serde_json::json!({
                "id": request.id,
                "for_ms": clock::millis(taken),
                "answer": state,
                "may_have_run": request.attempts.state().may_have_run(),
            })
        });
        let named: Vec<_> = named.collect();
        event!(Warn, "cut-at-end", "in_flight" => in_flight, "connections" => connections.len(),
            "requests" => named, "not_named" => cut.len().saturating_sub(MAX_NAMED));
        for (request, state, is_blocked) in cut.iter().take(MAX_NAMED) {
            self.log_cut_request(request, *state, *is_blocked);
        }
    }

    /// Logs how far a request is that the end of the process cuts.
    fn log_cut_request(
        &self,
        request: &connection_timer::OpenRequest,
        answer: connection_timer::AnswerState,
        is_blocked: bool,
    ) {
        let progress = &request.progress;
        let now = self.now();
        let (last_event, relayed_at) = progress.last_event().unzip();
        let last_event_age = relayed_at.map(|at| clock::millis(now.saturating_sub(at)));
        event!(Info, "request-cut", "id" => request.id, "answer" => answer,
            "state" => progress.state(), "server" => progress.server(),
            "last_event" => last_event.flatten(), "last_event_age_ms" => last_event_age,
            "untaken_bytes" => progress.untaken_bytes(), "caller_blocked" => is_blocked,
            "for_ms" => clock::millis(now.saturating_sub(request.arrived)));
    }
}
