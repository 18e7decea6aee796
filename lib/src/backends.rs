//! A host's view of the backend servers.
//!
//! The view follows the servers' entries in the store. A server whose entry disappears gets no new work,
//! with one exception: entries expire while the store is unreachable, so a server whose entry vanished
//! without notice remains a last resort for a short time, used only if its service has no other server.

use std::collections;
use std::fmt;
use std::net;
use std::sync;
use std::time;

use crate::ready_counts;

/// How long a server whose entry vanished without notice remains a last resort. A leaving server goes on
/// serving for two seconds, so it must stop getting work before that.
pub const LAST_RESORT_FOR: time::Duration = time::Duration::from_millis(1_200);
/// How long after an outage of the store the servers whose entries expired remain a last resort. Their
/// entries are expected back within this time.
pub const OUTAGE_GRACE: time::Duration = time::Duration::from_secs(2);
/// Shortest outage in which entries expire, as servers renew them every second or so. A single failed call is none.
const MIN_OUTAGE: time::Duration = time::Duration::from_secs(1);

/// How long it is remembered that a process leaves after its entry is gone, which may come back meanwhile.
const LEAVING_KEPT_FOR: time::Duration = time::Duration::from_secs(600);

/// The stage of inference that a model engine works on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// Prefills prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// A backend server as its entry in the store describes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// The server's id, which may survive a restart.
    pub id: sync::Arc<str>,
    /// When the server process started, in Unix milliseconds, if the entry says so.
    pub started_unix_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: sync::Arc<str>,
    /// The address it listens on.
    pub addr: net::SocketAddr,
    /// Its availability zone.
    pub zone: sync::Arc<str>,
    /// Whether it is about to leave and takes no new work.
    pub draining: bool,
    /// The stage of a model engine; `None` for other servers.
    pub stage: Option<Stage>,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// The version of its software; empty if its entry names none.
    pub version: sync::Arc<str>,
}

/// A server process, from its start to its end. The one that takes its place may have its id, its address, or
/// both, but not the same start time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Process {
    /// The server's id.
    pub id: sync::Arc<str>,
    /// When it started, in Unix milliseconds, if its entry says so.
    pub started_unix_ms: Option<u64>,
    /// The address it listens on.
    pub addr: net::SocketAddr,
    /// The version of its software.
    pub version: sync::Arc<str>,
}

impl Process {
    /// Returns whether the process is known to have started before another one.
    pub fn started_before(&self, other: &Self) -> bool {
        let started = self.started_unix_ms.zip(other.started_unix_ms);
        started.is_some_and(|(own, other)| own < other)
    }
}

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.started_unix_ms.unwrap_or(0))
    }
}

impl Backend {
    /// Returns the process that the entry describes.
    pub fn process(&self) -> Process {
        Process {
            id: self.id.clone(),
            started_unix_ms: self.started_unix_ms,
            addr: self.addr,
            version: self.version.clone(),
        }
    }
}

#[derive(Clone, Debug)]
struct Tracked {
    backend: sync::Arc<Backend>,
    /// Set if the entry vanished without notice: until when the server is a last resort.
    last_resort_until: Option<time::Duration>,
    /// The number of the change by which this process was listed first.
    joined_by: u64,
    /// Whether a later process is listed at the address, so that this one has ended. Its entry lapses later.
    replaced: bool,
}

impl Tracked {
    fn is_ready_decode_engine(&self) -> bool {
        self.backend.stage == Some(Stage::Decode) && self.is_listed()
    }

    /// Returns whether it has an entry and may get new work.
    fn is_listed(&self) -> bool {
        self.may_be_used() && self.last_resort_until.is_none()
    }

    /// Returns whether it may get new work, as a last resort at least, as long as that lasts.
    fn may_be_used(&self) -> bool {
        !self.backend.draining && !self.replaced
    }

    /// Returns whether the process ended before `other`, another one at its address, was started.
    fn ended_before(&self, other: &Self) -> bool {
        match (self.backend.started_unix_ms, other.backend.started_unix_ms) {
            (Some(started), Some(other_started)) => started < other_started,
            _ => self.joined_by < other.joined_by,
        }
    }
}

/// How the view of a server changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The server is new.
    Joined(sync::Arc<Backend>),
    /// The server's entry changed, or reappeared.
    Updated(sync::Arc<Backend>),
    /// The server restarted under the same id, or has another address or version.
    Restarted(sync::Arc<Backend>),
    /// The server's entry is gone.
    Vanished(sync::Arc<Backend>),
}

/// The view of all backend servers, by id.
#[derive(Debug, Default)]
pub struct Registry {
    tracked: collections::BTreeMap<sync::Arc<str>, Tracked>,
    /// Cache of the servers by service that have an entry and aren't draining. Cleared by each change.
    listed: collections::HashMap<sync::Arc<str>, sync::Arc<[sync::Arc<Backend>]>>,
    ready_counts: ready_counts::ReadyCounts,
    /// The processes that said themselves that they leave, and when. Their entries may not say so.
    leaving: collections::BTreeMap<Process, time::Duration>,
    /// Number of changes of the view. All entries of a complete list change it at once.
    changes: u64,
    /// The latest time that was passed in. Changes without a time of their own count as made then.
    latest: time::Duration,
    /// Since when the store doesn't answer.
    unreachable_since: Option<time::Duration>,
    /// When the store answered again after its last outage.
    store_recovered_at: Option<time::Duration>,
}

impl Registry {
    /// Replaces the view by a complete list of entries.
    pub fn replace_all(&mut self, listed: Vec<Backend>, now: time::Duration) -> Vec<Change> {
        self.latest = self.latest.max(now);
        self.changes += 1;
        let ids: collections::BTreeSet<_> = listed.iter().map(|b| b.id.clone()).collect();
        let missing: Vec<_> = self
            .tracked
            .keys()
            .filter(|id| !ids.contains(*id))
            .cloned()
            .collect();
        let mut changes: Vec<_> = missing
            .iter()
            .filter_map(|id| self.remove(id, now))
            .collect();
        changes.extend(
            listed
                .into_iter()
                .filter_map(|backend| self.put_listed(backend)),
        );
        self.find_replaced(&changes);
        changes
    }

    /// Adds or updates one entry. Returns `None` if nothing changed.
    pub fn put(&mut self, backend: Backend) -> Option<Change> {
        self.changes += 1;
        let change = self.put_listed(backend);
        self.find_replaced(change.as_slice());
        change
    }

    fn put_listed(&mut self, mut backend: Backend) -> Option<Change> {
        self.listed.clear();
        backend.draining |= self.leaving.contains_key(&backend.process());
        let backend = sync::Arc::new(backend);
        let known = self.tracked.get(&backend.id);
        let known = known.filter(|known| known.backend.process() == backend.process());
        let tracked = Tracked {
            backend: backend.clone(),
            last_resort_until: None,
            joined_by: known.map_or(self.changes, |known| known.joined_by),
            // A process that changes its entry lives.
            replaced: known.is_some_and(|known| known.replaced && known.backend == backend),
        };
        let is_ready_decode_engine = tracked.is_ready_decode_engine();
        let old = self.tracked.insert(backend.id.clone(), tracked);
        if let Some(old) = &old {
            self.uncount(old);
        }
        if is_ready_decode_engine {
            self.ready_counts.add(&backend.service, &backend.version);
        }
        let Some(old) = old else {
            return Some(Change::Joined(backend));
        };
        if old.backend.process() != backend.process() {
            return Some(Change::Restarted(backend));
        }
        if old.last_resort_until.is_none() && old.backend == backend {
            return None;
        }
        Some(Change::Updated(backend))
    }

    /// Finds out which processes ended before another one that is listed at their address: those that started
    /// earlier, or if start times aren't known, that were listed earlier. Only addresses of processes that joined by
    /// `changes` are looked at.
    fn find_replaced(&mut self, changes: &[Change]) {
        let joined = changes.iter().filter_map(|change| match change {
            Change::Joined(backend) | Change::Restarted(backend) => Some(backend.addr),
            Change::Updated(_) | Change::Vanished(_) => None,
        });
        let mut by_addr: collections::HashMap<_, Vec<&Tracked>> =
            joined.map(|addr| (addr, Vec::new())).collect();
        if by_addr.is_empty() {
            return;
        }
        for tracked in self.tracked.values().filter(|t| !t.replaced) {
            if let Some(at_addr) = by_addr.get_mut(&tracked.backend.addr) {
                at_addr.push(tracked);
            }
        }
        let mut replaced = Vec::new();
        for at_addr in by_addr.values() {
            let ended = at_addr
                .iter()
                .filter(|t| at_addr.iter().any(|other| t.ended_before(other)));
            replaced.extend(ended.map(|t| (*t).clone()));
        }
        for tracked in replaced {
            self.uncount(&tracked);
            if let Some(tracked) = self.tracked.get_mut(&tracked.backend.id) {
                tracked.replaced = true;
            }
        }
    }

    /// Records that a process said that it leaves, whatever its entry says, now or later. Returns `None` if that
    /// changes nothing.
    pub fn record_leaving(&mut self, process: &Process, now: time::Duration) -> Option<Change> {
        if self.leaving.insert(process.clone(), now).is_some() {
            return None;
        }
        let tracked = self.tracked.get(&process.id)?;
        let backend = Backend::clone(&tracked.backend);
        if backend.draining || backend.process() != *process {
            return None;
        }
        self.put_listed(backend)
    }

    /// Returns the processes that said that they leave and are still listed.
    pub fn leaving(&self) -> impl Iterator<Item = &Process> {
        let leaving = self.leaving.keys();
        leaving.filter(|process| self.tracked.contains_key(&process.id))
    }

    /// Records that an entry is gone from the store. Returns `None` if that was known.
    pub fn remove(&mut self, id: &str, now: time::Duration) -> Option<Change> {
        self.listed.clear();
        self.latest = self.latest.max(now);
        let tracked = self.tracked.get(id)?.clone();
        self.uncount(&tracked);
        let tracked = self.tracked.get_mut(id)?;
        let backend = tracked.backend.clone();
        if backend.draining || tracked.replaced {
            self.tracked.remove(id);
            return Some(Change::Vanished(backend));
        }
        if tracked.last_resort_until.is_some() {
            return None;
        }
        let after_outage = self
            .store_recovered_at
            .map(|recovered| recovered + OUTAGE_GRACE);
        let until = (now + LAST_RESORT_FOR).max(after_outage.unwrap_or_default());
        tracked.last_resort_until = Some(until);
        Some(Change::Vanished(backend))
    }

    /// Takes a server out of the ready decode engines if it was among them.
    fn uncount(&mut self, old: &Tracked) {
        if old.is_ready_decode_engine() {
            let Backend {
                service, version, ..
            } = &*old.backend;
            self.ready_counts.remove(service, version, self.latest);
        }
    }

    /// Records that the store doesn't answer.
    pub fn store_lost(&mut self, now: time::Duration) {
        self.unreachable_since.get_or_insert(now);
    }

    /// Records that the store answers. Must be called before the contents of the answer are applied.
    pub fn store_answered(&mut self, now: time::Duration) {
        let lost_at = self.unreachable_since.take();
        if lost_at.is_some_and(|at| now.saturating_sub(at) >= MIN_OUTAGE) {
            self.store_recovered_at = Some(now);
        }
    }

    /// Returns whether the store answered the last call.
    pub fn is_store_reachable(&self) -> bool {
        self.unreachable_since.is_none()
    }

    /// Forgets servers whose time as a last resort is over. Must be called regularly.
    pub fn expire(&mut self, now: time::Duration) {
        self.latest = self.latest.max(now);
        self.ready_counts.expire(now);
        let tracked = &self.tracked;
        self.leaving.retain(|process, said_at| {
            let is_tracked = tracked.contains_key(&process.id);
            is_tracked || now.saturating_sub(*said_at) < LEAVING_KEPT_FOR
        });
        self.tracked
            .retain(|_, t| t.last_resort_until.is_none_or(|until| now < until));
    }

    /// Returns the newest process that was listed with an id.
    pub fn process(&self, id: &str) -> Option<Process> {
        self.tracked
            .get(id)
            .map(|tracked| tracked.backend.process())
    }

    /// Returns the newest process that was listed with an id, as its entry describes it.
    pub fn find(&self, id: &str) -> Option<sync::Arc<Backend>> {
        self.tracked.get(id).map(|tracked| tracked.backend.clone())
    }

    /// Returns whether a server is leaving: it is draining, or not in the view any more.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.tracked
            .get(id)
            .is_none_or(|tracked| tracked.backend.draining)
    }

    /// Returns whether a process that was chosen for work may still get it: it neither leaves nor was replaced, and it is
    /// listed, or a last resort of a service of which no server is.
    pub fn may_get_work(&self, process: &Process, now: time::Duration) -> bool {
        let tracked = self.tracked.get(&process.id);
        let tracked = tracked.filter(|t| t.backend.process() == *process && t.may_be_used());
        tracked.is_some_and(|t| {
            t.last_resort_until
                .is_none_or(|until| now < until && !self.has_listed(&t.backend.service))
        })
    }

    /// Returns whether a server of the service has an entry and may get new work.
    fn has_listed(&self, service: &str) -> bool {
        let mut tracked = self.tracked.values();
        tracked.any(|t| &*t.backend.service == service && t.is_listed())
    }

    /// Returns the servers of a service that may get new work: those with an entry, or if there are none,
    /// those that are a last resort. Servers that are draining, or whose address another one has, are left out.
    pub fn usable(
        &mut self,
        service: &str,
        now: time::Duration,
    ) -> sync::Arc<[sync::Arc<Backend>]> {
        self.latest = self.latest.max(now);
        if let Some(listed) = self.listed.get(service) {
            return listed.clone();
        }
        let of_service = || {
            self.tracked
                .values()
                .filter(|t| &*t.backend.service == service && t.may_be_used())
        };
        let listed: sync::Arc<[_]> = of_service()
            .filter(|t| t.last_resort_until.is_none())
            .map(|t| t.backend.clone())
            .collect();
        if !listed.is_empty() {
            self.listed.insert(service.into(), listed.clone());
            return listed;
        }
        of_service()
            .filter(|t| t.last_resort_until.is_some_and(|until| now < until))
            .map(|t| t.backend.clone())
            .collect()
    }

    /// Returns the versions of a service whose decode engines are running out: fewer are ready than
    /// some time ago, while another version keeps or gains its own. None is if all have lost some.
    pub fn versions_running_out(&self, service: &str, now: time::Duration) -> Vec<sync::Arc<str>> {
        self.ready_counts.running_out(service, now)
    }

    /// Returns all servers, and for each whether its entry has vanished.
    pub fn all(&self) -> impl Iterator<Item = (&sync::Arc<Backend>, bool)> {
        self.tracked
            .values()
            .map(|t| (&t.backend, t.last_resort_until.is_some()))
    }

    /// Returns the number of servers, including those whose entry has vanished but that aren't expired.
    pub fn count(&self) -> usize {
        self.tracked.len()
    }
}
