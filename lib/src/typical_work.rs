//! The engine time and memory that a typical request of a service takes.

use std::sync;
use std::time;

use crate::backends;
use crate::engine_load;

/// Prefill time of a prompt that is assumed until requests run. Faster engines get longer prompts, so
/// times vary less between deployments than lengths.
const ASSUMED_PREFILL_TIME: time::Duration = time::Duration::from_millis(95);
/// The same for the number of events of an answer.
const ASSUMED_EVENTS: u32 = 70;
/// The same for the time between two events. Engines put several tokens into an event so that events
/// follow each other at about this pace.
const ASSUMED_EVENT_TIME: time::Duration = time::Duration::from_micros(52_500);
/// The same for the length of a prompt in tokens.
const ASSUMED_PROMPT: u32 = 5_200;
/// An engine's memory is assumed to hold at least this many prompts.
const MIN_PROMPTS_IN_MEMORY: u32 = 8;
/// Time from the placement of a request to its first token, without the prefill.
const START_OVERHEAD: time::Duration = time::Duration::from_millis(200);
/// Fewest runs from which an average is taken.
const MIN_RUNS: u32 = 16;

/// The work of a typical request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TypicalWork {
    /// Time in which an engine prefills the prompt.
    pub prefill_time: time::Duration,
    /// Time in which an engine generates the answer.
    pub answer_time: time::Duration,
    /// Tokens in the engine's memory, averaged over `answer_time`.
    pub held_tokens: f64,
}

impl TypicalWork {
    /// Returns what is assumed of a service whose requests aren't known yet. `memory_tokens` is the size of
    /// an engine's memory.
    pub fn assumed(memory_tokens: u32, tokens_per_event: u32) -> Self {
        let prompt = ASSUMED_PROMPT.min(memory_tokens / MIN_PROMPTS_IN_MEMORY);
        let output = ASSUMED_EVENTS * tokens_per_event;
        Self {
            prefill_time: ASSUMED_PREFILL_TIME,
            answer_time: ASSUMED_EVENT_TIME * ASSUMED_EVENTS,
            held_tokens: f64::from(prompt) + f64::from(output) / 2.0,
        }
    }

    /// Returns the moving average after a new sample, which counts by `weight`, from 0 to 1.
    pub fn average_with(self, sample: Self, weight: f64) -> Self {
        let time = |old: time::Duration, new: time::Duration| {
            old.mul_f64(1.0 - weight) + new.mul_f64(weight)
        };
        Self {
            prefill_time: time(self.prefill_time, sample.prefill_time),
            answer_time: time(self.answer_time, sample.answer_time),
            held_tokens: self.held_tokens * (1.0 - weight) + sample.held_tokens * weight,
        }
    }
}

impl engine_load::EngineLoad {
    /// Returns the work of a typical request, from the runs that these engines have now. `None` if they
    /// have too few, or no prefill was measured yet.
    pub fn typical_work(&self, engines: &[sync::Arc<backends::Backend>]) -> Option<TypicalWork> {
        let token_time = self.typical_token_time().as_secs_f64();
        let mut count = 0;
        let mut held = 0.0;
        // Long requests are more often among those that are in progress than among those that arrive, so they
        // count by the inverse of their duration where arriving ones are averaged.
        let mut weights = 0.0;
        let mut prompts = 0.0;
        let mut answer_s = 0.0;
        for run in engines
            .iter()
            .flat_map(|engine| self.runs_of_engine(&engine.id))
        {
            let prompt = f64::from(run.prompt);
            let output = f64::from(run.output.max(run.generated).max(1));
            let generated_in = output * token_time;
            let start = self.unqueued_prefill_time(prompt)? + START_OVERHEAD;
            let weight = 1.0 / (start.as_secs_f64() + generated_in);
            count += 1;
            held += prompt + output / 2.0;
            weights += weight;
            prompts += prompt * weight;
            answer_s += generated_in * weight;
        }
        if count < MIN_RUNS {
            return None;
        }
        Some(TypicalWork {
            prefill_time: self.unqueued_prefill_time(prompts / weights)?,
            answer_time: time::Duration::from_secs_f64(answer_s / weights),
            held_tokens: held / f64::from(count),
        })
    }

    /// Returns the predicted average time between the ends of two runs on these engines, or that of one typical run
    /// if they have none.
    pub fn time_between_ends(&self, engines: &[sync::Arc<backends::Backend>]) -> time::Duration {
        let mut ends_per_s = 0.0;
        for engine in engines {
            let token_time = self.token_time_on(&engine.id).as_secs_f64();
            for run in self.runs_of_engine(&engine.id) {
                let output = f64::from(run.output.max(run.generated).max(1));
                let start = self.prefill_time(run.prompt) + START_OVERHEAD;
                ends_per_s += 1.0 / (start.as_secs_f64() + output * token_time);
            }
        }
        match ends_per_s > 0.0 {
            true => time::Duration::from_secs_f64(1.0 / ends_per_s),
            false => ASSUMED_EVENT_TIME * ASSUMED_EVENTS,
        }
    }
}
