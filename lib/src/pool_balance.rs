//! How many engines of a service read prompts, and which engine changes its stage next.
//!
//! Reading a prompt takes about a fortieth of the engine time that generating its answer takes, but
//! the answer's memory is held for the whole of that time, so most engines generate. An order costs
//! an engine several seconds, so the balance moves by one engine at a time and not for short swings.

use std::collections;
use std::sync;
use std::time;

use crate::backends;

/// Prompt tokens of a typical request: the briefs and summaries of both users.
const TYPICAL_PROMPT: f64 = 5_200.0;
/// Tokens of its answer.
const TYPICAL_OUTPUT: f64 = 4_900.0;
/// Seconds that a token of the answer takes on a full engine.
const TOKEN_S: f64 = 0.000_75;
/// Prompt tokens that an engine reads a second.
const READ_PER_S: f64 = 55_000.0;
/// Part of the time that engines which read prompts may be busy before requests queue there.
const READING_LOAD: f64 = 0.85;
/// Part of an engine's memory that runs fill.
const MEMORY_FILL: f64 = 0.88;
/// How long an engine is left alone after an order.
pub const SETTLE_TIME: time::Duration = time::Duration::from_secs(8);
/// How long the number of engines must be off before an order is given while nothing runs.
const PERSISTS_IDLE: time::Duration = time::Duration::from_millis(1_500);
/// The same while requests run: crashed engines are back after a few seconds.
const PERSISTS: time::Duration = time::Duration::from_secs(7);

/// Returns how long the number of engines must be off before an order is given.
pub fn min_imbalance_time(requests_run: bool) -> time::Duration {
    match requests_run {
        true => PERSISTS,
        false => PERSISTS_IDLE,
    }
}

/// An order to change an engine's stage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StageOrder {
    /// The engine.
    pub engine: sync::Arc<backends::Backend>,
    /// The stage that it should have.
    pub stage: backends::Stage,
}

/// Returns the number of engines that should read prompts: the one with which the pool serves most
/// requests, as both stages bound it.
pub fn prefill_engines(engines: usize, memory_tokens: u32) -> usize {
    if engines < 2 {
        return 0;
    }
    let read = READ_PER_S * READING_LOAD / TYPICAL_PROMPT;
    let held = (TYPICAL_PROMPT + TYPICAL_OUTPUT / 2.0) * TYPICAL_OUTPUT * TOKEN_S;
    let generated = f64::from(memory_tokens) * MEMORY_FILL / held;
    let served = |reading: usize| {
        let generating = (engines - reading) as f64;
        (read * reading as f64).min(generated * generating)
    };
    let all = 1..engines;
    all.max_by(|a, b| served(*a).total_cmp(&served(*b)).then(b.cmp(a)))
        .unwrap_or(1)
}

/// Returns the order that brings the pool nearer to its balance. Engines in `recent` were given an
/// order a moment ago and count as having the stage that they were told.
pub fn next_order(
    engines: &[sync::Arc<backends::Backend>],
    memory_tokens: u32,
    recent: &collections::HashMap<sync::Arc<str>, backends::Stage>,
) -> Option<StageOrder> {
    let staged: Vec<_> = engines.iter().filter(|e| e.stage.is_some()).collect();
    let stage_of = |e: &sync::Arc<backends::Backend>| recent.get(&e.id).copied().or(e.stage);
    let reading = staged
        .iter()
        .filter(|e| stage_of(e) == Some(backends::Stage::Prefill))
        .count();
    let wanted = prefill_engines(staged.len(), memory_tokens);
    let (from, to) = match reading.cmp(&wanted) {
        std::cmp::Ordering::Equal => return None,
        std::cmp::Ordering::Less => (backends::Stage::Decode, backends::Stage::Prefill),
        std::cmp::Ordering::Greater => (backends::Stage::Prefill, backends::Stage::Decode),
    };
    let candidates = staged
        .into_iter()
        .filter(|e| e.stage == Some(from) && !recent.contains_key(&e.id));
    // Prefill engines stay spread over availability zones: the zone with most of a stage gives one.
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
