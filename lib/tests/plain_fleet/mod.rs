//! Hosts that choose among fake servers of a plain service and tell each other what they learn.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::server_share;
use walnuthaven_lib::server_speed;
use walnuthaven_lib::start_pace;

/// The callers' target in milliseconds.
pub const TARGET: u64 = 120;
const SLOTS: u32 = 6;
const NEWS_INTERVAL: u64 = 500;
/// How often spells begin anew while a server is away.
const UPKEEP_INTERVAL: u64 = 250;

pub fn at(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// What a server does with a request that it starts at a time in milliseconds: the work in milliseconds, or a failure.
pub type Behaviour = fn(u64, &mut Draws) -> Option<f64>;

/// Uniform draws, the same for the same seed.
pub struct Draws(u64);

impl Draws {
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

struct Request {
    host: usize,
    sent: u64,
    ends: u64,
    failed: bool,
}

pub struct Server {
    pub backend: sync::Arc<backends::Backend>,
    pub behaviour: Behaviour,
    /// When it is listed, in milliseconds.
    pub joins: u64,
    /// When all hosts avoid it, in milliseconds.
    pub away: std::ops::Range<u64>,
    running: Vec<Request>,
    queue: collections::VecDeque<(usize, u64)>,
    /// When each request was sent to it.
    pub sent: Vec<u64>,
    pub most_at_once: usize,
    pub failures: usize,
    pub late: usize,
}

#[derive(Default)]
struct Host {
    speeds: server_speed::ServerSpeeds,
    paces: start_pace::Paces,
    outstanding: Vec<u32>,
}

pub struct Fleet {
    hosts: Vec<Host>,
    pub servers: Vec<Server>,
    pub draws: Draws,
    /// Whether hosts hear each other.
    pub hear: bool,
    now: u64,
}

impl Fleet {
    pub fn new(hosts: usize, behaviours: &[Behaviour], seed: u64) -> Self {
        let server = |(i, behaviour): (usize, &Behaviour)| Server {
            backend: sync::Arc::new(backends::Backend {
                id: format!("s{i}").as_str().into(),
                started_unix_ms: Some(i as u64),
                service: "orders".into(),
                addr: "127.0.0.1:80".parse().unwrap(),
                zone: "z".into(),
                draining: false,
                stage: None,
                slots: SLOTS,
                version: "v1".into(),
            }),
            behaviour: *behaviour,
            joins: 0,
            away: 0..0,
            running: Vec::new(),
            queue: collections::VecDeque::new(),
            sent: Vec::new(),
            most_at_once: 0,
            failures: 0,
            late: 0,
        };
        let host = || Host {
            outstanding: vec![0; behaviours.len()],
            ..Host::default()
        };
        Self {
            hosts: (0..hosts).map(|_| host()).collect(),
            servers: behaviours.iter().enumerate().map(server).collect(),
            draws: Draws(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            hear: true,
            now: 0,
        }
    }

    /// Sends `per_second` requests until a time in milliseconds.
    pub fn run_until(&mut self, end: u64, per_second: f64) {
        while self.now < end {
            self.now += 1;
            self.begin_spells();
            self.end_requests();
            self.tell();
            let mut left = per_second / 1e3;
            while self.draws.next() < left {
                self.send();
                left -= 1.0;
            }
        }
    }

    /// Returns the number of requests that a server was sent in a time in milliseconds.
    pub fn sent(&self, server: usize, times: std::ops::Range<u64>) -> usize {
        let sent = &self.servers[server].sent;
        sent.iter().filter(|at| times.contains(at)).count()
    }

    fn begin_spells(&mut self) {
        for server in &self.servers {
            let process = server.backend.process();
            let is_away =
                self.now.is_multiple_of(UPKEEP_INTERVAL) && server.away.contains(&self.now);
            for host in &mut self.hosts {
                let recent = match server.joins == self.now {
                    true => server_speed::Sums::default(),
                    false if is_away => host.speeds.recent(&process, at(self.now)),
                    false => break,
                };
                host.paces.begin(&process, recent, at(self.now));
            }
        }
    }

    fn send(&mut self) {
        let now = self.now;
        let number = (self.draws.next() * self.hosts.len() as f64) as usize;
        let host = &mut self.hosts[number];
        let listed = || {
            self.servers
                .iter()
                .enumerate()
                .filter(|(_, s)| s.joins <= now)
        };
        let mut usable: Vec<_> = listed().filter(|(_, s)| !s.away.contains(&now)).collect();
        if usable.is_empty() {
            usable = listed().collect();
        }
        let (numbers, listed): (Vec<_>, Vec<_>) = usable
            .into_iter()
            .map(|(i, s)| (i, s.backend.clone()))
            .unzip();
        let estimates = host.speeds.estimates(&listed, at(now));
        let usual_failures = host.speeds.failure_rate(&listed, at(now));
        let candidates: Vec<_> = listed
            .iter()
            .zip(estimates)
            .zip(&numbers)
            .map(|((server, estimate), number)| {
                let process = server.process();
                let evidence = start_pace::Evidence {
                    recent: host.speeds.recent(&process, at(now)),
                    enough: f64::from(SLOTS),
                    usual_failures,
                };
                server_share::Candidate {
                    server,
                    estimate,
                    part: host.paces.pace(&process, evidence, at(now)).part(),
                    outstanding: host.outstanding[*number],
                }
            })
            .collect();
        let draws = [self.draws.next(), self.draws.next()];
        let chosen = server_share::choose(&candidates, "z", draws).expect("no caller is unserved");
        let chosen = self
            .servers
            .iter()
            .position(|s| s.backend == *chosen)
            .unwrap();
        host.outstanding[chosen] += 1;
        let server = &mut self.servers[chosen];
        server.sent.push(now);
        server.queue.push_back((number, now));
        server.start(now, &mut self.draws);
    }

    fn end_requests(&mut self) {
        for (i, server) in self.servers.iter_mut().enumerate() {
            let running = std::mem::take(&mut server.running);
            for request in running {
                if self.now < request.ends {
                    server.running.push(request);
                    continue;
                }
                let took = self.now - request.sent;
                let late = took > TARGET;
                let ending = match request.failed {
                    true => server_speed::Ending::Failed,
                    false => server_speed::Ending::Answered {
                        took: at(took),
                        late,
                    },
                };
                server.failures += usize::from(request.failed);
                server.late += usize::from(late);
                let host = &mut self.hosts[request.host];
                host.outstanding[i] -= 1;
                let process = server.backend.process();
                let is_usual = !host.paces.is_paced(&process);
                host.speeds.record(&process, ending, is_usual, at(self.now));
            }
            server.start(self.now, &mut self.draws);
        }
    }

    fn tell(&mut self) {
        if !self.hear {
            return;
        }
        for teller in 0..self.hosts.len() {
            if !(self.now + teller as u64 * 7).is_multiple_of(NEWS_INTERVAL) {
                continue;
            }
            let name: sync::Arc<str> = format!("h{teller}").as_str().into();
            let reports = self.hosts[teller].speeds.take_reports(16, at(self.now));
            for hearer in (0..self.hosts.len()).filter(|hearer| *hearer != teller) {
                let speeds = &mut self.hosts[hearer].speeds;
                for (process, report) in &reports {
                    speeds.replace_report(&name, process, *report, at(self.now));
                }
            }
        }
    }
}

impl Server {
    fn start(&mut self, now: u64, draws: &mut Draws) {
        self.most_at_once = self.most_at_once.max(self.running.len() + self.queue.len());
        while self.running.len() < SLOTS as usize
            && let Some((host, sent)) = self.queue.pop_front()
        {
            let work = (self.behaviour)(now, draws);
            self.running.push(Request {
                host,
                sent,
                ends: now + work.unwrap_or(2.0).ceil() as u64,
                failed: work.is_none(),
            });
        }
    }
}
