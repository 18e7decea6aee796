//! A host's share of a service's retry budget.
//!
//! All hosts together may retry a fixed share of a service's requests, plus a constant number, in each
//! time window. Each host counts only the requests that it sent itself, and uses an equal part of the
//! constant. The sum over all hosts then stays within the budget without any messages.
//!
//! A process that starts doesn't know what the one before it used of the constant in the same window. It uses
//! little of it during its first window, and none until it knows with how many hosts it is shared.

use std::collections;
use std::time;

/// Number of time buckets in which sends are counted.
const BUCKETS: usize = 12;
/// Share of the budget that hosts use. The rest covers hosts that the others don't know yet.
const USED_SHARE: f64 = 0.7;
/// Share of the budget's constant that a process uses in its first window. Together with what the processes
/// before it may have used, the constant is kept if a host starts twice in a window.
const USED_SHARE_AT_START: f64 = 0.15;

/// A service's retry budget, as the deployment defines it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, by all hosts together.
    pub slack: f64,
    /// The time window in which requests and retries are counted.
    pub window: time::Duration,
}

/// Whether a send is the first of its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendKind {
    /// The first send of a request.
    First,
    /// A further send of the same request, after a failed one.
    Retry,
}

/// Counts of first sends and retries of one host to one service.
#[derive(Clone, Debug, Default)]
pub struct Share {
    /// When the process that counts started, as time since boot.
    started_at: time::Duration,
    /// For each time bucket its index, first sends and retries; oldest first.
    buckets: collections::VecDeque<(u64, u32, u32)>,
}

impl Share {
    /// Creates the share of a process that started at the given time since boot.
    pub fn new(started_at: time::Duration) -> Self {
        Self {
            started_at,
            buckets: collections::VecDeque::new(),
        }
    }

    /// Counts a send.
    pub fn record_send(&mut self, kind: SendKind, now: time::Duration, budget: &Budget) {
        let (_, first, retry) = self.bucket(now, budget);
        match kind {
            SendKind::First => *first += 1,
            SendKind::Retry => *retry += 1,
        }
    }

    /// Returns whether this host may send one more retry. `hosts` is the number of hosts that share the
    /// budget, including this one; `None` if it isn't known yet.
    pub fn allows_retry(&self, now: time::Duration, budget: &Budget, hosts: Option<usize>) -> bool {
        let oldest = bucket_index(now, budget).saturating_sub(BUCKETS as u64 - 1);
        let recent = self.buckets.iter().filter(|(at, ..)| *at >= oldest);
        let (firsts, retries) =
            recent.fold((0, 0), |(f, r), (_, first, retry)| (f + first, r + retry));
        let slack = hosts.map_or(0.0, |hosts| budget.slack / hosts.max(1) as f64);
        let used_slack = match now.saturating_sub(self.started_at) < budget.window {
            true => USED_SHARE_AT_START * slack,
            false => USED_SHARE * slack,
        };
        let max_retries = USED_SHARE * budget.ratio * f64::from(firsts) + used_slack;
        f64::from(retries) + 1.0 <= max_retries
    }

    /// Returns the bucket for the current time, and drops the buckets that are too old.
    fn bucket(&mut self, now: time::Duration, budget: &Budget) -> &mut (u64, u32, u32) {
        let at = bucket_index(now, budget);
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

/// Returns the index of the time bucket that `now` is in. The window is divided into `BUCKETS` - 2 buckets,
/// so that the `BUCKETS` kept ones always cover slightly more than the window.
fn bucket_index(now: time::Duration, budget: &Budget) -> u64 {
    let bucket_ms = budget.window.as_millis().max(1) as u64 / (BUCKETS as u64 - 2);
    now.as_millis() as u64 / bucket_ms.max(1)
}
