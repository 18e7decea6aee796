//! Decides which run is moved from its engine to another one, and when.
//!
//! An engine whose memory runs out preempts its newest run: the stream pauses until the engine has
//! prefilled the prompt and the output so far again. Copying the run's memory to an engine with room takes
//! only some milliseconds, so the run is moved before it is preempted. Runs that would outlast a leaving engine are moved
//! too.
//!
//! Designed for this load: bursts on engines whose memory holds about eight runs, of which several turn out
//! longer than predicted.

use std::time;

use crate::engine_load;

/// How far ahead memory use is predicted. Runs report their progress every 50 ms, and a move takes about
/// as long.
const LOOKAHEAD: time::Duration = time::Duration::from_millis(250);
/// Share of an engine's memory that runs can use; the rest is lost in partly filled memory blocks.
const USABLE_SHARE: f64 = 0.985;
/// A run that is predicted to end within this time stays on a leaving engine. The engine serves for two
/// seconds after its notice, some of which have passed when the notice reaches this host.
const MAX_REMAINING_TO_STAY: time::Duration = time::Duration::from_millis(1_200);

/// Why a run is moved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The engine's memory is about to run out.
    MemoryRunsOut,
    /// The engine is about to leave.
    EngineLeaves,
}

/// Returns why a run should be moved to another engine now, or `None` if it should stay. `memory_tokens` is
/// the size of its engine's memory.
pub fn reason(
    load: &engine_load::EngineLoad,
    key: &engine_load::Key,
    memory_tokens: u32,
    engine_leaves: bool,
    now: time::Duration,
) -> Option<Reason> {
    let run = load.run(key)?;
    if engine_leaves && remaining_time(load, key, now) > MAX_REMAINING_TO_STAY {
        return Some(Reason::EngineLeaves);
    }
    let moved = run_to_move(load, &run.engine, memory_tokens, now);
    (moved == Some(key)).then_some(Reason::MemoryRunsOut)
}

/// Returns the predicted time until a run ends, or zero if the run isn't known.
pub fn remaining_time(
    load: &engine_load::EngineLoad,
    key: &engine_load::Key,
    now: time::Duration,
) -> time::Duration {
    let Some(run) = load.run(key) else {
        return time::Duration::ZERO;
    };
    let mut runs = load.runs_with_memory(&run.engine, now);
    let remaining = runs
        .find(|(other, _)| *other == key)
        .map_or(0, |(_, memory)| memory.remaining);
    load.token_time_on(&run.engine).mul_f64(remaining as f64)
}

/// Returns the run to move if the engine's memory is about to run out: the newest one, which the engine
/// would preempt. All hosts choose the same run, so only the host that sent it moves it.
fn run_to_move<'a>(
    load: &'a engine_load::EngineLoad,
    engine: &'a str,
    memory_tokens: u32,
    now: time::Duration,
) -> Option<&'a engine_load::Key> {
    let steps = LOOKAHEAD.as_secs_f64() / load.token_time_on(engine).as_secs_f64();
    let needed: f64 = load
        .runs_with_memory(engine, now)
        .map(|(_, memory)| memory.held as f64 + steps)
        .sum();
    if needed <= f64::from(memory_tokens) * USABLE_SHARE {
        return None;
    }
    let started = load
        .runs_with_memory(engine, now)
        .filter_map(|(key, memory)| Some((key, memory, load.run(key)?)))
        .filter(|(_, _, run)| run.generated > 0);
    let newest = started.min_by_key(|(key, memory, run)| {
        let generated = memory.held.saturating_sub(u64::from(run.prompt));
        (generated, (*key).clone())
    });
    newest.map(|(key, ..)| key)
}
