//! Hosts that share the limit of a server keep it together, and leave little of it unused.

use std::collections;
use std::net;
use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::rendezvous;
use walnuthaven_lib::server_limits;

const SERVICE: &str = "gate";
/// Time until news of one host reach the others.
const NEWS_DELAY: time::Duration = time::Duration::from_millis(20);
/// Time between two news of a host that nothing hurries.
const NEWS_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// The span in which requests are counted, and the length of a simulation.
const WINDOW: time::Duration = time::Duration::from_secs(4);
const LENGTH: time::Duration = time::Duration::from_secs(20);
/// Time for which callers send requests before the server names its limit.
const WARM_UP: time::Duration = time::Duration::from_secs(2);
/// Steps of a simulation.
const STEP: time::Duration = time::Duration::from_millis(1);

fn process(id: &str, born: u64) -> backends::Process {
    backends::Process {
        id: id.into(),
        started_unix_ms: Some(born),
        addr: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        version: "v1".into(),
    }
}

fn at(ms: u64) -> time::Duration {
    time::Duration::from_millis(1_000_000 + ms)
}

/// Random numbers from 0 to 1, the same in each run.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 += 1;
        let score = rendezvous::score("limits", &self.0.to_string());
        (score >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Hosts that share the limit of one server.
struct Fleet {
    hosts: Vec<server_limits::ServerLimits>,
    /// Requests a second of callers, by host and priority, that come from a time on.
    demand: Vec<Vec<(u8, f64)>>,
    /// Hosts that hear no other host, and aren't heard.
    cut_off: collections::BTreeSet<usize>,
}

/// What a simulation counted after the hosts knew of the limit.
struct Counts {
    /// When the server got requests, and their priorities.
    sent: Vec<(time::Duration, u8)>,
}

impl Counts {
    fn most_in_window(&self) -> usize {
        let counted = |start: &time::Duration| {
            let end = *start + WINDOW;
            self.sent
                .iter()
                .filter(|(at, _)| at >= start && *at < end)
                .count()
        };
        self.sent
            .iter()
            .map(|(at, _)| counted(at))
            .max()
            .unwrap_or(0)
    }

    fn per_second(&self) -> f64 {
        self.sent.len() as f64 / LENGTH.as_secs_f64()
    }

    fn share_of(&self, priority: u8) -> f64 {
        let of_priority = self.sent.iter().filter(|(_, p)| *p == priority).count();
        of_priority as f64 / LENGTH.as_secs_f64()
    }
}

impl Fleet {
    fn new(demand: Vec<Vec<(u8, f64)>>) -> Self {
        Self {
            hosts: demand
                .iter()
                .map(|_| server_limits::ServerLimits::default())
                .collect(),
            demand,
            cut_off: collections::BTreeSet::new(),
        }
    }

    /// Simulates the hosts from the moment at which all of them learn of a limit.
    fn run(&mut self, per_second: f64, seed: u64) -> Counts {
        let mut random = Random(seed << 32);
        let limited = process("i-a", 1);
        let service: sync::Arc<str> = SERVICE.into();
        let count = self.hosts.len();
        let names: Vec<sync::Arc<str>> = (0..count).map(|n| format!("h{n}").into()).collect();
        // News under way: when they arrive, from whom, and the requests and answers that they tell of.
        let mut news: collections::VecDeque<(
            time::Duration,
            usize,
            f64,
            server_limits::Statement,
        )> = collections::VecDeque::new();
        let mut told_at = vec![time::Duration::ZERO; count];
        let mut sent = Vec::new();
        let mut now = at(0).saturating_sub(WARM_UP);
        while now < at(0) + LENGTH {
            now += STEP;
            if now == at(0) {
                for host in &mut self.hosts {
                    host.record_answer(&limited, Some(per_second), now);
                }
            }
            while news.front().is_some_and(|(due, ..)| *due <= now) {
                let Some((_, from, demand, statement)) = news.pop_front() else {
                    break;
                };
                for (to, host) in self.hosts.iter_mut().enumerate() {
                    let cut_off = self.cut_off.contains(&from) || self.cut_off.contains(&to);
                    if to != from && !cut_off {
                        host.replace_demand(&names[from], vec![(service.clone(), demand)]);
                        host.merge(&limited, &statement);
                    }
                }
            }
            for (number, host) in self.hosts.iter_mut().enumerate() {
                let mut hurries = false;
                for (priority, rate) in &self.demand[number] {
                    if random.next() >= rate * STEP.as_secs_f64() {
                        continue;
                    }
                    hurries = true;
                    host.record_request(&service, *priority, now);
                    if now < at(0) {
                        continue;
                    }
                    let ask = server_limits::Ask {
                        service: SERVICE,
                        priority: *priority,
                        hosts: count,
                        servers: 1,
                        now,
                    };
                    if host.wait(&limited, ask, random.next()).is_zero() {
                        host.record_sent(&limited, *priority);
                        host.record_answer(&limited, Some(per_second), now);
                        sent.push((now, *priority));
                    }
                }
                let spacing = match hurries {
                    true => time::Duration::from_millis(5) * count as u32,
                    false => NEWS_INTERVAL,
                };
                if now >= at(0) && now.saturating_sub(told_at[number]) >= spacing {
                    told_at[number] = now;
                    let demand: f64 = host.own_demand(now).map(|(_, demand)| demand).sum();
                    let statement = host.statements().map(|(_, statement)| *statement).next();
                    let statement = statement.unwrap_or_default();
                    news.push_back((now + NEWS_DELAY, number, demand, statement));
                }
            }
        }
        Counts { sent }
    }
}

/// Returns how many requests a server may get in `WINDOW`.
fn allowed(per_second: f64) -> f64 {
    1.5 * per_second * WINDOW.as_secs_f64() + 5.0
}

fn equal_demand(hosts: usize, per_second: f64) -> Vec<Vec<(u8, f64)>> {
    vec![vec![(1, per_second / hosts as f64)]; hosts]
}

#[test]
fn limit_is_kept_and_used_whatever_its_size_and_the_number_of_hosts() {
    for hosts in [1, 3, 8, 64] {
        for limit in [0.0, 0.5, 2.0, 7.0, 40.0] {
            for (seed, demand) in [(1, 12.0), (2, 72.0), (3, 200.0)] {
                let counts = Fleet::new(equal_demand(hosts, demand)).run(limit, seed);
                let most = counts.most_in_window();
                let case = format!("{hosts} hosts, limit {limit}, demand {demand}");
                assert!(most as f64 <= allowed(limit), "{case}: {most} in 4 s");
                // Callers come at random, so the count of few requests varies.
                let usable = limit.min(demand) * LENGTH.as_secs_f64();
                let sent = counts.sent.len() as f64;
                assert!(sent >= 0.7 * usable - 3.0, "{case}: {sent} of {usable}");
            }
        }
    }
}

// All callers of a zone may come to one host.
#[test]
fn host_with_most_callers_gets_most_of_the_limit() {
    let mut demand = equal_demand(8, 8.0);
    demand[3] = vec![(1, 60.0)];
    let counts = Fleet::new(demand).run(7.0, 4);
    assert!(
        counts.most_in_window() as f64 <= allowed(7.0),
        "{}",
        counts.most_in_window()
    );
    assert!(counts.per_second() >= 5.5, "{}", counts.per_second());
}

// Hosts that hear from nobody don't know what the others send.
#[test]
fn limit_is_kept_by_hosts_that_are_cut_off_from_each_other() {
    for cut_off in [1, 4, 8] {
        let mut fleet = Fleet::new(equal_demand(8, 72.0));
        fleet.cut_off = (0..cut_off).collect();
        let counts = fleet.run(7.0, 5);
        let most = counts.most_in_window();
        assert!(
            most as f64 <= allowed(7.0),
            "{cut_off} cut off: {most} in 4 s"
        );
        assert!(
            counts.per_second() >= 4.5,
            "{cut_off} cut off: {}",
            counts.per_second()
        );
    }
}

#[test]
fn urgent_requests_go_first_and_others_are_not_starved() {
    let demand = vec![vec![(0, 2.0), (5, 10.0)]; 4];
    let counts = Fleet::new(demand).run(10.0, 6);
    assert!(counts.most_in_window() as f64 <= allowed(10.0));
    assert!(
        counts.share_of(0) >= 0.7 * 8.0,
        "{} of 8 urgent",
        counts.share_of(0)
    );
    assert!(counts.share_of(5) >= 0.3, "{} others", counts.share_of(5));
}

fn named(
    limits: &mut server_limits::ServerLimits,
    of: &backends::Process,
    rate: Option<f64>,
    ms: u64,
) {
    limits.record_answer(of, rate, at(ms));
}

#[test]
fn limit_ends_when_an_answer_omits_it_some_time_after_the_last_that_named_it() {
    let mut limits = server_limits::ServerLimits::default();
    let server = process("i-a", 1);
    named(&mut limits, &server, None, 0);
    assert!(!limits.any_holds());
    named(&mut limits, &server, Some(5.0), 100);
    assert!(limits.any_holds());
    // An answer that was made before the limit may come after it.
    named(&mut limits, &server, None, 200);
    assert!(limits.any_holds());
    named(&mut limits, &server, None, 1_300);
    assert!(!limits.any_holds());
    named(&mut limits, &server, Some(3.0), 2_500);
    assert!(limits.any_holds());
}

// The requests that show whether a limit of zero still holds must come from some host before long.
#[test]
fn server_without_answers_is_asked_again_within_seconds() {
    let limited = process("i-a", 1);
    let service: sync::Arc<str> = SERVICE.into();
    for seed in 0..50 {
        let mut random = Random(seed << 32);
        let mut hosts: Vec<_> = (0..3)
            .map(|_| server_limits::ServerLimits::default())
            .collect();
        for host in &mut hosts {
            named(host, &limited, Some(0.0), 0);
        }
        let mut asked_at = None;
        // Each host has 20 requests a second.
        for ms in (0..10_000).step_by(50) {
            for host in &mut hosts {
                host.record_request(&service, 1, at(ms));
                let ask = server_limits::Ask {
                    service: SERVICE,
                    priority: 1,
                    hosts: 3,
                    servers: 1,
                    now: at(ms),
                };
                if host.wait(&limited, ask, random.next()).is_zero() {
                    asked_at = asked_at.or(Some(ms));
                }
            }
        }
        assert!(
            asked_at.is_some_and(|ms| ms <= 8_100),
            "seed {seed}: {asked_at:?}"
        );
    }
}

// A host that hasn't heard of the end goes on telling of the limit.
#[test]
fn limit_that_ended_is_not_revived_by_older_news() {
    let mut limits = server_limits::ServerLimits::default();
    let server = process("i-a", 1);
    named(&mut limits, &server, Some(5.0), 0);
    named(&mut limits, &server, None, 2_000);
    let outdated = server_limits::Statement {
        per_second: 5.0,
        named_at: Some(at(500)),
        omitted_at: None,
    };
    assert!(!limits.merge(&server, &outdated));
    assert!(!limits.any_holds());
}

#[test]
fn process_that_takes_the_place_of_another_has_named_nothing() {
    let mut limits = server_limits::ServerLimits::default();
    named(&mut limits, &process("i-a", 1), Some(5.0), 0);
    let service: sync::Arc<str> = SERVICE.into();
    limits.record_request(&service, 1, at(0));
    let ask = |now| server_limits::Ask {
        service: SERVICE,
        priority: 1,
        hosts: 1,
        servers: 1,
        now,
    };
    let next = process("i-a", 2);
    for ms in 0..100 {
        assert!(limits.wait(&next, ask(at(ms)), 0.5).is_zero());
        limits.record_sent(&next, 1);
    }
    limits.expire(|listed| *listed == next, at(200));
    assert!(!limits.any_holds());
}

#[test]
fn refused_callers_are_told_when_those_before_them_are_served() {
    let mut limits = server_limits::ServerLimits::default();
    let server = process("i-a", 1);
    named(&mut limits, &server, Some(4.0), 0);
    let service: sync::Arc<str> = SERVICE.into();
    let mut waits = Vec::new();
    for number in 0..40 {
        let now = at(number * 25);
        limits.record_request(&service, 1, now);
        let ask = server_limits::Ask {
            service: SERVICE,
            priority: 1,
            hosts: 1,
            servers: 1,
            now,
        };
        waits.push(limits.record_refusal(std::slice::from_ref(&server), ask));
    }
    assert!(waits[0] >= time::Duration::from_millis(250), "{waits:?}");
    assert!(waits.is_sorted(), "{waits:?}");
    // About 25 were refused in the last second, which the server takes in 6 s.
    assert!(waits[39] > time::Duration::from_secs(4), "{waits:?}");
}
