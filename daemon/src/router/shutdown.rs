//! What a host that leaves still accepts and sends.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_lib::dialect;

use crate::router::answer;
use crate::router::context;

/// The process ends this long before the end of its grace period, at which it would be killed.
const GRACE_MARGIN: time::Duration = time::Duration::from_millis(400);
/// How long a leaving host sends requests whose time limit is later than its end. Callers that don't know yet that it
/// leaves expect an answer, and few requests use up their time.
const SEND_ALL_FOR: time::Duration = time::Duration::from_secs(3);
/// A leaving host answers what is left this long before it ends, so that callers get these answers.
const LAST_ANSWERS_TIME: time::Duration = time::Duration::from_millis(200);
/// Time to write an answer that is made at the time limit.
const ANSWER_TIME: time::Duration = time::Duration::from_millis(100);
/// Retry-After of requests that a leaving host refuses. It is short because callers send them to another host.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(50);
/// The cause of these refusals.
pub(crate) const LEAVES: &str = "this host leaves";

/// Makes the answer of a leaving host to a request that hasn't run.
pub(crate) fn refusal() -> answer::Answer {
    answer::not_run(LEAVES, RETRY_AFTER)
}

/// Makes the answer of a host that ends to a request that may have run.
pub(crate) fn unknown_outcome() -> answer::Answer {
    answer::from_router(http::StatusCode::GATEWAY_TIMEOUT, LEAVES)
}

/// How far a host's shutdown is.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    /// When the host was told to leave, as time since boot.
    since: tokio::sync::watch::Sender<Option<time::Duration>>,
    /// Whether the host has stopped accepting connections of callers.
    accepting_stopped: tokio::sync::watch::Sender<bool>,
    /// Whether connections of callers close after the answers that are being written.
    closing: tokio::sync::watch::Sender<bool>,
    /// The number of open connections of callers.
    connections: atomic::AtomicUsize,
}

/// Counts a connection of a caller as open until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionGuard<D>(sync::Arc<context::Router<D>>);

impl<D> ConnectionGuard<D> {
    pub(crate) fn new(cx: &sync::Arc<context::Router<D>>) -> Self {
        let connections = &cx.shutdown.connections;
        connections.fetch_add(1, atomic::Ordering::Relaxed);
        Self(cx.clone())
    }
}

impl<D> Drop for ConnectionGuard<D> {
    fn drop(&mut self) {
        let connections = &self.0.shutdown.connections;
        connections.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Waits until a switch is on that the caller keeps alive.
async fn wait_until_on(switch: &tokio::sync::watch::Sender<bool>) {
    // This only fails once the sender is dropped.
    let _ = switch.subscribe().wait_for(|is_on| *is_on).await;
}

impl<D: dialect::Dialect> context::Router<D> {
    pub(crate) fn is_leaving(&self) -> bool {
        self.shutdown.since.borrow().is_some()
    }

    /// Records that the host leaves from now on.
    pub(crate) fn start_leaving(&self) {
        self.shutdown.since.send_replace(Some(self.now()));
    }

    /// Returns how long the host has been leaving, or zero if it isn't leaving.
    pub(crate) fn leaving_for(&self) -> time::Duration {
        let since = *self.shutdown.since.borrow();
        since.map_or(time::Duration::ZERO, |at| self.now().saturating_sub(at))
    }

    /// Returns the longest time from the start of leaving to the end of the process.
    pub(crate) fn max_leaving_time(&self) -> time::Duration {
        self.settings().grace_period.saturating_sub(GRACE_MARGIN)
    }

    /// Returns since when a request that must be answered by `deadline`, as time since boot, may not be sent to a server:
    /// the process may end before the answer. `None` if it may be.
    fn unsendable_since(&self, deadline: time::Duration) -> Option<time::Duration> {
        let since = (*self.shutdown.since.borrow())?;
        let end = since + self.max_leaving_time();
        (end < deadline + ANSWER_TIME).then_some(since + SEND_ALL_FOR)
    }

    /// Returns whether a request that must be answered by `deadline`, as time since boot, may be sent to a server.
    pub(crate) fn may_send(&self, deadline: time::Duration) -> bool {
        self.unsendable_since(deadline)
            .is_none_or(|since| self.now() < since)
    }

    /// Waits until the host is told to leave.
    async fn wait_until_leaving(&self) {
        let mut since = self.shutdown.since.subscribe();
        // This only fails once the sender is dropped, and `self` owns the sender.
        let _ = since.wait_for(Option::is_some).await;
    }

    /// Waits until this host answers what is left, because it ends.
    pub(crate) async fn wait_for_last_answers(&self) {
        self.wait_until_leaving().await;
        let left = self.max_leaving_time().saturating_sub(self.leaving_for());
        tokio::time::sleep(left.saturating_sub(LAST_ANSWERS_TIME)).await;
    }

    /// Waits until such a request may not be sent any more.
    pub(crate) async fn wait_until_unsendable(&self, deadline: time::Duration) {
        self.wait_until_leaving().await;
        match self.unsendable_since(deadline) {
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

    /// Returns whether a connection of a caller is open.
    pub(crate) fn has_connections(&self) -> bool {
        self.shutdown.connections.load(atomic::Ordering::Relaxed) > 0
    }
}
