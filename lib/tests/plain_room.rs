//! Hosts that share the few servers of a plain service keep within what these do at once.

use std::cmp;
use std::collections;
use std::net;
use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::plain_room;

const SERVICE: &str = "orders";
const HOSTS: usize = 62;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// Average work of a request, in seconds.
const WORK: f64 = 0.031;
/// Time from a host to a server and back.
const LINK: f64 = 0.002;
/// Callers want the answer within this time, and wait at most for the other.
const TARGET: f64 = 0.15;
const DEADLINE: f64 = 1.5;
/// Requests of callers a second.
const USUAL: f64 = 204.0;
const NEWS_DELAY: f64 = 0.005;
const NEWS_INTERVAL: f64 = 0.5;
/// Shortest time between two news of a host.
const NEWS_SPACING: f64 = 0.005 * HOSTS as f64;
/// Share of what the servers do that is answered in time at least while more is asked.
const USED: f64 = 0.8;
/// Workspaces, of which the first may be hot.
const WORKSPACES: usize = 16;

fn at(seconds: f64) -> time::Duration {
    time::Duration::from_secs_f64(1_000.0 + seconds)
}

fn process(id: usize) -> backends::Process {
    backends::Process {
        id: format!("s{id}").into(),
        started_unix_ms: Some(1),
        addr: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        version: "v1".into(),
    }
}

/// Random numbers from 0 to 1, the same in each run.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Work with a spread of a half of its average, one in a hundred five times as long.
    fn work(&mut self) -> f64 {
        let tail = if self.next() < 0.01 { 5.0 } else { 1.0 };
        let spread: f64 = (0..12).map(|_| self.next()).sum::<f64>() - 6.0;
        0.03 * tail * (0.47 * spread - 0.11).exp()
    }
}

#[derive(Clone, Copy, Debug)]
struct Call {
    host: usize,
    workspace: usize,
    arrived: f64,
    returned: bool,
    server: usize,
    sent: f64,
}

#[derive(Debug)]
enum Event {
    Arrival,
    Ask(Call),
    Reach(Call),
    Done(usize, u32, Call),
    Answer(Call, bool),
    Heartbeat(usize),
    News(usize, Vec<(sync::Arc<str>, plain_room::Report)>),
}

/// An event with its time in microseconds and a number.
struct Entry(u64, u64, Event);

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Eq for Entry {}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

#[derive(Default)]
struct Server {
    running: usize,
    queue: collections::VecDeque<Call>,
    /// Changes when the server is restarted.
    incarnation: u32,
    slowdown: f64,
    /// Servers that are gone, or not there yet, aren't listed.
    is_listed: bool,
    most: usize,
}

/// What became of the requests that arrived within one second, or of one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    asked: f64,
    in_time: f64,
    refused: f64,
    rejected: f64,
    late: f64,
}

struct Replay {
    now: f64,
    next: u64,
    events: collections::BinaryHeap<Entry>,
    rooms: Vec<plain_room::PlainRoom>,
    /// Hosts that neither send nor get news.
    cut: Vec<bool>,
    servers: Vec<Server>,
    random: Random,
    /// Demand by usual, and of the first workspace by its usual.
    load: fn(f64) -> f64,
    hot: fn(f64) -> f64,
    seconds: Vec<Count>,
    workspaces: Vec<Count>,
    news: usize,
}

impl Replay {
    fn new(servers: usize, seed: u64, load: fn(f64) -> f64) -> Self {
        let mut replay = Self {
            now: 0.0,
            next: 0,
            events: collections::BinaryHeap::new(),
            rooms: (0..HOSTS)
                .map(|_| plain_room::PlainRoom::default())
                .collect(),
            cut: vec![false; HOSTS],
            servers: Vec::new(),
            random: Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1),
            load,
            hot: |_| 1.0,
            seconds: vec![Count::default(); 64],
            workspaces: vec![Count::default(); WORKSPACES],
            news: 0,
        };
        for _ in 0..servers {
            replay.servers.push(Server {
                slowdown: 1.0,
                is_listed: true,
                ..Server::default()
            });
        }
        replay.push(0.0, Event::Arrival);
        for host in 0..HOSTS {
            let first = replay.random.next() * NEWS_INTERVAL;
            replay.push(first, Event::Heartbeat(host));
        }
        replay
    }

    fn push(&mut self, after: f64, event: Event) {
        self.next += 1;
        let due = ((self.now + after) * 1e6) as u64;
        self.events.push(Entry(due, self.next, event));
    }

    fn run_until(&mut self, end: f64) {
        while let Some(entry) = self.events.peek() {
            if entry.0 as f64 / 1e6 >= end {
                break;
            }
            let entry = self.events.pop().expect("there is one");
            self.now = entry.0 as f64 / 1e6;
            self.handle(entry.2);
        }
    }

    /// Demand by usual, with its hot workspace.
    fn demand(&self) -> f64 {
        let others = (WORKSPACES - 1) as f64;
        (self.load)(self.now) * ((self.hot)(self.now) + others) / (others + 1.0)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => {
                let hot = (self.hot)(self.now);
                let workspace = self.random.next() * (hot + (WORKSPACES - 1) as f64);
                let call = Call {
                    host: (self.random.next() * HOSTS as f64) as usize,
                    workspace: (workspace - hot + 1.0).max(0.0) as usize,
                    arrived: self.now,
                    returned: false,
                    server: 0,
                    sent: 0.0,
                };
                self.count(call, |count| count.asked += 1.0);
                self.ask(call);
                let gap = -self.random.next().max(1e-9).ln() / (USUAL * self.demand());
                self.push(gap, Event::Arrival);
            }
            Event::Ask(call) => self.ask(call),
            Event::Reach(call) => self.reach(call),
            Event::Done(id, incarnation, call) => {
                if self.servers[id].incarnation == incarnation {
                    self.servers[id].running -= 1;
                    self.push(LINK / 2.0, Event::Answer(call, true));
                    self.start(id);
                }
            }
            Event::Answer(call, ran) => {
                let took = ran.then(|| at(self.now) - at(call.sent));
                let process = process(call.server);
                let now = at(self.now);
                self.rooms[call.host].record_ended(SERVICE, &process, took, now);
                match ran {
                    true if self.now - call.arrived <= TARGET => {
                        self.count(call, |count| count.in_time += 1.0);
                    }
                    true => self.count(call, |count| count.late += 1.0),
                    false => self.count(call, |count| count.rejected += 1.0),
                }
            }
            Event::Heartbeat(host) => {
                self.tell(host);
                let next = match self.rooms[host].any_short(at(self.now)) {
                    true => NEWS_SPACING,
                    false => NEWS_INTERVAL,
                };
                self.push(next, Event::Heartbeat(host));
            }
            Event::News(from, reports) => {
                let name: sync::Arc<str> = format!("h{from}").into();
                for host in (0..HOSTS).filter(|host| *host != from) {
                    if !self.cut[host] {
                        let now = at(self.now);
                        self.rooms[host].replace_reports(&name, reports.clone(), now);
                    }
                }
            }
        }
    }

    fn count(&mut self, call: Call, add: impl Fn(&mut Count)) {
        add(&mut self.seconds[call.arrived as usize]);
        add(&mut self.workspaces[call.workspace]);
    }

    fn tell(&mut self, host: usize) {
        if self.cut[host] {
            return;
        }
        self.news += 1;
        let reports = self.rooms[host].reports(at(self.now));
        let reports = reports.map(|(name, report)| (name.clone(), report));
        let reports = reports.collect();
        self.push(NEWS_DELAY, Event::News(host, reports));
    }

    fn ask(&mut self, mut call: Call) {
        let ids: Vec<_> = (0..self.servers.len())
            .filter(|id| self.servers[*id].is_listed)
            .collect();
        let places: Vec<_> = ids
            .iter()
            .map(|id| plain_room::Place {
                process: process(*id),
                slots: SLOTS as u32,
            })
            .collect();
        let random = self.random.next();
        let decision = self.rooms[call.host].decide(plain_room::Ask {
            service: SERVICE,
            workspace: &format!("w{}", call.workspace),
            weights: &[],
            priority: 2,
            servers: &places,
            hosts: HOSTS,
            now: at(self.now),
            random,
        });
        if let plain_room::Decision::Refuse { retry_after, .. } = decision {
            let wait = retry_after.as_secs_f64() * (1.0 + self.random.next() / 2.0);
            let left = call.arrived + DEADLINE - self.now;
            if !call.returned && wait <= left / 3.0 {
                call.returned = true;
                self.push(wait, Event::Ask(call));
            } else {
                self.count(call, |count| count.refused += 1.0);
            }
            return;
        }
        let random = self.random.next();
        let chosen = self.rooms[call.host].choose(SERVICE, &places, random, at(self.now));
        call.server = ids[chosen.unwrap_or((random * ids.len() as f64) as usize)];
        call.sent = self.now;
        self.rooms[call.host].record_sent(SERVICE, &process(call.server), at(self.now));
        self.push(LINK / 2.0, Event::Reach(call));
    }

    fn reach(&mut self, call: Call) {
        let server = &mut self.servers[call.server];
        if server.queue.len() >= QUEUE {
            self.push(LINK / 2.0, Event::Answer(call, false));
            return;
        }
        server.queue.push_back(call);
        server.most = server.most.max(server.running + server.queue.len());
        self.start(call.server);
    }

    fn start(&mut self, id: usize) {
        while self.servers[id].running < SLOTS {
            let Some(call) = self.servers[id].queue.pop_front() else {
                return;
            };
            self.servers[id].running += 1;
            let work = self.random.work() * self.servers[id].slowdown;
            self.push(work, Event::Done(id, self.servers[id].incarnation, call));
        }
    }

    /// Returns what became of the requests that arrived from one second up to another.
    fn sum(&self, seconds: std::ops::Range<usize>) -> Count {
        let mut sum = Count::default();
        for count in &self.seconds[seconds] {
            sum.asked += count.asked;
            sum.in_time += count.in_time;
            sum.refused += count.refused;
            sum.rejected += count.rejected;
            sum.late += count.late;
        }
        sum
    }
}

/// Requests a second that servers do.
fn capacity(servers: usize) -> f64 {
    servers as f64 * SLOTS as f64 / WORK
}

/// A wave with a period of 11 s, and bursts at 6, 17 and 27 s.
fn waves_and_bursts(now: f64) -> f64 {
    let wave = 1.0 + 0.27 * (now * std::f64::consts::TAU / 11.0).sin();
    let burst = match now {
        6.0..11.0 | 27.0..31.0 => 1.7,
        17.0..21.0 => 2.2,
        _ => 1.0,
    };
    wave * burst
}

#[test]
fn leaving_server() {
    for seed in 1..=3 {
        let mut replay = Replay::new(3, seed, waves_and_bursts);
        replay.run_until(18.3);
        replay.servers[2].is_listed = false;
        replay.run_until(36.0);
        for second in 0..34 {
            let servers = if second < 18 { 3 } else { 2 };
            let count = replay.seconds[second];
            if count.asked <= capacity(servers) {
                assert!(
                    count.in_time >= 0.9 * count.asked,
                    "{seed}: {second} {count:?}"
                );
            }
        }
    }
}

#[test]
fn lasting_shortage() {
    // One server is left, for a fifth to a half more than it does.
    for seed in 1..=2 {
        let mut replay = Replay::new(3, seed, |now| 1.25 + 0.15 * (now / 2.0).sin());
        replay.run_until(8.0);
        replay.servers[1].is_listed = false;
        replay.servers[2].is_listed = false;
        replay.run_until(32.0);
        let sum = replay.sum(12..30);
        assert!(sum.in_time >= 0.81 * 18.0 * capacity(1), "{sum:?}");
        assert!(sum.rejected <= 0.01 * sum.asked, "{sum:?}");
    }
}

#[test]
fn hot_workspace() {
    for seed in 1..=2 {
        let mut replay = Replay::new(2, seed, |_| 1.6);
        replay.hot = |now| if now < 5.0 { 1.0 } else { 7.5 };
        replay.run_until(8.0);
        replay.workspaces = vec![Count::default(); WORKSPACES];
        replay.run_until(28.0);
        for (workspace, count) in replay.workspaces.iter().enumerate() {
            if workspace > 0 {
                assert!(count.in_time >= 0.9 * count.asked, "{workspace} {count:?}");
            }
        }
        let hot = replay.workspaces[0];
        let others: f64 = replay.workspaces[1..].iter().map(|w| w.asked).sum();
        let left = 20.0 * capacity(2) - others;
        assert!(hot.in_time <= left, "{hot:?} {left}");
        assert!(hot.in_time >= 0.7 * left, "{hot:?} {left}");
        let all: f64 = replay.workspaces.iter().map(|w| w.in_time).sum();
        assert!(all >= USED * 20.0 * capacity(2), "{all}");
    }
}

/// A workspace counts as starved if it is served less than a quarter as often as all.
#[test]
fn no_workspace_starves() {
    let mut replay = Replay::new(2, 2, |_| 3.0);
    replay.hot = |_| 20.0;
    replay.run_until(8.0);
    replay.workspaces = vec![Count::default(); WORKSPACES];
    replay.run_until(28.0);
    let asked: f64 = replay.workspaces.iter().map(|w| w.asked).sum();
    let in_time: f64 = replay.workspaces.iter().map(|w| w.in_time).sum();
    for count in &replay.workspaces {
        let (own, all) = (count.in_time / count.asked, in_time / asked);
        assert!(own >= all / 4.0, "{own} of {all}");
    }
}

#[test]
fn room_free() {
    for seed in 1..=2 {
        let mut replay = Replay::new(3, seed, |_| 0.8);
        replay.run_until(22.0);
        let sum = replay.sum(0..20);
        assert_eq!(sum.refused, 0.0, "{sum:?}");
        // Only the states that are sent anyway.
        let usual = HOSTS as f64 * 22.0 / NEWS_INTERVAL;
        assert!(
            replay.news as f64 <= usual + HOSTS as f64,
            "{}",
            replay.news
        );
    }
}

#[test]
fn slow_server() {
    let mut replay = Replay::new(2, 1, |_| 1.5);
    replay.run_until(6.0);
    replay.servers[1].slowdown = 3.0;
    replay.run_until(22.0);
    let sum = replay.sum(9..20);
    let does = 11.0 * capacity(1) * (1.0 + 1.0 / 3.0);
    assert!(sum.in_time >= 0.75 * does, "{sum:?} of {does}");
}

#[test]
fn cut_hosts() {
    // A third of the hosts hear nothing and aren't heard.
    let mut replay = Replay::new(2, 1, |_| 2.2);
    replay.run_until(6.0);
    for host in 0..HOSTS / 3 {
        replay.cut[host] = true;
    }
    replay.run_until(22.0);
    let sum = replay.sum(9..20);
    assert!(sum.in_time >= USED * 11.0 * capacity(2), "{sum:?}");
    assert!(sum.rejected <= 0.02 * sum.asked, "{sum:?}");
}

#[test]
fn all_restarted() {
    let mut replay = Replay::new(1, 1, |_| 1.3);
    replay.run_until(8.0);
    for host in 0..HOSTS {
        replay.rooms[host] = plain_room::PlainRoom::default();
    }
    replay.run_until(22.0);
    let sum = replay.sum(10..20);
    assert!(sum.in_time >= USED * 10.0 * capacity(1), "{sum:?}");
}
