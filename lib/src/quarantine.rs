//! Content that crashes backend servers.
//!
//! Each host records, as crash marks, which servers crashed while content with a given digest was
//! in flight there. Marks are passed on to every host and merged, so that all hosts reach the same
//! decision: content that was in flight at the crashes of two servers (or of another number that the
//! table was created with) is refused until its mark expires or is lifted. An operator or a complete
//! answer lifts a mark.
//!
//! A mark is of content from one caller, or of a part of requests from any. Which parts are to blame follows from all of their marks
//! together, see `part_blame`.
//!
//! A mark is an observed-remove set of crashes: a lift clears the crashes that its host knows of, and
//! no others. Merging therefore needs no clock, and its result doesn't depend on the order.

use std::collections;
use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::clock;
use crate::ids;
use crate::part_blame;
use crate::refusal;

/// Number of different servers that must have crashed before content is quarantined.
pub const SERVERS_TO_QUARANTINE: usize = 2;
/// Time after the last crash at which a mark expires.
const MARK_LIFETIME: time::Duration = time::Duration::from_secs(3_600);
/// Maximum number of marks kept at one host. Beyond it, a mark that the host makes itself, or one of several
/// crashes, replaces the one that expires first, and other marks from other hosts are ignored.
const MAX_MARKS: usize = 10_000;

/// Maximum number of crashes, and of cleared ones, that the mark of content lists: twice the highest threshold.
const MAX_CRASHES: usize = 6;
/// The same maximum for the mark of a part. With it, four marks fit into a news message.
const MAX_PART_CRASHES: usize = 12;
/// Crashes of a server within this time are one, seen by several requests. A server that crashed stays
/// unreachable for longer than that, so it can't have crashed twice.
const SAME_CRASH_WINDOW: time::Duration = time::Duration::from_secs(1);

/// The crash of a server, as one host observed it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Crash {
    /// When it was observed, in Unix time by the clock of the host. Only tells the crashes of a server
    /// apart.
    pub at: time::Duration,
    /// The server that crashed.
    pub server: ids::Name,
}

/// What part of requests a mark is of.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum PartKind {
    /// A part of prompts, which other prompts share.
    #[default]
    Prompt,
    /// All that is asked for: the target with or without its query, and the body. The same request comes again from
    /// other callers.
    Content,
}

impl PartKind {
    fn is_prompt(&self) -> bool {
        *self == Self::Prompt
    }
}

/// What is known of a part of requests besides the crashes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartEvidence {
    /// What part it is.
    #[serde(default, skip_serializing_if = "PartKind::is_prompt")]
    pub kind: PartKind,
    /// Number of answers to requests with the part, as far as any one host knows, rounded down to a power of two.
    pub answers: u64,
    /// The crashed servers that had a request with the part on trial.
    pub trials: collections::BTreeSet<ids::Name>,
}

impl PartEvidence {
    fn merge(&mut self, other: &Self) {
        self.kind = self.kind.max(other.kind);
        self.answers = self.answers.max(other.answers);
        self.trials.extend(other.trials.iter().cloned());
    }
}

/// The crashes that happened while content with one digest, or requests with one part, were in flight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashMark {
    /// The digest of the content, or of the part.
    pub digest: u64,
    /// Set if the mark is of a part. Its crashes are those of processes, which crash once: their times are zero, so
    /// that all hosts record the same.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<PartEvidence>,
    /// The crashes that count.
    pub crashes: collections::BTreeSet<Crash>,
    /// The crashes that don't count any more, because the mark was lifted after them.
    pub cleared: collections::BTreeSet<Crash>,
    /// When the mark expires, in Unix time.
    pub expires: time::Duration,
}

impl CrashMark {
    /// Returns the servers whose crashes count.
    pub fn servers(&self) -> collections::BTreeSet<&ids::Name> {
        self.crashes.iter().map(|crash| &crash.server).collect()
    }

    /// Returns whether the mark was lifted after all of its crashes, by an operator or by a complete
    /// answer.
    pub fn is_lifted(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns whether [`SERVERS_TO_QUARANTINE`] servers crashed and the mark is not lifted.
    pub fn is_quarantined(&self) -> bool {
        self.crashed_at_least(SERVERS_TO_QUARANTINE)
    }

    /// Returns when a server crashed last, in Unix time.
    pub fn last_crash(&self) -> time::Duration {
        self.expires.saturating_sub(MARK_LIFETIME)
    }

    fn crashed_at_least(&self, servers: usize) -> bool {
        self.servers().len() >= servers
    }

    /// Returns whether merging `other` into this mark would change nothing.
    pub fn includes(&self, other: &Self) -> bool {
        let mut merged = self.clone();
        merged.merge(other);
        merged == *self
    }

    /// Adds the crashes and lifts of another mark of the same content.
    fn merge(&mut self, other: &Self) {
        self.cleared.extend(other.cleared.iter().cloned());
        self.crashes.extend(other.crashes.iter().cloned());
        let cleared = &self.cleared;
        self.crashes.retain(|crash| !cleared.contains(crash));
        self.expires = self.expires.max(other.expires);
        let max_crashes = match self.part {
            Some(_) => MAX_PART_CRASHES,
            None => MAX_CRASHES,
        };
        limit_size(&mut self.crashes, max_crashes);
        limit_size(&mut self.cleared, max_crashes);
        if let Some(other) = &other.part {
            let evidence = self.part.get_or_insert_default();
            evidence.merge(other);
            let crashes = &self.crashes;
            evidence
                .trials
                .retain(|server| crashes.iter().any(|crash| crash.server == *server));
        }
    }
}

/// Removes crashes until at most `max_crashes` are left. Those of the server with most crashes go
/// first, so that the number of servers shrinks last.
fn limit_size(crashes: &mut collections::BTreeSet<Crash>, max_crashes: usize) {
    while crashes.len() > max_crashes {
        let count = |server: &ids::Name| crashes.iter().filter(|c| c.server == *server).count();
        let Some(oldest) = crashes.iter().rev().max_by_key(|c| count(&c.server)) else {
            return;
        };
        let oldest = oldest.clone();
        crashes.remove(&oldest);
    }
}

/// The marks known at one host. Times are Unix times, since marks travel between hosts.
#[derive(Debug)]
pub struct Table {
    marks: collections::BTreeMap<u64, CrashMark>,
    crash_threshold: usize,
    /// The number of the last change of each mark, and the marks by these numbers.
    change_of: collections::BTreeMap<u64, u64>,
    changes: collections::BTreeMap<u64, u64>,
    last_change: u64,
    /// Which parts are to blame, by the marks; `None` if a mark of a part has changed since that was found out.
    blame: Option<part_blame::Blame>,
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
            change_of: collections::BTreeMap::new(),
            changes: collections::BTreeMap::new(),
            last_change: 0,
            blame: None,
        }
    }

    /// Gives the mark's change the next number.
    fn record_change(&mut self, digest: u64) {
        self.discard_blame(digest);
        self.last_change += 1;
        self.changes.insert(self.last_change, digest);
        if let Some(earlier) = self.change_of.insert(digest, self.last_change) {
            self.changes.remove(&earlier);
        }
    }

    /// Has it found out anew which parts are to blame, if the mark is of a part.
    fn discard_blame(&mut self, digest: u64) {
        let mark = self.marks.get(&digest);
        if mark.is_some_and(|mark| mark.part.is_some()) {
            self.blame = None;
        }
    }

    fn remove(&mut self, digest: u64) {
        self.discard_blame(digest);
        self.marks.remove(&digest);
        if let Some(change) = self.change_of.remove(&digest) {
            self.changes.remove(&change);
        }
    }

    /// Returns the marks with a change to announce whose number is higher than `after`, each with the number
    /// of its last one. Changes are numbered in the order in which they are made here, starting at 1.
    pub fn changes_after(&self, after: u64) -> impl Iterator<Item = (u64, &CrashMark)> {
        let newer = self.changes.range(after.saturating_add(1)..);
        newer.filter_map(|(change, digest)| Some((*change, self.marks.get(digest)?)))
    }

    /// Records that a server crashed with the content in flight. Returns the mark.
    pub fn record_crash(
        &mut self,
        digest: u64,
        server: &ids::Name,
        unix_now: time::Duration,
    ) -> CrashMark {
        // Messages and the store have whole milliseconds.
        let unix_now = time::Duration::from_millis(clock::millis(unix_now));
        let is_same = |crash: &Crash| {
            crash.server == *server && crash.at.abs_diff(unix_now) < SAME_CRASH_WINDOW
        };
        let known = self.marks.get(&digest);
        let is_known = known.is_some_and(|mark| mark.crashes.iter().any(is_same));
        let observed = CrashMark {
            digest,
            part: None,
            crashes: collections::BTreeSet::from([Crash {
                at: unix_now,
                server: server.clone(),
            }]),
            cleared: collections::BTreeSet::new(),
            expires: unix_now + MARK_LIFETIME,
        };
        match known {
            Some(known) if is_known => {
                let mark = known.clone();
                self.record_change(digest);
                mark
            }
            _ => self.record_observed(observed, unix_now),
        }
    }

    /// Records that a server process crashed just after it began an answer to a request with the part, and that this
    /// host knows of a number of answers to such requests. `on_trial` states whether the part was suspected when the
    /// request was sent. Returns the mark.
    pub fn record_part_crash(
        &mut self,
        (digest, kind): (u64, PartKind),
        server: &ids::Name,
        answers: u64,
        on_trial: bool,
        unix_now: time::Duration,
    ) -> CrashMark {
        let unix_now = time::Duration::from_millis(clock::millis(unix_now));
        let is_same = |crash: &Crash| crash.server == *server;
        if let Some(known) = self.marks.get(&digest)
            && known.crashes.iter().chain(&known.cleared).any(is_same)
            && !on_trial
        {
            return known.clone();
        }
        let observed = CrashMark {
            digest,
            part: Some(PartEvidence {
                kind,
                answers: answers.checked_ilog2().map_or(0, |log| 1 << log),
                trials: on_trial.then(|| server.clone()).into_iter().collect(),
            }),
            crashes: collections::BTreeSet::from([Crash {
                at: time::Duration::ZERO,
                server: server.clone(),
            }]),
            cleared: collections::BTreeSet::new(),
            expires: unix_now + MARK_LIFETIME,
        };
        self.record_observed(observed, unix_now)
    }

    fn record_observed(&mut self, observed: CrashMark, unix_now: time::Duration) -> CrashMark {
        let digest = observed.digest;
        if !self.marks.contains_key(&digest) {
            self.make_room(unix_now);
        }
        let mark = self.marks.entry(digest).or_insert_with(|| observed.clone());
        mark.merge(&observed);
        let mark = mark.clone();
        self.record_change(digest);
        mark
    }

    /// Merges a mark from another host, to be announced by this one as well. Returns whether this changed
    /// anything here.
    pub fn merge(&mut self, mark: &CrashMark, unix_now: time::Duration) -> bool {
        let changed = self.merge_shared(mark, unix_now);
        if changed {
            self.record_change(mark.digest);
        }
        changed
    }

    /// Merges a mark that the other hosts get from the same source, so that this one needn't announce it.
    /// Returns whether this changed anything here.
    pub fn merge_shared(&mut self, mark: &CrashMark, unix_now: time::Duration) -> bool {
        if mark.expires <= unix_now {
            return false;
        }
        let Some(known) = self.marks.get_mut(&mark.digest) else {
            if self.marks.len() >= MAX_MARKS {
                if mark.servers().len() < 2 {
                    return false;
                }
                self.make_room(unix_now);
            }
            self.marks.insert(mark.digest, mark.clone());
            self.discard_blame(mark.digest);
            return true;
        };
        if known.includes(mark) {
            return false;
        }
        known.merge(mark);
        self.discard_blame(mark.digest);
        true
    }

    /// Lifts a mark: on an operator's request, or because a complete answer shows that the content
    /// doesn't crash servers. Returns the mark, or `None` if there is none to lift.
    pub fn lift(&mut self, digest: u64) -> Option<CrashMark> {
        let mark = self.marks.get_mut(&digest)?;
        if mark.is_lifted() {
            return None;
        }
        let cleared = CrashMark {
            cleared: std::mem::take(&mut mark.crashes),
            ..mark.clone()
        };
        mark.merge(&cleared);
        let mark = mark.clone();
        self.record_change(digest);
        Some(mark)
    }

    /// Returns whether the content was in flight at a crash and its mark is neither lifted nor
    /// expired.
    pub fn is_suspect(&self, digest: u64, unix_now: time::Duration) -> bool {
        let mark = self.marks.get(&digest);
        mark.is_some_and(|mark| !mark.is_lifted() && mark.expires > unix_now)
    }

    /// Returns whether content may not run. Unlike [`Self::check`], doesn't explain why.
    pub fn refuses(&self, digest: u64, unix_now: time::Duration) -> bool {
        let mark = self.marks.get(&digest);
        mark.is_some_and(|mark| self.is_refused(mark) && mark.expires > unix_now)
    }

    /// Returns whether content may not run once `suspected` more servers turn out to have crashed by it.
    pub fn refuses_with(&self, digest: u64, suspected: usize, unix_now: time::Duration) -> bool {
        let mark = self.marks.get(&digest);
        let unexpired = mark.filter(|mark| mark.expires > unix_now);
        let crashed = unexpired.map_or(0, |mark| mark.servers().len());
        crashed + suspected >= self.crash_threshold
    }

    /// Returns whether a mark lists enough crashes for its content to be refused.
    pub fn is_refused(&self, mark: &CrashMark) -> bool {
        mark.crashed_at_least(self.crash_threshold)
    }

    /// Checks whether content may run.
    ///
    /// # Errors
    ///
    /// Refuses quarantined content, naming the servers and the remaining time.
    pub fn check(&self, digest: u64, unix_now: time::Duration) -> Result<(), refusal::Refusal> {
        let mark = match self.marks.get(&digest) {
            Some(mark) if self.refuses(digest, unix_now) => mark,
            _ => return Ok(()),
        };
        let left = mark.expires - unix_now;
        let servers: Vec<&str> = mark.servers().into_iter().map(|name| &**name).collect();
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

    /// Judges a prompt by the marks of its parts.
    pub fn judge_parts(&mut self, parts: &[u64], unix_now: time::Duration) -> part_blame::Verdict {
        self.blame(unix_now).judge(parts, unix_now)
    }

    /// Returns what is held against parts.
    pub fn blame(&mut self, unix_now: time::Duration) -> &part_blame::Blame {
        let marks = self.marks.values();
        let unexpired = marks.filter(|mark| mark.expires > unix_now);
        self.blame
            .get_or_insert_with(|| part_blame::Blame::new(unexpired))
    }

    /// Returns all marks.
    pub fn marks(&self) -> impl Iterator<Item = &CrashMark> {
        self.marks.values()
    }

    /// Returns the mark of content with a digest, expired ones included.
    pub fn get(&self, digest: u64) -> Option<&CrashMark> {
        self.marks.get(&digest)
    }

    /// Removes the marks that have expired and returns their digests.
    pub fn expire(&mut self, unix_now: time::Duration) -> Vec<u64> {
        let expired = self.marks.values().filter(|mark| mark.expires <= unix_now);
        let digests: Vec<u64> = expired.map(|mark| mark.digest).collect();
        for digest in &digests {
            self.remove(*digest);
        }
        digests
    }

    /// Removes expired marks and, while the table is full, the ones that expire first.
    fn make_room(&mut self, unix_now: time::Duration) {
        self.expire(unix_now);
        while self.marks.len() >= MAX_MARKS {
            let oldest = self.marks.values().min_by_key(|mark| mark.expires);
            let Some(digest) = oldest.map(|mark| mark.digest) else {
                return;
            };
            self.remove(digest);
        }
    }
}
