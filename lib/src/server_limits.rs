//! Limits on the requests a second that a server takes from all hosts together.
//!
//! A server in need names its limit in its answers, for as long as it is in need. The hosts tell each other
//! which limits they know and how many requests callers send them. Each host uses the part of a limit that
//! its callers' requests are of those at all hosts, or what the other hosts don't need, if that is more. It
//! spaces its requests by that rate, so no request needs a message.

use std::collections;
use std::sync;
use std::time;

use crate::backends;
use crate::demand;

/// Lowest rate at which a limited server gets requests, by all hosts together. It shows whether the limit still
/// holds.
const MIN_PER_SECOND: f64 = 0.2;
/// Rate at which a limited server that hasn't answered for `QUIET_TIME` gets requests at least.
const MIN_PER_SECOND_IF_QUIET: f64 = 1.0;
/// Time without an answer to any host after which it is asked more often whether its limit still holds.
const QUIET_TIME: time::Duration = time::Duration::from_secs(5);
/// A limit ends if an answer without it comes at least this long after the last one that named it: answers may
/// overtake each other.
const END_AFTER: time::Duration = time::Duration::from_secs(1);
/// How long the end of a limit is remembered and told to other hosts, so that none of them revives it.
const END_TOLD_FOR: time::Duration = time::Duration::from_secs(10);
/// Requests that a host didn't send earlier may follow at once up to those of this time.
const BURST: time::Duration = time::Duration::from_millis(500);
/// A host that had no request for a server for this long starts at a random point of its interval. Otherwise
/// all hosts might send their first request at the same moment.
const IDLE_AFTER: time::Duration = time::Duration::from_secs(2);
/// Share of a rate that less urgent requests keep, however many urgent ones there are.
const LESS_URGENT_SHARE: f64 = 0.05;
/// The longest predicted time until a refused caller would be served.
const MAX_WAIT: time::Duration = time::Duration::from_secs(30);

/// Lets requests pass at a rate that may change.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Requests that may be sent now. Negative if more were sent than the rate allows.
    tokens: f64,
    /// When a request was last wanted; `tokens` is as of then.
    wanted_at: Option<time::Duration>,
}

impl Bucket {
    /// Records that a request is wanted, and returns how long it has to wait. `random` is uniform from 0 to 1.
    fn wait(&mut self, per_second: f64, random: f64, now: time::Duration) -> time::Duration {
        let burst = per_second * BURST.as_secs_f64();
        let idle_for = self.wanted_at.map(|at| now.saturating_sub(at));
        self.tokens = match idle_for {
            Some(idle_for) if idle_for <= IDLE_AFTER => {
                (self.tokens + per_second * idle_for.as_secs_f64()).min(1.0 + burst)
            }
            // A single request counts as many a second as come in the time constant of the demand.
            _ => random + per_second * demand::AVERAGE_TIME.as_secs_f64(),
        };
        self.wanted_at = Some(now);
        let missing = 1.0 - self.tokens;
        match missing > 0.0 {
            true => duration(missing / per_second),
            false => time::Duration::ZERO,
        }
    }

    fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// Returns a predicted time, at most [`MAX_WAIT`].
fn duration(seconds: f64) -> time::Duration {
    time::Duration::try_from_secs_f64(seconds)
        .unwrap_or(MAX_WAIT)
        .min(MAX_WAIT)
}

/// What a server's answers said of its limit. Times are times since boot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statement {
    /// The limit in requests a second, as last named.
    pub per_second: f64,
    /// When an answer last named it.
    pub named_at: Option<time::Duration>,
    /// When an answer last didn't.
    pub omitted_at: Option<time::Duration>,
}

impl Statement {
    /// Returns whether the limit holds.
    pub fn holds(&self) -> bool {
        self.named_at.is_some_and(|named| {
            self.omitted_at
                .is_none_or(|omitted| omitted < named + END_AFTER)
        })
    }

    /// Returns the lowest rate at which the process gets requests.
    fn min_per_second(&self, now: time::Duration) -> f64 {
        let answered_at = self.named_at.max(self.omitted_at).unwrap_or_default();
        match now.saturating_sub(answered_at) > QUIET_TIME {
            true => MIN_PER_SECOND_IF_QUIET,
            false => MIN_PER_SECOND,
        }
    }

    /// Takes over what another statement of the same process says that is newer.
    fn merge(&mut self, other: &Self) {
        if other.named_at > self.named_at {
            self.named_at = other.named_at;
            self.per_second = other.per_second;
        }
        self.omitted_at = self.omitted_at.max(other.omitted_at);
    }
}

/// The limit of one server process.
#[derive(Clone, Debug, Default)]
struct Limit {
    statement: Statement,
    bucket: Bucket,
    /// Bounds the requests of each priority to what the more urgent ones leave.
    bucket_by_priority: collections::BTreeMap<u8, Bucket>,
}

/// Requests of callers for one service.
#[derive(Clone, Debug, Default)]
struct Demand {
    /// At this host, by priority.
    own: collections::BTreeMap<u8, demand::Rate>,
    /// At other hosts, by their names.
    by_host: collections::BTreeMap<sync::Arc<str>, f64>,
    /// Requests that this host refused.
    refused: demand::Rate,
}

impl Demand {
    fn own_total(&self, now: time::Duration) -> f64 {
        self.own.values().map(|rate| rate.at(now)).sum()
    }

    /// Returns the requests a second at this host that are more urgent than `priority`; 0 is most urgent.
    fn more_urgent(&self, priority: u8, now: time::Duration) -> f64 {
        let more_urgent = self.own.range(..priority);
        more_urgent.map(|(_, rate)| rate.at(now)).sum()
    }

    /// Returns the requests a second at all other hosts. Those of whom it isn't known count as average ones.
    fn elsewhere(&self, own: f64, hosts: usize) -> f64 {
        demand::elsewhere(own, self.by_host.values().copied(), hosts)
    }
}

/// What a request that is to be sent asks of the limits.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The service that the request is for.
    pub service: &'a str,
    /// The priority of its route; 0 goes first.
    pub priority: u8,
    /// The number of hosts, including this one.
    pub hosts: usize,
    /// The number of servers of the service.
    pub servers: usize,
    /// The time since boot.
    pub now: time::Duration,
}

/// A host's part of a limit, in requests a second.
#[derive(Clone, Copy, Debug)]
struct Part {
    per_second: f64,
    /// Of the priority that was asked for; `None` if no more urgent requests come.
    of_priority: Option<f64>,
}

/// The limits that this host knows, and how requests are spread over the hosts.
#[derive(Debug, Default)]
pub struct ServerLimits {
    limits: collections::BTreeMap<backends::Process, Limit>,
    demand: collections::HashMap<sync::Arc<str>, Demand>,
}

impl ServerLimits {
    /// Records an answer of a server process, and the limit that it names. Returns whether this changed if
    /// there is a limit, or which.
    pub fn record_answer(
        &mut self,
        process: &backends::Process,
        named: Option<f64>,
        now: time::Duration,
    ) -> bool {
        let statement = match named {
            Some(per_second) => Statement {
                per_second,
                named_at: Some(now),
                omitted_at: None,
            },
            None => Statement {
                omitted_at: Some(now),
                ..Statement::default()
            },
        };
        self.merge(process, &statement)
    }

    /// Merges what this host or another one learned of a limit. Returns whether this changed if there is a
    /// limit, or which.
    pub fn merge(&mut self, process: &backends::Process, statement: &Statement) -> bool {
        if statement.named_at.is_none() && !self.limits.contains_key(process) {
            return false;
        }
        let limit = self.limits.entry(process.clone()).or_default();
        let in_force = |s: &Statement| s.holds().then_some(s.per_second);
        let before = in_force(&limit.statement);
        limit.statement.merge(statement);
        before != in_force(&limit.statement)
    }

    /// Forgets the limits of processes that aren't listed any more, and those that ended some time ago.
    pub fn expire(&mut self, is_listed: impl Fn(&backends::Process) -> bool, now: time::Duration) {
        self.limits.retain(|process, limit| {
            let ended = limit
                .statement
                .omitted_at
                .filter(|_| !limit.statement.holds());
            is_listed(process) && ended.is_none_or(|at| now.saturating_sub(at) < END_TOLD_FOR)
        });
    }

    /// Returns what is known of limits, to be told to other hosts.
    pub fn statements(&self) -> impl Iterator<Item = (&backends::Process, &Statement)> {
        let limits = self.limits.iter();
        limits.map(|(process, limit)| (process, &limit.statement))
    }

    /// Returns whether any limit holds.
    pub fn any_holds(&self) -> bool {
        self.limits.values().any(|limit| limit.statement.holds())
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, service: &sync::Arc<str>, priority: u8, now: time::Duration) {
        let demand = self.demand.entry(service.clone()).or_default();
        demand.own.entry(priority).or_default().record(now);
    }

    /// Returns the requests a second that callers send to this host, by service.
    pub fn own_demand(&self, now: time::Duration) -> impl Iterator<Item = (&sync::Arc<str>, f64)> {
        let demand = self.demand.iter();
        demand.map(move |(service, demand)| (service, demand.own_total(now)))
    }

    /// Records the requests a second that callers send to another host, by service, in place of what was known.
    pub fn replace_demand(&mut self, host: &sync::Arc<str>, demand: Vec<(sync::Arc<str>, f64)>) {
        self.forget_host(host);
        for (service, per_second) in demand {
            let demand = self.demand.entry(service).or_default();
            demand.by_host.insert(host.clone(), per_second);
        }
    }

    /// Forgets the requests of a host that can't be heard any more.
    pub fn forget_host(&mut self, host: &str) {
        for demand in self.demand.values_mut() {
            demand.by_host.remove(host);
        }
    }

    /// Returns this host's part of a process's limit, or `None` if no limit holds.
    fn part(&self, process: &backends::Process, ask: Ask<'_>) -> Option<Part> {
        let limit = self.limits.get(process)?;
        if !limit.statement.holds() {
            return None;
        }
        let statement = &limit.statement;
        let total = statement.per_second.max(statement.min_per_second(ask.now));
        let unknown = Demand::default();
        let demand = self.demand.get(ask.service).unwrap_or(&unknown);
        let own = demand.own_total(ask.now).max(f64::MIN_POSITIVE);
        let elsewhere = demand.elsewhere(own, ask.hosts);
        let unused = total - elsewhere;
        let per_second = (total * own / (own + elsewhere)).max(unused);
        let more_urgent = demand.more_urgent(ask.priority, ask.now) / ask.servers.max(1) as f64;
        let left = (per_second - more_urgent).max(per_second * LESS_URGENT_SHARE);
        Some(Part {
            per_second,
            of_priority: (more_urgent > 0.0).then_some(left),
        })
    }

    /// Records that a request is wanted at a process, and returns how long it has to wait; zero if it may be
    /// sent. `random` is uniform from 0 to 1.
    pub fn wait(
        &mut self,
        process: &backends::Process,
        ask: Ask<'_>,
        random: f64,
    ) -> time::Duration {
        let Some(part) = self.part(process, ask) else {
            return time::Duration::ZERO;
        };
        let Some(limit) = self.limits.get_mut(process) else {
            return time::Duration::ZERO;
        };
        let wait = limit.bucket.wait(part.per_second, random, ask.now);
        let Some(per_second) = part.of_priority else {
            return wait;
        };
        let bucket = limit.bucket_by_priority.entry(ask.priority).or_default();
        wait.max(bucket.wait(per_second, random, ask.now))
    }

    /// Counts a request that is sent to a process, whether or not it had to wait.
    pub fn record_sent(&mut self, process: &backends::Process, priority: u8) {
        let Some(limit) = self.limits.get_mut(process) else {
            return;
        };
        limit.bucket.take();
        if let Some(bucket) = limit.bucket_by_priority.get_mut(&priority) {
            bucket.take();
        }
    }

    /// Records that a request is refused because all servers are at their limits, and predicts how long its
    /// caller should wait: until the servers have taken those that were refused before it.
    pub fn record_refusal(
        &mut self,
        processes: &[backends::Process],
        ask: Ask<'_>,
    ) -> time::Duration {
        let parts = processes
            .iter()
            .filter_map(|process| self.part(process, ask));
        let per_second: f64 = parts
            .map(|part| part.of_priority.unwrap_or(part.per_second))
            .sum();
        let Some(demand) = self.demand.get_mut(ask.service) else {
            return MAX_WAIT;
        };
        demand.refused.record(ask.now);
        duration(demand.refused.at(ask.now) * demand::AVERAGE_TIME.as_secs_f64() / per_second)
    }
}
