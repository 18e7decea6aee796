//! The balance of a pool of engines between prefill and decode.
//!
//! The prefill of a prompt takes an engine a small part of the time that generating its answer takes, but
//! the memory of the answer is in use for that whole time, so most engines generate. How many depends
//! on the lengths of prompts and answers and on the engines' speeds. Changing an engine's stage costs
//! it several seconds, so the balance changes by one engine at a time and doesn't follow short swings.

use std::collections;
use std::sync;
use std::time;

use crate::backends;
use crate::typical_work;

/// Share of the time that prefill engines may be busy; above it, requests queue there.
const MAX_PREFILL_UTILIZATION: f64 = 0.85;
/// Share of an engine's memory that runs fill.
const MEMORY_FILL: f64 = 0.88;
/// How long an engine gets no further order after it was given one.
pub const SETTLE_TIME: time::Duration = time::Duration::from_secs(8);
/// How long an imbalance must last before an order is given while no request runs.
const MIN_IMBALANCE_IDLE: time::Duration = time::Duration::from_millis(1_500);
/// The same while requests run. Longer, since crashed engines are back after a few seconds.
const MIN_IMBALANCE_BUSY: time::Duration = time::Duration::from_secs(7);

/// The `min_gain` of [`next_order`] for measured work. The measurement may be off by a quarter, as the lengths of
/// answers are predicted, and an order takes the engine out for seconds.
pub const MIN_MEASURED_GAIN: f64 = 1.25;

/// Returns how long the number of prefill engines must differ from the wanted one before an order is given.
pub fn min_imbalance_time(requests_running: bool) -> time::Duration {
    match requests_running {
        true => MIN_IMBALANCE_BUSY,
        false => MIN_IMBALANCE_IDLE,
    }
}

/// An order to change an engine's stage.
#[derive(Clone, Debug, PartialEq)]
pub struct StageOrder {
    /// The engine that gets the order.
    pub engine: sync::Arc<backends::Backend>,
    /// The stage to change to.
    pub stage: backends::Stage,
    /// The work that the balance was computed for.
    pub work: typical_work::TypicalWork,
}

/// Returns the requests per second that a pool serves, which is the throughput of its slower stage.
fn served_per_s(
    prefill_engines: usize,
    decode_engines: usize,
    memory_tokens: u32,
    work: &typical_work::TypicalWork,
) -> f64 {
    let prefills_per_engine_s = MAX_PREFILL_UTILIZATION / work.prefill_time.as_secs_f64();
    let runs_per_engine = f64::from(memory_tokens) * MEMORY_FILL / work.held_tokens;
    let answers_per_engine_s = runs_per_engine / work.answer_time.as_secs_f64();
    (prefills_per_engine_s * prefill_engines as f64)
        .min(answers_per_engine_s * decode_engines as f64)
}

/// Returns how many of a pool's engines should do prefills, so that the pool serves the most requests
/// per second. `memory_tokens` is the size of one engine's memory.
pub fn prefill_engines(
    engines: usize,
    memory_tokens: u32,
    work: &typical_work::TypicalWork,
) -> usize {
    if engines < 2 {
        return 0;
    }
    let served = |prefill: usize| served_per_s(prefill, engines - prefill, memory_tokens, work);
    let splits = 1..engines;
    splits
        .max_by(|a, b| served(*a).total_cmp(&served(*b)).then(b.cmp(a)))
        .unwrap_or(1)
}

/// Returns the next order that brings the pool closer to its balance, or `None` if it is balanced, or if
/// balance would raise its throughput by less than the factor `min_gain`.
/// `recent` holds the engines that were given an order within [`SETTLE_TIME`], with the ordered stage; they
/// count as having that stage already and get no further order.
pub fn next_order(
    engines: &[sync::Arc<backends::Backend>],
    memory_tokens: u32,
    work: &typical_work::TypicalWork,
    min_gain: f64,
    recent: &collections::HashMap<sync::Arc<str>, backends::Stage>,
) -> Option<StageOrder> {
    let model_engines: Vec<_> = engines.iter().filter(|e| e.stage.is_some()).collect();
    let stage_of = |e: &sync::Arc<backends::Backend>| recent.get(&e.id).copied().or(e.stage);
    let prefill = model_engines
        .iter()
        .filter(|e| stage_of(e) == Some(backends::Stage::Prefill))
        .count();
    let count = model_engines.len();
    let wanted = prefill_engines(count, memory_tokens, work);
    let served = |prefill: usize| served_per_s(prefill, count - prefill, memory_tokens, work);
    if served(wanted) < served(prefill) * min_gain {
        return None;
    }
    let (from, to) = match prefill.cmp(&wanted) {
        std::cmp::Ordering::Equal => return None,
        std::cmp::Ordering::Less => (backends::Stage::Decode, backends::Stage::Prefill),
        std::cmp::Ordering::Greater => (backends::Stage::Prefill, backends::Stage::Decode),
    };
    let candidates = model_engines
        .into_iter()
        .filter(|e| e.stage == Some(from) && !recent.contains_key(&e.id));
    // The engine is taken from the zone that has most engines of its stage, so that both stages stay
    // spread over availability zones.
    let in_zone = |zone: &str| {
        let same = engines.iter().filter(|e| &*e.zone == zone);
        same.filter(|e| stage_of(e) == Some(from)).count()
    };
    let chosen = candidates.max_by_key(|e| (in_zone(&e.zone), e.id.clone()))?;
    Some(StageOrder {
        engine: chosen.clone(),
        stage: to,
        work: *work,
    })
}
