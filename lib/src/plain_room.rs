//! Keeps the requests that all hosts send to the servers of a plain service within what these do at once.
//!
//! Designed for this load: dozens of hosts share a few servers with a few slots each, whose queues are as long as the
//! target latency. Callers ask for more than the servers do, and half of the servers leave in between. Hosts that fill
//! the queues make every answer late.
//!
//! Each host adds up what all hosts told of their requests and of the servers' answers, and so learns how many requests
//! a second the servers do. While callers ask for more, it sends that share of its requests, divided among the callers'
//! workspaces, and refuses the others on arrival. A share is a fraction, as there is less than one slot for each host.

use std::collections;
use std::sync;
use std::time;

use crate::backends;
use crate::demand;
use crate::fair_shares;
use crate::server_capacity;

/// Share of the servers' capacity above which hosts tell each other what the shares are made from.
const TELL_ABOVE: f64 = 0.7;
/// How long hosts go on telling after demand fell below that. Bursts come in waves of some seconds.
const TELL_FOR: time::Duration = time::Duration::from_secs(2);
/// Share of the servers' capacity that is used if callers ask for more. With all of it, the work that waits at the
/// servers would grow without bound by the randomness of arrivals.
const USED_SHARE: f64 = 1.0;
/// Nothing is refused while less than this share of the slots is taken.
const MIN_TAKEN_SHARE: f64 = 0.6;
/// Time in which work that waits at the servers beyond the usual is worked off. It must be longer than news take, or the
/// hosts would send too little and too much by turns.
const DRAIN_TIME: time::Duration = time::Duration::from_millis(700);
/// Share of its capacity that a server is sent however much work waits there, so that its speed is known.
const LEAST_TURNS: f64 = 0.1;
/// Reports of hosts older than this don't count: more than two intervals of news.
const REPORT_VALID_FOR: time::Duration = time::Duration::from_millis(1_200);
/// Share of requests that less urgent ones keep, however many urgent ones there are.
const LESS_URGENT_SHARE: f64 = 0.05;
/// Share of its requests that a workspace is served at least, as a part of the share of all requests. Operators count a
/// workspace as starved that is served a quarter as often as all.
const LEAST_WORKSPACE_SHARE: f64 = 0.35;
/// Shortest and longest time after which a refused caller is told to return: about the time in which work ends, and
/// that in which a burst does.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(200);
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(2);
/// A shortage ends once there was room for this long: three intervals at which hosts tell each other.
const SHORTAGE_GAP: time::Duration = time::Duration::from_secs(1);
/// Averages since the first request count as those of this time at least.
const MIN_AVERAGED: time::Duration = time::Duration::from_millis(300);
/// What wasn't asked for or told for this long is forgotten.
const FORGET_AFTER: time::Duration = time::Duration::from_secs(10);

/// What a host does with requests for one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests of callers a second.
    pub per_second: f64,
    /// Of these, those of each workspace; empty while there is room.
    pub workspaces: Vec<(sync::Arc<str>, f64)>,
    /// What servers do for the host; empty while there is room.
    pub servers: Vec<(backends::Process, server_capacity::Work)>,
}

/// A usable server.
#[derive(Clone, Debug)]
pub struct Place {
    /// The server's process.
    pub process: backends::Process,
    /// The requests that it runs at once.
    pub slots: u32,
}

/// A request that is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The service that the request is for.
    pub service: &'a str,
    /// The caller's workspace; empty if it has none.
    pub workspace: &'a str,
    /// The weights of workspaces that aren't 1.
    pub weights: &'a [(sync::Arc<str>, f64)],
    /// Its priority; 0 goes first.
    pub priority: u8,
    /// The usable servers.
    pub servers: &'a [Place],
    /// The number of hosts, including this one.
    pub hosts: usize,
    /// The time since boot.
    pub now: time::Duration,
    /// Uniform from 0 to 1.
    pub random: f64,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// There is room: it is sent as usual.
    Send,
    /// It is sent as part of its workspace's share.
    SendInShare {
        /// The share of the workspace's requests that is sent, up to 1.
        share: f64,
    },
    /// It is refused. `retry_after` is the time for which the shortage is predicted to last.
    Refuse {
        /// The share of the workspace's requests that is sent.
        share: f64,
        /// When the caller should return.
        retry_after: time::Duration,
    },
}

/// Turns a share into single requests: the part of a request that is owed, and when it was last added to.
#[derive(Clone, Copy, Debug)]
struct Credit {
    owed: f64,
    as_of: time::Duration,
}

/// What is known of one service.
#[derive(Debug, Default)]
struct Service {
    /// Requests of callers at this host, by workspace and priority.
    own: collections::BTreeMap<(sync::Arc<str>, u8), demand::Rate>,
    /// What other hosts told, and when.
    reports: collections::BTreeMap<sync::Arc<str>, (Report, time::Duration)>,
    credits: collections::BTreeMap<(sync::Arc<str>, u8), Credit>,
    servers: server_capacity::Servers,
    /// Which part of a request each server has yet to get in its turn.
    turns: collections::BTreeMap<backends::Process, f64>,
    /// The usable servers and the number of hosts, as of the latest request.
    places: Vec<Place>,
    hosts: usize,
    /// When requests were last more than the servers do, and since when.
    short_at: time::Duration,
    short_since: time::Duration,
    /// When this host first got a request for it.
    since: time::Duration,
    /// Until when this host tells the others what shares are made from.
    tells_until: time::Duration,
}

/// What the shares of a service are made from at one moment.
#[derive(Clone, Copy, Debug, Default)]
struct Room {
    /// Requests of callers a second at all hosts.
    asked: f64,
    /// Requests a second that may be sent.
    capacity: f64,
    /// Whether more is asked for and most slots are taken, so that requests may be refused.
    is_short: bool,
}

impl Service {
    /// Returns the factor by which averages over a full time exceed those since the first request.
    fn warm_up(&self, now: time::Duration) -> f64 {
        let age = now.saturating_sub(self.since).max(MIN_AVERAGED);
        1.0 / (1.0 - demand::decay(age))
    }

    /// Returns the requests a second at this host by workspace.
    fn own_by_workspace(&self, now: time::Duration) -> collections::BTreeMap<&sync::Arc<str>, f64> {
        let mut asked = collections::BTreeMap::new();
        let warm_up = self.warm_up(now);
        for ((workspace, _), rate) in &self.own {
            *asked.entry(workspace).or_default() += rate.at(now) * warm_up;
        }
        asked
    }

    fn own_total(&self, now: time::Duration) -> f64 {
        self.own_by_workspace(now).values().sum()
    }

    fn fresh(&self, now: time::Duration) -> impl Iterator<Item = &Report> + Clone {
        let fresh = self
            .reports
            .values()
            .filter(move |(_, at)| now <= *at + REPORT_VALID_FOR);
        fresh.map(|(report, _)| report)
    }

    /// Adds up what all hosts have told of the servers, learns from it, and returns what these can take; `None` if
    /// nothing is known of them.
    fn room(&mut self, now: time::Duration) -> Option<Room> {
        if self.places.is_empty() {
            return None;
        }
        let own = self.own_total(now);
        let rates = self.fresh(now).map(|report| report.per_second);
        let asked = own + demand::elsewhere(own, rates, self.hosts);
        // Of hosts that don't tell of servers, it is taken that these do for them what they do for others.
        let telling = self
            .fresh(now)
            .filter(|report| !report.servers.is_empty())
            .map(|report| report.per_second);
        let known = own + telling.sum::<f64>();
        let scale = (asked / known.max(f64::MIN_POSITIVE)).max(1.0);
        let warm_up = self.warm_up(now);
        let own_work = |place: &Place| self.servers.own_work(&place.process, now).times(warm_up);
        let mut works: Vec<_> = self.places.iter().map(own_work).collect();
        for (process, work) in self.fresh(now).flat_map(|report| &report.servers) {
            let index = self
                .places
                .iter()
                .position(|place| place.process == *process);
            if let Some(index) = index {
                works[index].add(*work);
            }
        }
        // The answers to the first requests are yet to come, so averages say too little of what servers do.
        let learns = now < self.tells_until && now >= self.since + demand::AVERAGE_TIME;
        let mut room = Room {
            asked,
            ..Room::default()
        };
        let mut capacity = 0.0;
        let mut slots = 0.0;
        let mut outstanding = 0.0;
        for (place, work) in self.places.iter().zip(works) {
            let work = work.times(scale);
            if learns {
                self.servers.learn(&place.process, place.slots, work, now);
            }
            let does = self.servers.capacity(&place.process, place.slots)?;
            let excess = server_capacity::excess(place.slots, work);
            capacity += does;
            room.capacity += (does * USED_SHARE - excess / DRAIN_TIME.as_secs_f64()).max(0.0);
            slots += f64::from(place.slots.max(1));
            outstanding += work.outstanding;
        }
        if asked > TELL_ABOVE * capacity {
            self.tells_until = now + TELL_FOR;
        }
        let is_taken = outstanding >= MIN_TAKEN_SHARE * slots;
        room.is_short = is_taken && asked > room.capacity;
        if room.is_short {
            if now > self.short_at + SHORTAGE_GAP {
                self.short_since = now;
            }
            self.short_at = now;
        }
        Some(room)
    }

    /// Returns which share of a workspace's requests is sent.
    fn workspace_share(&self, ask: Ask<'_>, room: Room) -> f64 {
        let mut asked = self.own_by_workspace(ask.now);
        for (workspace, rate) in self.fresh(ask.now).flat_map(|report| &report.workspaces) {
            *asked.entry(workspace).or_default() += *rate;
        }
        let known: f64 = asked.values().sum();
        let scale = room.asked / known.max(f64::MIN_POSITIVE);
        let weight = |workspace: &str| {
            let weight = ask.weights.iter().find(|(name, _)| **name == *workspace);
            weight.map_or(1.0, |(_, weight)| *weight)
        };
        let least = LEAST_WORKSPACE_SHARE * (room.capacity / room.asked).clamp(0.0, 1.0);
        let claims: Vec<_> = asked
            .iter()
            .map(|(workspace, rate)| fair_shares::Claim {
                asked: rate * scale * (1.0 - least),
                weight: weight(workspace),
            })
            .collect();
        let owed = fair_shares::divide(room.capacity - least * room.asked, &claims);
        let own = asked.keys().position(|name| ***name == *ask.workspace);
        own.map_or(1.0, |own| {
            let rest = owed[own] / claims[own].asked.max(f64::MIN_POSITIVE);
            least + rest * (1.0 - least)
        })
    }

    /// Returns the requests a second of a workspace at this host whose priorities match.
    fn rate_of(&self, ask: Ask<'_>, matches: impl Fn(u8) -> bool) -> f64 {
        let own = self.own.iter().filter(|((workspace, priority), _)| {
            **workspace == *ask.workspace && matches(*priority)
        });
        own.map(|(_, rate)| rate.at(ask.now)).sum()
    }

    /// Returns which share of the requests of a priority is sent if `share` is sent of all: urgent ones come first.
    fn priority_share(&self, ask: Ask<'_>, share: f64) -> f64 {
        let all = self.rate_of(ask, |_| true);
        let urgent = self.rate_of(ask, |priority| priority < ask.priority);
        let same = self.rate_of(ask, |priority| priority == ask.priority);
        if all <= same {
            return share;
        }
        let left = (share * all - urgent) / same.max(f64::MIN_POSITIVE);
        left.clamp(LESS_URGENT_SHARE.min(share), 1.0)
    }
}

/// What this host knows of the room at the servers of plain services.
#[derive(Debug, Default)]
pub struct PlainRoom {
    services: collections::HashMap<sync::Arc<str>, Service>,
}

impl PlainRoom {
    fn service(&mut self, name: &str) -> &mut Service {
        if !self.services.contains_key(name) {
            self.services.insert(name.into(), Service::default());
        }
        self.services
            .get_mut(name)
            .expect("service was just inserted")
    }

    /// Counts a request of a caller and decides what to do with it.
    pub fn decide(&mut self, ask: Ask<'_>) -> Decision {
        let now = ask.now;
        let service = self.service(ask.service);
        if service.own.is_empty() {
            service.since = now;
        }
        let key = (sync::Arc::<str>::from(ask.workspace), ask.priority);
        service.own.entry(key.clone()).or_default().record(now);
        service.places = ask.servers.to_vec();
        service.hosts = ask.hosts;
        let Some(room) = service.room(now) else {
            return Decision::Send;
        };
        if !room.is_short {
            return Decision::Send;
        }
        let share = service.workspace_share(ask, room);
        let share = service.priority_share(ask, share).clamp(0.0, 1.0);
        let credit = service.credits.entry(key).or_insert(Credit {
            owed: ask.random,
            as_of: now,
        });
        credit.owed += share;
        credit.as_of = now;
        if credit.owed >= 1.0 {
            credit.owed -= 1.0;
            return Decision::SendInShare { share };
        }
        // Of a shortage it is only known how long it lasts; it is taken to last as long again.
        let retry_after = now.saturating_sub(service.short_since);
        Decision::Refuse {
            share,
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    /// Chooses one of the servers of a service that is short of room: each in turn, as often as it can take more than
    /// others; `None` if there is room. `random` is uniform from 0 to 1.
    pub fn choose(
        &mut self,
        service: &str,
        servers: &[Place],
        random: f64,
        now: time::Duration,
    ) -> Option<usize> {
        let service = self.services.get_mut(service)?;
        if service.tells_until <= now {
            return None;
        }
        let takes = servers.iter().map(|place| {
            let does = service.servers.capacity(&place.process, place.slots)?;
            let excess = service.servers.last_excess(&place.process, place.slots);
            Some((does - excess / DRAIN_TIME.as_secs_f64()).max(does * LEAST_TURNS))
        });
        let takes: Vec<f64> = takes.collect::<Option<_>>()?;
        let all: f64 = takes.iter().sum();
        let mut chosen: Option<(usize, f64)> = None;
        for (index, (place, take)) in servers.iter().zip(takes).enumerate() {
            // Hosts that begin together mustn't all begin with the same server.
            let first = (random * (index + 1) as f64).fract();
            let turn = service.turns.entry(place.process.clone()).or_insert(first);
            *turn += take / all;
            if chosen.is_none_or(|(_, most)| *turn > most) {
                chosen = Some((index, *turn));
            }
        }
        let (chosen, _) = chosen?;
        *service.turns.get_mut(&servers[chosen].process)? -= 1.0;
        Some(chosen)
    }

    /// Counts a request that is sent to a server.
    pub fn record_sent(&mut self, service: &str, process: &backends::Process, now: time::Duration) {
        self.service(service).servers.record_sent(process, now);
    }

    /// Records the end of a request at a server, and how long it took if the server answered it.
    pub fn record_ended(
        &mut self,
        service: &str,
        process: &backends::Process,
        took: Option<time::Duration>,
        now: time::Duration,
    ) {
        self.service(service)
            .servers
            .record_ended(process, took, now);
    }

    /// Returns whether this host tells the others what shares are made from, as a service is short of room.
    pub fn is_short(&self, service: &str, now: time::Duration) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.tells_until > now)
    }

    /// Returns whether this host tells the others what shares are made from, of any service.
    pub fn any_short(&self, now: time::Duration) -> bool {
        let mut services = self.services.values();
        services.any(|service| service.tells_until > now)
    }

    /// Returns what to tell the other hosts.
    pub fn reports(
        &mut self,
        now: time::Duration,
    ) -> impl Iterator<Item = (&sync::Arc<str>, Report)> {
        self.services.iter_mut().map(move |(name, service)| {
            // Hosts that get few requests learn as fast as the others.
            service.room(now);
            let mut report = Report {
                per_second: service.own_total(now),
                ..Report::default()
            };
            if service.tells_until > now {
                let workspaces = service.own_by_workspace(now).into_iter();
                report.workspaces = workspaces
                    .map(|(name, rate)| (name.clone(), rate))
                    .collect();
                let warm_up = service.warm_up(now);
                let servers = service.servers.all_own_work(now);
                let servers = servers.map(|(process, work)| (process, work.times(warm_up)));
                report.servers = servers.collect();
            }
            (name, report)
        })
    }

    /// Records what another host told, in place of what it told before.
    pub fn replace_reports(
        &mut self,
        host: &sync::Arc<str>,
        reports: Vec<(sync::Arc<str>, Report)>,
        now: time::Duration,
    ) {
        self.forget_host(host);
        for (service, report) in reports {
            let service = self.service(&service);
            service.reports.insert(host.clone(), (report, now));
        }
    }

    /// Forgets what a host told that can't be heard any more.
    pub fn forget_host(&mut self, host: &str) {
        for service in self.services.values_mut() {
            service.reports.remove(host);
        }
    }

    /// Forgets servers that aren't listed any more, and workspaces without requests.
    pub fn expire(&mut self, is_listed: impl Fn(&backends::Process) -> bool, now: time::Duration) {
        // Less than this is left of one request after the time.
        let least = demand::decay(FORGET_AFTER);
        for service in self.services.values_mut() {
            service.servers.retain(&is_listed);
            service.turns.retain(|process, _| is_listed(process));
            service.own.retain(|_, rate| rate.at(now) >= least);
            service
                .credits
                .retain(|_, credit| now < credit.as_of + FORGET_AFTER);
        }
    }
}
