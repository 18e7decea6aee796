//! The work of a stand-in engine: prefills, transfers of exports, decode steps and orders.

use std::sync;
use std::time;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use walnuthaven_daemon::engine as protocol;
use walnuthaven_lib::engines;
use walnuthaven_lib::history;
use walnuthaven_lib::prefix;

use crate::engine;
use crate::engine_memory as memory;
use crate::engine_slot;
use crate::recorder;
use crate::tokens;
use crate::world;

/// How long a computed prompt is kept for a transfer that has not started.
pub const EXPORT_LIFETIME: time::Duration = time::Duration::from_millis(800);
const EXPORT_GRACE: time::Duration = time::Duration::from_millis(20); // after a transfer's end
/// A decode step takes this plus `STEP_PER_REQUEST` for each request in it.
const STEP_BASE: time::Duration = time::Duration::from_micros(12_000);
const STEP_PER_REQUEST: time::Duration = time::Duration::from_micros(700);
const IDLE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(2);
/// Minimum age of the list of running requests in a load report.
const LOAD_REPORT_DELAY: time::Duration = time::Duration::from_millis(100);
/// Minimum age of reported cache events.
const CACHE_EVENT_DELAY: time::Duration = time::Duration::from_millis(150);
const LOST_EVENT_INTERVAL: u64 = 50; // every 50th cache event is never reported
/// A prompt with this text crashes the engine that computes it.
pub const CRASH_PREFILL_MARKER: &str = "crash-the-prefill-engine";
/// A prompt with this text crashes the engine that generates its third token.
pub const CRASH_DECODE_MARKER: &str = "crash-the-decode-engine";

/// The planned course of a transfer.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    /// Time until it ends, including the wait for earlier transfers.
    pub duration: time::Duration,
    /// Whether it stalls and never ends.
    pub stalled: bool,
}

/// An engine's state, shared by its background work and its HTTP handlers.
#[derive(Debug)]
pub struct EngineState {
    spec: engine::Spec,
    recorder: sync::Arc<recorder::Recorder>,
    volatile: sync::Mutex<memory::VolatileState>,
    persistent: sync::Mutex<memory::PersistentState>,
    crashes: watch::Sender<u64>,
    pub(crate) slots_freed: tokio::sync::Notify,
    prefill_queued: tokio::sync::Notify,
    http: reqwest::Client,
}

impl EngineState {
    /// Creates the state of an engine that has just started.
    pub fn new(spec: engine::Spec, recorder: sync::Arc<recorder::Recorder>) -> Self {
        let persistent = memory::PersistentState {
            role: spec.role,
            model: world::MODEL.into(),
            version: "1".into(),
            fence: 0,
            leaving_since: None,
            stall_share: 0.0,
        };
        let volatile = memory::VolatileState {
            incarnation: rand::random::<u64>() | 1,
            up: true,
            ..memory::VolatileState::default()
        };
        Self {
            spec,
            recorder,
            volatile: sync::Mutex::new(volatile),
            persistent: sync::Mutex::new(persistent),
            crashes: watch::Sender::new(0),
            slots_freed: tokio::sync::Notify::new(),
            prefill_queued: tokio::sync::Notify::new(),
            http: reqwest::Client::builder()
                .http2_prior_knowledge()
                .no_proxy()
                .build()
                .unwrap_or_default(),
        }
    }

    /// Returns the HTTP client for pulls from other engines.
    pub fn http(&self) -> &reqwest::Client {
        &self.http
    }

    /// Crashes the engine.
    pub fn crash(&self) {
        self.crashes.send_modify(|count| *count += 1);
    }

    /// Returns a future that completes at the next crash after this call.
    pub fn next_crash(&self) -> impl Future<Output = ()> + use<> {
        let mut crashes = self.crashes.subscribe();
        async move {
            let _ = crashes.changed().await;
        }
    }

    /// Clears the volatile state after a crash and picks a new incarnation.
    pub fn clear(&self) {
        let mut state = self.volatile();
        *state = memory::VolatileState {
            incarnation: rand::random::<u64>() | 1,
            ..memory::VolatileState::default()
        };
        drop(state);
        self.slots_freed.notify_waiters();
    }

    /// Accepts requests again after a crash.
    pub fn accept_calls(&self) {
        self.volatile().up = true;
    }

    /// Makes the engine report that it leaves and refuse new requests.
    pub fn start_leaving(&self) {
        self.persistent().leaving_since = Some(time::Instant::now());
    }

    /// Sets the share of outgoing transfers that stall, from 0 to 1.
    pub fn set_stall_share(&self, share: f64) {
        self.persistent().stall_share = share;
    }

    /// Returns whether a decode slot is held for a request.
    pub fn holds_memory_for(&self, request: &str) -> bool {
        self.volatile().slots.contains_key(request)
    }

    /// Returns how many decode slots are in use.
    pub fn slots_used(&self) -> usize {
        self.volatile().slots.len()
    }

    /// Returns the version of the loaded model.
    pub fn version(&self) -> String {
        self.persistent().version.clone()
    }

    /// Returns the engine's current role.
    pub fn role(&self) -> engines::Role {
        self.persistent().role
    }

    /// Computes prompts, generates tokens and takes snapshots for load reports; never returns.
    pub async fn run(&self) {
        tokio::join!(self.run_prefill(), self.run_decode(), self.run_snapshots());
    }

    /// Queues a prompt and waits for its export.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine refuses the call or the attempt is cancelled.
    pub async fn prefill(
        &self,
        call: protocol::Prefill,
    ) -> Result<protocol::PrefillReply, memory::Refusal> {
        self.check_accepts(&call.request, call.attempt)?;
        let (tx, rx) = oneshot::channel();
        {
            let mut state = self.volatile();
            let number = state.next_number();
            state.queue.push(memory::PrefillJob { call, tx, number });
        }
        self.prefill_queued.notify_one();
        rx.await.unwrap_or(Err(memory::Refusal::Cancelled))
    }

    /// Reserves a decode slot for an import, waiting for a free one if the call asks for that.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine refuses the call or no slot is free.
    pub async fn reserve(
        self: &sync::Arc<Self>,
        call: &protocol::Import,
    ) -> Result<engine_slot::SlotReservation, memory::Refusal> {
        loop {
            self.check_accepts(&call.request, call.attempt)?;
            let slots_freed = self.slots_freed.notified();
            if self.volatile().reserve_slot(call, self.spec.slots as usize) {
                return Ok(engine_slot::SlotReservation {
                    shared: self.clone(),
                    request: call.request.clone(),
                    attempt: call.attempt,
                    filled: false,
                });
            }
            if !call.wait {
                return Err(memory::Refusal::Full);
            }
            slots_freed.await;
        }
    }

    /// Starts the transfer of an export.
    ///
    /// # Errors
    ///
    /// Returns an error if the export is gone.
    pub fn begin_pull(&self, export: u64) -> Result<Transfer, memory::Refusal> {
        let stalled = rand::random::<f64>() < self.persistent().stall_share;
        let mut state = self.volatile();
        let state = &mut *state;
        let now = time::Instant::now();
        let export_entry = state
            .exports
            .get_mut(&export)
            .ok_or(memory::Refusal::ExportGone)?;
        if export_entry.expires_at < now {
            state.exports.remove(&export);
            return Err(memory::Refusal::ExportGone);
        }
        let time = engine::transfer_time(export_entry.tokens, self.spec.link_mb_s);
        if stalled {
            return Ok(Transfer {
                duration: time,
                stalled,
            });
        }
        let begin = state.link_free_at.map_or(now, |free| free.max(now));
        let end = begin + time;
        // An export does not expire during a transfer that makes progress.
        export_entry.expires_at = export_entry.expires_at.max(end + EXPORT_GRACE);
        state.link_free_at = Some(end);
        Ok(Transfer {
            duration: end - now,
            stalled,
        })
    }

    /// Ends a transfer, removes the export and returns its content.
    ///
    /// # Errors
    ///
    /// Returns an error if the export is gone.
    pub fn end_pull(&self, export: u64) -> Result<memory::KvData, memory::Refusal> {
        let export_entry = self.volatile().exports.remove(&export);
        export_entry
            .map(|export| export.content)
            .ok_or(memory::Refusal::ExportGone)
    }

    /// Attaches a reader to the token stream of a slot, from the offset in the call.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt has no filled slot.
    pub fn attach(
        &self,
        call: &protocol::Decode,
    ) -> Result<mpsc::UnboundedReceiver<protocol::Frame>, memory::Refusal> {
        let (tx, rx) = mpsc::unbounded_channel();
        let mut state = self.volatile();
        let slot = state.slots.get_mut(&call.request);
        let slot = slot.filter(|slot| slot.attempt == call.attempt);
        let slot = slot.ok_or(memory::Refusal::Cancelled)?;
        let Some(content) = &slot.content else {
            return Err(memory::Refusal::Cancelled);
        };
        if slot.generated > call.offset {
            let missed = call.offset..slot.generated;
            let tokens = missed.map(|at| tokens::token(content.digest, at));
            // The receiver `rx` is still alive.
            let _ = tx.send(protocol::Frame {
                request: call.request.clone(),
                attempt: call.attempt,
                offset: call.offset,
                tokens: tokens.collect(),
                done: slot.started && slot.generated >= call.max_tokens,
            });
        }
        slot.started = true;
        slot.max_tokens = call.max_tokens;
        slot.tx = Some(tx);
        Ok(rx)
    }

    /// Detaches the reader of a stream. The request goes on.
    pub fn detach(&self, request: &str, attempt: u32) {
        let mut state = self.volatile();
        if let Some(slot) = state.slots.get_mut(request)
            && slot.attempt == attempt
        {
            slot.tx = None;
        }
    }

    /// Cancels a request's attempts up to the given one, including those that arrive later.
    pub fn cancel(&self, request: &str, attempt: u32) {
        let mut state = self.volatile();
        let last = state.cancelled.entry(request.to_owned()).or_default();
        *last = (*last).max(attempt);
        state
            .queue
            .retain(|job| job.call.request != request || job.call.attempt > attempt);
        state
            .exports
            .retain(|_, export| export.request != request || export.attempt > attempt);
        let held = state.slots.get(request);
        if held.is_some_and(|slot| slot.attempt <= attempt) {
            state.slots.remove(request);
        }
        drop(state);
        self.slots_freed.notify_waiters();
    }

    /// Changes the role, the model and its version as ordered.
    ///
    /// # Errors
    ///
    /// Returns an error if the order's fencing number is old or the weights can't be loaded.
    pub async fn order(&self, call: &protocol::Order) -> Result<(), memory::Refusal> {
        {
            let mut persistent = self.persistent();
            if self.spec.checks_fencing && call.fence < persistent.fence {
                return Err(memory::Refusal::Fenced);
            }
            persistent.fence = persistent.fence.max(call.fence);
        }
        self.recorder.record_event(history::Event::Ordered {
            server: self.spec.name.clone(),
            fence: call.fence,
        });
        let loaded = {
            let persistent = self.persistent();
            let same_model = persistent.model == call.model && persistent.version == call.version;
            same_model && persistent.role == call.role
        };
        if loaded {
            return Ok(());
        }
        if let Some(weights) = &self.spec.weights {
            let url = format!("{weights}/weights/{}", call.model);
            // If the weight store does not answer, the engine keeps its role and model.
            let loaded = self.http.get(url).send().await;
            if !loaded.is_ok_and(|response| response.status().is_success()) {
                return Err(memory::Refusal::Leaving);
            }
        }
        let mut persistent = self.persistent();
        if call.fence < persistent.fence && self.spec.checks_fencing {
            return Err(memory::Refusal::Fenced);
        }
        persistent.role = call.role;
        persistent.model = call.model.clone();
        persistent.version = call.version.clone();
        Ok(())
    }

    /// Returns a delayed load report that lacks some of the cache events after number `after`.
    pub fn load(&self, after: u64) -> protocol::Load {
        let (role, model, version, leaving) = {
            let persistent = self.persistent();
            let leaving = persistent.leaving_since.is_some();
            let (model, version) = (persistent.model.clone(), persistent.version.clone());
            (persistent.role, model, version, leaving)
        };
        let state = self.volatile();
        let now = time::Instant::now();
        let lagging = state.snapshots.iter().rev();
        let mut lagging = lagging.skip_while(|(at, _)| now.duration_since(*at) < LOAD_REPORT_DELAY);
        let running = lagging.next().map(|(_, running)| running.clone());
        let events = state.cache_events.iter().filter(|(at, event)| {
            event.number > after
                && now.duration_since(*at) >= CACHE_EVENT_DELAY
                && event.number % LOST_EVENT_INTERVAL != 0
        });
        protocol::Load {
            incarnation: state.incarnation,
            leaving,
            role,
            model,
            version,
            slots: self.spec.slots,
            running: running.unwrap_or_default(),
            events: events.map(|(_, event)| *event).collect(),
        }
    }

    fn check_accepts(&self, request: &str, attempt: u32) -> Result<(), memory::Refusal> {
        if self.persistent().leaving_since.is_some() {
            return Err(memory::Refusal::Leaving);
        }
        let state = self.volatile();
        if !state.up {
            return Err(memory::Refusal::Leaving);
        }
        match state.cancelled.get(request) {
            Some(last) if attempt <= *last => Err(memory::Refusal::Cancelled),
            _ => Ok(()),
        }
    }

    async fn run_prefill(&self) {
        loop {
            let job = self.volatile().take_job();
            let Some(job) = job else {
                self.prefill_queued.notified().await;
                continue;
            };
            self.prefill_one(job).await;
            self.volatile().computing = None;
        }
    }

    async fn prefill_one(&self, job: memory::PrefillJob) {
        let call = &job.call;
        self.record_run(call);
        if call.prompt.contains(CRASH_PREFILL_MARKER) {
            self.crash();
            std::future::pending::<()>().await;
        }
        let total = prefix::estimated_tokens(&call.prompt)
            + u32::try_from(call.generated.len()).unwrap_or(u32::MAX);
        let blocks = prefix::block_digests(&call.prompt);
        let cached = self.volatile().cache.cached_prefix(&blocks) * prefix::BLOCK_TOKENS;
        let cached = u32::try_from(cached).unwrap_or(u32::MAX);
        let uncached = total.saturating_sub(cached).max(1);
        let rate = f64::from(self.spec.prefill_tokens_s);
        tokio::time::sleep(time::Duration::from_secs_f64(f64::from(uncached) / rate)).await;
        self.recorder
            .record_prefill(&call.request, u64::from(uncached));
        let exported = self.volatile().add_export(call, &blocks, total, cached);
        // If the caller is gone, the export stays until it expires.
        let _ = job.tx.send(exported);
    }

    fn record_run(&self, call: &protocol::Prefill) {
        self.recorder.record_event(history::Event::Ran {
            request: call.request.clone(),
            server: self.spec.name.clone(),
            repeatable: call.repeatable,
        });
        if let Some(since) = self.persistent().leaving_since {
            let after = since.elapsed().as_millis();
            self.recorder.record_event(history::Event::WorkAfterLeave {
                server: self.spec.name.clone(),
                after_ms: u64::try_from(after).unwrap_or(u64::MAX),
            });
        }
    }

    async fn run_decode(&self) {
        let mut next = tokio::time::Instant::now();
        loop {
            let active = self.volatile().active_slots();
            if active == 0 {
                tokio::time::sleep(IDLE_POLL_INTERVAL).await;
                next = tokio::time::Instant::now();
                continue;
            }
            next += STEP_BASE + STEP_PER_REQUEST * u32::try_from(active).unwrap_or(1);
            next = next.max(tokio::time::Instant::now());
            tokio::time::sleep_until(next).await;
            let (done, crashes) = self.volatile().decode_step();
            if crashes {
                self.crash();
                std::future::pending::<()>().await;
            }
            for request in &done {
                self.recorder.record_complete(request);
            }
            if !done.is_empty() {
                self.slots_freed.notify_waiters();
            }
        }
    }

    async fn run_snapshots(&self) {
        loop {
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            self.volatile().take_snapshot();
        }
    }

    pub(crate) fn volatile(&self) -> sync::MutexGuard<'_, memory::VolatileState> {
        self.volatile
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn persistent(&self) -> sync::MutexGuard<'_, memory::PersistentState> {
        self.persistent
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
