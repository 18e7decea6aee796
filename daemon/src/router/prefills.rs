//! Prefills that engines compute for this host, and KV caches that engines keep for it until
//! another engine fetches them.

use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::engine_load;

use crate::locks;
use crate::router::context;
use crate::router::events::event;
use crate::router::send;

/// Part of its time to live in which a KV cache is offered to another engine. In the rest it may
/// expire before it is fetched.
const USABLE_SHARE: f64 = 0.6;
/// Longest time for an engine to free a KV cache.
const FREE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// A KV cache that an engine keeps: the result of a prefill, or that of a stopped run. Dropping the
/// handle frees the cache unless another engine has fetched it.
#[derive(Debug)]
pub(crate) struct KvHandle<D: dialect::Dialect> {
    pub(crate) cx: sync::Arc<context::Router<D>>,
    /// The engine that keeps the cache.
    pub(crate) server: sync::Arc<backends::Backend>,
    /// The engine's name for the cache.
    pub(crate) name: String,
    /// When the engine reported the cache, as time since boot.
    pub(crate) created_at: time::Duration,
    /// How long the engine keeps the cache.
    pub(crate) ttl: time::Duration,
    /// The id of the request, for the log.
    pub(crate) id: sync::Arc<str>,
    /// Number of tokens in the cache.
    pub(crate) tokens: u32,
    /// Whether another engine has fetched the cache.
    pub(crate) fetched: bool,
    /// Whether it is the cache of a stopped run, with which its own engine can go on.
    pub(crate) of_run: bool,
}

impl<D: dialect::Dialect> KvHandle<D> {
    /// Returns whether the cache will probably still exist when another engine fetches it.
    pub(crate) fn is_fresh(&self) -> bool {
        let age = self.cx.now().saturating_sub(self.created_at);
        age < self.ttl.mul_f64(USABLE_SHARE)
    }

    /// Returns until when the engine keeps the cache at least.
    pub(crate) fn kept_until(&self) -> time::Duration {
        self.created_at + self.ttl
    }
}

impl<D: dialect::Dialect> Drop for KvHandle<D> {
    fn drop(&mut self) {
        if self.fetched {
            return;
        }
        let call = self.cx.dialect.free_handle(&self.name);
        self.cx.telemetry.count("prefills.unused");
        let age = self.cx.now().saturating_sub(self.created_at);
        event!(Info, "prefill-unused", "id" => self.id, "server" => self.server.id,
            "tokens" => self.tokens, "age_ms" => age.as_millis() as u64, "of_run" => self.of_run);
        let (cx, server) = (self.cx.clone(), self.server.clone());
        tokio::spawn(async move {
            if let Err(error) = send::call(&cx, &server, call, FREE_TIMEOUT).await {
                event!(Info, "handle-not-freed", "server" => server.id,
                    "cause" => error.to_string());
            }
        });
    }
}

/// A prefill in progress, which counts as load of its engine until it is dropped.
pub(crate) struct RunningPrefill<'a, D: dialect::Dialect> {
    pub(crate) cx: &'a context::Router<D>,
    pub(crate) key: engine_load::Key,
    /// Whether the engine has completed the prefill.
    pub(crate) completed: bool,
}

impl<D: dialect::Dialect> Drop for RunningPrefill<'_, D> {
    fn drop(&mut self) {
        let now = self.cx.now();
        locks::lock(&self.cx.engine_load).remove_prefill(&self.key, self.completed, now);
        self.cx.engine_load_changed.notify_waiters();
        self.cx.work_changed.notify_one();
    }
}
