//! Prompts that engines read for this host: those in progress and their results.

use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::engine_load;

use crate::locks;
use crate::router::context;
use crate::router::events::event;
use crate::router::send;

/// Part of its life in which the result of a prefill is given to another engine.
const FRESH_SHARE: f64 = 0.6;
/// Longest time to free the result of a prefill.
const FREE: time::Duration = time::Duration::from_secs(1);

/// The result of a prefill, freed unless it was taken.
#[derive(Debug)]
pub(crate) struct KvHandle<D: dialect::Dialect> {
    pub(crate) cx: sync::Arc<context::Router<D>>,
    pub(crate) server: sync::Arc<backends::Backend>,
    pub(crate) name: String,
    pub(crate) made_at: time::Duration,
    pub(crate) ttl: time::Duration,
    pub(crate) taken: bool,
}

impl<D: dialect::Dialect> KvHandle<D> {
    /// Returns whether the result will still be there when another engine asks for it.
    pub(crate) fn is_fresh(&self) -> bool {
        let age = self.cx.now().saturating_sub(self.made_at);
        age < self.ttl.mul_f64(FRESH_SHARE)
    }
}

impl<D: dialect::Dialect> Drop for KvHandle<D> {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let call = self.cx.dialect.free_handle(&self.name);
        self.cx.telemetry.count("prefills.unused");
        let (cx, server) = (self.cx.clone(), self.server.clone());
        tokio::spawn(async move {
            if let Err(error) = send::call(&cx, &server, call, FREE).await {
                event!(Info, "handle-not-freed", "server" => server.id,
                    "cause" => error.to_string());
            }
        });
    }
}

/// A prefill in progress, counted against its engine until it ends.
pub(crate) struct RunningPrefill<'a, D: dialect::Dialect> {
    pub(crate) cx: &'a context::Router<D>,
    pub(crate) key: engine_load::Key,
    pub(crate) read: bool,
}

impl<D: dialect::Dialect> Drop for RunningPrefill<'_, D> {
    fn drop(&mut self) {
        let now = self.cx.now();
        locks::lock(&self.cx.engine_load).remove_prefill(&self.key, self.read, now);
        self.cx.engine_load_changed.notify_waiters();
        self.cx.news_due.notify_one();
    }
}
