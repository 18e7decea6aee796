//! The queue of requests that wait for engine memory: its order, and the limits on waiting.
//!
//! Requests that go on with a stream come first, since they can't be sent elsewhere. Of the others,
//! those whose first event can still meet the target latency come before all that have missed it.
//! Within each group requests are ordered by the priority of their route, then by age. A request is
//! refused on arrival if the work before it takes longer than its caller can usefully wait; the
//! refusal carries a retry time by which room is expected.
//!
//! Designed for this load: a burst that lasts several seconds and needs more than the engines'
//! memory. Serving in order of arrival would make every request of the burst late.

use std::collections;
use std::time;

/// Share of the time until a request's deadline that it may spend waiting.
const WAIT_SHARE: f64 = 0.3;
/// Longest time that a request may wait. A caller that would have to wait longer does better to retry.
const MAX_WAIT: time::Duration = time::Duration::from_secs(4);
/// Callers leave after a gap before an event, the first one too, that exceeds each of these: this time, a
/// multiple of the target latency and a multiple of the longest pause of a stream that is on time.
const MIN_PATIENCE: time::Duration = time::Duration::from_secs(2);
const PATIENCE_IN_TARGETS: u32 = 4;
const PATIENCE_IN_PAUSES: u32 = 8;
/// Shortest retry time that a refused caller is given.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(200);
/// Random part added to retry times, as a share of them, so that callers don't all retry at once.
const RETRY_JITTER: f64 = 0.5;

/// A waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The host's number for it; numbers rise in order of arrival.
    pub number: u64,
    /// Whether it goes on with a stream that has begun. Such requests go first.
    pub continues: bool,
    /// The priority of its route; 0 goes first.
    pub priority: u8,
    /// Latest time to start it such that its first event still meets the target latency.
    pub start_by: time::Duration,
    /// When it stops waiting and is refused.
    pub give_up_at: time::Duration,
}

/// The requests of one service that wait at one host.
#[derive(Debug, Default)]
pub struct Queue {
    entries: collections::BTreeMap<u64, Entry>,
}

/// Returns how long a request may wait whose final answer is due in `remaining`.
pub fn max_wait(remaining: time::Duration) -> time::Duration {
    remaining.mul_f64(WAIT_SHARE).min(MAX_WAIT)
}

/// Returns how long a caller waits for an event before it leaves. A prompt that is read for a caller who leaves before
/// the first event is read for nothing.
pub fn patience(
    target_latency: time::Duration,
    max_pause: Option<time::Duration>,
) -> time::Duration {
    MIN_PATIENCE
        .max(target_latency * PATIENCE_IN_TARGETS)
        .max(max_pause.unwrap_or_default() * PATIENCE_IN_PAUSES)
}

/// Returns the time after which a refused caller should retry. `predicted` is the predicted time until
/// there is room; `random` is uniform in 0 to 1.
pub fn retry_after(predicted: time::Duration, random: f64) -> time::Duration {
    let base = predicted.max(MIN_RETRY_AFTER);
    base + base.mul_f64(RETRY_JITTER * random)
}

impl Queue {
    /// Adds a request to the queue.
    pub fn push(&mut self, entry: Entry) {
        self.entries.insert(entry.number, entry);
    }

    /// Removes the request with this number, if it is in the queue.
    pub fn remove(&mut self, number: u64) {
        self.entries.remove(&number);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of the request to be placed next.
    pub fn next(&self, now: time::Duration) -> Option<u64> {
        let order = |entry: &&Entry| {
            let is_late = entry.start_by < now;
            (!entry.continues, is_late, entry.priority, entry.number)
        };
        self.entries
            .values()
            .min_by_key(order)
            .map(|entry| entry.number)
    }

    /// Returns how many waiting requests come before a request that arrives now.
    pub fn count_ahead(&self, continues: bool, now: time::Duration) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.continues || (!continues && entry.start_by >= now))
            .count()
    }

    /// Returns how many waiting requests can still meet their target latency.
    pub fn count_on_time(&self, now: time::Duration) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.start_by >= now)
            .count()
    }
}
