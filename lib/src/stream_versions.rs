//! Which software version of its service began a stream.
//!
//! What two versions generate doesn't fit together, so a stream that breaks may only go on at the
//! version that began it. Hosts tell each other of the streams that they begin, since a caller may
//! resume a stream at any host, also after the host that began it has ended.

use std::collections;
use std::sync;
use std::time;

/// Maximum number of streams that are remembered. The oldest are dropped first.
pub const MAX_STREAMS: usize = 100_000;
/// Maximum number of streams that wait to be announced.
const MAX_ANNOUNCED: usize = 4_096;
/// Time from each announcement of a stream to the next one. Any datagram may be lost.
const REPEAT_AFTER: [time::Duration; 3] = [
    time::Duration::from_millis(100),
    time::Duration::from_millis(400),
    time::Duration::from_millis(1_500),
];
/// A record that prolongs a known one by less is the same record, received again.
const MIN_EXTENSION: time::Duration = time::Duration::from_secs(1);

/// Identifies a stream: a digest of the id of the request that brought its first event.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StreamKey(pub u64);

/// The version that began a stream. Times are times since boot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The software version.
    pub version: sync::Arc<str>,
    /// When this host first knew of it.
    pub known_since: time::Duration,
    /// Until when callers may resume the stream.
    pub expires: time::Duration,
}

/// A stream that is to be announced to other hosts.
#[derive(Debug)]
struct Announcement {
    key: StreamKey,
    /// Number of announcements that were made.
    sent: usize,
    due: time::Duration,
}

/// The streams that a host knows of, begun by any host.
#[derive(Debug, Default)]
pub struct StreamVersions {
    records: collections::HashMap<StreamKey, Record>,
    /// The streams in the order in which they were recorded, with their expiry. Those that were prolonged
    /// come once more, with the later expiry.
    order: collections::VecDeque<(StreamKey, time::Duration)>,
    /// The streams of this host that are being announced, oldest first.
    announced: collections::VecDeque<Announcement>,
    /// The versions of all records, which share the strings.
    versions: collections::BTreeSet<sync::Arc<str>>,
}

impl StreamVersions {
    /// Records a stream that this host began or took up, and has it announced. Returns whether that wasn't
    /// known.
    pub fn record_own(
        &mut self,
        key: StreamKey,
        version: &str,
        expires: time::Duration,
        now: time::Duration,
    ) -> bool {
        if !self.insert(key, version, expires, now) {
            return false;
        }
        self.announced.push_back(Announcement {
            key,
            sent: 0,
            due: now,
        });
        if self.announced.len() > MAX_ANNOUNCED {
            self.announced.pop_front();
        }
        true
    }

    /// Records a stream that another host told of. Returns whether that wasn't known.
    pub fn record_received(
        &mut self,
        key: StreamKey,
        version: &str,
        expires: time::Duration,
        now: time::Duration,
    ) -> bool {
        self.insert(key, version, expires, now)
    }

    /// Adds or prolongs a record. Returns whether that changed anything. The version of a stream never
    /// changes, so the first one that was recorded counts.
    fn insert(
        &mut self,
        key: StreamKey,
        version: &str,
        expires: time::Duration,
        now: time::Duration,
    ) -> bool {
        if expires <= now {
            return false;
        }
        self.remove_expired(now);
        match self.records.get_mut(&key) {
            Some(known) if known.expires > now => {
                if expires < known.expires + MIN_EXTENSION || *known.version != *version {
                    return false;
                }
                known.expires = expires;
            }
            _ => {
                let record = Record {
                    version: self.shared_version(version),
                    known_since: now,
                    expires,
                };
                self.records.insert(key, record);
            }
        }
        self.order.push_back((key, expires));
        while self.order.len() > MAX_STREAMS {
            self.remove_oldest();
        }
        true
    }

    /// Returns the string that records of a version share.
    fn shared_version(&mut self, version: &str) -> sync::Arc<str> {
        if let Some(known) = self.versions.get(version) {
            return known.clone();
        }
        self.versions
            .retain(|version| sync::Arc::strong_count(version) > 1);
        let version: sync::Arc<str> = version.into();
        self.versions.insert(version.clone());
        version
    }

    fn remove_expired(&mut self, now: time::Duration) {
        while self.order.front().is_some_and(|(_, until)| *until <= now) {
            self.remove_oldest();
        }
    }

    /// Removes the oldest place in the order, and its record unless that was prolonged.
    fn remove_oldest(&mut self) {
        let Some((key, expires)) = self.order.pop_front() else {
            return;
        };
        if self
            .records
            .get(&key)
            .is_some_and(|record| record.expires <= expires)
        {
            self.records.remove(&key);
        }
    }

    /// Returns what is known of a stream.
    pub fn get(&self, key: StreamKey, now: time::Duration) -> Option<&Record> {
        self.records.get(&key).filter(|record| now < record.expires)
    }

    /// Returns at most `limit` streams of this host that are due to be announced: first those that
    /// weren't yet, each time the newest first.
    pub fn next_announced(
        &mut self,
        limit: usize,
        now: time::Duration,
    ) -> Vec<(StreamKey, Record)> {
        let mut chosen = Vec::new();
        for repeated in [false, true] {
            for announcement in self.announced.iter_mut().rev() {
                if chosen.len() == limit {
                    break;
                }
                if now < announcement.due || repeated != (announcement.sent > 0) {
                    continue;
                }
                let pause = REPEAT_AFTER.get(announcement.sent).copied();
                announcement.sent += 1;
                announcement.due = now + pause.unwrap_or_default();
                let record = self.records.get(&announcement.key);
                if let Some(record) = record.filter(|record| now < record.expires) {
                    chosen.push((announcement.key, record.clone()));
                }
            }
        }
        self.announced
            .retain(|announcement| announcement.sent <= REPEAT_AFTER.len());
        chosen
    }

    /// Returns whether a stream of this host wasn't announced yet.
    pub fn has_unannounced(&self) -> bool {
        self.announced
            .iter()
            .any(|announcement| announcement.sent == 0)
    }

    /// Returns the streams that callers may still resume.
    pub fn keys(&self, now: time::Duration) -> impl Iterator<Item = StreamKey> {
        let current = self.records.iter().filter(move |(_, of)| now < of.expires);
        current.map(|(key, _)| *key)
    }

    /// Returns the number of streams that are remembered.
    pub fn count(&self) -> usize {
        self.records.len()
    }
}
