//! The other hosts of the router.
//!
//! The store lists hosts and their addresses. Whether a host is alive is derived from the news it sends: one
//! message with its state, sent regularly to other hosts. So no heartbeats go through the store.

use std::collections;
use std::net;
use std::sync;
use std::time;

use crate::host_groups;

/// Longest interval between two news messages of a host, even if nothing changed.
pub const NEWS_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// How long after its last news a host counts as gone. Tolerates the loss of three messages in a row, but
/// not of four.
pub const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(2_200);

/// How recent the last news of any other host must be for this host to be in touch. Tolerates the loss of one
/// message if there is a single other host.
const IN_TOUCH_TIMEOUT: time::Duration = time::Duration::from_millis(1_200);

/// How recent the last news of most hosts must be for this host to know what they know: a little more than the
/// longest interval between two messages.
const CLOSE_TOUCH_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// A host's entry in the store. News messages carry the same information.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerEntry {
    /// The host's name.
    pub name: sync::Arc<str>,
    /// When the host's process started, in Unix milliseconds. Distinguishes restarts: higher is newer.
    pub incarnation: u64,
    /// The address that callers connect to.
    pub caller_addr: net::SocketAddr,
    /// The address that news messages are sent to.
    pub news_addr: net::SocketAddr,
}

/// The state that a host reports of itself in its news.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PeerStatus {
    /// Number of the news message within the host's incarnation; higher is newer.
    pub sequence: u64,
    /// Whether callers may connect to the host.
    pub takes_callers: bool,
    /// The version of the configuration in force on the host.
    pub config_version: u64,
    /// Number of requests that wait on the host for engines.
    pub waiting: u32,
    /// Number of those that can still meet their target latency.
    pub waiting_on_time: u32,
    /// The host's availability zone.
    pub zone: sync::Arc<str>,
    /// Whether the host serves requests in place of hosts that reach no server.
    pub serves_for_others: bool,
    /// The services of which the host reaches no server.
    pub unreached_services: Vec<sync::Arc<str>>,
    /// Whether the host applies changes of work, so that it needn't get the whole state with each.
    pub applies_work_changes: bool,
    /// The store's revision of the newest change of a backend server that the host knows of.
    pub servers_revision: u64,
}

/// A message of a host that tells changes of its work, but not its whole status.
#[derive(Clone, Copy, Debug)]
pub struct PeerUpdate {
    /// As [`PeerEntry::incarnation`].
    pub incarnation: u64,
    /// As [`PeerStatus::sequence`].
    pub sequence: u64,
    /// As [`PeerStatus::waiting`].
    pub waiting: u32,
    /// As [`PeerStatus::waiting_on_time`].
    pub waiting_on_time: u32,
}

/// Another host.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The host's entry, from the store or its news.
    pub entry: PeerEntry,
    /// The newest status and when it was received. `None` if the host is silent.
    status: Option<(PeerStatus, time::Duration)>,
    /// Whether the store listed the host when it was last read.
    in_store: bool,
}

/// All other hosts, by name.
#[derive(Debug, Default)]
pub struct Peers {
    /// Whether the store's entries were ever read.
    listed: bool,
    known: collections::BTreeMap<sync::Arc<str>, Peer>,
}

impl Peers {
    /// Replaces the entries of the store by a complete list, which must not contain this host itself. Hosts
    /// that send news remain known even if they aren't listed.
    pub fn replace_entries(&mut self, entries: Vec<PeerEntry>) {
        self.listed = true;
        for peer in self.known.values_mut() {
            peer.in_store = false;
        }
        for entry in entries {
            self.add_entry(entry);
        }
        self.known
            .retain(|_, peer| peer.in_store || peer.status.is_some());
    }

    /// Adds one entry of the store. An entry with a newer incarnation replaces what is known of the host.
    pub fn add_entry(&mut self, entry: PeerEntry) {
        match self.known.get_mut(&entry.name) {
            Some(peer) if peer.entry.incarnation >= entry.incarnation => peer.in_store = true,
            _ => {
                let peer = Peer {
                    entry: entry.clone(),
                    status: None,
                    in_store: true,
                };
                self.known.insert(entry.name, peer);
            }
        }
    }

    /// Records news from a host. Returns whether they are newer than what was known; older ones change
    /// nothing. A silent host may have started again with an earlier clock, so its news are always newer.
    ///
    /// A message without the zone leaves it as it was.
    pub fn record_news(
        &mut self,
        entry: PeerEntry,
        mut status: PeerStatus,
        now: time::Duration,
    ) -> bool {
        let is_newer = match self.known.get(&entry.name) {
            None => true,
            Some(peer) if peer.status.is_none() => true,
            Some(peer) if peer.entry.incarnation == entry.incarnation => peer
                .status
                .as_ref()
                .is_none_or(|(old, _)| old.sequence < status.sequence),
            Some(peer) => peer.entry.incarnation < entry.incarnation,
        };
        if is_newer {
            let known = self.known.get(&entry.name);
            if let Some((old, _)) = known.and_then(|peer| peer.status.as_ref())
                && status.zone.is_empty()
            {
                status.zone = old.zone.clone();
            }
            let in_store = self
                .known
                .get(&entry.name)
                .is_some_and(|peer| peer.in_store);
            let peer = Peer {
                entry: entry.clone(),
                status: Some((status, now)),
                in_store,
            };
            self.known.insert(entry.name, peer);
        }
        is_newer
    }

    /// Records changes that a host told. Returns whether they are newer than what was known and the host's whole
    /// status is known; they change nothing otherwise.
    pub fn record_update(&mut self, name: &str, update: PeerUpdate, now: time::Duration) -> bool {
        let Some(peer) = self.known.get_mut(name) else {
            return false;
        };
        let Some((status, at)) = &mut peer.status else {
            return false;
        };
        if peer.entry.incarnation != update.incarnation || update.sequence <= status.sequence {
            return false;
        }
        status.sequence = update.sequence;
        status.waiting = update.waiting;
        status.waiting_on_time = update.waiting_on_time;
        *at = now;
        true
    }

    /// Marks hosts as silent that have sent no news for [`SILENCE_TIMEOUT`], and returns their names. Those
    /// that aren't listed in the store either are removed.
    pub fn expire(&mut self, now: time::Duration) -> Vec<sync::Arc<str>> {
        let is_silent = |peer: &Peer| {
            let received = peer.status.as_ref().map(|(_, at)| *at);
            received.is_some_and(|at| now.saturating_sub(at) > SILENCE_TIMEOUT)
        };
        let names: Vec<_> = self
            .known
            .iter()
            .filter(|(_, peer)| is_silent(peer))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &names {
            let Some(peer) = self.known.get_mut(name) else {
                continue;
            };
            peer.status = None;
            if !peer.in_store {
                self.known.remove(name);
            }
        }
        names
    }

    /// Returns the addresses that this host, named `own`, sends its news to: those of all hosts in its group
    /// that are listed in the store or send news. Each comes with whether the host is known to apply changes of
    /// work.
    pub fn news_addrs(&self, own: &str) -> impl Iterator<Item = (net::SocketAddr, bool)> {
        self.of_group(own).map(|peer| {
            let status = peer.status.as_ref();
            let applies = status.is_some_and(|(status, _)| status.applies_work_changes);
            (peer.entry.news_addr, applies)
        })
    }

    /// Returns the news addresses of all other hosts, also of those in other groups.
    pub fn all_news_addrs(&self) -> impl Iterator<Item = net::SocketAddr> {
        self.known.values().map(|peer| peer.entry.news_addr)
    }

    /// Returns whether this host hears from other hosts at present, as far as there are any. A host that was
    /// paused isn't in touch until it has received news again.
    pub fn is_in_touch(&self, now: time::Duration) -> bool {
        let mut statuses = self.known.values().filter_map(|peer| peer.status.as_ref());
        self.known.is_empty() || statuses.any(|(_, at)| now.saturating_sub(*at) <= IN_TOUCH_TIMEOUT)
    }

    /// Returns whether this host heard from at least half of the other hosts in its group just now, as far as there are
    /// any. If not, it was cut off from them or paused, and may lack what they know. `own` is its name.
    pub fn is_in_close_touch(&self, own: &str, now: time::Duration) -> bool {
        let (mut count, mut heard) = (0, 0);
        for peer in self.of_group(own) {
            let at = peer.status.as_ref().map(|(_, at)| *at);
            count += 1;
            let is_recent = |at| now.saturating_sub(at) <= CLOSE_TOUCH_TIMEOUT;
            heard += usize::from(at.is_some_and(is_recent));
        }
        heard * 2 >= count
    }

    /// Returns the other hosts in the group of this host, named `own`.
    fn of_group(&self, own: &str) -> impl Iterator<Item = &Peer> {
        let groups = self.groups();
        let group = groups.group(own);
        let known = self.known.values();
        known.filter(move |peer| groups.group(&peer.entry.name) == group)
    }

    /// Returns how all hosts, including this one, are split into groups.
    pub fn groups(&self) -> host_groups::Groups {
        host_groups::Groups::of(self.count() + 1)
    }

    /// Returns the addresses of the other hosts that callers may connect to.
    pub fn caller_addrs(&self) -> impl Iterator<Item = net::SocketAddr> {
        let addrs = self.known.values().filter_map(|peer| {
            let (status, _) = peer.status.as_ref()?;
            status.takes_callers.then_some(peer.entry.caller_addr)
        });
        addrs.into_iter()
    }

    /// Returns the names of the other hosts in the group of this host, named `own`, that callers may connect to.
    pub fn accepting_in_group(&self, own: &str) -> impl Iterator<Item = &str> {
        let accepting = self.of_group(own).filter(|peer| {
            let status = peer.status.as_ref();
            status.is_some_and(|(status, _)| status.takes_callers)
        });
        accepting.map(|peer| &*peer.entry.name)
    }

    /// Returns the entries of all other hosts, each with the age of its last news, or `None` if it is silent.
    pub fn all(
        &self,
        now: time::Duration,
    ) -> impl Iterator<Item = (&PeerEntry, Option<time::Duration>)> {
        self.known.values().map(move |peer| {
            let status = peer.status.as_ref();
            let age = status.map(|(_, at)| now.saturating_sub(*at));
            (&peer.entry, age)
        })
    }

    /// Returns the names of the other hosts that are alive, that is, not silent.
    pub fn alive(&self) -> impl Iterator<Item = &sync::Arc<str>> {
        let alive = self.known.iter().filter(|(_, peer)| peer.status.is_some());
        alive.map(|(name, _)| name)
    }

    /// Returns whether the store's entries were ever read. Before that, other hosts may be missing.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Returns the hosts that can serve a request for a service in place of this one, which has a version of the
    /// configuration in force: each with its status.
    pub fn helpers(
        &self,
        service: &str,
        config_version: u64,
        now: time::Duration,
    ) -> impl Iterator<Item = (&PeerEntry, &PeerStatus)> {
        let heard = self.known.values().filter_map(move |peer| {
            let (status, at) = peer.status.as_ref()?;
            let is_recent = now.saturating_sub(*at) <= IN_TOUCH_TIMEOUT;
            is_recent.then_some((&peer.entry, status))
        });
        heard.filter(move |(_, status)| {
            status.serves_for_others
                && status.takes_callers
                && status.config_version >= config_version
                && !status.unreached_services.iter().any(|s| &**s == service)
        })
    }

    /// Returns whether a host's last news are recent enough to rely on it.
    pub fn is_heard(&self, name: &str, now: time::Duration) -> bool {
        let status = self.known.get(name).and_then(|peer| peer.status.as_ref());
        status.is_some_and(|(_, at)| now.saturating_sub(*at) <= IN_TOUCH_TIMEOUT)
    }

    /// Returns whether a host has this IP address.
    pub fn has_address(&self, addr: net::IpAddr) -> bool {
        let mut entries = self.known.values().map(|peer| &peer.entry);
        entries.any(|entry| entry.news_addr.ip() == addr)
    }

    /// Returns the number of other hosts, including silent ones that the store lists.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Returns the newest configuration version that any other host has in force, or 0.
    pub fn config_version(&self) -> u64 {
        let versions = self.known.values().filter_map(|peer| peer.status.as_ref());
        versions
            .map(|(status, _)| status.config_version)
            .max()
            .unwrap_or(0)
    }

    /// Returns the store's revision of the newest change of a backend server that any other host knows of, or 0.
    pub fn servers_revision(&self) -> u64 {
        let statuses = self.known.values().filter_map(|peer| peer.status.as_ref());
        let revisions = statuses.map(|(status, _)| status.servers_revision);
        revisions.max().unwrap_or(0)
    }

    /// Returns the highest age of the last news of any host that isn't silent. Decisions are based on
    /// information up to this old.
    pub fn oldest_news_age(&self, now: time::Duration) -> time::Duration {
        let statuses = self.known.values().filter_map(|peer| peer.status.as_ref());
        let oldest = statuses.map(|(_, at)| now.saturating_sub(*at)).max();
        oldest.unwrap_or_default()
    }

    /// Returns whether requests that can still meet their target latency wait on other hosts.
    pub fn has_on_time_waiting(&self) -> bool {
        let mut statuses = self.known.values().filter_map(|peer| peer.status.as_ref());
        statuses.any(|(status, _)| status.waiting_on_time > 0)
    }

    /// Returns the number of requests that wait for engines on other hosts.
    pub fn waiting(&self) -> usize {
        let statuses = self.known.values().filter_map(|peer| peer.status.as_ref());
        statuses.map(|(status, _)| status.waiting as usize).sum()
    }
}
