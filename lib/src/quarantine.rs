//! Content that crashes backend servers.
//!
//! Each host records, as crash marks, which servers crashed while content with a given digest was
//! in flight there. Marks are passed on to every host and merged by union, so that all hosts reach
//! the same decision: content that was in flight at the crashes of two servers (or of another
//! number that the table was created with) is refused until its mark expires or is lifted. An operator or a complete
//! answer lifts a mark.

use std::collections;
use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::refusal;

/// Number of different servers that must have crashed before content is quarantined.
pub const SERVERS_TO_QUARANTINE: usize = 2;
/// Time after the last crash at which a mark expires.
const MARK_LIFETIME: time::Duration = time::Duration::from_secs(3_600);
/// Maximum number of marks kept at one host. Beyond it, a mark that the host makes itself replaces the
/// one that was unchanged for longest, and new marks from other hosts are ignored.
const MAX_MARKS: usize = 10_000;

/// The crashes that happened while content with one digest was in flight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashMark {
    /// The digest of the content.
    pub digest: u64,
    /// The servers that crashed while it was in flight.
    pub servers: collections::BTreeSet<ids::Name>,
    /// When the mark expires, in Unix time.
    pub expires: time::Duration,
    /// When the mark changed last, in Unix time.
    pub changed: time::Duration,
    /// Whether the mark was lifted, by an operator or by a complete answer.
    pub lifted: bool,
}

impl CrashMark {
    /// Returns whether [`SERVERS_TO_QUARANTINE`] servers crashed and the mark is not lifted.
    pub fn is_quarantined(&self) -> bool {
        self.crashed_at_least(SERVERS_TO_QUARANTINE)
    }

    fn crashed_at_least(&self, servers: usize) -> bool {
        !self.lifted && self.servers.len() >= servers
    }
}

/// The marks known at one host. Times are Unix times, since marks travel between hosts.
#[derive(Debug)]
pub struct Table {
    marks: collections::BTreeMap<u64, CrashMark>,
    crash_threshold: usize,
}

impl Default for Table {
    fn default() -> Self {
        Self::with_crash_threshold(SERVERS_TO_QUARANTINE)
    }
}

impl Table {
    /// Creates a table that refuses content after this many different servers crashed.
    pub fn with_crash_threshold(servers: usize) -> Self {
        Self {
            marks: collections::BTreeMap::new(),
            crash_threshold: servers,
        }
    }

    /// Records that a server crashed with the content in flight. Crashes from before the mark was
    /// lifted no longer count. Returns the mark.
    pub fn record_crash(
        &mut self,
        digest: u64,
        server: &ids::Name,
        unix_now: time::Duration,
    ) -> CrashMark {
        self.make_room(unix_now);
        let new_mark = CrashMark {
            digest,
            servers: collections::BTreeSet::new(),
            expires: unix_now + MARK_LIFETIME,
            changed: unix_now,
            lifted: false,
        };
        let mark = self.marks.entry(digest).or_insert(new_mark);
        if mark.lifted {
            mark.lifted = false;
            mark.servers.clear();
        }
        mark.servers.insert(server.clone());
        mark.expires = unix_now + MARK_LIFETIME;
        mark.changed = unix_now;
        mark.clone()
    }

    /// Merges a mark from another host. Returns whether this changed anything here.
    pub fn merge(&mut self, mark: &CrashMark, unix_now: time::Duration) -> bool {
        if mark.expires <= unix_now {
            return false;
        }
        let Some(known) = self.marks.get_mut(&mark.digest) else {
            if self.marks.len() >= MAX_MARKS {
                return false;
            }
            self.marks.insert(mark.digest, mark.clone());
            return true;
        };
        if known.lifted != mark.lifted {
            if mark.changed > known.changed {
                *known = mark.clone();
                return true;
            }
            return false;
        }
        let before = (known.servers.len(), known.changed);
        known.servers.extend(mark.servers.iter().cloned());
        known.expires = known.expires.max(mark.expires);
        known.changed = known.changed.max(mark.changed);
        before != (known.servers.len(), known.changed)
    }

    /// Lifts a mark: on an operator's request, or because a complete answer shows that the content
    /// doesn't crash servers. Returns the mark, or `None` if there is none to lift.
    pub fn lift(&mut self, digest: u64, unix_now: time::Duration) -> Option<CrashMark> {
        let mark = self.marks.get_mut(&digest)?;
        if mark.lifted {
            return None;
        }
        mark.lifted = true;
        mark.changed = unix_now.max(mark.changed + time::Duration::from_millis(1));
        Some(mark.clone())
    }

    /// Returns whether the content was in flight at a crash and its mark is neither lifted nor
    /// expired.
    pub fn is_suspect(&self, digest: u64, unix_now: time::Duration) -> bool {
        let mark = self.marks.get(&digest);
        mark.is_some_and(|mark| !mark.lifted && mark.expires > unix_now)
    }

    /// Checks whether content may run.
    ///
    /// # Errors
    ///
    /// Refuses quarantined content, naming the servers and the remaining time.
    pub fn check(&self, digest: u64, unix_now: time::Duration) -> Result<(), refusal::Refusal> {
        let Some(mark) = self.marks.get(&digest) else {
            return Ok(());
        };
        if !mark.crashed_at_least(self.crash_threshold) || mark.expires <= unix_now {
            return Ok(());
        }
        let left = mark.expires - unix_now;
        let servers: Vec<&str> = mark.servers.iter().map(|name| &**name).collect();
        let message = format!(
            "content {digest:016x} was in flight when backend servers {} crashed; it is refused for \
             another {} s unless an operator lifts it",
            servers.join(", "),
            left.as_secs()
        );
        Err(refusal::Refusal::not_run(
            refusal::Code::Quarantined,
            message,
        ))
    }

    /// Returns all marks.
    pub fn marks(&self) -> impl Iterator<Item = &CrashMark> {
        self.marks.values()
    }

    /// Returns marks that changed at or after the given Unix time, at most `limit`.
    pub fn changed_since(&self, since: time::Duration, limit: usize) -> Vec<CrashMark> {
        let recent = self.marks.values().filter(|mark| mark.changed >= since);
        recent.take(limit).cloned().collect()
    }

    /// Removes expired marks and, while the table is full, the marks unchanged for longest.
    fn make_room(&mut self, unix_now: time::Duration) {
        self.marks.retain(|_, mark| mark.expires > unix_now);
        while self.marks.len() >= MAX_MARKS {
            let oldest = self.marks.values().min_by_key(|mark| mark.changed);
            let Some(digest) = oldest.map(|mark| mark.digest) else {
                return;
            };
            self.marks.remove(&digest);
        }
    }
}
