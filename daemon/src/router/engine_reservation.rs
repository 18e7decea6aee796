//! Reserves capacity on model engines for a request, and queues the request until there is some.

use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::dialect;
use walnuthaven_lib::engine_load;
use walnuthaven_lib::engine_memory;
use walnuthaven_lib::routing;
use walnuthaven_lib::wait_queue;

use crate::locks;
use crate::router::context;
use crate::router::events::event;
use crate::router::server_limits;
use crate::router::server_notices;

/// Time from the start of a prefill to the first event, without the prefill itself: transferring
/// the KV cache and generating the first event take some tens of milliseconds.
const FIRST_EVENT_OVERHEAD: time::Duration = time::Duration::from_millis(200);
/// How often a queued request checks for capacity without being notified, as predictions change
/// with time.
const RECHECK_INTERVAL: time::Duration = time::Duration::from_millis(40);
/// After capacity was released, a queued request waits a random time before it tries to reserve it.
/// The bound of that time is this much, and as much more for each request that is queued at other
/// hosts, so that hosts don't all reserve the same capacity before they hear of each other.
const JITTER_PER_REQUEST: time::Duration = time::Duration::from_millis(4);
/// Maximum number of requests queued at other hosts for which the bound grows.
const MAX_JITTER_REQUESTS: usize = 12;
/// Predicted wait while no engine is usable, and for a request that gave up waiting: about the time
/// in which a server restarts.
const NO_ENGINE_WAIT: time::Duration = time::Duration::from_millis(1_500);

/// Capacity that a request holds on a decode engine. Dropping it releases the capacity.
#[derive(Debug)]
pub(crate) struct Reservation<D: dialect::Dialect> {
    cx: sync::Arc<context::Router<D>>,
    /// Identifies the run in the engine load that hosts share.
    pub(crate) key: engine_load::Key,
    /// Tokens of the answer that were generated before the run. They count as part of its prompt.
    generated_before: u32,
}

impl<D: dialect::Dialect> Reservation<D> {
    /// Records that `tokens` tokens of the answer have been generated so far, by this run and earlier ones.
    pub(crate) fn record_progress(&self, tokens: u32) {
        let now = self.cx.now();
        let tokens = tokens.saturating_sub(self.generated_before);
        locks::lock(&self.cx.engine_load).record_progress(&self.key, tokens, now);
    }
}

impl<D: dialect::Dialect> Drop for Reservation<D> {
    fn drop(&mut self) {
        locks::lock(&self.cx.engine_load).remove_run(&self.key);
        self.cx.engine_load_changed.notify_waiters();
        self.cx.work_changed.notify_one();
    }
}

/// A request's entry in the wait queue of its service. Dropping it removes the entry.
struct QueueGuard<'a, D: dialect::Dialect> {
    cx: &'a context::Router<D>,
    key: &'a context::QueueKey,
    /// The entry's number.
    number: u64,
}

impl<D: dialect::Dialect> Drop for QueueGuard<'_, D> {
    fn drop(&mut self) {
        let mut queues = locks::lock(&self.cx.wait_queues);
        if let Some(queue) = queues.get_mut(self.key) {
            queue.remove(self.number);
            if queue.is_empty() {
                queues.remove(self.key);
            }
        }
        drop(queues);
        self.cx.engine_load_changed.notify_waiters();
    }
}

/// Why no capacity could be reserved for a request.
#[derive(Clone, Debug)]
pub(crate) struct NoCapacity {
    /// The resource that is missing, for the caller and the log.
    pub(crate) cause: &'static str,
    /// How long the caller should wait before it sends the request again.
    pub(crate) retry_after: time::Duration,
}

/// What a request needs from the engines of its service. Times are times since boot.
#[derive(Debug)]
pub(crate) struct ReservationRequest<'a> {
    /// The request's id, for the log.
    pub(crate) id: &'a str,
    /// The service that the request is for.
    pub(crate) service: &'a routing::Service,
    /// The service's engines.
    pub(crate) engines: &'a routing::EnginePool,
    /// The priority of its route; 0 goes first.
    pub(crate) priority: u8,
    /// The prompt and output tokens for which it needs memory.
    pub(crate) need: engine_memory::Need,
    /// Tokens of its answer that were generated before. They are part of `need`.
    pub(crate) generated: u32,
    /// Whether its prompt has been prefilled already.
    pub(crate) prefilled: bool,
    /// Whether it is a new run, one that moves from another engine or one that goes on after an interruption.
    pub(crate) run_kind: engine_memory::RunKind,
    /// Whether the caller has events that this host sent it, so that it can't be refused.
    pub(crate) has_begun: bool,
    /// When its first event should reach the caller.
    pub(crate) first_event_by: time::Duration,
    /// When its answer must be complete.
    pub(crate) deadline: time::Duration,
    /// When its caller leaves unless it gets an event before.
    pub(crate) leaves_at: time::Duration,
    /// Ids of the servers that it must not be sent to again.
    pub(crate) tried: &'a [sync::Arc<str>],
    /// Ids of the servers that it is sent to only if no other is usable.
    pub(crate) left: &'a [sync::Arc<str>],
    /// Whether a part of its prompt may crash the engine, so that one with few runs is chosen.
    pub(crate) on_trial: bool,
    /// The only software version whose engines may take it; `None` if any version may.
    pub(crate) version: Option<&'a sync::Arc<str>>,
}

/// Returns whether a request goes on with a stream that has begun.
fn continues(request: &ReservationRequest<'_>) -> bool {
    match request.run_kind {
        engine_memory::RunKind::New { .. } => false,
        engine_memory::RunKind::Moved | engine_memory::RunKind::Continued => true,
    }
}

/// Returns whether a request waits while no engine is usable: it can't be refused, and this host reaches an engine that
/// is only avoided or wants no requests for now.
fn waits_for_engine<D: dialect::Dialect>(
    cx: &context::Router<D>,
    request: &ReservationRequest<'_>,
) -> bool {
    let mut engines = cx.group_engines(&request.service.name, request.version);
    engines.retain(|engine| engine.stage != Some(backends::Stage::Prefill));
    let has_link = request.has_begun && !cx.links.mostly_lost(&engines);
    cx.links.remove_lost(&mut engines);
    has_link && engines.iter().any(|e| !request.tried.contains(&e.id))
}

/// Waits for capacity and reserves it.
///
/// # Errors
///
/// Returns an error at once if no engine is usable or the predicted wait is too long, or later if no
/// capacity became free in time.
pub(crate) async fn reserve<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    request: &ReservationRequest<'_>,
) -> Result<(Reservation<D>, engine_load::Placement), NoCapacity> {
    let arrived = cx.now();
    let number = cx.next_number();
    let key = (request.service.name.clone(), request.version.cloned());
    let prefill_time = locks::lock(&cx.engine_load).prefill_time(request.need.prompt);
    let continues = continues(request);
    let entry = wait_queue::Entry {
        number,
        continues,
        priority: request.priority,
        start_by: request
            .first_event_by
            .saturating_sub(FIRST_EVENT_OVERHEAD + prefill_time),
        give_up_at: (arrived + wait_queue::max_wait(request.deadline.saturating_sub(arrived))).min(
            request
                .leaves_at
                .saturating_sub(FIRST_EVENT_OVERHEAD + prefill_time),
        ),
    };
    let ahead = {
        let mut queues = locks::lock(&cx.wait_queues);
        let queue = queues.entry(key.clone()).or_default();
        let ahead = queue.count_ahead(continues, arrived);
        queue.push(entry);
        ahead
    };
    let _guard = QueueGuard {
        cx,
        key: &key,
        number,
    };
    let mut checked = false;
    loop {
        let changed = cx.engine_load_changed.notified();
        let now = cx.now();
        let is_next = {
            let queues = locks::lock(&cx.wait_queues);
            queues
                .get(&key)
                .and_then(|queue| queue.next(now))
                .is_some_and(|next| next == number)
        };
        // A request that is already late yields to requests at other hosts that can still be on
        // time, unless it goes on with a stream.
        let yields =
            !continues && entry.start_by < now && locks::lock(&cx.peers).has_on_time_waiting();
        let is_first = is_next && !yields;
        let full = match is_first || !checked {
            false => None,
            true => match try_reserve(cx, request, number, now, is_first) {
                Ok(reserved) => {
                    log_placed(cx, request, &reserved.1, now.saturating_sub(arrived));
                    return Ok(reserved);
                }
                Err(full) => Some(full),
            },
        };
        if !checked {
            check_predicted_wait(
                cx,
                request,
                full,
                ahead,
                entry.give_up_at.saturating_sub(now),
            )?;
            checked = true;
            cx.telemetry.count("engines.waits");
        }
        let no_engine = full == Some(engine_load::Full::NoEngine);
        if request.version.is_some() && no_engine && !waits_for_engine(cx, request) {
            // No engine of another version can take the request.
            let cause = "no engine of the version is left";
            return Err(no_capacity(cx, request, cause, NO_ENGINE_WAIT));
        }
        if now >= entry.give_up_at {
            let cause = "engines stayed full";
            return Err(no_capacity(cx, request, cause, NO_ENGINE_WAIT));
        }
        let recheck =
            tokio::time::sleep(RECHECK_INTERVAL.min(entry.give_up_at.saturating_sub(now)));
        tokio::select! {
            () = changed => {
                let jitter_requests = 1 + locks::lock(&cx.peers).waiting().min(MAX_JITTER_REQUESTS);
                let max_jitter = JITTER_PER_REQUEST * jitter_requests as u32;
                tokio::time::sleep(max_jitter.mul_f64(rand::random::<f64>())).await;
            }
            () = recheck => {}
        }
    }
}

/// Reserves capacity for a run that moves from its engine, if there is any now. Returns the
/// reservation and the engine.
pub(crate) fn reserve_for_move<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    request: &ReservationRequest<'_>,
) -> Option<(Reservation<D>, sync::Arc<backends::Backend>)> {
    let (reservation, placement) =
        try_reserve(cx, request, cx.next_number(), cx.now(), true).ok()?;
    Some((reservation, placement.decode))
}

/// Reserves capacity if there is any now and no other request goes first (`is_first`).
///
/// # Errors
///
/// Returns what is missing, with the predicted wait.
fn try_reserve<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    request: &ReservationRequest<'_>,
    number: u64,
    now: time::Duration,
    is_first: bool,
) -> Result<(Reservation<D>, engine_load::Placement), engine_load::Full> {
    let engines = usable_engines(cx, request, now);
    let versions_running_out =
        locks::lock(&cx.servers).versions_running_out(&request.service.name, now);
    let limits = limits(cx, request, &versions_running_out, now);
    let mut load = locks::lock(&cx.engine_load);
    let placement = load.place(
        &engines,
        request.need,
        limits,
        &cx.settings().zone,
        request.id,
        now,
    )?;
    if !is_first {
        // Another request goes first.
        return Err(engine_load::Full::Memory(time::Duration::ZERO));
    }
    let key = (cx.work_owner.clone(), number);
    load.add_run(
        key.clone(),
        engine_load::Run {
            engine: placement.decode.id.clone(),
            prompt: request.need.prompt,
            output: request.need.output,
            generated: 0,
            as_of: now + FIRST_EVENT_OVERHEAD / 2,
        },
    );
    drop(load);
    server_limits::record_sent(cx, &placement.decode, request.priority);
    if let Some(prefill) = &placement.prefill {
        server_limits::record_sent(cx, prefill, request.priority);
    }
    cx.work_changed.notify_one();
    let reservation = Reservation {
        cx: cx.clone(),
        key,
        generated_before: request.generated,
    };
    Ok((reservation, placement))
}

/// Returns the limits that the placement of a request has to keep.
pub(super) fn limits<'a, D: dialect::Dialect>(
    cx: &context::Router<D>,
    request: &ReservationRequest<'_>,
    versions_running_out: &'a [sync::Arc<str>],
    now: time::Duration,
) -> engine_memory::Limits<'a> {
    engine_memory::Limits {
        memory_tokens: request.engines.memory_tokens,
        run_kind: request.run_kind,
        slots: request.engines.slots,
        prefill_within: (!request.prefilled).then(|| {
            let min = locks::lock(&cx.engine_load).prefill_time(request.need.prompt)
                + FIRST_EVENT_OVERHEAD;
            let left = request
                .first_event_by
                .saturating_sub(now + FIRST_EVENT_OVERHEAD);
            left.max(min)
        }),
        versions_running_out,
    }
}

/// Returns the engines on which a request may be placed. Decode engines that are only avoided, but may be
/// sound, are among them if no other decode engine is left.
pub(super) fn usable_engines<D: dialect::Dialect>(
    cx: &context::Router<D>,
    request: &ReservationRequest<'_>,
    now: time::Duration,
) -> Vec<sync::Arc<backends::Backend>> {
    let mut engines = cx.group_engines(&request.service.name, request.version);
    server_limits::remove_limited(cx, &mut engines, &request.service.name, request.priority);
    let is_prefill = |engine: &backends::Backend| engine.stage == Some(backends::Stage::Prefill);
    cx.links.remove_lost(&mut engines);
    server_notices::remove_paused(cx, &mut engines);
    let health = locks::lock(&cx.health);
    engines.retain(|engine| {
        let avoided_for_prefill =
            is_prefill(engine) && health.is_avoided_for_prefill(&engine.id, now);
        !request.tried.contains(&engine.id)
            && !health.is_unusable(&engine.id, now)
            && !avoided_for_prefill
    });
    let is_avoided = |engine: &backends::Backend| {
        health.is_avoided(&engine.id, now) || request.left.contains(&engine.id)
    };
    let all_avoided = engines
        .iter()
        .filter(|engine| !is_prefill(engine))
        .all(|engine| is_avoided(engine));
    engines.retain(|engine| !is_avoided(engine) || (all_avoided && !is_prefill(engine)));
    if request.on_trial {
        let load = locks::lock(&cx.engine_load);
        let decode = engines.iter().filter(|engine| !is_prefill(engine));
        let fewest = decode.map(|engine| load.runs_on(&engine.id)).min();
        engines.retain(|engine| is_prefill(engine) || Some(load.runs_on(&engine.id)) == fewest);
    }
    engines
}

/// Checks, when a request arrives, that it can probably start within `max_wait`. `ahead` is the
/// number of requests before it in this host's queue, and `full` why it can't start now.
///
/// # Errors
///
/// Returns an error if the predicted wait is longer, so that the caller is refused at once.
fn check_predicted_wait<D: dialect::Dialect>(
    cx: &context::Router<D>,
    request: &ReservationRequest<'_>,
    full: Option<engine_load::Full>,
    ahead: usize,
    max_wait: time::Duration,
) -> Result<(), NoCapacity> {
    let (cause, wait) = match full {
        None => return Ok(()),
        Some(engine_load::Full::NoEngine) if waits_for_engine(cx, request) => return Ok(()),
        Some(engine_load::Full::NoEngine) => {
            check_notices(cx, request)?;
            return Err(no_capacity(
                cx,
                request,
                "no engine is usable",
                NO_ENGINE_WAIT,
            ));
        }
        Some(engine_load::Full::Memory(wait)) => ("engine memory is full", wait),
        Some(engine_load::Full::Prompts(wait)) => ("prompts wait to be read", wait),
    };
    let waiting_elsewhere = match continues(request) {
        // It goes before the new requests of other hosts.
        true => 0,
        false => locks::lock(&cx.peers).waiting(),
    };
    let ahead_at_all_hosts = ahead + waiting_elsewhere;
    let predicted = predicted_wait(cx, request, wait, ahead_at_all_hosts);
    if predicted <= max_wait {
        event!(Info, "waits", "id" => request.id, "service" => request.service.name,
            "cause" => cause, "predicted_ms" => predicted.as_millis() as u64,
            "ahead" => ahead_at_all_hosts,
            "longest_ms" => max_wait.as_millis() as u64, "news_age_ms" => news_age_ms(cx));
        return Ok(());
    }
    Err(no_capacity(cx, request, cause, predicted))
}

/// Checks whether engines could take a request but for the pauses that they asked for, or the limits that they named.
///
/// # Errors
///
/// Returns an error if so, with the time after which one wants requests again, or the limits leave room.
fn check_notices<D: dialect::Dialect>(
    cx: &context::Router<D>,
    request: &ReservationRequest<'_>,
) -> Result<(), NoCapacity> {
    let engines = cx.group_engines(&request.service.name, request.version);
    let decode = engines
        .iter()
        .filter(|engine| engine.stage != Some(backends::Stage::Prefill));
    if let Some(wait) = server_notices::time_until_wanted(cx, decode) {
        let cause = "engines want no requests for now";
        return Err(no_capacity(cx, request, cause, wait));
    }
    let mut below = engines.clone();
    let service = &request.service.name;
    if !server_limits::remove_limited(cx, &mut below, service, request.priority) {
        return Ok(());
    }
    let wait = server_limits::record_refusal(cx, &engines, service, request.priority);
    Err(no_capacity(
        cx,
        request,
        "engines are at their limits",
        wait,
    ))
}

/// Returns the predicted time until a request starts for which there is room after `wait`, if others were not `ahead`
/// of it: as many runs have to end.
pub(super) fn predicted_wait<D: dialect::Dialect>(
    cx: &context::Router<D>,
    request: &ReservationRequest<'_>,
    wait: time::Duration,
    ahead: usize,
) -> time::Duration {
    let engines = cx.group_engines(&request.service.name, request.version);
    let between_ends = locks::lock(&cx.engine_load).time_between_ends(&engines);
    wait + between_ends.mul_f64(ahead as f64)
}

/// Logs that no capacity was found and makes the error, with a randomised time to retry after.
fn no_capacity<D: dialect::Dialect>(
    cx: &context::Router<D>,
    request: &ReservationRequest<'_>,
    cause: &'static str,
    predicted: time::Duration,
) -> NoCapacity {
    let retry_after = wait_queue::retry_after(predicted, rand::random());
    cx.telemetry.count("engines.refusals");
    event!(Info, "no-room", "id" => request.id, "service" => request.service.name, "cause" => cause,
        "prompt" => request.need.prompt, "output" => request.need.output,
        "predicted_ms" => predicted.as_millis() as u64, "news_age_ms" => news_age_ms(cx),
        "retry_after_ms" => retry_after.as_millis() as u64);
    NoCapacity { cause, retry_after }
}

/// Returns the age in milliseconds of the oldest news of other hosts that placements rely on.
fn news_age_ms<D: dialect::Dialect>(cx: &context::Router<D>) -> u64 {
    let age = locks::lock(&cx.peers).oldest_news_age(cx.now());
    age.as_millis() as u64
}

/// Logs a placement and records the time for which the request waited.
fn log_placed<D: dialect::Dialect>(
    cx: &context::Router<D>,
    request: &ReservationRequest<'_>,
    placement: &engine_load::Placement,
    waited: time::Duration,
) {
    cx.telemetry.time("engines.wait", waited);
    event!(Info, "placed", "id" => request.id, "decode" => placement.decode.id,
        "version" => placement.decode.version,
        "prefill" => placement.prefill.as_ref().map(|server| server.id.clone()),
        "prompt" => request.need.prompt, "output" => request.need.output,
        "waited_ms" => waited.as_millis() as u64, "news_age_ms" => news_age_ms(cx));
}
