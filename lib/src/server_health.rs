//! What a host has seen of each backend server, and the choice among the servers of a plain service.
//!
//! Servers fail requests while their health checks pass, turn slow, or fall silent, so the choice
//! goes by answers to requests and makes no health checks.

use std::collections;
use std::sync;
use std::time;

use crate::backends;

/// Weight of a new answer in the learned latency and failure rate.
const LEARNING: f64 = 0.15;
/// Latency in milliseconds assumed for a server that hasn't answered yet.
const INITIAL_LATENCY_MS: f64 = 15.0;
/// How much a failure rate weighs against latency: a server that fails every request is taken as
/// this many times as slow.
const FAILURE_WEIGHT: f64 = 30.0;
/// How long a server that couldn't be reached gets no requests; doubled with each further failure.
const AVOID: time::Duration = time::Duration::from_millis(500);
/// The longest such time; a crashed server is back after a few seconds.
const MAX_AVOID: time::Duration = time::Duration::from_secs(2);
/// Doublings of a time for which a server is avoided.
const MAX_DOUBLINGS: u32 = 4;
/// How long an engine that refused a request gets none; doubled with each further refusal.
const REFUSING: time::Duration = time::Duration::from_millis(250);
/// The longest such time: an engine changes its stage in some seconds.
const MAX_REFUSING: time::Duration = time::Duration::from_secs(4);
/// How long results of an engine that lapsed before they were fetched aren't trusted; doubled.
const LAPSING: time::Duration = time::Duration::from_millis(300);
/// The longest such time.
const MAX_LAPSING: time::Duration = time::Duration::from_secs(2);
/// Factor on the cost of a server in another availability zone.
const FAR: f64 = 1.2;
/// How long an answer that this host got goes before what other hosts say of the server.
const TRUST_OWN: time::Duration = time::Duration::from_secs(1);
/// How long connections to a server that sent bytes for another request aren't used again.
const UNTRUSTED_FOR: time::Duration = time::Duration::from_secs(10);

#[derive(Clone, Debug)]
struct Seen {
    outstanding: u32,
    latency_ms: f64,
    failures: f64,
    unreachable: u32,
    refusals: u32,
    lapses: u32,
    avoid_until: time::Duration,
    lapsing_until: time::Duration,
    heard_until: time::Duration,
    served_at: time::Duration,
    untrusted_until: time::Duration,
}

impl Default for Seen {
    fn default() -> Self {
        Self {
            outstanding: 0,
            latency_ms: INITIAL_LATENCY_MS,
            failures: 0.0,
            unreachable: 0,
            refusals: 0,
            lapses: 0,
            avoid_until: time::Duration::ZERO,
            lapsing_until: time::Duration::ZERO,
            heard_until: time::Duration::ZERO,
            served_at: time::Duration::ZERO,
            untrusted_until: time::Duration::ZERO,
        }
    }
}

/// What one host has seen of all servers.
#[derive(Debug, Default)]
pub struct Health {
    seen: collections::HashMap<sync::Arc<str>, Seen>,
}

impl Health {
    fn of(&mut self, id: &str) -> &mut Seen {
        if !self.seen.contains_key(id) {
            self.seen.insert(id.into(), Seen::default());
        }
        self.seen.get_mut(id).expect("was inserted above")
    }

    /// Notes that a request was sent.
    pub fn record_sent(&mut self, id: &str) {
        self.of(id).outstanding += 1;
    }

    /// Notes that a request has ended.
    pub fn record_ended(&mut self, id: &str) {
        let seen = self.of(id);
        seen.outstanding = seen.outstanding.saturating_sub(1);
    }

    /// Notes an answer, good or bad.
    pub fn record_answer(
        &mut self,
        id: &str,
        took: time::Duration,
        failed: bool,
        now: time::Duration,
    ) {
        self.record_response(id, now);
        let seen = self.of(id);
        seen.latency_ms += LEARNING * (took.as_secs_f64() * 1_000.0 - seen.latency_ms);
        seen.failures += LEARNING * (f64::from(u8::from(failed)) - seen.failures);
    }

    /// Notes that an engine did what it was asked.
    pub fn record_response(&mut self, id: &str, now: time::Duration) {
        let seen = self.of(id);
        seen.served_at = now;
        seen.heard_until = time::Duration::ZERO;
        seen.unreachable = 0;
        seen.refusals = 0;
        seen.avoid_until = time::Duration::ZERO;
    }

    /// Notes that an engine refused a request that was placed there: its view of itself differs.
    pub fn record_refusal(&mut self, id: &str, now: time::Duration) {
        let seen = self.of(id);
        let wait = doubled(REFUSING, seen.refusals, MAX_REFUSING);
        seen.refusals += 1;
        seen.avoid_until = seen.avoid_until.max(now + wait);
    }

    /// Notes that a server gets no requests until a time.
    pub fn avoid(&mut self, id: &str, until: time::Duration) {
        let seen = self.of(id);
        seen.avoid_until = seen.avoid_until.max(until);
    }

    /// Notes that another host avoids a server until a time. What this host found itself goes first.
    pub fn record_peer_avoidance(&mut self, id: &str, until: time::Duration, now: time::Duration) {
        let seen = self.of(id);
        if seen.avoid_until <= now && seen.served_at + TRUST_OWN < now {
            seen.heard_until = until;
        }
    }

    /// Notes that the result of a prefill was gone when it was fetched.
    pub fn record_expired_prefill(&mut self, id: &str, now: time::Duration) {
        let seen = self.of(id);
        let wait = doubled(LAPSING, seen.lapses, MAX_LAPSING);
        seen.lapses += 1;
        seen.lapsing_until = now + wait;
    }

    /// Notes that the result of a prefill was fetched.
    pub fn record_fetched_prefill(&mut self, id: &str) {
        self.of(id).lapses = 0;
    }

    /// Returns whether results of prefills on the engine lapse.
    pub fn is_avoided_for_prefill(&self, id: &str, now: time::Duration) -> bool {
        self.seen
            .get(id)
            .is_some_and(|seen| now < seen.lapsing_until)
    }

    /// Returns the servers that get no requests for now, and for how long.
    pub fn avoided(
        &self,
        now: time::Duration,
    ) -> impl Iterator<Item = (&sync::Arc<str>, time::Duration)> {
        let avoided = self
            .seen
            .iter()
            .filter(move |(_, seen)| now < seen.avoid_until);
        avoided.map(move |(id, seen)| (id, seen.avoid_until - now))
    }

    /// Notes that the server fell silent or broke off, though it could be reached.
    pub fn record_failure(&mut self, id: &str) {
        let seen = self.of(id);
        seen.failures += LEARNING * (1.0 - seen.failures);
    }

    /// Notes that the server couldn't be reached, or isn't there any more.
    pub fn record_unreachable(&mut self, id: &str, now: time::Duration) {
        let seen = self.of(id);
        let wait = doubled(AVOID, seen.unreachable, MAX_AVOID);
        seen.unreachable += 1;
        seen.avoid_until = seen.avoid_until.max(now + wait);
        seen.failures += LEARNING * (1.0 - seen.failures);
    }

    /// Notes that the server sent an answer to another request than the one that was waiting.
    pub fn record_mismatched_answer(&mut self, id: &str, now: time::Duration) {
        self.of(id).untrusted_until = now + UNTRUSTED_FOR;
    }

    /// Returns whether a connection to the server may be used for a second request.
    pub fn may_reuse_connections(&self, id: &str, now: time::Duration) -> bool {
        self.seen
            .get(id)
            .is_none_or(|seen| seen.untrusted_until <= now)
    }

    /// Returns whether the server should get no requests for now.
    pub fn is_avoided(&self, id: &str, now: time::Duration) -> bool {
        let seen = self.seen.get(id);
        seen.is_some_and(|seen| now < seen.avoid_until.max(seen.heard_until))
    }

    /// Forgets a server.
    pub fn forget(&mut self, id: &str) {
        self.seen.remove(id);
    }

    /// Chooses a server for a plain request. `random` is uniform and decides between equals; servers
    /// in `tried` aren't chosen.
    pub fn choose<'a>(
        &self,
        servers: &'a [sync::Arc<backends::Backend>],
        tried: &[sync::Arc<str>],
        zone: &str,
        random: u32,
        now: time::Duration,
    ) -> Option<&'a sync::Arc<backends::Backend>> {
        let untried = || servers.iter().filter(|s| !tried.contains(&s.id));
        let reachable: Vec<_> = untried().filter(|s| !self.is_avoided(&s.id, now)).collect();
        let candidates = match reachable.is_empty() {
            true => untried().collect(),
            false => reachable,
        };
        let start = random as usize % candidates.len().max(1);
        let turned = candidates[start..].iter().chain(&candidates[..start]);
        let costs = turned.map(|server| (self.cost(server, zone), *server));
        let least = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        least.map(|(_, server)| server)
    }

    fn cost(&self, server: &backends::Backend, zone: &str) -> f64 {
        let fresh = Seen::default();
        let seen = self.seen.get(&server.id).unwrap_or(&fresh);
        let far = if &*server.zone == zone { 1.0 } else { FAR };
        let waiting = f64::from(seen.outstanding) / f64::from(server.slots.max(1));
        let failing = 1.0 + FAILURE_WEIGHT * seen.failures * seen.failures;
        far * seen.latency_ms.max(1.0) * (1.0 + waiting) * failing
    }
}

fn doubled(first: time::Duration, times: u32, most: time::Duration) -> time::Duration {
    (first * 2_u32.pow(times.min(MAX_DOUBLINGS))).min(most)
}
