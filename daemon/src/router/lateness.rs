//! How late the process runs its regular work, which shows that it lacked processor time.

use std::sync;
use std::time;

use crate::locks;

/// How late work is that runs at an interval. Times are times since boot.
#[derive(Debug, Default)]
pub(crate) struct Lateness(sync::Mutex<Runs>);

#[derive(Debug, Default)]
struct Runs {
    /// When the next run is due; `None` before the first one.
    due: Option<time::Duration>,
    /// How late the last run was.
    last: time::Duration,
}

impl Runs {
    fn overdue(&self, now: time::Duration) -> time::Duration {
        self.due
            .map_or(time::Duration::ZERO, |due| now.saturating_sub(due))
    }
}

impl Lateness {
    /// Records a run, which the next one follows after `interval`.
    pub(crate) fn record_run(&self, now: time::Duration, interval: time::Duration) {
        let mut runs = locks::lock(&self.0);
        runs.last = runs.overdue(now);
        runs.due = Some(now + interval);
    }

    /// Returns how late the work is, or was at its last run: a process that goes on may have caught up already.
    pub(crate) fn at(&self, now: time::Duration) -> time::Duration {
        let runs = locks::lock(&self.0);
        runs.overdue(now).max(runs.last)
    }
}
