//! Which software versions of each service have served recently.
//!
//! If a single version has served for as long as any caller waits, each stream that may be resumed began at
//! that version. A version serves while a server of it is listed, draining or not.
//!
//! A host that has just started knows what is listed, but not what was listed before. It reads that from
//! the platform's store, where hosts record the versions that appear and disappear.

use std::collections;
use std::sync;
use std::time;

use crate::backends;

/// How long streams may be resumed after they began: longer than any caller waits.
pub const RETENTION: time::Duration = time::Duration::from_secs(60);
/// How much longer a version counts as served. Clocks of hosts differ, and a server goes on serving for a
/// moment after its entry is gone.
const MARGIN: time::Duration = time::Duration::from_secs(8);
/// The same for times that another host stored: its clock may be slow.
const STORED_MARGIN: time::Duration = time::Duration::from_secs(30);
/// How old this host's view of the servers may be if other hosts would tell of versions that it lacks: longer
/// than a watch call waits for a change.
const MAX_VIEW_AGE: time::Duration = time::Duration::from_secs(30);
/// How old it may be if this host hears from no other host. Servers renew their entries more often.
const MAX_VIEW_AGE_ALONE: time::Duration = time::Duration::from_secs(4);
/// Time before the disappearance of a version is stored. A server that starts again takes less.
const GONE_DELAY: time::Duration = time::Duration::from_secs(5);
/// Shortest time between two messages to other hosts that name the listed versions.
const ANNOUNCEMENT_SPACING: time::Duration = time::Duration::from_millis(400);
/// Time between two attempts to store a version.
const RETRY_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// How long the store keeps versions that are gone.
const STORED_FOR: time::Duration = time::Duration::from_secs(3_600);

/// A software version of a service.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServiceVersion {
    /// The service.
    pub service: sync::Arc<str>,
    /// The version.
    pub version: sync::Arc<str>,
}

/// What the store says of a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stored {
    /// The version.
    pub of: ServiceVersion,
    /// When its last server disappeared, as Unix time; `None` while it is listed.
    pub gone_at: Option<time::Duration>,
    /// The revision of the store's object.
    pub revision: u64,
}

/// A change of the store's record of a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// Store that the version is listed, or when it disappeared, as Unix time. Replaces the object of the
    /// given revision.
    Put(ServiceVersion, Option<time::Duration>, Option<u64>),
    /// Remove the object of the given revision.
    Remove(ServiceVersion, u64),
}

/// When a version served. Times are times since boot.
#[derive(Debug, Default)]
struct Presence {
    /// Ids of its listed servers.
    servers: collections::BTreeSet<sync::Arc<str>>,
    /// Until when it counts after its last server has disappeared.
    counts_until: time::Duration,
    /// When its last server disappeared; `None` if this host hasn't seen that.
    gone_at: Option<time::Duration>,
}

/// The versions that have served, as far as this host knows.
#[derive(Debug, Default)]
pub struct ServedVersions {
    by_version: collections::BTreeMap<ServiceVersion, Presence>,
    /// The version of each listed server, by its id.
    of_server: collections::BTreeMap<sync::Arc<str>, ServiceVersion>,
    /// When servers were first listed, as time since boot.
    listed_since: Option<time::Duration>,
    /// When the store last answered a call for the servers, as time since boot.
    confirmed_at: time::Duration,
    /// Whether the store's records were read.
    read: bool,
    /// When the listed versions were last included in a message to other hosts.
    announced_at: Option<time::Duration>,
    /// Versions whose records in the store may be outdated, and when to look at them.
    unsaved: collections::BTreeMap<ServiceVersion, time::Duration>,
}

impl ServedVersions {
    /// Records a change of the view of the servers. Servers that aren't model engines are ignored: their
    /// streams aren't resumed.
    pub fn record(&mut self, change: &backends::Change, now: time::Duration) {
        let (server, listed) = match change {
            backends::Change::Joined(server)
            | backends::Change::Updated(server)
            | backends::Change::Restarted(server) => (server, server.stage.is_some()),
            backends::Change::Vanished(server) => (server, false),
        };
        let current = listed.then(|| ServiceVersion {
            service: server.service.clone(),
            version: server.version.clone(),
        });
        let previous = self.of_server.remove(&server.id);
        if previous != current
            && let Some(previous) = previous
        {
            self.remove_server(&previous, &server.id, now);
        }
        if let Some(current) = current {
            self.of_server.insert(server.id.clone(), current.clone());
            let presence = self.by_version.entry(current.clone()).or_default();
            let appeared = presence.servers.is_empty();
            presence.servers.insert(server.id.clone());
            presence.gone_at = None;
            if appeared {
                self.announced_at = None;
                self.unsaved.insert(current, now);
            }
        }
    }

    fn remove_server(&mut self, version: &ServiceVersion, server: &str, now: time::Duration) {
        let Some(presence) = self.by_version.get_mut(version) else {
            return;
        };
        presence.servers.remove(server);
        if presence.servers.is_empty() {
            presence.gone_at = Some(now);
            presence.counts_until = presence.counts_until.max(now + RETENTION + MARGIN);
            self.unsaved.insert(version.clone(), now + GONE_DELAY);
        }
    }

    /// Records an answer of the store, applied before, that shows all changes of servers up to a time.
    pub fn record_answer(&mut self, shows: time::Duration) {
        self.listed_since.get_or_insert(shows);
        self.confirmed_at = self.confirmed_at.max(shows);
    }

    /// Returns whether the view of the servers shows all changes that the store had accepted at a time.
    pub fn is_confirmed_since(&self, at: time::Duration) -> bool {
        self.listed_since.is_some() && self.confirmed_at >= at
    }

    /// Records that a version counts for some more time at another host.
    pub fn record_elsewhere(
        &mut self,
        version: ServiceVersion,
        counts_for: time::Duration,
        now: time::Duration,
    ) {
        let until = now + counts_for.min(RETENTION + MARGIN);
        let presence = self.by_version.entry(version).or_default();
        presence.counts_until = presence.counts_until.max(until);
    }

    /// Records a complete list of the store's records, made at the Unix time `unix_now`. From then on
    /// this host knows what served before it started. Must be called after servers were listed.
    pub fn record_stored(
        &mut self,
        stored: &[Stored],
        unix_now: time::Duration,
        now: time::Duration,
    ) {
        for record in stored {
            let left = match record.gone_at {
                None => RETENTION + MARGIN,
                Some(gone_at) => (gone_at + RETENTION + STORED_MARGIN).saturating_sub(unix_now),
            };
            // The clock of the host that stored the record may be ahead.
            let left = left.min(RETENTION + MARGIN);
            let is_listed = self.is_listed(&record.of);
            if !left.is_zero() {
                let presence = self.by_version.entry(record.of.clone()).or_default();
                if record.gone_at.is_none() && !is_listed {
                    presence.gone_at.get_or_insert(now);
                }
                presence.counts_until = presence.counts_until.max(now + left);
            }
            match (is_listed, record.gone_at) {
                (true, None) => {
                    self.unsaved.remove(&record.of);
                }
                (false, Some(_)) => {}
                _ => {
                    let due = now + GONE_DELAY;
                    self.unsaved.entry(record.of.clone()).or_insert(due);
                }
            }
        }
        self.read = true;
    }

    /// Returns the only version of a service that has served for [`RETENTION`], or `None` if there were
    /// several, or if this host doesn't know: it may have lost its connection to the store while versions
    /// changed. `in_touch` says whether it hears from other hosts, as far as there are any.
    pub fn sole(
        &self,
        service: &str,
        in_touch: bool,
        now: time::Duration,
    ) -> Option<sync::Arc<str>> {
        let listed_since = self.listed_since?;
        let covered = self.read || now >= listed_since + RETENTION + MARGIN;
        let max_age = match in_touch {
            true => MAX_VIEW_AGE,
            false => MAX_VIEW_AGE_ALONE,
        };
        if !covered || now.saturating_sub(self.confirmed_at) > max_age {
            return None;
        }
        let mut versions = self
            .by_version
            .iter()
            .filter(|(of, presence)| &*of.service == service && presence.counts(now));
        let (sole, _) = versions.next()?;
        versions.next().is_none().then(|| sole.version.clone())
    }

    fn is_listed(&self, version: &ServiceVersion) -> bool {
        let presence = self.by_version.get(version);
        presence.is_some_and(|presence| !presence.servers.is_empty())
    }

    /// Returns the versions that this host has seen, and for how long they count, for a message to
    /// other hosts; none if they were included in one a moment ago, or if this host's view is old.
    /// A host that starts learns from it what has disappeared, even if its clock is wrong. What
    /// others told isn't passed on, as it would never end.
    pub fn next_announced(&mut self, now: time::Duration) -> Vec<(ServiceVersion, time::Duration)> {
        let is_due = self
            .announced_at
            .is_none_or(|at| now.saturating_sub(at) >= ANNOUNCEMENT_SPACING);
        if !is_due || now.saturating_sub(self.confirmed_at) > MAX_VIEW_AGE {
            return Vec::new();
        }
        self.announced_at = Some(now);
        let seen = self.by_version.iter().filter_map(|(of, presence)| {
            let last_seen = match presence.servers.is_empty() {
                true => presence.gone_at?,
                false => now,
            };
            let left = (last_seen + RETENTION + MARGIN).saturating_sub(now);
            (!left.is_zero()).then(|| (of.clone(), left))
        });
        seen.collect()
    }

    /// Returns all versions that count, and the number of listed servers of each.
    pub fn all(&self, now: time::Duration) -> impl Iterator<Item = (&ServiceVersion, usize)> {
        let counting = self
            .by_version
            .iter()
            .filter(move |(_, presence)| presence.counts(now));
        counting.map(|(of, presence)| (of, presence.servers.len()))
    }

    /// Returns whether several versions of a service count.
    pub fn is_mixed(&self, now: time::Duration) -> bool {
        let mut services = self.all(now).map(|(of, _)| &of.service);
        let Some(mut previous) = services.next() else {
            return false;
        };
        services.any(|service| std::mem::replace(&mut previous, service) == service)
    }

    /// Returns whether the store's records were read.
    pub fn is_read(&self) -> bool {
        self.read
    }

    /// Returns whether servers were listed from the store.
    pub fn has_list(&self) -> bool {
        self.listed_since.is_some()
    }

    /// Returns whether the store's records have to be looked at now.
    pub fn has_unsaved(&self, now: time::Duration) -> bool {
        self.unsaved.values().any(|due| *due <= now)
    }

    /// Has all versions that count looked at, as the store may have lost their records.
    pub fn record_store_loss(&mut self, now: time::Duration) {
        let counting = self.by_version.iter();
        let counting = counting.filter(|(_, presence)| presence.counts(now));
        let versions: Vec<_> = counting.map(|(of, _)| of.clone()).collect();
        self.unsaved
            .extend(versions.into_iter().map(|version| (version, now)));
    }

    /// Compares the records that are due with those of the store, and returns what to write. Those that need
    /// no write are saved; the others are due again later, until a list shows them.
    pub fn next_writes(
        &mut self,
        stored: &[Stored],
        unix_now: time::Duration,
        now: time::Duration,
    ) -> Vec<Write> {
        let due: Vec<_> = self
            .unsaved
            .iter()
            .filter(|(_, due)| **due <= now)
            .map(|(of, _)| of.clone())
            .collect();
        let mut writes = Vec::new();
        for of in due {
            let known = stored.iter().find(|record| record.of == of);
            match self.put(&of, known, unix_now, now) {
                Some(write) => {
                    self.unsaved.insert(of, now + RETRY_INTERVAL);
                    writes.push(write);
                }
                None => {
                    self.unsaved.remove(&of);
                }
            }
        }
        if !writes.is_empty() {
            let outdated = stored.iter().filter(|record| {
                let gone_at = record.gone_at.unwrap_or(unix_now);
                gone_at + STORED_FOR < unix_now && !self.is_listed(&record.of)
            });
            writes.extend(outdated.map(|record| Write::Remove(record.of.clone(), record.revision)));
        }
        let unsaved = &self.unsaved;
        self.by_version
            .retain(|of, presence| presence.counts(now) || unsaved.contains_key(of));
        writes
    }

    /// Records that the store accepted a write. The version is looked at again if it has changed since.
    pub fn record_written(&mut self, write: &Write) {
        let Write::Put(of, gone_at, _) = write else {
            return;
        };
        let is_listed = self.is_listed(of);
        if is_listed == gone_at.is_none() {
            self.unsaved.remove(of);
        }
    }

    /// Returns the write that a version's record in the store needs.
    fn put(
        &self,
        of: &ServiceVersion,
        known: Option<&Stored>,
        unix_now: time::Duration,
        now: time::Duration,
    ) -> Option<Write> {
        let presence = self.by_version.get(of)?;
        let gone_at = match presence.gone_at {
            None if presence.servers.is_empty() => return None,
            None => None,
            Some(gone_at) => Some(unix_now.saturating_sub(now.saturating_sub(gone_at))),
        };
        let is_saved = match (known.map(|record| record.gone_at), gone_at) {
            (None, _) => false,
            (Some(stored), None) => stored.is_none(),
            (Some(stored), Some(gone_at)) => stored.is_some_and(|at| at + MARGIN >= gone_at),
        };
        let revision = known.map(|record| record.revision);
        (!is_saved).then(|| Write::Put(of.clone(), gone_at, revision))
    }
}

impl Presence {
    /// Returns whether the version has served recently.
    fn counts(&self, now: time::Duration) -> bool {
        !self.servers.is_empty() || now < self.counts_until
    }
}
