//! Membership: which hosts of the fleet are alive.
//!
//! Hosts use a gossip protocol similar to SWIM. Each host probes a few neighbours and attaches a
//! bounded number of membership updates to every message, so the cost of a change for each host
//! does not depend on the number of hosts. A host that answers neither a probe nor the indirect
//! probes through other hosts becomes suspect, and is declared dead if it stays silent. When the
//! known hosts of an availability zone are all silent, a network partition is more likely than
//! the death of all of them, so they stay suspect: they get no work, but what they run or own is
//! not ended.

use std::collections;
use std::time;

use crate::ids;
use crate::rendezvous;

/// The interval between two probes of a neighbour.
pub const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// The number of neighbours that a host probes in each round.
pub const PROBED_NEIGHBOURS: usize = 2;
/// The maximum number of membership updates in one message.
pub const MAX_UPDATES: usize = 8;
/// Failed probes after which a member becomes suspect. One is enough, because a probe counts as
/// failed only after the indirect probes through other hosts failed too.
const FAILED_PROBES_TO_SUSPECT: u32 = 1;
/// How long a suspect member must stay silent to be declared dead.
const SUSPICION_TIMEOUT: time::Duration = time::Duration::from_millis(900);
/// How long a dead member is remembered and probed. A network partition between regions can last an
/// hour; this is longer, so that its sides find each other again.
const DEAD_RETENTION: time::Duration = time::Duration::from_secs(2 * 3_600);
/// One in this many random probes may go to a dead member.
const DEAD_PROBE_ONE_IN: u64 = 16;
/// An update is sent this many times for each doubling of the number of hosts.
const RETRANSMIT_FACTOR: u32 = 4;
/// A zone with fewer known hosts than this is never taken to be cut off by a partition.
const MIN_HOSTS_FOR_PARTITION: usize = 2;

/// The state of a member, in the order in which later states override earlier ones.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It answers probes.
    Alive,
    /// It does not answer probes and may be dead.
    Suspect,
    /// It announced that it is leaving the fleet.
    Leaving,
    /// It is considered gone. It returns with a new incarnation or by refuting its death.
    Dead,
}

/// One run of a host, as other hosts know it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Member {
    /// Name and incarnation.
    pub id: ids::HostId,
    /// The host's availability zone.
    pub zone: ids::Name,
    /// IP address and port for calls between hosts.
    pub peer_addr: ids::Name,
    /// IP address and port for callers.
    pub api_addr: ids::Name,
    /// IP address and port for operators.
    pub admin_addr: ids::Name,
    /// The member's state.
    pub state: State,
    /// Raised by the member itself to refute that it is suspect or dead. Within one incarnation, a
    /// report with a higher number overrides one with a lower number.
    pub refutation: u32,
}

/// A membership change that other parts of the host act on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A host run joined the fleet, or returned after it was declared dead.
    Joined(ids::HostId),
    /// A host run is considered gone: declared dead or replaced by a new incarnation.
    Gone(ids::HostId),
}

#[derive(Debug)]
struct Entry {
    member: Member,
    failed_probes: u32,
    /// When the state last changed.
    changed: time::Duration,
    /// How many more messages carry this member as an update.
    sends_left: u32,
}

/// The members that one host knows.
#[derive(Debug)]
pub struct Table {
    own: Member,
    entries: collections::BTreeMap<ids::Name, Entry>,
    events: Vec<Event>,
    last_tick: time::Duration,
    epoch: u64,
}

impl Table {
    /// Creates the table of a host that knows only itself.
    pub fn new(own: Member) -> Self {
        Self {
            own,
            entries: collections::BTreeMap::new(),
            events: Vec::new(),
            last_tick: time::Duration::ZERO,
            epoch: 0,
        }
    }

    /// Returns this host as a member.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns a number that rises whenever the set of eligible hosts may have changed.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Marks this host as leaving, which the other hosts learn from its next messages.
    pub fn start_leaving(&mut self) {
        self.epoch += 1;
        self.own.state = State::Leaving;
        self.own.refutation += 1;
    }

    /// Merges a report about a member that came from any host.
    pub fn merge(&mut self, update: &Member, now: time::Duration) {
        if update.id.name == self.own.id.name {
            self.refute(update);
            return;
        }
        let sends_left = self.sends_per_update();
        let Some(entry) = self.entries.get_mut(&update.id.name) else {
            self.insert(update.clone(), now, sends_left);
            return;
        };
        let known = &entry.member;
        if update.id.incarnation < known.id.incarnation {
            return;
        }
        if update.id.incarnation > known.id.incarnation {
            let old = known.id.clone();
            let was_dead = known.state == State::Dead;
            self.insert(update.clone(), now, sends_left);
            if !was_dead {
                self.events.push(Event::Gone(old));
            }
            return;
        }
        if !supersedes(update, known) {
            return;
        }
        let died = update.state == State::Dead && known.state != State::Dead;
        let returned = update.state != State::Dead && known.state == State::Dead;
        self.epoch += 1;
        entry.member = update.clone();
        entry.changed = now;
        entry.sends_left = sends_left;
        if update.state == State::Alive {
            entry.failed_probes = 0;
        }
        if died {
            self.events.push(Event::Gone(update.id.clone()));
        }
        if returned {
            self.events.push(Event::Joined(update.id.clone()));
        }
    }

    /// Records a message or probe reply that came from the member itself. Unlike a report
    /// from another host, it ends a suspicion even if its refutation number isn't higher.
    pub fn record_contact(&mut self, member: &Member, now: time::Duration) {
        self.merge(member, now);
        let sends_left = self.sends_per_update();
        let Some(entry) = self.entries.get_mut(&member.id.name) else {
            return;
        };
        if entry.member.id != member.id {
            return;
        }
        if entry.member.state == State::Dead {
            // The member must learn that it was declared dead before it can refute that.
            entry.sends_left = sends_left;
            return;
        }
        entry.failed_probes = 0;
        if entry.member.state == State::Suspect {
            self.epoch += 1;
            entry.member.state = member.state;
            entry.changed = now;
            entry.sends_left = sends_left;
        }
    }

    /// Records that a member answered neither a probe nor the indirect ones through other hosts.
    pub fn record_failed_probe(&mut self, name: &str, now: time::Duration) {
        let sends_left = self.sends_per_update();
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.failed_probes += 1;
        let state = entry.member.state;
        let not_suspect_yet = matches!(state, State::Alive | State::Leaving);
        if not_suspect_yet && entry.failed_probes >= FAILED_PROBES_TO_SUSPECT {
            self.epoch += 1;
            entry.member.state = State::Suspect;
            entry.changed = now;
            entry.sends_left = sends_left;
        }
    }

    /// Advances time and returns the changes since the last call. Declares suspects dead that
    /// stayed silent, unless their zone seems to be cut off by a network partition, and forgets
    /// members that have been dead for `DEAD_RETENTION`.
    pub fn tick(&mut self, now: time::Duration) -> Vec<Event> {
        // If this process was paused, the silence of the others proves nothing: restart their
        // timeouts.
        let paused =
            now.saturating_sub(self.last_tick) > SUSPICION_TIMEOUT && !self.last_tick.is_zero();
        self.last_tick = now;
        let partitioned = self.partitioned_zones();
        let sends_left = self.sends_per_update();
        for entry in self.entries.values_mut() {
            if entry.member.state != State::Suspect {
                continue;
            }
            if paused {
                entry.changed = now;
                continue;
            }
            let cut_off = partitioned.contains(&entry.member.zone);
            if !cut_off && now.saturating_sub(entry.changed) >= SUSPICION_TIMEOUT {
                self.epoch += 1;
                entry.member.state = State::Dead;
                entry.changed = now;
                entry.sends_left = sends_left;
                self.events.push(Event::Gone(entry.member.id.clone()));
            }
        }
        self.entries.retain(|_, entry| {
            let old = now.saturating_sub(entry.changed) >= DEAD_RETENTION;
            entry.member.state != State::Dead || !old
        });
        std::mem::take(&mut self.events)
    }

    /// Returns the neighbours to probe in each round: the members with the highest rendezvous
    /// scores for this host's name.
    pub fn probe_targets(&self) -> Vec<Member> {
        let live = self
            .entries
            .values()
            .filter(|e| e.member.state != State::Dead);
        let names = live.map(|entry| &*entry.member.id.name);
        let chosen = rendezvous::ranked(&self.own.id.name, names, PROBED_NEIGHBOURS);
        let members = chosen.into_iter().filter_map(|name| self.entries.get(name));
        members.map(|entry| entry.member.clone()).collect()
    }

    /// Returns one more member to probe, chosen by the random number `random`. This spreads updates
    /// through the whole fleet and also reaches hosts that are no host's neighbour. Some probes may
    /// go to a dead member, so that the two sides of a network partition find each other again.
    pub fn random_target(&self, random: u64) -> Option<Member> {
        let include_dead = random.is_multiple_of(DEAD_PROBE_ONE_IN);
        let entries = self.entries.values();
        let chosen: Vec<&Entry> = entries
            .filter(|entry| include_dead || entry.member.state != State::Dead)
            .collect();
        if chosen.is_empty() {
            return None;
        }
        let at = (random / DEAD_PROBE_ONE_IN) % chosen.len() as u64;
        let at = usize::try_from(at).unwrap_or(0);
        Some(chosen[at].member.clone())
    }

    /// Returns the time since a member became suspect or, if it is dead, since it was declared dead.
    /// Returns zero for other and unknown members.
    pub fn silent_for(&self, name: &str, now: time::Duration) -> time::Duration {
        match self.entries.get(name) {
            Some(entry) if matches!(entry.member.state, State::Suspect | State::Dead) => {
                now.saturating_sub(entry.changed)
            }
            _ => time::Duration::ZERO,
        }
    }

    /// Returns the updates for the next message and counts them as sent. Those with the most sends
    /// left come first.
    pub fn next_updates(&mut self) -> Vec<Member> {
        let mut pending: Vec<&mut Entry> = self
            .entries
            .values_mut()
            .filter(|entry| entry.sends_left > 0)
            .collect();
        pending.sort_by_key(|entry| std::cmp::Reverse(entry.sends_left));
        let chosen = pending.into_iter().take(MAX_UPDATES);
        chosen
            .map(|entry| {
                entry.sends_left -= 1;
                entry.member.clone()
            })
            .collect()
    }

    /// Returns every member that is not dead, this host included.
    pub fn live_members(&self) -> Vec<Member> {
        let others = self.entries.values().map(|entry| &entry.member);
        let live = others.filter(|member| member.state != State::Dead);
        std::iter::once(&self.own).chain(live).cloned().collect()
    }

    /// Returns every known member, dead ones included.
    pub fn all_members(&self) -> Vec<Member> {
        let others = self.entries.values().map(|entry| &entry.member);
        std::iter::once(&self.own).chain(others).cloned().collect()
    }

    /// Returns a member by name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        if *name == *self.own.id.name {
            return Some(&self.own);
        }
        self.entries.get(name).map(|entry| &entry.member)
    }

    /// Returns whether this host run is considered gone: declared dead, or replaced by a newer
    /// incarnation.
    pub fn is_gone(&self, id: &ids::HostId) -> bool {
        match self.get(&id.name) {
            Some(member) if member.id.incarnation > id.incarnation => true,
            Some(member) => member.id == *id && member.state == State::Dead,
            None => false,
        }
    }

    /// Returns the hosts that may be given new work: alive and not leaving, this host included.
    pub fn eligible(&self) -> impl Iterator<Item = &Member> {
        let others = self.entries.values().map(|entry| &entry.member);
        std::iter::once(&self.own)
            .chain(others)
            .filter(|member| member.state == State::Alive)
    }

    /// Returns the steward of a key, such as the name of a cell: the eligible host with the highest
    /// rendezvous score, or this host if none is eligible. All hosts with the same view choose the
    /// same steward.
    pub fn steward(&self, key: &str) -> &Member {
        let names = self.eligible().map(|member| &*member.id.name);
        let chosen = rendezvous::choose(key, names);
        chosen.and_then(|name| self.get(name)).unwrap_or(&self.own)
    }

    /// Returns the backup host for request ids minted here: a host of another zone if there is one.
    pub fn backup(&self) -> Option<&Member> {
        let own = &self.own;
        let others = || {
            self.eligible()
                .filter(|member| member.id.name != own.id.name)
        };
        let in_other_zones = others().filter(|member| member.zone != own.zone);
        let names = in_other_zones.map(|member| &*member.id.name);
        let chosen = rendezvous::choose(&own.id.name, names).or_else(|| {
            let names = others().map(|member| &*member.id.name);
            rendezvous::choose(&own.id.name, names)
        });
        chosen.and_then(|name| self.get(name))
    }

    fn insert(&mut self, member: Member, now: time::Duration, sends_left: u32) {
        if member.state != State::Dead {
            self.events.push(Event::Joined(member.id.clone()));
        }
        let entry = Entry {
            changed: now,
            failed_probes: 0,
            sends_left,
            member,
        };
        self.epoch += 1;
        self.entries.insert(entry.member.id.name.clone(), entry);
    }

    /// Refutes a wrong report about this host by raising the refutation number above the report's.
    fn refute(&mut self, update: &Member) {
        let own = &mut self.own;
        let wrong = update.id == own.id && update.state != own.state;
        if wrong && update.refutation >= own.refutation {
            own.refutation = update.refutation + 1;
        }
    }

    /// Returns the zones that seem to be cut off by a network partition: of at least
    /// `MIN_HOSTS_FOR_PARTITION` known hosts that are not dead, all are suspect. The zone of this
    /// host is never among them.
    fn partitioned_zones(&self) -> collections::BTreeSet<ids::Name> {
        let mut zones: collections::BTreeMap<&ids::Name, (usize, usize)> =
            collections::BTreeMap::new();
        for entry in self.entries.values() {
            let (all, suspect) = zones.entry(&entry.member.zone).or_default();
            if entry.member.state == State::Dead {
                continue;
            }
            *all += 1;
            *suspect += usize::from(entry.member.state == State::Suspect);
        }
        let own_zone = &self.own.zone;
        zones
            .into_iter()
            .filter(|(zone, (all, suspect))| {
                *zone != own_zone && *all >= MIN_HOSTS_FOR_PARTITION && all == suspect
            })
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    /// Returns how many messages carry a new update, which grows with the logarithm of the number
    /// of hosts.
    fn sends_per_update(&self) -> u32 {
        let hosts = u32::try_from(self.entries.len() + 2).unwrap_or(u32::MAX);
        RETRANSMIT_FACTOR * (hosts.ilog2() + 1)
    }
}

/// Returns whether a report overrides what is known of the same incarnation: a higher refutation
/// number wins, then the later state. A refutation comes from the member itself, so it also
/// overrides a death. That is safe because each thing that other hosts did meanwhile in place of
/// the dead host is protected by its own fencing.
fn supersedes(update: &Member, known: &Member) -> bool {
    (update.refutation, update.state) > (known.refutation, known.state)
}
