//! The memory of one engine as its runs grow.
//!
//! All runs of an engine advance by one token a step, so the memory at any later step follows from
//! what each run holds now and how much of its output is left.

use std::time;

/// Part of an engine's memory that new runs may fill by prediction at a host that is alone. Lengths are
/// predicted with an error of about a third of their size, which averages out to a tenth over the runs of
/// an engine; what turns out longer moves.
const FILL_NEW: f64 = 0.91;
/// Part that each further host leaves free, as it may place before it is heard of.
const FILL_NEW_PER_HOST: f64 = 0.001;
/// The least part that new runs may fill.
const FILL_NEW_LEAST: f64 = 0.84;
/// The part for runs that leave an engine whose memory runs out: what they need is known better, and
/// they lose more than a request that waits.
const FILL_MOVED: f64 = 0.94;

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Tokens of the prompt, with those generated before an interruption.
    pub prompt: u32,
    /// Predicted tokens of the output.
    pub output: u32,
}

impl Need {
    fn growth(self) -> RunMemory {
        RunMemory {
            held: u64::from(self.prompt),
            remaining: u64::from(self.output),
        }
    }
}

/// Who asks for room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim {
    /// A request that hasn't started, at one of `hosts` that place on the same engines.
    New {
        /// The number of hosts.
        hosts: usize,
    },
    /// A run that leaves another engine.
    Moved,
}

/// Limits of a placement.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Tokens that one engine's memory holds.
    pub memory_tokens: u32,
    /// Who asks.
    pub claim: Claim,
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Longest time until the prompt must be read; `None` if it has been.
    pub prefill_within: Option<time::Duration>,
}

impl Limits {
    /// Returns the tokens that predictions may fill.
    fn fillable(&self) -> u64 {
        let part = match self.claim {
            Claim::New { hosts } => {
                (FILL_NEW - FILL_NEW_PER_HOST * hosts as f64).max(FILL_NEW_LEAST)
            }
            Claim::Moved => FILL_MOVED,
        };
        (f64::from(self.memory_tokens) * part) as u64
    }
}

/// Memory and remaining output of a run at one moment, in tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunMemory {
    pub(crate) held: u64,
    pub(crate) remaining: u64,
}

/// Returns the highest predicted memory with one more run, if that is allowed.
pub(crate) fn peak_with(mut runs: Vec<RunMemory>, need: Need, limits: Limits) -> Option<u64> {
    if runs.len() >= limits.slots as usize {
        return None;
    }
    let alone = runs.is_empty();
    runs.push(need.growth());
    let peak = peak_of(&mut runs);
    (alone || peak <= limits.fillable()).then_some(peak)
}

/// Returns the highest sum of memory: it is reached just before one of the runs ends.
fn peak_of(runs: &mut [RunMemory]) -> u64 {
    runs.sort_unstable_by_key(|run| std::cmp::Reverse(run.remaining));
    let mut held = 0;
    let mut peak = 0;
    for (i, run) in runs.iter().enumerate() {
        held += run.held;
        peak = peak.max(held + run.remaining * (i as u64 + 1));
    }
    peak
}

/// Returns the steps until the request fits. `runs` are in order of their ends.
pub(crate) fn steps_until_room(runs: &[RunMemory], need: Need, limits: Limits) -> u64 {
    for (ended, run) in runs.iter().enumerate() {
        let steps = run.remaining;
        let later = runs[ended + 1..].iter().map(|r| RunMemory {
            held: r.held + steps,
            remaining: r.remaining - steps,
        });
        let mut later: Vec<_> = later.collect();
        later.push(need.growth());
        if later.len() <= limits.slots as usize && peak_of(&mut later) <= limits.fillable() {
            return steps;
        }
    }
    runs.last().map_or(0, |run| run.remaining)
}
