//! Which requests wait for engine memory, in which order, and when one is refused instead.
//!
//! A request whose first event can still come within its target goes before all that have missed it.
//! Among equals the older goes first. A request is refused at its arrival if the work before it takes
//! longer than its caller can usefully wait, with a time to come back at which room is expected.
//!
//! Load pattern: a burst that lasts several seconds and brings more than memory holds. Serving in
//! plain order of arrival would make every request of the burst late.

use std::collections;
use std::time;

/// Part of a caller's remaining time for which a request may wait.
const WAIT_SHARE: f64 = 0.3;
/// The longest time for which a request waits; longer ones are better spent by the caller.
const MAX_WAIT: time::Duration = time::Duration::from_secs(4);
/// The shortest time to come back that is told.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(200);
/// Times to come back are spread over this share of the predicted wait.
const SPREAD: f64 = 0.5;

/// A request that waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The host's number for it.
    pub number: u64,
    /// The rank of its route; 0 goes first.
    pub priority: u8,
    /// When it must start for its first event to come within the target.
    pub start_by: time::Duration,
    /// When it gives up.
    pub give_up_at: time::Duration,
}

/// The requests of one service that wait at one host.
#[derive(Debug, Default)]
pub struct Queue {
    entries: collections::BTreeMap<u64, Entry>,
}

/// How long a request may wait.
pub fn max_wait(left: time::Duration) -> time::Duration {
    left.mul_f64(WAIT_SHARE).min(MAX_WAIT)
}

/// Returns when a refused caller should come back. `random` is uniform in 0 to 1.
pub fn retry_after(predicted: time::Duration, random: f64) -> time::Duration {
    let base = predicted.max(MIN_RETRY_AFTER);
    base + base.mul_f64(SPREAD * random)
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, entry: Entry) {
        self.entries.insert(entry.number, entry);
    }

    /// Removes a request.
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

    /// Returns the request that goes next.
    pub fn next(&self, now: time::Duration) -> Option<u64> {
        let order = |entry: &&Entry| (entry.start_by < now, entry.priority, entry.number);
        self.entries
            .values()
            .min_by_key(order)
            .map(|entry| entry.number)
    }

    /// Returns how many requests go before one that arrives now.
    pub fn count_on_time(&self, now: time::Duration) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.start_by >= now)
            .count()
    }
}
