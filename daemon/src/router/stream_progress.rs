//! How far the stream of a request is, for the log of the host's end.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_lib::clock;

use crate::locks;

/// Stands for an event without an id.
const NO_ID: u64 = u64::MAX;

/// What a stream waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum StreamState {
    /// Capacity on an engine, or the prefill.
    WaitingForEngine,
    /// The answer of the engine that is to generate it.
    SentToEngine,
    /// The engine's next event.
    Generating,
    /// The same, for longer than usual.
    ServerSilent,
    /// Another engine, as its own one has ended the run's stream for a move.
    BeingMoved,
    /// Another host.
    AtOtherHost,
    /// Its caller, as all events were received.
    Received,
    /// Nothing: it was broken off.
    BrokenOff,
}

/// How far a stream is. Written by the tasks that relay it.
#[derive(Debug, Default)]
pub(crate) struct StreamProgress {
    state: sync::Mutex<Option<StreamState>>,
    /// The server that the request was sent to last, other than for a prefill.
    server: sync::Mutex<Option<sync::Arc<str>>>,
    last_event: atomic::AtomicU64,
    /// When it was relayed, in milliseconds since boot; 0 if there is none.
    last_event_at_ms: atomic::AtomicU64,
    received_bytes: atomic::AtomicUsize,
    taken_bytes: atomic::AtomicUsize,
}

impl StreamProgress {
    pub(crate) fn set_state(&self, state: StreamState) {
        *locks::lock(&self.state) = Some(state);
    }

    /// Returns what the stream waits for; `None` if the answer isn't a stream, or it hasn't got that far.
    pub(crate) fn state(&self) -> Option<StreamState> {
        *locks::lock(&self.state)
    }

    pub(crate) fn set_server(&self, server: &sync::Arc<str>) {
        *locks::lock(&self.server) = Some(server.clone());
    }

    /// Returns the server that the request was sent to last, other than for a prefill.
    pub(crate) fn server(&self) -> Option<sync::Arc<str>> {
        locks::lock(&self.server).clone()
    }

    /// Records that an event was relayed, which may have no id, at a time since boot.
    pub(crate) fn record_event(&self, id: Option<u64>, now: time::Duration) {
        self.last_event
            .store(id.unwrap_or(NO_ID), atomic::Ordering::Relaxed);
        self.last_event_at_ms
            .store(clock::millis(now), atomic::Ordering::Relaxed);
    }

    /// Returns the last event that was relayed: its id, if it has one, and when, as time since boot.
    pub(crate) fn last_event(&self) -> Option<(Option<u64>, time::Duration)> {
        let at_ms = self.last_event_at_ms.load(atomic::Ordering::Relaxed);
        let id = self.last_event.load(atomic::Ordering::Relaxed);
        (at_ms > 0).then(|| {
            (
                Some(id).filter(|id| *id != NO_ID),
                time::Duration::from_millis(at_ms),
            )
        })
    }

    /// Counts bytes of events that are passed on to the caller's connection.
    pub(crate) fn count_received(&self, bytes: usize) {
        self.received_bytes
            .fetch_add(bytes, atomic::Ordering::Relaxed);
    }

    /// Counts bytes of the answer that the caller's connection took.
    pub(crate) fn count_taken(&self, bytes: usize) {
        self.taken_bytes.fetch_add(bytes, atomic::Ordering::Relaxed);
    }

    /// Returns how many bytes of events the caller's connection hasn't taken.
    pub(crate) fn untaken_bytes(&self) -> usize {
        let taken = self.taken_bytes.load(atomic::Ordering::Relaxed);
        let received = self.received_bytes.load(atomic::Ordering::Relaxed);
        received.saturating_sub(taken)
    }
}
