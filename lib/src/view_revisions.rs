//! Up to which revision of the store a host knows a collection, compared with other hosts.
//!
//! A watch whose connection went silent looks like one without changes. Hosts tell each other the newest change that
//! they know of, so that one that lacks it finds out. And their waits for a change are spread so that at any moment some
//! end soon, also if all began at the same change: so a few hosts soon find out that the watches of all went silent.

use std::time;

/// Longest time that a watch call waits for a change.
pub const MAX_WATCH_TIME: time::Duration = time::Duration::from_secs(25);
/// The shortest, however few hosts there are.
const MIN_WATCH_TIME: time::Duration = time::Duration::from_secs(1);
/// Mean time between two waits that end without a change, of all hosts together.
const FLEET_ANSWER_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Returns how long a watch call waits for a change in a fleet of `hosts`. `random` is uniform in 0 to 1. The waits are
/// distributed exponentially: the rate at which they end is the same at any time after they began.
pub fn watch_time(hosts: usize, random: f64) -> time::Duration {
    let mean = FLEET_ANSWER_INTERVAL.as_secs_f64() * hosts as f64;
    let seconds = mean * -(1.0 - random).ln();
    let seconds = seconds.min(MAX_WATCH_TIME.as_secs_f64());
    time::Duration::from_secs_f64(seconds).max(MIN_WATCH_TIME)
}

/// What a host knows of a collection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ViewRevision {
    /// All changes up to this revision are known.
    complete: u64,
    /// The newest known change is of this revision, or a later one.
    changed: u64,
    /// The newest change that another host told of and for which the store was asked again.
    checked: u64,
}

impl ViewRevision {
    /// Records a list of all objects as of a revision. `newest` is the highest revision of any of them.
    pub fn record_list(&mut self, revision: u64, newest: u64) {
        // A store that came back from a copy may have gone back.
        self.complete = revision;
        self.changed = newest.min(revision);
    }

    /// Records the changes since the last answer, as of a revision. `newest` is the highest revision of any changed
    /// object, or `None` if nothing changed. The revision of a removal may be that of the change before.
    pub fn record_changes(&mut self, revision: u64, newest: Option<u64>) {
        if let Some(newest) = newest {
            let earliest = self.complete + 1;
            self.changed = self.changed.max(newest.max(earliest)).min(revision);
        }
        self.complete = revision;
    }

    /// Returns the revision of the newest known change, for other hosts.
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// Returns whether another host knows of a change of revision `told` that is missing here, and the store wasn't
    /// asked again because of it.
    pub fn lacks(&self, told: u64) -> bool {
        told > self.complete && told > self.checked
    }

    /// Records that the store is asked again because of a change that another host told of.
    pub fn record_check(&mut self, told: u64) {
        self.checked = told;
    }
}
