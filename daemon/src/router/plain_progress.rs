//! What becomes of the sends of a request to a plain service.

use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::outcome;

use crate::locks;
use crate::router::answer;
use crate::router::context;
use crate::router::plain_room;
use crate::router::send;

/// A send that failed.
pub(crate) struct FailedSend {
    pub(crate) failure: send::SendFailure,
    /// The server's error response, which is relayed to the caller if the request isn't sent again.
    pub(crate) answer: Option<answer::Answer>,
}

/// What became of the sends of a request that have ended.
#[derive(Default)]
pub(crate) struct Progress {
    /// The servers to which no connection could be opened.
    pub(crate) unreached: Vec<sync::Arc<str>>,
    /// The servers that were tried, also those whose sends haven't ended; the newest last.
    pub(crate) tried: Vec<sync::Arc<str>>,
    /// Number of ended sends that may have reached a server.
    pub(crate) ended_sends: u32,
    /// The newest error response of a server.
    pub(crate) error_answer: Option<answer::Answer>,
}

impl Progress {
    /// Records a send that failed.
    pub(crate) fn record(&mut self, server: &backends::Backend, failed_send: FailedSend) {
        let outcome = failed_send.failure.outcome;
        if outcome == outcome::Outcome::NeverWritten {
            self.unreached.push(server.id.clone());
        }
        self.ended_sends += u32::from(outcome != outcome::Outcome::NeverWritten);
        self.error_answer = failed_send.answer.or(self.error_answer.take());
    }
}

/// Counts a request as outstanding at a server until it is dropped.
pub(crate) struct OutstandingGuard<'a, D: dialect::Dialect> {
    cx: &'a sync::Arc<context::Router<D>>,
    service: &'a str,
    server: &'a backends::Backend,
    /// How long the server took, once it has answered.
    pub(crate) took: Option<time::Duration>,
}

impl<'a, D: dialect::Dialect> OutstandingGuard<'a, D> {
    pub(crate) fn new(
        cx: &'a sync::Arc<context::Router<D>>,
        service: &'a str,
        server: &'a backends::Backend,
    ) -> Self {
        locks::lock(&cx.health).record_sent(&server.id);
        plain_room::record_sent(cx, service, server);
        Self {
            cx,
            service,
            server,
            took: None,
        }
    }
}

impl<D: dialect::Dialect> Drop for OutstandingGuard<'_, D> {
    fn drop(&mut self) {
        locks::lock(&self.cx.health).record_ended(&self.server.id);
        plain_room::record_ended(self.cx, self.service, self.server, self.took);
    }
}
