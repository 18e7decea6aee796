//! Servers that asked to get nothing for some time.

use std::collections;
use std::time;

use crate::backends;

/// Longest pause that a server may ask for.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(24 * 3_600);

/// Until when server processes want no requests. Times are on the host's monotonic clock.
#[derive(Debug, Default)]
pub struct Pauses {
    until: collections::BTreeMap<backends::Process, time::Duration>,
}

impl Pauses {
    /// Records that a process wants no requests for some time. A longer pause that it asked for before stays.
    pub fn record(
        &mut self,
        process: backends::Process,
        wait: time::Duration,
        now: time::Duration,
    ) {
        let asked = now + wait.min(MAX_PAUSE);
        let until = self.until.entry(process).or_default();
        *until = asked.max(*until);
    }

    /// Returns for how much longer a process wants no requests, if it does.
    pub fn time_left(
        &self,
        process: &backends::Process,
        now: time::Duration,
    ) -> Option<time::Duration> {
        let until = self.until.get(process)?;
        until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Returns whether any process wants no requests.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    /// Forgets pauses that are over.
    pub fn expire(&mut self, now: time::Duration) {
        self.until.retain(|_, until| now < *until);
    }
}
