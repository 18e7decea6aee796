//! The router's other hosts, by what they say themselves.
//!
//! The store lists hosts and their addresses; whether a host lives is judged by the news that it
//! sends, so that no heartbeat goes through the store.

use std::collections;
use std::net;
use std::sync;
use std::time;

use crate::host_groups;

/// How often a host sends news when nothing happens.
pub const NEWS_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// How long a host may be silent until it is taken as gone: four losses in a row.
pub const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(2_200);

/// A host's entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerEntry {
    /// The host's name.
    pub name: sync::Arc<str>,
    /// When the process started, in Unix milliseconds; higher is newer.
    pub incarnation: u64,
    /// Where callers connect.
    pub caller_addr: net::SocketAddr,
    /// Where it takes news.
    pub news_addr: net::SocketAddr,
}

/// What a host says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerStatus {
    /// Raised with each message of one incarnation.
    pub sequence: u64,
    /// Whether callers may be sent there.
    pub takes_callers: bool,
    /// The version of the configuration that it has.
    pub config_version: u64,
    /// Requests that wait there for engines.
    pub waiting: u32,
    /// Those of them that can still be answered within their target.
    pub waiting_on_time: u32,
}

/// A host.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its entry.
    pub listed: PeerEntry,
    said: Option<(PeerStatus, time::Duration)>,
    in_store: bool,
}

/// All other hosts.
#[derive(Debug, Default)]
pub struct Peers {
    known: collections::BTreeMap<sync::Arc<str>, Peer>,
}

impl Peers {
    /// Takes the hosts that the store lists, without this host.
    pub fn replace_entries(&mut self, listed: Vec<PeerEntry>) {
        for peer in self.known.values_mut() {
            peer.in_store = false;
        }
        for entry in listed {
            self.add_entry(entry);
        }
        self.known
            .retain(|_, peer| peer.in_store || peer.said.is_some());
    }

    /// Takes one entry of the store.
    pub fn add_entry(&mut self, entry: PeerEntry) {
        match self.known.get_mut(&entry.name) {
            Some(peer) if peer.listed.incarnation >= entry.incarnation => peer.in_store = true,
            _ => {
                let peer = Peer {
                    listed: entry.clone(),
                    said: None,
                    in_store: true,
                };
                self.known.insert(entry.name, peer);
            }
        }
    }

    /// Takes news from a host. Returns whether they are newer than what was known.
    pub fn record_news(&mut self, entry: PeerEntry, said: PeerStatus, now: time::Duration) -> bool {
        let fresh = match self.known.get(&entry.name) {
            None => true,
            Some(peer) if peer.listed.incarnation == entry.incarnation => peer
                .said
                .as_ref()
                .is_none_or(|(old, _)| old.sequence < said.sequence),
            Some(peer) => peer.listed.incarnation < entry.incarnation,
        };
        if fresh {
            let in_store = self
                .known
                .get(&entry.name)
                .is_some_and(|peer| peer.in_store);
            let peer = Peer {
                listed: entry.clone(),
                said: Some((said, now)),
                in_store,
            };
            self.known.insert(entry.name, peer);
        }
        fresh
    }

    /// Forgets hosts that have been silent for long and returns those that fell silent.
    pub fn expire(&mut self, now: time::Duration) -> Vec<sync::Arc<str>> {
        let silent = |peer: &Peer| {
            let heard = peer.said.as_ref().map(|(_, at)| *at);
            heard.is_some_and(|at| now.saturating_sub(at) > SILENCE_TIMEOUT)
        };
        let names: Vec<_> = self
            .known
            .iter()
            .filter(|(_, peer)| silent(peer))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &names {
            let Some(peer) = self.known.get_mut(name) else {
                continue;
            };
            peer.said = None;
            if !peer.in_store {
                self.known.remove(name);
            }
        }
        names
    }

    /// Returns where news go: to every host of `own`'s group that is listed or was heard.
    pub fn news_addrs(&self, own: &str) -> impl Iterator<Item = net::SocketAddr> {
        let groups = self.groups();
        let group = groups.group(own);
        let known = self.known.values();
        let same = known.filter(move |peer| groups.group(&peer.listed.name) == group);
        same.map(|peer| peer.listed.news_addr)
    }

    /// Returns how these hosts and this one are split into groups.
    pub fn groups(&self) -> host_groups::Groups {
        host_groups::Groups::of(self.count() + 1)
    }

    /// Returns where callers may connect.
    pub fn caller_addrs(&self) -> impl Iterator<Item = net::SocketAddr> {
        let said = self.known.values().filter_map(|peer| {
            let (said, _) = peer.said.as_ref()?;
            said.takes_callers.then_some(peer.listed.caller_addr)
        });
        said.into_iter()
    }

    /// Returns all other hosts, with the age of the news of those that were heard lately.
    pub fn all(
        &self,
        now: time::Duration,
    ) -> impl Iterator<Item = (&PeerEntry, Option<time::Duration>)> {
        self.known.values().map(move |peer| {
            let heard = peer.said.as_ref();
            let age = heard.map(|(_, at)| now.saturating_sub(*at));
            (&peer.listed, age)
        })
    }

    /// Returns the names of hosts that were heard lately.
    pub fn alive(&self) -> impl Iterator<Item = &sync::Arc<str>> {
        let alive = self.known.iter().filter(|(_, peer)| peer.said.is_some());
        alive.map(|(name, _)| name)
    }

    /// Returns the number of other hosts, counting those that are only listed.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Returns the newest version of the configuration that another host has.
    pub fn config_version(&self) -> u64 {
        let versions = self.known.values().filter_map(|peer| peer.said.as_ref());
        versions
            .map(|(said, _)| said.config_version)
            .max()
            .unwrap_or(0)
    }

    /// Returns the age of the oldest news that decisions go by.
    pub fn oldest_news_age(&self, now: time::Duration) -> time::Duration {
        let heard = self.known.values().filter_map(|peer| peer.said.as_ref());
        let oldest = heard.map(|(_, at)| now.saturating_sub(*at)).max();
        oldest.unwrap_or_default()
    }

    /// Returns whether requests that can be answered within their target wait at other hosts.
    pub fn has_on_time_waiting(&self) -> bool {
        let mut said = self.known.values().filter_map(|peer| peer.said.as_ref());
        said.any(|(said, _)| said.waiting_on_time > 0)
    }

    /// Returns the number of requests that wait for engines at other hosts.
    pub fn waiting(&self) -> usize {
        let said = self.known.values().filter_map(|peer| peer.said.as_ref());
        said.map(|(said, _)| said.waiting as usize).sum()
    }
}
