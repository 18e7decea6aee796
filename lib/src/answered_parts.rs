//! Which parts of prompts engines have answered.
//!
//! Each host records this for its own answers only. It is passed on for parts with crashes, as part of their
//! marks.

use std::collections;
use std::time;

/// Maximum number of parts that are remembered. Beyond it, those that were answered longest ago are
/// forgotten. Takes about 50 bytes a part.
const MAX_PARTS: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct Answers {
    count: u64,
    /// When the newest of them began, as time since boot.
    last_began: time::Duration,
    /// When the newest of them was recorded, as time since boot.
    recorded_at: time::Duration,
}

/// The answers to prompts with each part, by the part's digest. Times are times since boot.
#[derive(Debug, Default)]
pub struct AnsweredParts {
    parts: collections::HashMap<u64, Answers>,
}

impl AnsweredParts {
    /// Records an answer to a prompt with the part, which its engine began at `began`.
    pub fn record(&mut self, part: u64, began: time::Duration, now: time::Duration) {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) {
            self.forget_oldest();
        }
        let answers = self.parts.entry(part).or_insert(Answers {
            count: 0,
            last_began: began,
            recorded_at: now,
        });
        answers.count += 1;
        answers.last_began = answers.last_began.max(began);
        answers.recorded_at = now;
    }

    /// Returns the number of answers to prompts with the part.
    pub fn count(&self, part: u64) -> u64 {
        self.parts.get(&part).map_or(0, |answers| answers.count)
    }

    /// Returns whether an engine began an answer to a prompt with the part later than `at`.
    pub fn has_since(&self, part: u64, at: time::Duration) -> bool {
        let answers = self.parts.get(&part);
        answers.is_some_and(|answers| answers.last_began > at)
    }

    /// Forgets half of the parts.
    fn forget_oldest(&mut self) {
        let mut ages: Vec<_> = self.parts.values().map(|a| a.recorded_at).collect();
        let middle = ages.len() / 2;
        let (_, median, _) = ages.select_nth_unstable(middle);
        let median = *median;
        self.parts.retain(|_, answers| answers.recorded_at > median);
    }
}
