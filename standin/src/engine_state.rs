//! What a stand-in engine does: prefill turns, exports, decode slots, orders.

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
use crate::ledger;
use crate::tokens;
use crate::world;

/// How long an export is kept.
pub const EXPORT_LIFE: time::Duration = time::Duration::from_millis(800);
const TRANSFER_MARGIN: time::Duration = time::Duration::from_millis(20);
const STEP_BASE: time::Duration = time::Duration::from_micros(12_000);
const STEP_PER_REQUEST: time::Duration = time::Duration::from_micros(700);
const IDLE: time::Duration = time::Duration::from_millis(2);
const LOAD_LAG: time::Duration = time::Duration::from_millis(100);
const EVENT_LAG: time::Duration = time::Duration::from_millis(150);
const LOST_EVENT_EVERY: u64 = 50;
/// A prompt with this text crashes the engine that computes it.
pub const CRASH_PREFILL: &str = "crash-the-prefill-engine";
/// A prompt with this text crashes the engine that generates its third token.
pub const CRASH_DECODE: &str = "crash-the-decode-engine";

/// A transfer that begins.
#[derive(Clone, Copy, Debug)]
pub struct Sending {
    /// How long it takes, waiting for the link included.
    pub wait: time::Duration,
    /// Whether it stalls.
    pub stalled: bool,
}

/// An engine's state, shared by its calls.
#[derive(Debug)]
pub struct Shared {
    spec: engine::Spec,
    ledger: sync::Arc<ledger::Ledger>,
    state: sync::Mutex<memory::State>,
    orders: sync::Mutex<memory::Orders>,
    crash: watch::Sender<u64>,
    pub(crate) freed: tokio::sync::Notify,
    queued: tokio::sync::Notify,
    http: reqwest::Client,
}

impl Shared {
    /// Makes an engine's state.
    pub fn new(spec: engine::Spec, ledger: sync::Arc<ledger::Ledger>) -> Self {
        let orders = memory::Orders {
            role: spec.role,
            model: world::MODEL.into(),
            version: "1".into(),
            fence: 0,
            leaving: None,
            stalls: 0.0,
        };
        let state = memory::State {
            incarnation: rand::random::<u64>() | 1,
            up: true,
            ..memory::State::default()
        };
        Self {
            spec,
            ledger,
            state: sync::Mutex::new(state),
            orders: sync::Mutex::new(orders),
            crash: watch::Sender::new(0),
            freed: tokio::sync::Notify::new(),
            queued: tokio::sync::Notify::new(),
            http: reqwest::Client::builder()
                .http2_prior_knowledge()
                .no_proxy()
                .build()
                .unwrap_or_default(),
        }
    }

    /// Returns the client for pulls from other engines.
    pub fn http(&self) -> &reqwest::Client {
        &self.http
    }

    /// Crashes the engine.
    pub fn crash(&self) {
        self.crash.send_modify(|count| *count += 1);
    }

    /// Waits for a crash that is still to come.
    pub fn crashed(&self) -> impl Future<Output = ()> + use<> {
        let mut crash = self.crash.subscribe();
        async move {
            let _ = crash.changed().await;
        }
    }

    /// Forgets everything, as a crash does.
    pub fn reset(&self) {
        let mut state = self.lock();
        *state = memory::State {
            incarnation: rand::random::<u64>() | 1,
            ..memory::State::default()
        };
        drop(state);
        self.freed.notify_waiters();
    }

    /// Takes calls again after a crash.
    pub fn up(&self) {
        self.lock().up = true;
    }

    /// Announces that the engine leaves.
    pub fn leave(&self) {
        self.orders().leaving = Some(time::Instant::now());
    }

    /// Makes a share of the transfers stall.
    pub fn set_stalls(&self, share: f64) {
        self.orders().stalls = share;
    }

    /// Returns whether memory is held for a request.
    pub fn holds(&self, request: &str) -> bool {
        self.lock().slots.contains_key(request)
    }

    /// Returns how many slots are in use.
    pub fn slots_used(&self) -> usize {
        self.lock().slots.len()
    }

    /// Returns the version that is loaded.
    pub fn version(&self) -> String {
        self.orders().version.clone()
    }

    /// Returns the role.
    pub fn role(&self) -> engines::Role {
        self.orders().role
    }

    /// Computes prompts and generates tokens until the engine crashes.
    pub async fn work(&self) {
        tokio::join!(self.compute(), self.generate(), self.observe());
    }

    /// Queues a prompt and waits for its export.
    ///
    /// # Errors
    ///
    /// Returns why there is no export.
    pub async fn prefill(
        &self,
        call: protocol::Prefill,
    ) -> Result<protocol::PrefillReply, memory::Refused> {
        self.check_work(&call.request, call.attempt)?;
        let (tx, rx) = oneshot::channel();
        {
            let mut state = self.lock();
            let number = state.take_number();
            state.queue.push(memory::PrefillJob { call, tx, number });
        }
        self.queued.notify_one();
        rx.await.unwrap_or(Err(memory::Refused::Cancelled))
    }

    /// Reserves a slot for an import.
    ///
    /// # Errors
    ///
    /// Returns why there is no slot.
    pub async fn reserve(
        self: &sync::Arc<Self>,
        call: &protocol::Import,
    ) -> Result<engine_slot::Reserved, memory::Refused> {
        loop {
            self.check_work(&call.request, call.attempt)?;
            let freed = self.freed.notified();
            if self.lock().reserve(call, self.spec.slots as usize) {
                return Ok(engine_slot::Reserved {
                    shared: self.clone(),
                    request: call.request.clone(),
                    attempt: call.attempt,
                    filled: false,
                });
            }
            if !call.wait {
                return Err(memory::Refused::Full);
            }
            freed.await;
        }
    }

    /// Begins to send an export.
    ///
    /// # Errors
    ///
    /// Returns that the export is gone.
    pub fn begin_pull(&self, export: u64) -> Result<Sending, memory::Refused> {
        let stalled = rand::random::<f64>() < self.orders().stalls;
        let mut state = self.lock();
        let state = &mut *state;
        let now = time::Instant::now();
        let found = state
            .exports
            .get_mut(&export)
            .ok_or(memory::Refused::ExportGone)?;
        if found.until < now {
            state.exports.remove(&export);
            return Err(memory::Refused::ExportGone);
        }
        let time = engine::transfer_time(found.tokens, self.spec.link_mb_s);
        if stalled {
            return Ok(Sending {
                wait: time,
                stalled,
            });
        }
        let begin = state.link_free.map_or(now, |free| free.max(now));
        let end = begin + time;
        // A transfer that moves keeps its export.
        found.until = found.until.max(end + TRANSFER_MARGIN);
        state.link_free = Some(end);
        Ok(Sending {
            wait: end - now,
            stalled,
        })
    }

    /// Ends a transfer; the export is dropped.
    ///
    /// # Errors
    ///
    /// Returns that the export is gone.
    pub fn end_pull(&self, export: u64) -> Result<memory::Content, memory::Refused> {
        let found = self.lock().exports.remove(&export);
        found
            .map(|export| export.content)
            .ok_or(memory::Refused::ExportGone)
    }

    /// Attaches to the token stream of a slot.
    ///
    /// # Errors
    ///
    /// Returns that the attempt holds no slot.
    pub fn attach(
        &self,
        call: &protocol::Decode,
    ) -> Result<mpsc::UnboundedReceiver<protocol::Frame>, memory::Refused> {
        let (tx, rx) = mpsc::unbounded_channel();
        let mut state = self.lock();
        let slot = state.slots.get_mut(&call.request);
        let slot = slot.filter(|slot| slot.attempt == call.attempt);
        let slot = slot.ok_or(memory::Refused::Cancelled)?;
        let Some(content) = &slot.content else {
            return Err(memory::Refused::Cancelled);
        };
        if slot.produced > call.offset {
            let missed = call.offset..slot.produced;
            let tokens = missed.map(|at| tokens::token(content.digest, at));
            // The receiver is still here.
            let _ = tx.send(protocol::Frame {
                request: call.request.clone(),
                attempt: call.attempt,
                offset: call.offset,
                tokens: tokens.collect(),
                done: slot.started && slot.produced >= call.max_tokens,
            });
        }
        slot.started = true;
        slot.max_tokens = call.max_tokens;
        slot.tx = Some(tx);
        Ok(rx)
    }

    /// Notes that nobody reads a stream any more; the request goes on.
    pub fn detach(&self, request: &str, attempt: u32) {
        let mut state = self.lock();
        if let Some(slot) = state.slots.get_mut(request)
            && slot.attempt == attempt
        {
            slot.tx = None;
        }
    }

    /// Ends a request's attempts up to the given one, also those that are still to come.
    pub fn cancel(&self, request: &str, attempt: u32) {
        let mut state = self.lock();
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
        self.freed.notify_waiters();
    }

    /// Takes an order into a state.
    ///
    /// # Errors
    ///
    /// Returns that the order's fencing number is old.
    pub async fn order(&self, call: &protocol::Order) -> Result<(), memory::Refused> {
        {
            let mut orders = self.orders();
            if self.spec.checks_fencing && call.fence < orders.fence {
                return Err(memory::Refused::Fenced);
            }
            orders.fence = orders.fence.max(call.fence);
        }
        self.ledger.event(history::Event::Ordered {
            server: self.spec.name.clone(),
            fence: call.fence,
        });
        let loaded = {
            let orders = self.orders();
            let same_model = orders.model == call.model && orders.version == call.version;
            same_model && orders.role == call.role
        };
        if loaded {
            return Ok(());
        }
        if let Some(weights) = &self.spec.weights {
            let url = format!("{weights}/weights/{}", call.model);
            // A store that does not answer leaves the old role in place.
            let loaded = self.http.get(url).send().await;
            if !loaded.is_ok_and(|response| response.status().is_success()) {
                return Err(memory::Refused::Leaving);
            }
        }
        let mut orders = self.orders();
        if call.fence < orders.fence && self.spec.checks_fencing {
            return Err(memory::Refused::Fenced);
        }
        orders.role = call.role;
        orders.model = call.model.clone();
        orders.version = call.version.clone();
        Ok(())
    }

    /// Reports the load as it was a moment ago.
    pub fn load(&self, after: u64) -> protocol::Load {
        let (role, model, version, leaving) = {
            let orders = self.orders();
            let leaving = orders.leaving.is_some();
            let (model, version) = (orders.model.clone(), orders.version.clone());
            (orders.role, model, version, leaving)
        };
        let state = self.lock();
        let now = time::Instant::now();
        let lagging = state.snapshots.iter().rev();
        let mut lagging = lagging.skip_while(|(at, _)| now.duration_since(*at) < LOAD_LAG);
        let running = lagging.next().map(|(_, running)| running.clone());
        let events = state.events.iter().filter(|(at, event)| {
            event.number > after
                && now.duration_since(*at) >= EVENT_LAG
                && event.number % LOST_EVENT_EVERY != 0
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

    fn check_work(&self, request: &str, attempt: u32) -> Result<(), memory::Refused> {
        if self.orders().leaving.is_some() {
            return Err(memory::Refused::Leaving);
        }
        let state = self.lock();
        if !state.up {
            return Err(memory::Refused::Leaving);
        }
        match state.cancelled.get(request) {
            Some(last) if attempt <= *last => Err(memory::Refused::Cancelled),
            _ => Ok(()),
        }
    }

    async fn compute(&self) {
        loop {
            let job = self.lock().take_job();
            let Some(job) = job else {
                self.queued.notified().await;
                continue;
            };
            self.compute_one(job).await;
            self.lock().computing = None;
        }
    }

    async fn compute_one(&self, job: memory::PrefillJob) {
        let call = &job.call;
        self.note_run(call);
        if call.prompt.contains(CRASH_PREFILL) {
            self.crash();
            std::future::pending::<()>().await;
        }
        let whole = prefix::estimated_tokens(&call.prompt)
            + u32::try_from(call.generated.len()).unwrap_or(u32::MAX);
        let blocks = prefix::block_digests(&call.prompt);
        let cached = self.lock().cache.hits(&blocks) * prefix::BLOCK_TOKENS;
        let cached = u32::try_from(cached).unwrap_or(u32::MAX);
        let uncached = whole.saturating_sub(cached).max(1);
        let rate = f64::from(self.spec.prefill_tokens_s);
        tokio::time::sleep(time::Duration::from_secs_f64(f64::from(uncached) / rate)).await;
        self.ledger.prefill(&call.request, u64::from(uncached));
        let exported = self.lock().export(call, &blocks, whole, cached);
        // The caller may be gone; the export is evicted then.
        let _ = job.tx.send(exported);
    }

    fn note_run(&self, call: &protocol::Prefill) {
        self.ledger.event(history::Event::Ran {
            request: call.request.clone(),
            server: self.spec.name.clone(),
            repeatable: call.repeatable,
        });
        if let Some(since) = self.orders().leaving {
            let after = since.elapsed().as_millis();
            self.ledger.event(history::Event::WorkAfterLeave {
                server: self.spec.name.clone(),
                after_ms: u64::try_from(after).unwrap_or(u64::MAX),
            });
        }
    }

    async fn generate(&self) {
        let mut next = tokio::time::Instant::now();
        loop {
            let active = self.lock().active();
            if active == 0 {
                tokio::time::sleep(IDLE).await;
                next = tokio::time::Instant::now();
                continue;
            }
            next += STEP_BASE + STEP_PER_REQUEST * u32::try_from(active).unwrap_or(1);
            next = next.max(tokio::time::Instant::now());
            tokio::time::sleep_until(next).await;
            let (done, crashes) = self.lock().step();
            if crashes {
                self.crash();
                std::future::pending::<()>().await;
            }
            for request in &done {
                self.ledger.complete(request);
            }
            if !done.is_empty() {
                self.freed.notify_waiters();
            }
        }
    }

    async fn observe(&self) {
        loop {
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            self.lock().snapshot();
        }
    }

    pub(crate) fn lock(&self) -> sync::MutexGuard<'_, memory::State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn orders(&self) -> sync::MutexGuard<'_, memory::Orders> {
        self.orders
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
