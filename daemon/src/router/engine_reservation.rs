//! Room on engines for one request: waiting for it, holding it and giving it back.

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

/// Time from the start of a prefill to the first event, beside reading the prompt: moving the result
/// and making the first event take some tens of milliseconds.
const FIRST_EVENT: time::Duration = time::Duration::from_millis(200);
/// How often a waiting request looks again when nothing was heard: predictions move with time.
const LOOK_AGAIN: time::Duration = time::Duration::from_millis(40);
/// Room that was given back is taken after a random time of up to this for each request that waits
/// elsewhere, so that they don't all take the same room before they hear of each other.
const STAGGER: time::Duration = time::Duration::from_millis(4);
/// Waiting requests for which the time grows.
const MOST_STAGGERED: usize = 12;
/// When callers come back while no engine is usable: about the time in which a server restarts.
const NO_ENGINE: time::Duration = time::Duration::from_millis(1_500);
/// Length of an answer in tokens if its request names none.
const DEFAULT_OUTPUT: u32 = 512;
/// Tokens of a run whose time is used for the spacing of ends.
const TYPICAL_OUTPUT: u32 = 3_500;

/// Room that a request holds on a decode engine. Dropping it gives the room back.
#[derive(Debug)]
pub(crate) struct Reservation<D: dialect::Dialect> {
    cx: sync::Arc<context::Router<D>>,
    /// The run's name in the shared view.
    pub(crate) key: engine_load::Key,
}

impl<D: dialect::Dialect> Reservation<D> {
    /// Notes that tokens were generated.
    pub(crate) fn progress(&self, made: u32) {
        let now = self.cx.now();
        locks::lock(&self.cx.engine_load).record_progress(&self.key, made, now);
    }
}

impl<D: dialect::Dialect> Drop for Reservation<D> {
    fn drop(&mut self) {
        locks::lock(&self.cx.engine_load).remove_run(&self.key);
        self.cx.engine_load_changed.notify_waiters();
        self.cx.news_due.notify_one();
    }
}

/// A place in the queue. Dropping it leaves the queue.
struct Waiting<'a, D: dialect::Dialect> {
    cx: &'a context::Router<D>,
    service: &'a sync::Arc<str>,
    number: u64,
}

impl<D: dialect::Dialect> Drop for Waiting<'_, D> {
    fn drop(&mut self) {
        if let Some(queue) = locks::lock(&self.cx.wait_queues).get_mut(self.service) {
            queue.remove(self.number);
        }
        self.cx.engine_load_changed.notify_waiters();
    }
}

/// Why a request got no room.
#[derive(Clone, Debug)]
pub(crate) struct NoCapacity {
    /// What is short.
    pub(crate) cause: &'static str,
    /// When to come back.
    pub(crate) retry_after: time::Duration,
}

/// A request that wants room.
#[derive(Debug)]
pub(crate) struct ReservationRequest<'a> {
    /// The request's id, for the log.
    pub(crate) id: &'a str,
    /// The service.
    pub(crate) service: &'a routing::Service,
    /// The service's engines.
    pub(crate) engines: &'a routing::EnginePool,
    /// The rank of its route.
    pub(crate) priority: u8,
    /// What it needs.
    pub(crate) need: engine_memory::Need,
    /// Whether its prompt has been read.
    pub(crate) prompt_read: bool,
    /// Whether it hasn't started, or leaves another engine.
    pub(crate) claim: engine_memory::Claim,
    /// When its first event should come.
    pub(crate) first_event_by: time::Duration,
    /// When its final answer is due.
    pub(crate) until: time::Duration,
    /// Servers that it must not be sent to again.
    pub(crate) tried: &'a [sync::Arc<str>],
}

/// Returns what a request needs. `made` tokens were generated before an interruption.
pub(crate) fn need_of<D: dialect::Dialect>(
    cx: &context::Router<D>,
    service: &str,
    prompt: Option<&dialect::Prompt>,
    made: u32,
) -> engine_memory::Need {
    let lengths = locks::lock(&cx.answer_lengths)
        .get(service)
        .copied()
        .unwrap_or_default();
    let (tokens, most, hint) = match prompt {
        Some(prompt) => (prompt.tokens, prompt.max_output, prompt.output_hint),
        None => (0, DEFAULT_OUTPUT, None),
    };
    let output = lengths.predict(hint, most);
    engine_memory::Need {
        prompt: tokens.saturating_add(made),
        output: output.saturating_sub(made).max(output / 5).max(1),
    }
}

/// Waits for room for a request.
pub(crate) async fn take<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    wish: &ReservationRequest<'_>,
) -> Result<(Reservation<D>, engine_load::Placement), NoCapacity> {
    let arrived = cx.now();
    let number = cx.next_number();
    let service = &wish.service.name;
    let reading = locks::lock(&cx.engine_load).prefill_time(wish.need.prompt);
    let entry = wait_queue::Entry {
        number,
        priority: wish.priority,
        start_by: wish.first_event_by.saturating_sub(FIRST_EVENT + reading),
        give_up_at: arrived + wait_queue::max_wait(wish.until.saturating_sub(arrived)),
    };
    let ahead = {
        let mut queues = locks::lock(&cx.wait_queues);
        let queue = queues.entry(service.clone()).or_default();
        let ahead = queue.count_on_time(arrived);
        queue.push(entry);
        ahead
    };
    let _waiting = Waiting {
        cx,
        service,
        number,
    };
    let mut looked = false;
    loop {
        let changed = cx.engine_load_changed.notified();
        let now = cx.now();
        let first = {
            let queues = locks::lock(&cx.wait_queues);
            queues
                .get(service)
                .and_then(|queue| queue.next(now))
                .is_some_and(|first| first == number)
        };
        // A late request leaves room to those of other hosts that can still be on time.
        let yields = entry.start_by < now && locks::lock(&cx.peers).has_on_time_waiting();
        let first = first && !yields;
        let full = match first || !looked {
            false => None,
            true => match try_place(cx, wish, number, now, first) {
                Ok(taken) => {
                    log_placed(cx, wish, &taken.1, now.saturating_sub(arrived));
                    return Ok(taken);
                }
                Err(full) => Some(full),
            },
        };
        if !looked {
            refuse_hopeless(cx, wish, full, ahead, entry.give_up_at.saturating_sub(now))?;
            looked = true;
            cx.telemetry.count("engines.waits");
        }
        if now >= entry.give_up_at {
            let cause = "engines stayed full";
            return Err(no_room(cx, wish, cause, NO_ENGINE));
        }
        let again = tokio::time::sleep(LOOK_AGAIN.min(entry.give_up_at.saturating_sub(now)));
        tokio::select! {
            () = changed => {
                let others = 1 + locks::lock(&cx.peers).waiting().min(MOST_STAGGERED);
                let longest = STAGGER * others as u32;
                tokio::time::sleep(longest.mul_f64(rand::random::<f64>())).await;
            }
            () = again => {}
        }
    }
}

/// Takes room for a run that leaves its engine, if there is any now.
pub(crate) fn take_for_move<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    wish: &ReservationRequest<'_>,
) -> Option<(Reservation<D>, sync::Arc<backends::Backend>)> {
    let (seat, placement) = try_place(cx, wish, cx.next_number(), cx.now(), true).ok()?;
    Some((seat, placement.decode))
}

fn try_place<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    wish: &ReservationRequest<'_>,
    number: u64,
    now: time::Duration,
    first: bool,
) -> Result<(Reservation<D>, engine_load::Placement), engine_load::Full> {
    let usable = cx.group_engines(&wish.service.name);
    let health = locks::lock(&cx.health);
    let untried = usable
        .into_iter()
        .filter(|server| !wish.tried.contains(&server.id));
    let lapses = |server: &backends::Backend| {
        let reads = server.stage == Some(backends::Stage::Prefill);
        reads && health.is_avoided_for_prefill(&server.id, now)
    };
    let engines: Vec<_> = untried
        .filter(|server| !health.is_avoided(&server.id, now) && !lapses(server))
        .collect();
    drop(health);
    let limits = engine_memory::Limits {
        memory_tokens: wish.engines.memory_tokens,
        claim: wish.claim,
        slots: wish.engines.slots,
        prefill_within: (!wish.prompt_read).then(|| {
            let least = locks::lock(&cx.engine_load).prefill_time(wish.need.prompt) + FIRST_EVENT;
            let left = wish.first_event_by.saturating_sub(now + FIRST_EVENT);
            left.max(least)
        }),
    };
    let mut room = locks::lock(&cx.engine_load);
    let placement = room.place(
        &engines,
        wish.need,
        limits,
        &cx.settings().zone,
        wish.id,
        now,
    )?;
    if !first {
        // Others wait longer for the same room.
        return Err(engine_load::Full::Memory(time::Duration::ZERO));
    }
    let key = (cx.work_owner.clone(), number);
    room.add_run(
        key.clone(),
        engine_load::Run {
            engine: placement.decode.id.clone(),
            prompt: wish.need.prompt,
            output: wish.need.output,
            generated: 0,
            as_of: now + FIRST_EVENT / 2,
        },
    );
    drop(room);
    cx.news_due.notify_one();
    let seat = Reservation {
        cx: cx.clone(),
        key,
    };
    Ok((seat, placement))
}

/// Refuses a request at its arrival if it can't start while its caller usefully waits.
fn refuse_hopeless<D: dialect::Dialect>(
    cx: &context::Router<D>,
    wish: &ReservationRequest<'_>,
    full: Option<engine_load::Full>,
    ahead: usize,
    longest: time::Duration,
) -> Result<(), NoCapacity> {
    let (cause, wait) = match full {
        None => return Ok(()),
        Some(engine_load::Full::NoEngine) => {
            return Err(no_room(cx, wish, "no engine is usable", NO_ENGINE));
        }
        Some(engine_load::Full::Memory(wait)) => ("engine memory is full", wait),
        Some(engine_load::Full::Prompts(wait)) => ("prompts wait to be read", wait),
    };
    let everywhere = ahead + locks::lock(&cx.peers).waiting();
    let predicted = wait + spacing(cx, wish).mul_f64(everywhere as f64);
    if predicted <= longest {
        event!(Info, "waits", "id" => wish.id, "service" => wish.service.name, "cause" => cause,
            "predicted_ms" => predicted.as_millis() as u64, "ahead" => everywhere,
            "longest_ms" => longest.as_millis() as u64, "news_age_ms" => news_age_ms(cx));
        return Ok(());
    }
    Err(no_room(cx, wish, cause, predicted))
}

/// Returns the predicted time between the ends of two runs of the service.
fn spacing<D: dialect::Dialect>(
    cx: &context::Router<D>,
    wish: &ReservationRequest<'_>,
) -> time::Duration {
    let servers = cx.group_engines(&wish.service.name);
    let room = locks::lock(&cx.engine_load);
    let runs: usize = servers.iter().map(|server| room.runs_on(&server.id)).sum();
    room.typical_token_time() * TYPICAL_OUTPUT / (runs.max(1) as u32)
}

fn no_room<D: dialect::Dialect>(
    cx: &context::Router<D>,
    wish: &ReservationRequest<'_>,
    cause: &'static str,
    predicted: time::Duration,
) -> NoCapacity {
    let retry_after = wait_queue::retry_after(predicted, rand::random());
    cx.telemetry.count("engines.refusals");
    event!(Info, "no-room", "id" => wish.id, "service" => wish.service.name, "cause" => cause,
        "prompt" => wish.need.prompt, "output" => wish.need.output,
        "predicted_ms" => predicted.as_millis() as u64, "news_age_ms" => news_age_ms(cx),
        "retry_after_ms" => retry_after.as_millis() as u64);
    NoCapacity { cause, retry_after }
}

fn news_age_ms<D: dialect::Dialect>(cx: &context::Router<D>) -> u64 {
    let age = locks::lock(&cx.peers).oldest_news_age(cx.now());
    age.as_millis() as u64
}

fn log_placed<D: dialect::Dialect>(
    cx: &context::Router<D>,
    wish: &ReservationRequest<'_>,
    placement: &engine_load::Placement,
    waited: time::Duration,
) {
    cx.telemetry.time("engines.wait", waited);
    event!(Info, "placed", "id" => wish.id, "decode" => placement.decode.id,
        "prefill" => placement.prefill.as_ref().map(|server| server.id.clone()),
        "prompt" => wish.need.prompt, "output" => wish.need.output,
        "waited_ms" => waited.as_millis() as u64, "news_age_ms" => news_age_ms(cx));
}
