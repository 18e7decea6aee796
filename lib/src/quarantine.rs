//! Content that crashes backend servers.
//!
//! Each host notes which servers crashed while a content digest was in flight there. The notes are
//! merged by union and reach every host, so all of them come to the same verdict: content seen in
//! the crashes of two servers is refused until its time is over or an operator lifts it.

use std::collections;
use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::refusal;

/// Servers that must have crashed before content is quarantined.
pub const SERVERS_TO_QUARANTINE: usize = 2;
const KEPT_FOR: time::Duration = time::Duration::from_secs(3_600);
const MAX_MARKS: usize = 10_000;

/// What is known about one content digest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashMark {
    /// The digest of the content.
    pub digest: u64,
    /// The servers that crashed while it was in flight.
    pub servers: collections::BTreeSet<ids::Name>,
    /// When the mark ends, in Unix time.
    pub expires: time::Duration,
    /// When the mark changed last, in Unix time.
    pub changed: time::Duration,
    /// Whether an operator lifted it, or it was cleared by a whole answer.
    pub lifted: bool,
}

impl CrashMark {
    /// Returns whether the content is refused.
    pub fn is_quarantined(&self) -> bool {
        self.has_crashed(SERVERS_TO_QUARANTINE)
    }

    fn has_crashed(&self, servers: usize) -> bool {
        !self.lifted && self.servers.len() >= servers
    }
}

/// The marks known at one host. Times are Unix times, since marks travel between hosts.
#[derive(Debug)]
pub struct Table {
    marks: collections::BTreeMap<u64, CrashMark>,
    servers_needed: usize,
}

impl Default for Table {
    fn default() -> Self {
        Self::with_crash_threshold(SERVERS_TO_QUARANTINE)
    }
}

impl Table {
    /// Makes a table that refuses content after the crash of this many servers.
    pub fn with_crash_threshold(servers: usize) -> Self {
        Self {
            marks: collections::BTreeMap::new(),
            servers_needed: servers,
        }
    }

    /// Notes that a server crashed with the content in flight. Returns the mark.
    pub fn record_crash(
        &mut self,
        digest: u64,
        server: &ids::Name,
        unix: time::Duration,
    ) -> CrashMark {
        self.expire(unix);
        let fresh = CrashMark {
            digest,
            servers: collections::BTreeSet::new(),
            expires: unix + KEPT_FOR,
            changed: unix,
            lifted: false,
        };
        let mark = self.marks.entry(digest).or_insert(fresh);
        if mark.lifted {
            mark.lifted = false;
            mark.servers.clear();
        }
        mark.servers.insert(server.clone());
        mark.expires = unix + KEPT_FOR;
        mark.changed = unix;
        mark.clone()
    }

    /// Merges a mark from another host. Returns whether it brought news.
    pub fn merge(&mut self, mark: &CrashMark, unix: time::Duration) -> bool {
        if mark.expires <= unix {
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

    /// Lifts a mark: by an operator, or because a whole answer proves the content innocent. Returns
    /// the lifted mark.
    pub fn lift(&mut self, digest: u64, unix: time::Duration) -> Option<CrashMark> {
        let mark = self.marks.get_mut(&digest)?;
        if mark.lifted {
            return None;
        }
        mark.lifted = true;
        mark.changed = unix.max(mark.changed + time::Duration::from_millis(1));
        Some(mark.clone())
    }

    /// Returns whether the content was in flight at a crash and is not cleared.
    pub fn is_suspect(&self, digest: u64, unix: time::Duration) -> bool {
        let mark = self.marks.get(&digest);
        mark.is_some_and(|mark| !mark.lifted && mark.expires > unix)
    }

    /// Checks whether content may run.
    ///
    /// # Errors
    ///
    /// Refuses quarantined content, naming the servers and the end time.
    pub fn check(&self, digest: u64, unix: time::Duration) -> Result<(), refusal::Refusal> {
        let Some(mark) = self.marks.get(&digest) else {
            return Ok(());
        };
        if !mark.has_crashed(self.servers_needed) || mark.expires <= unix {
            return Ok(());
        }
        let left = mark.expires - unix;
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

    /// Returns marks that changed since the given Unix time, at most `limit`.
    pub fn changed_since(&self, unix: time::Duration, limit: usize) -> Vec<CrashMark> {
        let recent = self.marks.values().filter(|mark| mark.changed >= unix);
        recent.take(limit).cloned().collect()
    }

    fn expire(&mut self, unix: time::Duration) {
        self.marks.retain(|_, mark| mark.expires > unix);
        while self.marks.len() >= MAX_MARKS {
            let oldest = self.marks.values().min_by_key(|mark| mark.changed);
            let Some(digest) = oldest.map(|mark| mark.digest) else {
                return;
            };
            self.marks.remove(&digest);
        }
    }
}
