//! Which begun streams the store is to hold, so that hosts that start after all were killed know the versions
//! that began them.
//!
//! Hosts tell each other of begun streams, but nobody is left to tell once all have ended. While several
//! versions of a service serve, one host of each group stores what the group has begun, some streams at a
//! time. What is stored is never changed: an object is written once, and replaced after all of its streams
//! have expired.
//!
//! Answers this load: a release, in which all hosts end at once while callers read thousands of streams.

use std::collections;
use std::sync;
use std::time;

use crate::stream_versions;

/// Time between two writes of a host. Streams that began within it before all hosts end are lost, and a caller
/// may resume a stream some hundred milliseconds after it began.
const WRITE_SPACING: time::Duration = time::Duration::from_millis(100);
/// Number of groups of hosts up to which each writes as often. More groups share what the store accepts.
const FULL_PACE_GROUPS: u64 = 8;
/// Time after which the next host in line stores what it hasn't heard to be stored: several times what a write
/// and the news of it take.
const TAKEOVER_TIME: time::Duration = time::Duration::from_millis(300);
/// Number of hosts of a group that write in turn. If the store fails, all of them try.
const MAX_WRITERS: u32 = 4;
/// Maximum number of streams in an object: some 80 kB, well below what a store accepts.
const MAX_STREAMS_PER_OBJECT: usize = 4_096;
/// Pause after a failed write. Doubled after each further one, up to `MAX_PAUSE`.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(100);
/// The longest such pause.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(2);
/// Times after a write at which other hosts are told what was stored. Any datagram may be lost.
const ANNOUNCE_AFTER: [time::Duration; 2] =
    [time::Duration::ZERO, time::Duration::from_millis(120)];
/// How often streams that have expired are dropped.
const EXPIRY_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time between two looks for objects that can be replaced, while the host writes.
const LIST_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// How much longer than its streams an object is kept. Clocks of hosts differ.
const MARGIN: time::Duration = time::Duration::from_secs(30);
/// How long a record counts at most at the host that read it: longer than any caller waits.
const MAX_RETENTION: time::Duration = time::Duration::from_secs(68);

/// The streams that are written to an object together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Batch {
    /// The streams that each version began.
    pub by_version: collections::BTreeMap<sync::Arc<str>, Vec<stream_versions::StreamKey>>,
    /// When the last of them expires, as time since boot.
    pub expires: time::Duration,
    /// The object to replace, whose streams have expired; `None` to create one.
    pub replaces: Option<Replaceable>,
}

impl Batch {
    /// Returns the streams of all versions.
    pub fn streams(&self) -> impl Iterator<Item = stream_versions::StreamKey> {
        self.by_version.values().flatten().copied()
    }
}

/// An object of the store whose streams have expired.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replaceable {
    /// Its name.
    pub name: sync::Arc<str>,
    /// Its revision.
    pub revision: u64,
}

/// What a host knows of the streams that the store holds. Times are times since boot.
#[derive(Debug, Default)]
pub struct StreamRecords {
    /// Whether streams are stored at present.
    needed: bool,
    /// The streams that no host is known to have stored, with the time at which this one first knew of each.
    unsaved: collections::BTreeMap<stream_versions::StreamKey, time::Duration>,
    /// Streams that this host stored, when the other hosts are to be told, and how often they were.
    announced: collections::VecDeque<(stream_versions::StreamKey, time::Duration, usize)>,
    next_write_at: time::Duration,
    next_expiry_at: time::Duration,
    next_list_at: time::Duration,
    pause: time::Duration,
    replaceable: Vec<Replaceable>,
}

impl StreamRecords {
    /// Starts or stops storing. Streams are stored while several versions of a service count as served; then
    /// those that began before are stored, too.
    pub fn set_needed(
        &mut self,
        needed: bool,
        known: &stream_versions::StreamVersions,
        now: time::Duration,
    ) {
        if needed == self.needed {
            return;
        }
        self.needed = needed;
        self.unsaved.clear();
        if needed {
            self.unsaved.extend(known.keys(now).map(|key| (key, now)));
        }
    }

    /// Has all known streams stored once more, if any are stored, as the store may have lost them. Its objects have
    /// other revisions then.
    pub fn record_store_loss(
        &mut self,
        known: &stream_versions::StreamVersions,
        now: time::Duration,
    ) {
        self.replaceable.clear();
        if self.needed {
            self.unsaved.extend(known.keys(now).map(|key| (key, now)));
        }
    }

    /// Returns whether streams are stored at present.
    pub fn is_needed(&self) -> bool {
        self.needed
    }

    /// Records that a stream began, or may be resumed for longer than was known.
    pub fn record_begun(&mut self, key: stream_versions::StreamKey, now: time::Duration) {
        if self.needed {
            self.unsaved.entry(key).or_insert(now);
        }
    }

    /// Records that another host stored streams.
    pub fn record_saved_elsewhere(&mut self, keys: &[stream_versions::StreamKey]) {
        for key in keys {
            self.unsaved.remove(key);
        }
    }

    /// Returns what this host has to write now. `rank` is the number of hosts of its group that come before it,
    /// and `groups` the number of groups.
    pub fn next_batch(
        &mut self,
        known: &stream_versions::StreamVersions,
        rank: u32,
        groups: u64,
        now: time::Duration,
    ) -> Option<Batch> {
        if now >= self.next_expiry_at {
            self.next_expiry_at = now + EXPIRY_INTERVAL;
            self.unsaved.retain(|key, _| known.get(*key, now).is_some());
        }
        if !self.needed || rank >= MAX_WRITERS || now < self.next_write_at {
            return None;
        }
        let wait = TAKEOVER_TIME * rank;
        let due = self
            .unsaved
            .iter()
            .filter(|(_, since)| **since + wait <= now);
        let due = due.filter_map(|(key, _)| Some((*key, known.get(*key, now)?)));
        let mut batch = Batch {
            by_version: collections::BTreeMap::new(),
            expires: time::Duration::ZERO,
            replaces: None,
        };
        for (key, record) in due.take(MAX_STREAMS_PER_OBJECT) {
            let streams = batch.by_version.entry(record.version.clone()).or_default();
            streams.push(key);
            batch.expires = batch.expires.max(record.expires);
        }
        if batch.by_version.is_empty() {
            return None;
        }
        batch.replaces = self.replaceable.pop();
        let spacing = WRITE_SPACING.mul_f64((groups as f64 / FULL_PACE_GROUPS as f64).max(1.0));
        self.next_write_at = now + spacing;
        Some(batch)
    }

    /// Records that the store accepted a batch.
    pub fn record_written(&mut self, batch: &Batch, now: time::Duration) {
        self.pause = time::Duration::ZERO;
        for key in batch.streams() {
            self.unsaved.remove(&key);
            self.announced.push_back((key, now + ANNOUNCE_AFTER[0], 0));
        }
    }

    /// Records that a write failed. It may have been carried out; the streams are written again, to another object.
    pub fn record_failure(&mut self, now: time::Duration) {
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
        self.next_write_at = now + self.pause;
    }

    /// Returns whether objects to replace are to be looked for. The host then does so, and none are due for a time.
    pub fn is_list_due(&mut self, now: time::Duration) -> bool {
        let is_due = self.needed && self.replaceable.is_empty() && now >= self.next_list_at;
        if is_due {
            self.next_list_at = now + LIST_INTERVAL;
        }
        is_due
    }

    /// Records the objects whose streams have expired.
    pub fn record_replaceable(&mut self, replaceable: Vec<Replaceable>) {
        self.replaceable = replaceable;
    }

    /// Returns at most `limit` streams of which the other hosts are to be told that they are stored.
    pub fn next_announced(
        &mut self,
        limit: usize,
        now: time::Duration,
    ) -> Vec<stream_versions::StreamKey> {
        let mut chosen = Vec::new();
        for (key, due, sent) in &mut self.announced {
            if chosen.len() == limit {
                break;
            }
            if now < *due {
                continue;
            }
            chosen.push(*key);
            *sent += 1;
            *due = now + ANNOUNCE_AFTER.get(*sent).copied().unwrap_or_default();
        }
        self.announced
            .retain(|(_, _, sent)| *sent < ANNOUNCE_AFTER.len());
        chosen
    }

    /// Returns whether the other hosts are to be told of stored streams now.
    pub fn has_announcement(&self, now: time::Duration) -> bool {
        self.announced.iter().any(|(_, due, _)| *due <= now)
    }

    /// Returns the number of streams that no host is known to have stored.
    pub fn count_unsaved(&self) -> usize {
        self.unsaved.len()
    }
}

/// Returns how long what an object holds counts, if its streams expire at the Unix time `expires`; `None` if it
/// can be replaced.
pub fn counts_for(expires: time::Duration, unix_now: time::Duration) -> Option<time::Duration> {
    let left = (expires + MARGIN).saturating_sub(unix_now);
    // The clock of the host that wrote it may be ahead.
    (!left.is_zero()).then(|| left.min(MAX_RETENTION))
}
