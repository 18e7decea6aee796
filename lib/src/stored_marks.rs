//! Which crash marks a host still has to write to the platform's store.
//!
//! The store is what hosts that start later learn marks from. The host that observed a crash writes it at
//! once. Hosts that heard of it from another host write it if the store still lacks it some time later:
//! the observer may have ended before it could.
//!
//! A crash marks all parts of all prompts in flight. Marks of parts are written only once they list several
//! crashes: a single one decides nothing.

use std::collections;
use std::time;

use crate::quarantine;

/// Time that a host leaves the observer of a crash to write it.
const OBSERVER_TIME: time::Duration = time::Duration::from_secs(1);
/// Time between two attempts to write a mark: the outcome of an attempt is learned by watching the store.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Writes of different hosts that heard of a crash are spread over this time.
const SPREAD: time::Duration = time::Duration::from_secs(1);

/// How a host learned of a change of a mark.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// It observed the crash, or the answer that lifted the mark.
    Observed,
    /// Another host announced it.
    Announced,
}

/// A mark to write to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// The mark to write.
    pub mark: quarantine::CrashMark,
    /// The revision of the store's object to replace; `None` to create it.
    pub replaces: Option<u64>,
}

/// What the store holds, as far as this host knows, and what it lacks. Times are times since boot.
#[derive(Debug, Default)]
pub struct StoredMarks {
    /// The store's marks with the revisions of their objects, by digest.
    stored: collections::BTreeMap<u64, (u64, quarantine::CrashMark)>,
    /// Marks that the store may lack, and when this host is to write them.
    unsaved: collections::BTreeMap<u64, time::Duration>,
}

impl StoredMarks {
    /// Records that a mark changed at this host. `spread` is a random number from 0 to 1.
    pub fn record_change(&mut self, digest: u64, origin: Origin, spread: f64, now: time::Duration) {
        let due = match origin {
            Origin::Observed => now,
            Origin::Announced => now + OBSERVER_TIME + SPREAD.mul_f64(spread),
        };
        let known = self.unsaved.entry(digest).or_insert(due);
        *known = due.min(*known);
    }

    /// Records that a mark was written. The watch of the store brings its revision. The mark remains
    /// unsaved if it has changed since.
    pub fn record_written(&mut self, mark: &quarantine::CrashMark, table: &quarantine::Table) {
        let is_current = |current: &quarantine::CrashMark| mark.includes(current);
        if table.get(mark.digest).is_none_or(is_current) {
            self.unsaved.remove(&mark.digest);
        }
    }

    /// Records the store's version of a mark.
    pub fn record_stored(&mut self, mark: quarantine::CrashMark, revision: u64) {
        let known = self.stored.get(&mark.digest);
        if known.is_none_or(|(known, _)| *known <= revision) {
            self.stored.insert(mark.digest, (revision, mark));
        }
    }

    /// Records that the store has no mark of this content any more.
    pub fn record_removed(&mut self, digest: u64) {
        self.stored.remove(&digest);
    }

    /// Replaces what is known by a complete list of the store's marks and their revisions. Marks of
    /// `table` that the list lacks are to be written.
    pub fn replace_all(
        &mut self,
        listed: Vec<(quarantine::CrashMark, u64)>,
        table: &quarantine::Table,
        spread: f64,
        now: time::Duration,
    ) {
        self.stored.clear();
        for (mark, revision) in listed {
            self.record_stored(mark, revision);
        }
        let unsaved: Vec<u64> = table
            .marks()
            .filter(|mark| needs_write(&self.stored, mark))
            .map(|mark| mark.digest)
            .collect();
        for digest in unsaved {
            self.record_change(digest, Origin::Announced, spread, now);
        }
    }

    /// Returns the next mark to write, those with most crashes first, and schedules another attempt in case
    /// that this one fails.
    pub fn next_write(&mut self, table: &quarantine::Table, now: time::Duration) -> Option<Write> {
        let stored = &self.stored;
        let needs_write = |mark: &quarantine::CrashMark| needs_write(stored, mark);
        self.unsaved
            .retain(|digest, _| table.get(*digest).is_some_and(needs_write));
        let due = self.unsaved.iter().filter(|(_, due)| **due <= now);
        let marks = due.filter_map(|(digest, _)| table.get(*digest));
        let mark = marks.max_by_key(|mark| mark.servers().len())?.clone();
        self.unsaved.insert(mark.digest, now + RETRY_INTERVAL);
        let replaces = self.stored.get(&mark.digest).map(|(revision, _)| *revision);
        Some(Write { mark, replaces })
    }

    /// Returns whether the store lacks any mark of this host.
    pub fn has_unsaved(&self) -> bool {
        !self.unsaved.is_empty()
    }

    /// Returns the digests and revisions of the store's marks that have expired.
    pub fn expired(&self, unix_now: time::Duration) -> Vec<(u64, u64)> {
        let expired = self
            .stored
            .values()
            .filter(|(_, mark)| mark.expires <= unix_now);
        expired
            .map(|(revision, mark)| (mark.digest, *revision))
            .collect()
    }
}

/// Returns whether a mark is to be written to a store that holds these marks.
fn needs_write(
    stored: &collections::BTreeMap<u64, (u64, quarantine::CrashMark)>,
    mark: &quarantine::CrashMark,
) -> bool {
    match stored.get(&mark.digest) {
        Some((_, stored)) => !stored.includes(mark),
        None => mark.part.is_none() || mark.crashes.len() > 1,
    }
}
