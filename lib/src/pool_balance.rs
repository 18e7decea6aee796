//! The balance of a pool of engines between prefill and decode.
//!
//! The prefill of a prompt takes about a fortieth of the engine time that generating its answer takes, but
//! the memory of the answer is in use for that whole time, so most engines generate. Changing an
//! engine's stage costs it several seconds, so the balance changes by one engine at a time and
//! doesn't follow short swings.

use std::collections;
use std::sync;
use std::time;

use crate::backends;

/// Prompt length of a typical request in tokens: the briefs and summaries of both users.
const TYPICAL_PROMPT: f64 = 5_200.0;
/// Answer length of a typical request in tokens.
const TYPICAL_OUTPUT: f64 = 4_900.0;
/// Seconds per output token on a full engine.
const TOKEN_TIME_S: f64 = 0.000_75;
/// Prompt tokens that an engine prefills per second.
const PREFILL_TOKENS_PER_S: f64 = 55_000.0;
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

/// Returns how long the number of prefill engines must differ from the wanted one before an order is given.
pub fn min_imbalance_time(requests_running: bool) -> time::Duration {
    match requests_running {
        true => MIN_IMBALANCE_BUSY,
        false => MIN_IMBALANCE_IDLE,
    }
}

/// An order to change an engine's stage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StageOrder {
    /// The engine that gets the order.
    pub engine: sync::Arc<backends::Backend>,
    /// The stage to change to.
    pub stage: backends::Stage,
}

/// Returns how many of a pool's engines should do prefills, so that the pool serves the most requests
/// per second. Its throughput is that of the slower stage. `memory_tokens` is the size of one engine's
/// memory.
pub fn prefill_engines(engines: usize, memory_tokens: u32) -> usize {
    if engines < 2 {
        return 0;
    }
    let prefills_per_engine_s = PREFILL_TOKENS_PER_S * MAX_PREFILL_UTILIZATION / TYPICAL_PROMPT;
    let token_seconds = (TYPICAL_PROMPT + TYPICAL_OUTPUT / 2.0) * TYPICAL_OUTPUT * TOKEN_TIME_S;
    let answers_per_engine_s = f64::from(memory_tokens) * MEMORY_FILL / token_seconds;
    let served = |prefill: usize| {
        let decode = (engines - prefill) as f64;
        (prefills_per_engine_s * prefill as f64).min(answers_per_engine_s * decode)
    };
    let splits = 1..engines;
    splits
        .max_by(|a, b| served(*a).total_cmp(&served(*b)).then(b.cmp(a)))
        .unwrap_or(1)
}

/// Returns the next order that brings the pool closer to its balance, or `None` if it is balanced.
/// `recent` holds the engines that were given an order within [`SETTLE_TIME`], with the ordered stage; they
/// count as having that stage already and get no further order.
pub fn next_order(
    engines: &[sync::Arc<backends::Backend>],
    memory_tokens: u32,
    recent: &collections::HashMap<sync::Arc<str>, backends::Stage>,
) -> Option<StageOrder> {
    let model_engines: Vec<_> = engines.iter().filter(|e| e.stage.is_some()).collect();
    let stage_of = |e: &sync::Arc<backends::Backend>| recent.get(&e.id).copied().or(e.stage);
    let prefill = model_engines
        .iter()
        .filter(|e| stage_of(e) == Some(backends::Stage::Prefill))
        .count();
    let wanted = prefill_engines(model_engines.len(), memory_tokens);
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
    })
}
