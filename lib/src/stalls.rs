//! How long a process may have stood still, from the times at which a regular task of it ran.
//!
//! A process that gets no processor time sees a signal late, and nothing tells when it was sent. The last time at which
//! the process is known to have run is the earliest moment.

use std::time;

/// After a pause, whatever became due meanwhile runs within this time.
const CATCH_UP_TIME: time::Duration = time::Duration::from_millis(50);

/// Watches a task that runs at a regular interval. Times are times since boot.
#[derive(Clone, Copy, Debug)]
pub struct StallWatch {
    interval: time::Duration,
    last: time::Duration,
    before_last: time::Duration,
}

impl StallWatch {
    /// Watches a task that runs now, and every `interval` from now on.
    pub fn new(interval: time::Duration, now: time::Duration) -> Self {
        Self {
            interval,
            last: now,
            before_last: now,
        }
    }

    /// Records that the task runs.
    pub fn record(&mut self, now: time::Duration) {
        self.before_last = std::mem::replace(&mut self.last, now);
    }

    /// Returns for how long the process stood still until just before `now`; it may be more by the interval at most. Zero
    /// if the task runs when it is due.
    pub fn stalled_for(&self, now: time::Duration) -> time::Duration {
        let overdue =
            |from: time::Duration, to| time::Duration::saturating_sub(to, from + self.interval);
        let since_last = now.saturating_sub(self.last);
        if since_last >= CATCH_UP_TIME {
            return overdue(self.last, now);
        }
        // The task may have been the first to run after the pause.
        match overdue(self.before_last, self.last) {
            pause if pause >= CATCH_UP_TIME => pause + since_last,
            _ => time::Duration::ZERO,
        }
    }
}
