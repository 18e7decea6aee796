//! Hosts that share the limits of workspaces keep them together, and leave little of them unused.

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::shared_limits;

/// The span in which use is counted, the part by which a limit may be exceeded in it, and what may be used besides.
const WINDOW: time::Duration = time::Duration::from_secs(8);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 120_000.0;
/// Time between two whole states of a host, shortest time between two messages, and time until they arrive.
const NEWS_INTERVAL: time::Duration = time::Duration::from_millis(500);
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(2);
const NEWS_DELAY: time::Duration = time::Duration::from_millis(30);
const STEP: time::Duration = time::Duration::from_millis(2);
const WORKSPACE: &str = "north";
/// The cost of a generation with a long prompt, and of a plain request.
const COST: f64 = 6_800.0;
const PLAIN_COST: f64 = 200.0;
/// The lowest limit that a workspace has, in tokens a second.
const LOWEST: f64 = 29_000.0;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// Random numbers from 0 to 1, the same in each run.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

struct Host {
    limits: shared_limits::SharedLimits,
    incarnation: u64,
    state_at: time::Duration,
    told_at: time::Duration,
    must_tell: bool,
}

/// News under way.
struct Message {
    arrives: time::Duration,
    from: usize,
    incarnation: u64,
    is_state: bool,
    statements: Vec<shared_limits::Statement>,
}

/// Hosts that share one limit.
struct Fleet {
    hosts: Vec<Host>,
    /// Hosts hear only those on the same side.
    side: Vec<usize>,
    /// Hosts of a version that tells nothing.
    mute: collections::BTreeSet<usize>,
    allowance: shared_limits::Allowance,
    news: collections::VecDeque<Message>,
    random: Random,
    now: time::Duration,
    /// Admitted requests: when, and their cost.
    used: Vec<(time::Duration, f64)>,
    refused: f64,
    messages: usize,
    last_retry_after: time::Duration,
}

fn allowance(per_second: f64, burst: f64) -> shared_limits::Allowance {
    shared_limits::Allowance {
        per_second,
        burst,
        slack: 0.0,
    }
}

impl Fleet {
    fn new(hosts: usize, allowance: shared_limits::Allowance, seed: u64) -> Self {
        let mut fleet = Self {
            hosts: Vec::new(),
            side: vec![0; hosts],
            mute: collections::BTreeSet::new(),
            allowance,
            news: collections::VecDeque::new(),
            random: Random(seed),
            now: ms(1_000_000),
            used: Vec::new(),
            refused: 0.0,
            messages: 0,
            last_retry_after: ms(0),
        };
        for _ in 0..hosts {
            let host = fleet.start(hosts);
            fleet.hosts.push(host);
        }
        fleet
    }

    fn start(&mut self, listed: usize) -> Host {
        let incarnation = self.now.as_millis() as u64;
        let mut limits = shared_limits::SharedLimits::new(incarnation);
        limits.set_host_count(listed);
        limits.set_allowances([(WORKSPACE.into(), self.allowance)].into_iter(), self.now);
        Host {
            limits,
            incarnation,
            state_at: self.now + NEWS_INTERVAL.mul_f64(self.random.next()),
            told_at: ms(0),
            must_tell: false,
        }
    }

    fn restart(&mut self, host: usize) {
        self.hosts[host] = self.start(self.side.len());
    }

    fn set_allowance(&mut self, allowance: shared_limits::Allowance) {
        self.allowance = allowance;
        for host in &mut self.hosts {
            host.limits
                .set_allowances([(WORKSPACE.into(), allowance)].into_iter(), self.now);
        }
    }

    fn request(&mut self, host: usize, cost: f64) -> bool {
        let random = self.random.next();
        let host = &mut self.hosts[host];
        match host.limits.decide(WORKSPACE, cost, random, self.now) {
            shared_limits::Decision::Admitted { tell } => {
                host.must_tell |= tell;
                self.used.push((self.now, cost));
                true
            }
            shared_limits::Decision::Refused { retry_after } => {
                self.refused += cost;
                self.last_retry_after = retry_after;
                false
            }
        }
    }

    /// Lets time pass in which hosts tell each other their news. `demand` returns what callers ask of each host, in
    /// tokens a second.
    fn run(&mut self, length: time::Duration, mut demand: impl FnMut(&Self, usize) -> f64) {
        let end = self.now + length;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for host in 0..self.hosts.len() {
                let wanted = demand(self, host) * STEP.as_secs_f64();
                // A tenth of the tokens is of plain requests.
                for (cost, part) in [(COST, 0.9), (PLAIN_COST, 0.1)] {
                    let mut expected = wanted * part / cost;
                    while self.random.next() < expected {
                        self.request(host, cost);
                        expected -= 1.0;
                    }
                }
                self.tell(host);
            }
        }
    }

    fn tell(&mut self, from: usize) {
        let host = &mut self.hosts[from];
        let is_state = self.now >= host.state_at;
        let is_due = host.must_tell && self.now >= host.told_at + MIN_INTERVAL;
        if !is_state && !is_due {
            return;
        }
        host.must_tell = false;
        host.told_at = self.now;
        let statements = match is_state {
            true => {
                host.state_at = self.now + NEWS_INTERVAL;
                host.limits.state(16, self.now)
            }
            false => host.limits.changes(16),
        };
        self.messages += usize::from(!is_state);
        if !self.mute.contains(&from) {
            self.news.push_back(Message {
                arrives: self.now + NEWS_DELAY,
                from,
                incarnation: host.incarnation,
                is_state,
                statements,
            });
        }
    }

    fn deliver(&mut self) {
        while self.news.front().is_some_and(|m| m.arrives <= self.now) {
            let Some(message) = self.news.pop_front() else {
                return;
            };
            let name: sync::Arc<str> = format!("h{}", message.from).into();
            let is_old = self.hosts[message.from].incarnation != message.incarnation;
            for to in 0..self.hosts.len() {
                let is_cut = self.side[to] != self.side[message.from];
                // One message in fifty is lost.
                if to == message.from || is_old || is_cut || self.random.next() < 0.02 {
                    continue;
                }
                let limits = &mut self.hosts[to].limits;
                // Changes of a host whose state isn't known are ignored.
                if message.is_state || limits.knows_host(&name, message.incarnation, self.now) {
                    let told = &message.statements;
                    limits.record_news(&name, message.incarnation, told, self.now);
                }
            }
        }
    }

    fn used_since(&self, since: time::Duration) -> f64 {
        let used = self.used.iter().filter(|(at, _)| *at >= since);
        used.map(|(_, cost)| cost).sum()
    }

    /// Returns the most that was used in any `WINDOW` that began at `since` or later.
    fn most_in_window(&self, since: time::Duration) -> f64 {
        let (mut first, mut sum, mut most) = (0, 0.0, 0.0_f64);
        let used: Vec<_> = self.used.iter().filter(|(at, _)| *at >= since).collect();
        for (at, cost) in &used {
            sum += cost;
            while used[first].0 + WINDOW <= *at {
                sum -= used[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }

    fn bound(&self) -> f64 {
        let allowed = self.allowance.per_second * WINDOW.as_secs_f64() + self.allowance.burst;
        allowed * (1.0 + OVERAGE) + SLACK
    }

    fn is_kept(&self) -> bool {
        self.most_in_window(ms(0)) <= self.bound()
    }

    fn assert_kept(&self, what: &str) {
        let (most, bound) = (self.most_in_window(ms(0)), self.bound());
        assert!(most <= bound, "{what}: {most} used in 8 s, allowed {bound}");
    }
}

/// Hosts, limit, burst in seconds, demand as a multiple of the limit, how it is spread, and what fails.
type Case = (u8, u8, u8, u8, u8, u8);

fn keeps_limit((hosts, limit, burst, demand, spread, failure): Case) -> bool {
    let hosts = 3 + usize::from(hosts % 30);
    let per_second = LOWEST + f64::from(limit) * 1_500.0;
    let burst = per_second * f64::from(burst % 21) / 10.0;
    let total = per_second * f64::from(demand % 16) / 2.0;
    let seed = u64::from(limit) * 251 + u64::from(demand);
    // Hosts may not know of the slack.
    let slack = SLACK * f64::from(spread / 3 % 2);
    let allowance = shared_limits::Allowance {
        slack,
        ..allowance(per_second, burst)
    };
    let mut fleet = Fleet::new(hosts, allowance, seed);
    let needs = move |fleet: &Fleet, host: usize| match spread % 3 {
        0 => total / hosts as f64,
        1 if host == 1 => total,
        2 if host as u128 == fleet.now.as_millis() / 700 % hosts as u128 => total,
        _ => 0.0,
    };
    fleet.run(ms(4_000), needs);
    match failure % 5 {
        // Two sides, or single hosts.
        0 => (0..hosts).for_each(|host| fleet.side[host] = host % 2),
        1 => (0..hosts / 4).for_each(|host| fleet.side[host] = host + 1),
        2 => (0..hosts).for_each(|host| fleet.restart(host)),
        3 => (0..hosts / 2).for_each(|host| fleet.restart(host)),
        _ => {}
    }
    fleet.run(ms(9_000), needs);
    fleet.side = vec![0; hosts];
    fleet.run(ms(4_000), needs);
    fleet.is_kept()
}

#[test]
fn limit_kept() {
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(256, 41))
        .tests(60)
        .quickcheck(keeps_limit as fn(Case) -> bool);
}

// A burst begins while hosts can't hear each other and don't know it yet.
#[test]
fn burst_at_cut() {
    let per_second = 300_000.0;
    for (before, demand) in [(0.3, 8.0), (0.9, 8.0), (0.3, 3.0)] {
        for (burst, lost) in [(0.5, 10), (1.0, 10), (2.0, 10), (2.0, 15), (1.0, 2)] {
            let mut fleet = Fleet::new(20, allowance(per_second, per_second * burst), 5);
            fleet.run(ms(9_000), |_, _| before * per_second / 20.0);
            (0..lost).for_each(|host| fleet.side[host] = 1);
            fleet.run(ms(10_000), |_, _| demand * per_second / 20.0);
            fleet.assert_kept(&format!(
                "{before} to {demand}, burst {burst} s, {lost} lost"
            ));
        }
    }
}

#[test]
fn killed_hosts() {
    let mut fleet = Fleet::new(62, allowance(100_000.0, 200_000.0), 7);
    fleet.run(ms(3_000), |_, _| 400_000.0 / 62.0);
    for _ in 0..6 {
        (0..62).for_each(|host| fleet.restart(host));
        fleet.run(ms(1_500), |_, _| 400_000.0 / 62.0);
    }
    fleet.assert_kept("all killed six times");
}

// What hosts tell first of a workspace soon after their start is new use.
#[test]
fn first_use() {
    for idle in [300, 1_000, 2_500] {
        let mut fleet = Fleet::new(62, allowance(300_000.0, 100_000.0), 17);
        fleet.run(ms(idle), |_, _| 0.0);
        fleet.run(ms(9_000), |_, _| 2_000_000.0 / 62.0);
        fleet.assert_kept(&format!("idle for {idle} ms"));
    }
}

// A host that is started alone takes over how much of the limit is left.
#[test]
fn restarted_host() {
    let mut fleet = Fleet::new(12, allowance(100_000.0, 100_000.0), 8);
    fleet.run(ms(5_000), |_, _| 80_000.0 / 12.0);
    fleet.restart(3);
    fleet.run(
        ms(2_000),
        |_, host| {
            if host == 3 { 0.0 } else { 80_000.0 / 12.0 }
        },
    );
    fleet.refused = 0.0;
    let since = fleet.now;
    fleet.run(ms(6_000), |_, host| if host == 3 { 70_000.0 } else { 0.0 });
    let used = fleet.used_since(since);
    assert!(
        fleet.refused < 0.05 * used,
        "{} refused, {used} used",
        fleet.refused
    );
}

#[test]
fn older_hosts() {
    let mut fleet = Fleet::new(10, allowance(200_000.0, 100_000.0), 9);
    fleet.mute = (0..4).collect();
    fleet.run(ms(12_000), |_, host| match host {
        // Their own use isn't ours to bound.
        0..4 => 18_000.0,
        _ => 100_000.0,
    });
    fleet.assert_kept("four hosts that tell nothing");
}

#[test]
fn lower_limit() {
    let mut fleet = Fleet::new(30, allowance(300_000.0, 300_000.0), 10);
    fleet.run(ms(6_000), |_, _| 20_000.0);
    fleet.set_allowance(allowance(60_000.0, 30_000.0));
    let since = fleet.now;
    fleet.run(ms(12_000), |_, _| 20_000.0);
    let most = fleet.most_in_window(since);
    assert!(most <= fleet.bound(), "{most} of {}", fleet.bound());
}

// All demand at one host of 86, from the hosts' start on.
#[test]
fn single_host() {
    for per_second in [LOWEST, 300_000.0] {
        let mut fleet = Fleet::new(86, allowance(per_second, per_second), 11);
        let all_at = |_: &Fleet, host: usize| if host == 40 { 2.0 * per_second } else { 0.0 };
        fleet.run(ms(2_000), all_at);
        let since = fleet.now;
        fleet.run(ms(10_000), all_at);
        let used = fleet.used_since(since) / 10.0;
        assert!(used >= 0.95 * per_second, "{used} of {per_second} a second");
        fleet.assert_kept("one host");
    }
}

// Below its limit a workspace isn't refused, wherever its requests come.
#[test]
fn demand_below() {
    for spread in 0..3 {
        let mut fleet = Fleet::new(62, allowance(300_000.0, 300_000.0), 12);
        fleet.run(ms(3_000), |_, _| 1_000.0);
        fleet.refused = 0.0;
        let since = fleet.now;
        fleet.run(ms(15_000), |fleet, host| match spread {
            0 => 210_000.0 / 62.0,
            1 if host == 9 => 210_000.0,
            2 if host as u128 == fleet.now.as_millis() / 1_000 % 62 => 210_000.0,
            _ => 0.0,
        });
        let used = fleet.used_since(since);
        let refused = fleet.refused;
        assert!(
            refused <= 0.01 * used,
            "{spread}: {refused} refused, {used} used"
        );
    }
}

// Hosts that see the same demand get similar parts of a limit that is exceeded.
#[test]
fn exceeded_limit() {
    let mut fleet = Fleet::new(62, allowance(LOWEST * 3.0, LOWEST * 3.0), 13);
    fleet.run(ms(3_000), |_, _| 1_000.0);
    let since = fleet.now;
    fleet.messages = 0;
    fleet.run(ms(20_000), |_, _| LOWEST * 12.0 / 62.0);
    let used = fleet.used_since(since) / 20.0;
    assert!(used >= 0.95 * LOWEST * 3.0, "{used} a second used");
    fleet.assert_kept("four times the limit");
    let messages = fleet.messages as f64 / 20.0 / 62.0;
    assert!(messages <= 4.0, "{messages} messages a second and host");
}

#[test]
fn returned_cost() {
    let mut fleet = Fleet::new(3, allowance(10_000.0, 20_000.0), 14);
    fleet.run(ms(6_000), |_, _| 0.0);
    for _ in 0..40 {
        assert!(fleet.request(0, COST));
        let now = fleet.now;
        fleet.hosts[0].limits.give_back(WORKSPACE, COST, now);
        fleet.run(ms(20), |_, _| 0.0);
    }
    // Other hosts were told of both.
    fleet.run(ms(1_000), |_, _| 0.0);
    assert!(fleet.request(1, 19_000.0));
    assert!(!fleet.request(1, 19_000.0));
}

// A caller that returns when it was told to is admitted.
#[test]
fn retry_time() {
    let mut fleet = Fleet::new(3, allowance(10_000.0, 10_000.0), 15);
    fleet.run(ms(4_000), |_, _| 0.0);
    assert!(fleet.request(0, 10_000.0));
    let mut due = Vec::new();
    for _ in 0..4 {
        assert!(!fleet.request(0, 5_000.0));
        due.push(fleet.now + fleet.last_retry_after);
    }
    for at in due {
        assert!(fleet.now <= at, "later than those before");
        let wait = at.saturating_sub(fleet.now) + ms(10);
        fleet.run(wait, |_, _| 0.0);
        assert!(fleet.request(0, 5_000.0));
    }
}

// One group of a large fleet hears no other.
#[test]
fn large_fleet() {
    let listed = 2_000;
    let per_second = 3_000_000.0;
    let mut fleet = Fleet::new(62, allowance(per_second, per_second), 16);
    for host in &mut fleet.hosts {
        host.limits.set_host_count(listed);
    }
    fleet.run(ms(12_000), |_, _| per_second * 4.0 / listed as f64);
    let most = fleet.most_in_window(ms(0)) * listed as f64 / 62.0;
    assert!(most <= fleet.bound(), "{most} of {}", fleet.bound());
}
