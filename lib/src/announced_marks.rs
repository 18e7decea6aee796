//! Which crash marks a host includes in its messages to other hosts.
//!
//! A changed mark is included in many messages, since each may be lost.

use std::collections;
use std::time;

use crate::quarantine;

/// How long a changed mark is included in messages.
const ANNOUNCED_FOR: time::Duration = time::Duration::from_secs(5);

/// The marks that were announced, by digest. Times are times since boot.
#[derive(Debug, Default)]
pub struct Announcements {
    /// Number of the newest change in the table that was seen.
    last_change: u64,
    /// Marks that changed: until when they are announced, and in how many messages they have been.
    changed: collections::BTreeMap<u64, (time::Duration, u32)>,
}

impl Announcements {
    /// Chooses the marks for a message: at most `limit` changed ones, those sent least often first.
    pub fn next(
        &mut self,
        table: &quarantine::Table,
        limit: usize,
        now: time::Duration,
    ) -> Vec<quarantine::CrashMark> {
        for (change, mark) in table.changes_after(self.last_change) {
            self.last_change = change;
            self.changed.insert(mark.digest, (now + ANNOUNCED_FOR, 0));
        }
        self.changed
            .retain(|digest, (until, _)| now < *until && table.get(*digest).is_some());
        let mut least_sent: Vec<_> = self
            .changed
            .iter()
            .map(|(digest, (_, sent))| (*sent, *digest))
            .collect();
        least_sent.sort_unstable();
        let digests: Vec<u64> = least_sent
            .into_iter()
            .take(limit)
            .map(|(_, digest)| digest)
            .collect();
        for digest in &digests {
            if let Some((_, sent)) = self.changed.get_mut(digest) {
                *sent += 1;
            }
        }
        let marks = digests.iter().filter_map(|digest| table.get(*digest));
        marks.cloned().collect()
    }
}
