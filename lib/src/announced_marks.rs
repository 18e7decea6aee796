//! Which crash marks a host includes in its messages to other hosts.
//!
//! A changed mark is included in several messages, since each may be lost. Afterwards all marks are
//! repeated in turn, a few per second, because a host may have missed the change: it was paused, cut off,
//! or not started yet.

use std::collections;
use std::time;

use crate::quarantine;

/// How long a changed mark is included in messages.
const ANNOUNCED_FOR: time::Duration = time::Duration::from_secs(5);
/// Time between two repetitions. With 60 bytes a mark and 95 receivers they take 12 kB/s.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// How long a mark isn't repeated after it was sent.
const MIN_AGE: time::Duration = time::Duration::from_secs(1);

/// The marks that were announced, by digest. Times are times since boot.
#[derive(Debug, Default)]
pub struct Announcements {
    /// Number of the newest change in the table that was seen.
    last_change: u64,
    /// Marks that changed, and until when they are announced.
    changed: collections::BTreeMap<u64, time::Duration>,
    /// When each mark was last included in a message.
    sent_at: collections::BTreeMap<u64, time::Duration>,
    repeated_at: time::Duration,
    /// Whether the last repetition was for marks whose content is refused.
    prefer_refused: bool,
}

impl Announcements {
    /// Chooses the marks for a message: at most `limit` changed ones, first those of suspected parts, which concern most
    /// requests, and then those not sent for longest. If
    /// there is room and a repetition is due, adds one more. `spacing` is the shortest time between two
    /// messages with the same changed mark; it is zero if each message goes to one host only.
    pub fn next(
        &mut self,
        table: &quarantine::Table,
        limit: usize,
        spacing: time::Duration,
        now: time::Duration,
    ) -> Vec<quarantine::CrashMark> {
        for (change, mark) in table.changes_after(self.last_change) {
            self.last_change = change;
            self.changed.insert(mark.digest, now + ANNOUNCED_FOR);
            self.sent_at.remove(&mark.digest);
        }
        self.changed
            .retain(|digest, until| now < *until && table.get(*digest).is_some());
        let mut due: Vec<_> = self
            .changed
            .keys()
            .map(|digest| {
                (
                    !is_suspected_part(table, *digest),
                    self.last_sent(*digest),
                    *digest,
                )
            })
            .filter(|(_, sent_at, _)| now.saturating_sub(*sent_at) >= spacing)
            .collect();
        due.sort_unstable();
        due.truncate(limit);
        let mut digests: Vec<u64> = due.into_iter().map(|(.., digest)| digest).collect();
        for digest in &digests {
            self.sent_at.insert(*digest, now);
        }
        if digests.len() < limit && now.saturating_sub(self.repeated_at) >= REPEAT_INTERVAL {
            self.repeated_at = now;
            let repeated = self.next_repeated(table, now);
            self.sent_at.extend(repeated.map(|digest| (digest, now)));
            digests.extend(repeated);
        }
        let marks = digests.iter().filter_map(|digest| table.get(*digest));
        marks.cloned().collect()
    }

    /// Chooses the mark to repeat: the one that wasn't sent for longest, every other time of those whose
    /// content is refused, and of these first parts of prompts.
    fn next_repeated(&mut self, table: &quarantine::Table, now: time::Duration) -> Option<u64> {
        self.sent_at
            .retain(|digest, _| table.get(*digest).is_some());
        self.prefer_refused = !self.prefer_refused;
        let candidates = table.marks().filter_map(|mark| {
            let sent_at = self.last_sent(mark.digest);
            let is_due = now.saturating_sub(sent_at) >= MIN_AGE;
            let rank = match (self.prefer_refused, table.is_refused(mark)) {
                (false, _) => 0,
                (true, true) => u8::from(mark.part.is_none()),
                (true, false) => 2,
            };
            is_due.then_some((rank, sent_at, mark.digest))
        });
        candidates.min().map(|(.., digest)| digest)
    }

    fn last_sent(&self, digest: u64) -> time::Duration {
        self.sent_at.get(&digest).copied().unwrap_or_default()
    }
}

/// Returns whether a mark is of a part with several crashes.
fn is_suspected_part(table: &quarantine::Table, digest: u64) -> bool {
    let mark = table.get(digest);
    mark.is_some_and(|mark| mark.part.is_some() && mark.crashes.len() > 1)
}
