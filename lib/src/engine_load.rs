//! Memory and prompt queues of model engines, as all hosts together use them.
//!
//! Decode memory is the scarce resource: a run starts with its prompt and grows by a token a step
//! until it ends, and an engine whose memory runs out preempts runs in the middle of their streams.
//! All runs of an engine advance by one token a step, so the memory at any later step follows from
//! prompt, predicted output and progress of each run. A run is placed only where the highest of
//! these later values stays below the engine's memory, and before its prompt is read, because the
//! result of a prefill lives for half a second only.
//!
//! Load pattern: bursts of twice the usual requests for four to five seconds, in which decode memory
//! is full and every finished run makes room for about one waiting request.

use std::collections;
use std::sync;
use std::time;

use crate::backends;
use crate::engine_memory;
use crate::rendezvous;
use crate::work_index;
pub use crate::work_index::Key;

/// Engines are taken as fuller by up to one part in this many of their memory, which differs from request
/// to request: hosts that place at the same moment, before they hear of each other, hardly take the
/// same engine, also when one has just become empty.
const SPREAD: u64 = 2;
/// Reading times that differ by less count as equal.
const ABOUT_EQUAL_MS: u128 = 20;
/// Part of its predicted output that a run is expected to go on for when it has passed it.
const OVERRUN: f64 = 0.2;
/// Weight of a new sample in learned speeds.
const LEARNING: f64 = 0.2;
/// Time of one token until one was measured.
const INITIAL_TOKEN_TIME: time::Duration = time::Duration::from_micros(800);
/// Prompt tokens a millisecond until a prefill was measured.
const INITIAL_PREFILL_RATE: f64 = 50.0;
/// Weight of a new sample in the speed of engines that weren't measured.
const LEARNING_USUAL: f64 = 0.02;
/// Bounds of measured prefill rates in tokens a millisecond; others are artefacts of faults.
const PREFILL_RATES: std::ops::Range<f64> = 5.0..500.0;
/// Bounds of measured token times in seconds; longer ones are pauses, not steps.
const TOKEN_TIMES: std::ops::Range<f64> = 0.000_1..0.005;

/// A run on a decode engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// The engine's id.
    pub engine: sync::Arc<str>,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Predicted tokens of the output.
    pub output: u32,
    /// Tokens generated at `as_of`.
    pub generated: u32,
    /// When `generated` was true.
    pub as_of: time::Duration,
}

impl Run {
    /// Returns what the run holds by now, if a token takes `token_time` seconds.
    fn growth(&self, token_time: f64, now: time::Duration) -> engine_memory::RunMemory {
        let since = now.saturating_sub(self.as_of).as_secs_f64();
        let made = u64::from(self.generated) + (since / token_time) as u64;
        let made = made.min(u64::from(self.output).max(u64::from(self.generated)));
        let least = (f64::from(self.output) * OVERRUN) as u64;
        engine_memory::RunMemory {
            held: u64::from(self.prompt) + made,
            remaining: u64::from(self.output).saturating_sub(made).max(least),
        }
    }
}

/// A prompt that an engine reads.
#[derive(Clone, Debug)]
pub struct Prefill {
    /// The engine's id.
    pub engine: sync::Arc<str>,
    /// Tokens to read.
    pub tokens: u32,
    /// When it was sent.
    pub sent_at: time::Duration,
}

/// A prompt being read, with the predicted time of those before it.
#[derive(Clone, Debug)]
struct Queued {
    prefill: Prefill,
    ahead: time::Duration,
}

impl work_index::OnEngine for Run {
    fn engine(&self) -> &sync::Arc<str> {
        &self.engine
    }
}

impl work_index::OnEngine for Queued {
    fn engine(&self) -> &sync::Arc<str> {
        &self.prefill.engine
    }
}

/// Measured speeds of one engine.
#[derive(Clone, Copy, Debug)]
struct Speed {
    /// Seconds of one token.
    token_time: f64,
    /// Prompt tokens a millisecond.
    prefill_rate: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            token_time: INITIAL_TOKEN_TIME.as_secs_f64(),
            prefill_rate: INITIAL_PREFILL_RATE,
        }
    }
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Generates the tokens.
    pub decode: sync::Arc<backends::Backend>,
    /// Reads the prompt; without one the decode engine does.
    pub prefill: Option<sync::Arc<backends::Backend>>,
}

/// Why there is no place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Full {
    /// No decode engine is usable at all.
    NoEngine,
    /// Decode memory is promised to others for about this long.
    Memory(time::Duration),
    /// The prompts before this one take this long to read.
    Prompts(time::Duration),
}

/// The shared view of engines.
#[derive(Debug, Default)]
pub struct EngineLoad {
    runs: work_index::Index<Run>,
    prefills: work_index::Index<Queued>,
    speeds: collections::HashMap<sync::Arc<str>, Speed>,
    /// The speed of engines that weren't measured yet.
    usual: Speed,
}

impl EngineLoad {
    /// Notes a run.
    pub fn add_run(&mut self, key: Key, run: Run) {
        self.runs.insert(key, run);
    }

    /// Notes the end of a run. Returns whether it was known.
    pub fn remove_run(&mut self, key: &Key) -> bool {
        self.runs.remove(key).is_some()
    }

    /// Notes that a run has generated `generated` tokens.
    pub fn record_progress(&mut self, key: &Key, generated: u32, now: time::Duration) {
        let Some(old) = self.runs.remove(key) else {
            return;
        };
        self.learn_token_time(&old, generated, now);
        let as_of = now;
        self.runs.insert(
            key.clone(),
            Run {
                generated,
                as_of,
                ..old
            },
        );
    }

    fn learn_token_time(&mut self, old: &Run, made: u32, now: time::Duration) {
        let tokens = made.saturating_sub(old.generated);
        if old.generated == 0 || tokens == 0 {
            return;
        }
        let sample = now.saturating_sub(old.as_of).as_secs_f64() / f64::from(tokens);
        if !TOKEN_TIMES.contains(&sample) {
            return;
        }
        let usual = &mut self.usual.token_time;
        *usual += LEARNING_USUAL * (sample - *usual);
        let speed = self.speeds.entry(old.engine.clone()).or_insert(self.usual);
        speed.token_time += LEARNING * (sample - speed.token_time);
    }

    /// Notes that an engine reads a prompt.
    pub fn add_prefill(&mut self, key: Key, prefill: Prefill, now: time::Duration) {
        let ahead = self.prefill_backlog(&prefill.engine, now);
        self.prefills.insert(key, Queued { prefill, ahead });
    }

    /// Notes that a prompt is read no further. `read` says whether it was read to its end.
    pub fn remove_prefill(&mut self, key: &Key, read: bool, now: time::Duration) {
        if let Some(queued) = self.prefills.remove(key)
            && read
        {
            self.learn_prefill_rate(&queued, now);
        }
    }

    fn learn_prefill_rate(&mut self, queued: &Queued, now: time::Duration) {
        let Prefill {
            engine,
            tokens,
            sent_at,
        } = &queued.prefill;
        let speed = self.speed(engine);
        let work = f64::from(*tokens) + queued.ahead.as_secs_f64() * 1_000.0 * speed.prefill_rate;
        let took = now.saturating_sub(*sent_at).as_secs_f64() * 1_000.0;
        let sample = work / took.max(0.1);
        if !PREFILL_RATES.contains(&sample) {
            return;
        }
        let usual = &mut self.usual.prefill_rate;
        *usual += LEARNING_USUAL * (sample - *usual);
        let speed = self.speeds.entry(engine.clone()).or_insert(self.usual);
        speed.prefill_rate += LEARNING * (sample - speed.prefill_rate);
    }

    fn speed(&self, engine: &str) -> Speed {
        self.speeds.get(engine).copied().unwrap_or(self.usual)
    }

    /// Replaces everything known of another host's runs and prefills, and learns from their progress.
    pub fn replace_host(
        &mut self,
        host: &str,
        runs: Vec<(u64, Run)>,
        prefills: Vec<(u64, Prefill)>,
        now: time::Duration,
    ) {
        let host: sync::Arc<str> = host.into();
        let old_runs = self.runs.take_host(&host);
        for (number, run) in runs {
            if let Some(old) = old_runs.get(&number) {
                self.learn_token_time(old, run.generated, run.as_of);
            }
            self.runs.insert((host.clone(), number), run);
        }
        let known = self.prefills.of_host(&host).map(|(number, _)| number);
        let gone: Vec<_> = known
            .filter(|number| !prefills.iter().any(|(said, _)| said == number))
            .collect();
        for number in gone {
            self.remove_prefill(&(host.clone(), number), true, now);
        }
        for (number, prefill) in prefills {
            let key = (host.clone(), number);
            if self.prefills.get(&key).is_none() {
                self.add_prefill(key, prefill, now);
            }
        }
    }

    /// Forgets a host that is gone.
    pub fn forget_host(&mut self, host: &str) {
        let host = host.into();
        self.runs.take_host(&host);
        self.prefills.take_host(&host);
    }

    /// Forgets what ran on an engine that started again or is gone.
    pub fn forget_engine(&mut self, engine: &str) {
        self.runs.forget_engine(engine);
        self.prefills.forget_engine(engine);
        self.speeds.remove(engine);
    }

    /// Returns the runs of one host.
    pub fn runs_of<'a>(&'a self, host: &'a str) -> impl Iterator<Item = (u64, &'a Run)> {
        self.runs.of_host(host)
    }

    /// Returns the prefills of one host.
    pub fn prefills_of<'a>(&'a self, host: &'a str) -> impl Iterator<Item = (u64, &'a Prefill)> {
        let own = self.prefills.of_host(host);
        own.map(|(number, queued)| (number, &queued.prefill))
    }

    /// Returns the number of runs on an engine and the tokens that they hold by now.
    pub fn usage(&self, engine: &str, now: time::Duration) -> (usize, u64) {
        let held = self
            .runs_with_memory(engine, now)
            .map(|(_, growth)| growth.held);
        (self.runs_on(engine), held.sum())
    }

    /// Returns whether anything runs on any engine.
    pub fn has_runs(&self) -> bool {
        !self.runs.is_empty()
    }

    /// Returns a run.
    pub fn run(&self, key: &Key) -> Option<&Run> {
        self.runs.get(key)
    }

    /// Returns the time of one token on a certain engine.
    pub fn token_time_on(&self, engine: &str) -> time::Duration {
        time::Duration::from_secs_f64(self.speed(engine).token_time)
    }

    /// Returns the usual time of one token.
    pub fn typical_token_time(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.usual.token_time)
    }

    /// Returns the time that an engine usually needs for a prompt.
    pub fn prefill_time(&self, tokens: u32) -> time::Duration {
        prefill_time(self.usual, tokens)
    }

    /// Returns the time that a certain engine needs for a prompt.
    pub fn prefill_time_on(&self, engine: &str, tokens: u32) -> time::Duration {
        prefill_time(self.speed(engine), tokens)
    }

    /// Returns the time until an engine has read the prompts that it has now.
    pub fn prefill_backlog(&self, engine: &str, now: time::Duration) -> time::Duration {
        let speed = self.speed(engine);
        let queued = self.prefills.on_engine(engine);
        let mut queue: Vec<_> = queued
            .map(|(_, queued)| (queued.prefill.sent_at, queued.prefill.tokens))
            .collect();
        queue.sort_unstable();
        let end = queue
            .into_iter()
            .fold(time::Duration::ZERO, |end, (since, tokens)| {
                end.max(since) + prefill_time(speed, tokens)
            });
        end.saturating_sub(now)
    }

    /// Returns the number of runs on an engine.
    pub fn runs_on(&self, engine: &str) -> usize {
        self.runs.count_on(engine)
    }

    /// Places a request. `zone` is preferred where the rest is equal. `salt` differs between requests,
    /// so that hosts which place at the same moment don't choose the same engine.
    ///
    /// # Errors
    ///
    /// Returns what is short, and for how long.
    pub fn place(
        &self,
        engines: &[sync::Arc<backends::Backend>],
        need: engine_memory::Need,
        limits: engine_memory::Limits,
        zone: &str,
        salt: &str,
        now: time::Duration,
    ) -> Result<Placement, Full> {
        let is = |stage| move |e: &&sync::Arc<backends::Backend>| e.stage == Some(stage);
        let read_after = |e: &backends::Backend| {
            self.prefill_backlog(&e.id, now) + self.prefill_time_on(&e.id, need.prompt)
        };
        let reading = engines.iter().filter(is(backends::Stage::Prefill));
        let timed = reading.map(|e| (read_after(e), e));
        let first =
            timed.min_by_key(|(after, e)| (after.as_millis() / ABOUT_EQUAL_MS, &*e.zone != zone));
        let mut prefill = None;
        if let (Some(within), Some((after, first))) = (limits.prefill_within, first) {
            if after > within {
                return Err(Full::Prompts(self.prefill_backlog(&first.id, now)));
            }
            prefill = Some(first);
        }
        let near = prefill.map_or(zone, |p| &*p.zone);
        let mut decodes = engines
            .iter()
            .filter(|e| e.stage != Some(backends::Stage::Prefill));
        let mut best: Option<(u64, &sync::Arc<backends::Backend>)> = None;
        let mut any = false;
        for engine in decodes.by_ref() {
            any = true;
            let Some(peak) = self.peak(&engine.id, need, limits, now) else {
                continue;
            };
            let far = u64::from(&*engine.zone != near) * u64::from(limits.memory_tokens) / 4;
            let slow = self.speed(&engine.id).token_time / self.usual.token_time;
            let point = rendezvous::score(&engine.id, salt);
            let spread = point % (u64::from(limits.memory_tokens) / SPREAD);
            let cost = ((peak + far + spread) as f64 * slow.max(1.0)) as u64;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, engine));
            }
        }
        if !any {
            return Err(Full::NoEngine);
        }
        let Some((_, decode)) = best else {
            return Err(Full::Memory(self.next_room(engines, need, limits, now)));
        };
        Ok(Placement {
            decode: decode.clone(),
            prefill: prefill.cloned(),
        })
    }

    /// Returns the highest predicted memory of an engine that takes the request, or `None` if that
    /// is more than it has.
    fn peak(
        &self,
        engine: &str,
        need: engine_memory::Need,
        limits: engine_memory::Limits,
        now: time::Duration,
    ) -> Option<u64> {
        engine_memory::peak_with(self.growths(engine, now), need, limits)
    }

    fn growths(&self, engine: &str, now: time::Duration) -> Vec<engine_memory::RunMemory> {
        self.runs_with_memory(engine, now)
            .map(|(_, growth)| growth)
            .collect()
    }

    /// Returns the runs of an engine with what they hold by now.
    pub(crate) fn runs_with_memory<'a>(
        &'a self,
        engine: &'a str,
        now: time::Duration,
    ) -> impl Iterator<Item = (&'a Key, engine_memory::RunMemory)> {
        let token_time = self.speed(engine).token_time;
        let runs = self.runs.on_engine(engine);
        runs.map(move |(key, run)| (key, run.growth(token_time, now)))
    }

    /// Returns the time after which the first engine has room for the request.
    fn next_room(
        &self,
        engines: &[sync::Arc<backends::Backend>],
        need: engine_memory::Need,
        limits: engine_memory::Limits,
        now: time::Duration,
    ) -> time::Duration {
        let decodes = engines
            .iter()
            .filter(|e| e.stage != Some(backends::Stage::Prefill));
        let waits = decodes.map(|e| {
            let mut runs = self.growths(&e.id, now);
            runs.sort_unstable_by_key(|run| run.remaining);
            engine_memory::steps_until_room(&runs, need, limits)
        });
        let steps = waits.min().unwrap_or_default();
        time::Duration::from_secs_f64(steps as f64 * self.usual.token_time)
    }
}

fn prefill_time(speed: Speed, tokens: u32) -> time::Duration {
    time::Duration::from_secs_f64(f64::from(tokens) / speed.prefill_rate / 1_000.0)
}
