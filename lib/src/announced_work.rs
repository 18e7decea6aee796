//! What a host has told the other hosts of its work, to tell them only what changed since.
//!
//! Designed for this load: dozens of hosts, each of which begins and ends several runs a second and tells all
//! others. Whole states would be most of the traffic between hosts.

use std::collections;

/// The numbers of the runs, or of the prefills, of which the other hosts were told last.
#[derive(Debug, Default)]
pub struct AnnouncedWork(collections::BTreeSet<u64>);

/// The difference between two announcements.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Difference {
    /// Numbers that are new.
    pub added: collections::BTreeSet<u64>,
    /// Numbers that aren't there any more.
    pub ended: Vec<u64>,
}

impl AnnouncedWork {
    /// Records the numbers that are announced now, and returns how they differ from those before.
    pub fn announce(&mut self, numbers: impl IntoIterator<Item = u64>) -> Difference {
        let current: collections::BTreeSet<u64> = numbers.into_iter().collect();
        let difference = Difference {
            added: current.difference(&self.0).copied().collect(),
            ended: self.0.difference(&current).copied().collect(),
        };
        self.0 = current;
        difference
    }
}
