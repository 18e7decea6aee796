//! Which run leaves its engine for another one, and when.
//!
//! An engine whose memory runs out preempts its newest run: the stream pauses while its prompt and its
//! output are read again. Copying the run's memory to an engine with room takes some milliseconds.
//! The same rescues runs of an engine that leaves before they end.
//!
//! Load pattern: bursts on engines whose memory holds about eight runs, of which several turn out
//! longer than predicted.

use std::time;

use crate::engine_load;

/// How far ahead memory is looked at: runs tell their progress every 50 ms, and a move takes about as
/// long.
const AHEAD: time::Duration = time::Duration::from_millis(250);
/// Part of an engine's memory that runs can hold; the rest is lost in blocks that are partly filled.
const USABLE: f64 = 0.985;
/// A leaving engine keeps what ends within this time: it serves for two seconds after its notice, of
/// which some have passed when the notice is heard.
const ENDS_ANYWAY: time::Duration = time::Duration::from_millis(1_200);

/// Why a run leaves its engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The engine's memory is about to run out.
    MemoryRunsOut,
    /// The engine is about to leave.
    EngineLeaves,
}

/// Returns why a run should leave its engine now, if it should.
pub fn reason(
    room: &engine_load::EngineLoad,
    key: &engine_load::Key,
    memory_tokens: u32,
    engine_leaves: bool,
    now: time::Duration,
) -> Option<Reason> {
    let run = room.run(key)?;
    if engine_leaves && time_left(room, key, now) > ENDS_ANYWAY {
        return Some(Reason::EngineLeaves);
    }
    let leaver = leaver(room, &run.engine, memory_tokens, now);
    (leaver == Some(key)).then_some(Reason::MemoryRunsOut)
}

/// Returns the predicted time until a run ends.
fn time_left(
    room: &engine_load::EngineLoad,
    key: &engine_load::Key,
    now: time::Duration,
) -> time::Duration {
    let Some(run) = room.run(key) else {
        return time::Duration::ZERO;
    };
    let mut runs = room.runs_with_memory(&run.engine, now);
    let remaining = runs
        .find(|(other, _)| *other == key)
        .map_or(0, |(_, growth)| growth.remaining);
    room.token_time_on(&run.engine).mul_f64(remaining as f64)
}

/// Returns the run that leaves an engine whose memory is about to run out: the newest one, which the
/// engine would preempt. All hosts come to the same one, so that its own host alone moves it.
fn leaver<'a>(
    room: &'a engine_load::EngineLoad,
    engine: &'a str,
    memory_tokens: u32,
    now: time::Duration,
) -> Option<&'a engine_load::Key> {
    let steps = AHEAD.as_secs_f64() / room.token_time_on(engine).as_secs_f64();
    let needed: f64 = room
        .runs_with_memory(engine, now)
        .map(|(_, growth)| growth.held as f64 + steps)
        .sum();
    if needed <= f64::from(memory_tokens) * USABLE {
        return None;
    }
    let started = room
        .runs_with_memory(engine, now)
        .filter_map(|(key, growth)| Some((key, growth, room.run(key)?)))
        .filter(|(_, _, run)| run.generated > 0);
    let newest = started.min_by_key(|(key, growth, run)| {
        let made = growth.held.saturating_sub(u64::from(run.prompt));
        (made, (*key).clone())
    });
    newest.map(|(key, ..)| key)
}
