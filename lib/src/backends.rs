//! Backend servers as a host knows them.
//!
//! The view follows the store. A server whose entry disappears isn't given new work, with one
//! exception: entries lapse while the store is away, so a server that vanished without notice stays
//! a last resort for a short time, in case that no other server of its service is left.

use std::collections;
use std::net;
use std::sync;
use std::time;

/// How long a server whose entry vanished without notice may serve as a last resort. It has to stop
/// getting work within the two seconds that a leaving server goes on serving.
pub const LAST_RESORT_FOR: time::Duration = time::Duration::from_millis(1_200);
/// How long after an outage of the store the servers whose entries lapsed are expected back.
pub const OUTAGE_GRACE: time::Duration = time::Duration::from_secs(2);

/// The part of the work that a model engine does.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Stage {
    /// Reads prompts.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// A backend server as it describes itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// The server's id, which may survive a restart.
    pub id: sync::Arc<str>,
    /// When this run of the server started, in Unix milliseconds, if it says so.
    pub started_unix_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: sync::Arc<str>,
    /// Where it listens.
    pub addr: net::SocketAddr,
    /// Its availability zone.
    pub zone: sync::Arc<str>,
    /// Whether it takes no new work because it leaves.
    pub draining: bool,
    /// The stage of a model engine.
    pub stage: Option<Stage>,
    /// Requests that it runs at once.
    pub slots: u32,
}

#[derive(Clone, Debug)]
struct Tracked {
    backend: sync::Arc<Backend>,
    last_resort_until: Option<time::Duration>,
}

/// What a change of the view means for a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The server is new.
    Joined(sync::Arc<Backend>),
    /// The server says something else than before.
    Updated(sync::Arc<Backend>),
    /// The server started again under its id.
    Restarted(sync::Arc<Backend>),
    /// The server's entry is gone.
    Vanished(sync::Arc<Backend>),
}

/// The view of all backend servers.
#[derive(Debug, Default)]
pub struct Registry {
    tracked: collections::BTreeMap<sync::Arc<str>, Tracked>,
    /// Listed servers that don't drain, by service. Made anew after a change.
    listed: collections::HashMap<sync::Arc<str>, sync::Arc<[sync::Arc<Backend>]>>,
    store_away: bool,
    store_back: Option<time::Duration>,
}

impl Registry {
    /// Takes the whole list of entries.
    pub fn replace_all(&mut self, listed: Vec<Backend>, now: time::Duration) -> Vec<Change> {
        let names: collections::BTreeSet<_> = listed.iter().map(|b| b.id.clone()).collect();
        let missing: Vec<_> = self
            .tracked
            .keys()
            .filter(|id| !names.contains(*id))
            .cloned()
            .collect();
        let mut changes: Vec<_> = missing
            .iter()
            .filter_map(|id| self.remove(id, now))
            .collect();
        changes.extend(listed.into_iter().filter_map(|backend| self.put(backend)));
        changes
    }

    /// Takes one entry.
    pub fn put(&mut self, backend: Backend) -> Option<Change> {
        self.listed.clear();
        let backend = sync::Arc::new(backend);
        let fresh = Tracked {
            backend: backend.clone(),
            last_resort_until: None,
        };
        let Some(old) = self.tracked.insert(backend.id.clone(), fresh) else {
            return Some(Change::Joined(backend));
        };
        if old.backend.started_unix_ms != backend.started_unix_ms
            || old.backend.addr != backend.addr
        {
            return Some(Change::Restarted(backend));
        }
        if old.last_resort_until.is_none() && old.backend == backend {
            return None;
        }
        Some(Change::Updated(backend))
    }

    /// Takes the removal of an entry.
    pub fn remove(&mut self, id: &str, now: time::Duration) -> Option<Change> {
        self.listed.clear();
        let tracked = self.tracked.get_mut(id)?;
        let backend = tracked.backend.clone();
        if backend.draining {
            self.tracked.remove(id);
            return Some(Change::Vanished(backend));
        }
        if tracked.last_resort_until.is_some() {
            return None;
        }
        let after_outage = self.store_back.map(|back| back + OUTAGE_GRACE);
        let until = (now + LAST_RESORT_FOR).max(after_outage.unwrap_or_default());
        tracked.last_resort_until = Some(until);
        Some(Change::Vanished(backend))
    }

    /// Notes that the store doesn't answer.
    pub fn store_lost(&mut self) {
        self.store_away = true;
    }

    /// Notes that the store answers. Call before taking what it says.
    pub fn store_answered(&mut self, now: time::Duration) {
        if self.store_away {
            self.store_away = false;
            self.store_back = Some(now);
        }
    }

    /// Forgets servers that are gone for good.
    pub fn expire(&mut self, now: time::Duration) {
        self.tracked
            .retain(|_, t| t.last_resort_until.is_none_or(|until| now < until));
    }

    /// Returns whether a server is about to end: it said so, or its entry is gone for good.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.tracked
            .get(id)
            .is_none_or(|tracked| tracked.backend.draining)
    }

    /// Returns the servers of a service that may get new work: those that are listed, or else those
    /// that vanished a moment ago.
    pub fn usable(
        &mut self,
        service: &str,
        now: time::Duration,
    ) -> sync::Arc<[sync::Arc<Backend>]> {
        if let Some(listed) = self.listed.get(service) {
            return listed.clone();
        }
        let of_service = || {
            self.tracked
                .values()
                .filter(|t| &*t.backend.service == service && !t.backend.draining)
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

    /// Returns all servers, and whether each vanished a moment ago.
    pub fn all(&self) -> impl Iterator<Item = (&sync::Arc<Backend>, bool)> {
        self.tracked
            .values()
            .map(|t| (&t.backend, t.last_resort_until.is_some()))
    }

    /// Returns the number of servers, counting those that vanished a moment ago.
    pub fn count(&self) -> usize {
        self.tracked.len()
    }
}
