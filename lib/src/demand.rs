//! How many requests a second callers send to this host and to the others.

use std::time;

/// Time constant of the moving average of requests.
pub const AVERAGE_TIME: time::Duration = time::Duration::from_secs(1);

/// A moving average of a number of events a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    per_second: f64,
    /// The time for which `per_second` holds, as time since boot.
    as_of: time::Duration,
}

impl Rate {
    /// Returns the number of events a second.
    pub fn at(&self, now: time::Duration) -> f64 {
        self.per_second * decay(now.saturating_sub(self.as_of))
    }

    /// Counts an event.
    pub fn record(&mut self, now: time::Duration) {
        self.per_second = self.at(now) + 1.0 / AVERAGE_TIME.as_secs_f64();
        self.as_of = now;
    }
}

/// Returns which part of a moving average is left after a time.
pub fn decay(age: time::Duration) -> f64 {
    (-age.as_secs_f64() / AVERAGE_TIME.as_secs_f64()).exp()
}

/// Returns the requests a second at all other hosts, of which `known` are known. Hosts of whom it isn't known count
/// as average ones. `hosts` includes this one.
pub fn elsewhere(own: f64, known: impl Iterator<Item = f64>, hosts: usize) -> f64 {
    let (count, sum) = known.fold((0, 0.0), |(count, sum), rate| (count + 1, sum + rate));
    let unknown = hosts.saturating_sub(1).saturating_sub(count);
    let average = (own + sum) / (count + 1) as f64;
    sum + average * unknown as f64
}
