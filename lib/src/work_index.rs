//! An index of work (runs or prefills) that hosts have sent to engines, by host and by engine.

use std::collections;
use std::sync;

/// Identifies a piece of work: the host that sent it, and the host's number for it.
pub type Key = (sync::Arc<str>, u64);

/// Work that was sent to an engine.
pub(crate) trait OnEngine {
    /// Returns the engine's id.
    fn engine(&self) -> &sync::Arc<str>;
}

/// A collection of work. The cost of an operation depends only on the amount of work of the host or engine
/// concerned, not on the number of other hosts and engines.
#[derive(Debug)]
pub(crate) struct Index<T> {
    by_host: collections::HashMap<sync::Arc<str>, collections::BTreeMap<u64, T>>,
    by_engine: collections::HashMap<sync::Arc<str>, collections::BTreeSet<Key>>,
}

impl<T> Default for Index<T> {
    fn default() -> Self {
        Self {
            by_host: collections::HashMap::new(),
            by_engine: collections::HashMap::new(),
        }
    }
}

impl<T: OnEngine> Index<T> {
    /// Returns whether there is no work.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }

    /// Returns the work with this key.
    pub(crate) fn get(&self, (host, number): &Key) -> Option<&T> {
        self.by_host.get(host)?.get(number)
    }

    /// Adds work, or replaces the work with this key.
    pub(crate) fn insert(&mut self, key: Key, work: T) {
        self.remove(&key);
        let on_engine = self.by_engine.entry(work.engine().clone()).or_default();
        on_engine.insert(key.clone());
        let (host, number) = key;
        self.by_host.entry(host).or_default().insert(number, work);
    }

    /// Removes the work with this key and returns it.
    pub(crate) fn remove(&mut self, key: &Key) -> Option<T> {
        let (host, number) = key;
        let of_host = self.by_host.get_mut(host)?;
        let work = of_host.remove(number)?;
        if of_host.is_empty() {
            self.by_host.remove(host);
        }
        if let Some(on_engine) = self.by_engine.get_mut(work.engine()) {
            on_engine.remove(key);
            if on_engine.is_empty() {
                self.by_engine.remove(work.engine());
            }
        }
        Some(work)
    }

    /// Returns the work on an engine with its keys.
    pub(crate) fn on_engine(&self, engine: &str) -> impl Iterator<Item = (&Key, &T)> {
        let keys = self.by_engine.get(engine).into_iter().flatten();
        keys.filter_map(|key| Some((key, self.get(key)?)))
    }

    /// Returns the number of pieces of work on an engine.
    pub(crate) fn count_on(&self, engine: &str) -> usize {
        self.by_engine.get(engine).map_or(0, |keys| keys.len())
    }

    /// Returns the work that a host sent, with the host's numbers for it.
    pub(crate) fn of_host(&self, host: &str) -> impl Iterator<Item = (u64, &T)> {
        let own = self.by_host.get(host).into_iter().flatten();
        own.map(|(number, work)| (*number, work))
    }

    /// Removes the work that a host sent and returns it by number.
    pub(crate) fn remove_host(&mut self, host: &sync::Arc<str>) -> collections::BTreeMap<u64, T> {
        let numbers: Vec<_> = self.of_host(host).map(|(number, _)| number).collect();
        let removed = numbers.into_iter().filter_map(|number| {
            let work = self.remove(&(host.clone(), number))?;
            Some((number, work))
        });
        removed.collect()
    }

    /// Removes the work on an engine.
    pub(crate) fn remove_engine(&mut self, engine: &str) {
        for key in self.by_engine.get(engine).cloned().unwrap_or_default() {
            self.remove(&key);
        }
    }
}
