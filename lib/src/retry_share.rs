//! A host's share of the retry budget that all hosts have together for a service.
//!
//! The budget of a service is a ratio of its requests plus a constant. Each host spends the ratio of
//! the requests that it sent first itself, and its part of the constant, so that no messages are
//! needed and the sum over all hosts stays within the whole.

use std::collections;
use std::time;

const BUCKETS: usize = 12;
/// Part of the budget that hosts spend; the rest covers hosts that others don't know yet.
const SPENT_SHARE: f64 = 0.7;

/// The budget as the deployment states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beside the ratio, for all hosts together.
    pub slack: f64,
    /// The window in which repeats and requests are counted.
    pub window: time::Duration,
}

/// What a send counts as.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendKind {
    /// The first of a request.
    First,
    /// A repeat.
    Repeat,
}

/// Repeats and first sends of one host to one service.
#[derive(Clone, Debug, Default)]
pub struct Share {
    buckets: collections::VecDeque<(u64, u32, u32)>,
}

impl Share {
    /// Notes a send.
    pub fn record_send(&mut self, kind: SendKind, now: time::Duration, budget: &Budget) {
        let (_, first, again) = self.bucket(now, budget);
        match kind {
            SendKind::First => *first += 1,
            SendKind::Repeat => *again += 1,
        }
    }

    /// Returns whether a repeat is within the budget.
    pub fn allows_repeat(&self, now: time::Duration, budget: &Budget, hosts: usize) -> bool {
        let oldest = index(now, budget).saturating_sub(BUCKETS as u64 - 1);
        let recent = self.buckets.iter().filter(|(at, ..)| *at >= oldest);
        let (firsts, repeats) =
            recent.fold((0, 0), |(f, r), (_, first, again)| (f + first, r + again));
        let slack = budget.slack / hosts.max(1) as f64;
        let most = SPENT_SHARE * (budget.ratio * f64::from(firsts) + slack);
        f64::from(repeats) + 1.0 <= most
    }

    fn bucket(&mut self, now: time::Duration, budget: &Budget) -> &mut (u64, u32, u32) {
        let at = index(now, budget);
        if self.buckets.back().is_none_or(|(last, ..)| *last != at) {
            self.buckets.push_back((at, 0, 0));
        }
        while self.buckets.len() > BUCKETS {
            self.buckets.pop_front();
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

/// The window is divided into `BUCKETS` - 2 parts, so that the buckets together cover a little more
/// than the window.
fn index(now: time::Duration, budget: &Budget) -> u64 {
    let part = budget.window.as_millis().max(1) as u64 / (BUCKETS as u64 - 2);
    now.as_millis() as u64 / part.max(1)
}
