//! Which hosts of the fleet live.
//!
//! Each host probes a few neighbours directly and passes on what it learns in small bounded
//! messages, so that a change costs each host the same however many hosts there are. A host that
//! does not answer is first suspected, asked about through others, and only then declared dead. When
//! most of an availability zone falls silent at once the cause is more likely a cut between zones
//! than their death, so its hosts stay suspected: they get no work, but nothing of theirs is ended.

use std::collections;
use std::time;

use crate::ids;
use crate::rendezvous;

/// How often each neighbour is probed.
pub const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Neighbours that a host probes.
pub const PROBED_NEIGHBOURS: usize = 2;
/// Updates carried by one message.
pub const MAX_UPDATES: usize = 8;
/// A probe counts as failed only after helpers did not reach the member either.
const FAILED_PROBES: u32 = 1;
const SUSPECT_FOR: time::Duration = time::Duration::from_millis(900);
/// A cut between regions lasts an hour at times; the dead are remembered and probed for longer.
const DEAD_KEPT_FOR: time::Duration = time::Duration::from_secs(2 * 3_600);
const DEAD_PROBED_EVERY: u64 = 16;
const RETRANSMIT_FACTOR: u32 = 4;
const MIN_ZONE_FOR_CUT: usize = 2;

/// The state of a member.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It answers.
    Alive,
    /// It does not answer and may be dead.
    Suspect,
    /// It announced that it leaves.
    Leaving,
    /// It is taken to be gone; it returns as a new incarnation or by its own word.
    Dead,
}

/// A host run as known to others.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Member {
    /// Name and incarnation.
    pub id: ids::HostId,
    /// The host's availability zone.
    pub zone: ids::Name,
    /// Address for calls between hosts.
    pub peer_addr: ids::Name,
    /// Address for callers.
    pub api_addr: ids::Name,
    /// Address for operators.
    pub admin_addr: ids::Name,
    /// The member's state.
    pub state: State,
    /// Raised by the member itself to refute a suspicion.
    pub refutation: u32,
}

/// A change that other parts of the host act on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A host run takes part.
    Joined(ids::HostId),
    /// A host run is taken to be gone.
    Gone(ids::HostId),
}

#[derive(Debug)]
struct Entry {
    member: Member,
    failed_probes: u32,
    changed: time::Duration,
    sends_left: u32,
}

/// The members known at one host.
#[derive(Debug)]
pub struct Table {
    own: Member,
    entries: collections::BTreeMap<ids::Name, Entry>,
    events: Vec<Event>,
    last_tick: time::Duration,
    epoch: u64,
}

impl Table {
    /// Makes the table of a host that knows only itself.
    pub fn new(own: Member) -> Self {
        Self {
            own,
            entries: collections::BTreeMap::new(),
            events: Vec::new(),
            last_tick: time::Duration::ZERO,
            epoch: 0,
        }
    }

    /// Returns this host.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns a number that changes whenever the eligible hosts may have changed.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Announces that this host leaves.
    pub fn start_leaving(&mut self) {
        self.epoch += 1;
        self.own.state = State::Leaving;
        self.own.refutation += 1;
    }

    /// Merges what another host says of a member.
    pub fn merge(&mut self, update: &Member, now: time::Duration) {
        if update.id.name == self.own.id.name {
            self.refute(update);
            return;
        }
        let sends_left = self.sends();
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

    /// Takes a direct sign of life, which counts more than hearsay of the same refutation number.
    pub fn record_contact(&mut self, member: &Member, now: time::Duration) {
        self.merge(member, now);
        let sends_left = self.sends();
        let Some(entry) = self.entries.get_mut(&member.id.name) else {
            return;
        };
        if entry.member.id != member.id {
            return;
        }
        if entry.member.state == State::Dead {
            // It must hear of the rumour to refute it.
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

    /// Notes that a probe, also through others, got no answer.
    pub fn probe_failed(&mut self, name: &str, now: time::Duration) {
        let sends_left = self.sends();
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.failed_probes += 1;
        let state = entry.member.state;
        let silent = matches!(state, State::Alive | State::Leaving);
        if silent && entry.failed_probes >= FAILED_PROBES {
            self.epoch += 1;
            entry.member.state = State::Suspect;
            entry.changed = now;
            entry.sends_left = sends_left;
        }
    }

    /// Advances time: suspects that stay silent are declared dead, unless their zone is cut off.
    pub fn tick(&mut self, now: time::Duration) -> Vec<Event> {
        // After a pause of this process the others' silence proves nothing: start counting anew.
        let paused = now.saturating_sub(self.last_tick) > SUSPECT_FOR && !self.last_tick.is_zero();
        self.last_tick = now;
        let cut = self.cut_zones();
        let sends_left = self.sends();
        for entry in self.entries.values_mut() {
            if entry.member.state != State::Suspect {
                continue;
            }
            if paused {
                entry.changed = now;
                continue;
            }
            let cut_off = cut.contains(&entry.member.zone);
            if !cut_off && now.saturating_sub(entry.changed) >= SUSPECT_FOR {
                self.epoch += 1;
                entry.member.state = State::Dead;
                entry.changed = now;
                entry.sends_left = sends_left;
                self.events.push(Event::Gone(entry.member.id.clone()));
            }
        }
        self.entries.retain(|_, entry| {
            let old = now.saturating_sub(entry.changed) >= DEAD_KEPT_FOR;
            entry.member.state != State::Dead || !old
        });
        std::mem::take(&mut self.events)
    }

    /// Returns the members to probe: the next ones in a ring that each host orders for itself.
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

    /// Returns one more member, chosen by a random number, so that news crosses the fleet and a
    /// host that nobody has as neighbour is found too. Now and then it is a dead one, so that the
    /// two sides of a cut find each other again.
    pub fn random_target(&self, random: u64) -> Option<Member> {
        let dead = random.is_multiple_of(DEAD_PROBED_EVERY);
        let entries = self.entries.values();
        let chosen: Vec<&Entry> = entries
            .filter(|entry| dead || entry.member.state != State::Dead)
            .collect();
        if chosen.is_empty() {
            return None;
        }
        let at = (random / DEAD_PROBED_EVERY) % chosen.len() as u64;
        let at = usize::try_from(at).unwrap_or(0);
        Some(chosen[at].member.clone())
    }

    /// Returns for how long a member has been suspected or dead.
    pub fn silent_for(&self, name: &str, now: time::Duration) -> time::Duration {
        match self.entries.get(name) {
            Some(entry) if matches!(entry.member.state, State::Suspect | State::Dead) => {
                now.saturating_sub(entry.changed)
            }
            _ => time::Duration::ZERO,
        }
    }

    /// Returns updates to send along, the least often sent first.
    pub fn next_updates(&mut self) -> Vec<Member> {
        let mut fresh: Vec<&mut Entry> = self
            .entries
            .values_mut()
            .filter(|entry| entry.sends_left > 0)
            .collect();
        fresh.sort_by_key(|entry| std::cmp::Reverse(entry.sends_left));
        let chosen = fresh.into_iter().take(MAX_UPDATES);
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

    /// Returns whether this host run is taken to be gone: declared dead, or followed by a newer
    /// incarnation.
    pub fn is_gone(&self, id: &ids::HostId) -> bool {
        match self.get(&id.name) {
            Some(member) if member.id.incarnation > id.incarnation => true,
            Some(member) => member.id == *id && member.state == State::Dead,
            None => false,
        }
    }

    /// Returns the hosts that may be given new duties: alive and not leaving.
    pub fn eligible(&self) -> impl Iterator<Item = &Member> {
        let others = self.entries.values().map(|entry| &entry.member);
        std::iter::once(&self.own)
            .chain(others)
            .filter(|member| member.state == State::Alive)
    }

    /// Returns the host that stewards a key.
    pub fn steward(&self, key: &str) -> &Member {
        let names = self.eligible().map(|member| &*member.id.name);
        let chosen = rendezvous::choose(key, names);
        chosen.and_then(|name| self.get(name)).unwrap_or(&self.own)
    }

    /// Returns the buddy for ids minted here: a host of another zone where there is one.
    pub fn backup(&self) -> Option<&Member> {
        let own = &self.own;
        let others = || {
            self.eligible()
                .filter(|member| member.id.name != own.id.name)
        };
        let away = others().filter(|member| member.zone != own.zone);
        let names = away.map(|member| &*member.id.name);
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

    /// Answers a false rumour about this host with a higher refutation number.
    fn refute(&mut self, update: &Member) {
        let own = &mut self.own;
        let rumour = update.id == own.id && update.state != own.state;
        if rumour && update.refutation >= own.refutation {
            own.refutation = update.refutation + 1;
        }
    }

    /// Zones of which at least two hosts are known and all of them are silent.
    fn cut_zones(&self) -> collections::BTreeSet<ids::Name> {
        let mut zones: collections::BTreeMap<&ids::Name, (usize, usize)> =
            collections::BTreeMap::new();
        for entry in self.entries.values() {
            let (all, silent) = zones.entry(&entry.member.zone).or_default();
            if entry.member.state == State::Dead {
                continue;
            }
            *all += 1;
            *silent += usize::from(entry.member.state == State::Suspect);
        }
        let own_zone = &self.own.zone;
        zones
            .into_iter()
            .filter(|(zone, (all, silent))| {
                *zone != own_zone && *all >= MIN_ZONE_FOR_CUT && all == silent
            })
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    fn sends(&self) -> u32 {
        let hosts = u32::try_from(self.entries.len() + 2).unwrap_or(u32::MAX);
        RETRANSMIT_FACTOR * (hosts.ilog2() + 1)
    }
}

/// Within one incarnation, a higher refutation wins, then the later state. A refutation is the
/// member's own word, so it also ends a death: whatever was done meanwhile for a dead host is fenced
/// one by one.
fn supersedes(update: &Member, known: &Member) -> bool {
    (update.refutation, update.state) > (known.refutation, known.state)
}
