//! Prediction of the memory of one engine as its runs grow.
//!
//! Memory is counted in tokens. All runs of an engine advance by one token per step, so the memory in
//! use at any later step follows from what each run holds now and how much of its output remains.

use std::sync;
use std::time;

/// Share of an engine's memory up to which new runs may be placed, before the deduction per host.
/// Output lengths are predicted with an error of about a third of their size, which averages out to a
/// tenth over the runs of an engine; runs that exceed the memory nevertheless are moved.
const NEW_RUN_FILL: f64 = 0.91;
/// Share left free for each host, since a host may place runs that the others haven't heard of yet.
const NEW_RUN_FILL_PER_HOST: f64 = 0.001;
/// Lower bound of the share for new runs, however many hosts there are.
const MIN_NEW_RUN_FILL: f64 = 0.84;
/// Share of an engine's memory up to which runs may be moved there from an engine that runs out of memory
/// or leaves. It is larger because the need of a running request is known better, and because such a run
/// loses more than a request that has to wait.
const MOVED_RUN_FILL: f64 = 0.94;
/// Share of an engine's memory up to which new runs may be placed if its version runs out: half of
/// the share for moved runs, so that the runs of an engine that leaves or crashes fit on any one
/// that is left. They can go on only at their version.
const RUNNING_OUT_FILL: f64 = 0.47;

/// Memory that a request needs on the decode engine.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Length of the prompt in tokens, including output generated before an interruption.
    pub prompt: u32,
    /// Predicted length of the remaining output in tokens.
    pub output: u32,
}

impl Need {
    /// Returns the need of a request of whose predicted `output` tokens `generated` were generated before. An engine
    /// that goes on reads these with the prompt.
    pub fn with_generated(prompt: u32, output: u32, generated: u32) -> Self {
        Self {
            prompt: prompt.saturating_add(generated),
            output: output.saturating_sub(generated).max(output / 5).max(1),
        }
    }

    /// Returns the memory of the run when it starts.
    fn initial_memory(self) -> RunMemory {
        RunMemory {
            held: u64::from(self.prompt),
            remaining: u64::from(self.output),
        }
    }
}

/// Returns the tokens of the events that a caller who resumes its stream has already. The caller states the last one,
/// so they are at most the tokens that it allowed.
pub fn delivered_tokens(last_event: Option<u64>, tokens_per_event: u32, max_output: u32) -> u32 {
    let events = last_event.unwrap_or_default().min(u64::from(u32::MAX)) as u32;
    events.saturating_mul(tokens_per_event).min(max_output)
}

/// The kind of run that is to be placed. It decides how much of an engine's memory may be filled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunKind {
    /// A request that hasn't started.
    New {
        /// Number of hosts that place runs on the same engines, including this one.
        hosts: usize,
    },
    /// A run that is moved from another engine.
    Moved,
    /// A run that goes on after an interruption, and whose prompt and output so far are prefilled
    /// again. It can go on only at the version that began it, so it may fill as much as a moved
    /// run.
    Continued,
}

/// Limits that a placement has to keep.
#[derive(Clone, Copy, Debug)]
pub struct Limits<'a> {
    /// Size of one engine's memory in tokens.
    pub memory_tokens: u32,
    /// The kind of run to place.
    pub run_kind: RunKind,
    /// Maximum number of requests that one engine runs at once.
    pub slots: u32,
    /// Time within which the prompt must be prefilled, or `None` if that is done already.
    pub prefill_within: Option<time::Duration>,
    /// Software versions whose engines are running out. New runs are kept away from them.
    pub versions_running_out: &'a [sync::Arc<str>],
}

impl Limits<'_> {
    /// Returns whether the run should rather be placed on an engine of another version than this one.
    pub(crate) fn is_avoided(&self, version: &str) -> bool {
        matches!(self.run_kind, RunKind::New { .. })
            && self.versions_running_out.iter().any(|v| **v == *version)
    }

    /// Returns the highest peak that may be predicted for an engine of a version after the
    /// placement, in tokens.
    fn max_peak(&self, version: &str) -> u64 {
        let share = match self.run_kind {
            RunKind::New { .. } if self.is_avoided(version) => RUNNING_OUT_FILL,
            RunKind::New { hosts } => {
                (NEW_RUN_FILL - NEW_RUN_FILL_PER_HOST * hosts as f64).max(MIN_NEW_RUN_FILL)
            }
            RunKind::Moved | RunKind::Continued => MOVED_RUN_FILL,
        };
        (f64::from(self.memory_tokens) * share) as u64
    }
}

/// Memory of a run at one moment, in tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunMemory {
    /// Tokens in memory: the prompt and the output so far.
    pub(crate) held: u64,
    /// Predicted output tokens that are still to come.
    pub(crate) remaining: u64,
}

/// Returns the predicted peak memory of an engine of a version with one more run, or `None` if the
/// limits forbid adding it. An engine without runs accepts any request, also one that is predicted
/// to exceed its memory.
pub(crate) fn peak_with(
    mut runs: Vec<RunMemory>,
    need: Need,
    limits: Limits<'_>,
    version: &str,
) -> Option<u64> {
    if runs.len() >= limits.slots as usize {
        return None;
    }
    let was_empty = runs.is_empty();
    runs.push(need.initial_memory());
    let peak = peak_of(&mut runs);
    (was_empty || peak <= limits.max_peak(version)).then_some(peak)
}

/// Returns the predicted peak of the memory of all runs. It is reached just before one of the runs ends.
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

/// Returns the number of decode steps until enough runs have ended for the request to fit. `runs` must
/// be sorted by remaining output, shortest first.
pub(crate) fn steps_until_room(
    runs: &[RunMemory],
    need: Need,
    limits: Limits<'_>,
    version: &str,
) -> u64 {
    let max_peak = limits.max_peak(version);
    for (ended, run) in runs.iter().enumerate() {
        let steps = run.remaining;
        let later = runs[ended + 1..].iter().map(|r| RunMemory {
            held: r.held + steps,
            remaining: r.remaining - steps,
        });
        let mut later: Vec<_> = later.collect();
        later.push(need.initial_memory());
        if later.len() <= limits.slots as usize && peak_of(&mut later) <= max_peak {
            return steps;
        }
    }
    runs.last().map_or(0, |run| run.remaining)
}
