//! The health of each backend server as one host observes it, and the choice among the servers of a
//! plain service (one without model engines).
//!
//! Servers may fail requests while their health checks pass, become slow, or stop answering. The choice
//! is therefore based on the outcomes of requests; no health checks are made.

use std::collections;
use std::sync;
use std::time;

use crate::backends;

/// Weight of a new answer in the moving averages of latency and failure rate.
const AVERAGE_WEIGHT: f64 = 0.15;
/// Latency in milliseconds assumed for a server that hasn't answered yet.
const INITIAL_LATENCY_MS: f64 = 15.0;
/// Weight of the squared failure rate against latency: a server that fails every request costs as much
/// as one that is about this many times slower.
const FAILURE_WEIGHT: f64 = 30.0;
/// How long an unreachable server gets no requests; doubled with each further failure in a row.
const UNREACHABLE_BACKOFF: time::Duration = time::Duration::from_millis(500);
/// Upper bound of that time; a crashed server is back after a few seconds.
const MAX_UNREACHABLE_BACKOFF: time::Duration = time::Duration::from_secs(2);
/// Maximum number of doublings of any backoff.
const MAX_DOUBLINGS: u32 = 4;
/// How long an engine that refused a request gets none; doubled with each further refusal in a row.
const REFUSAL_BACKOFF: time::Duration = time::Duration::from_millis(250);
/// Upper bound of that time; an engine changes its stage within some seconds.
const MAX_REFUSAL_BACKOFF: time::Duration = time::Duration::from_secs(4);
/// How long an engine gets no prefills after the result of one expired before it was fetched; doubled
/// with each further such result in a row.
const EXPIRED_PREFILL_BACKOFF: time::Duration = time::Duration::from_millis(300);
/// Upper bound of that time.
const MAX_EXPIRED_PREFILL_BACKOFF: time::Duration = time::Duration::from_secs(2);
/// Factor on the cost of a server in another availability zone.
const OTHER_ZONE_FACTOR: f64 = 1.2;
/// How long an answer that this host got outweighs other hosts' reports that they avoid the server.
const OWN_ANSWER_VALID_FOR: time::Duration = time::Duration::from_secs(1);
/// How long connections to a server aren't reused after it sent an answer to a different request.
const NO_REUSE_FOR: time::Duration = time::Duration::from_secs(10);

/// What this host has observed of one server. Times are on the host's monotonic clock.
#[derive(Clone, Debug)]
struct ServerRecord {
    /// Requests sent and not ended yet.
    outstanding: u32,
    /// Moving average of the latency.
    latency_ms: f64,
    /// Moving average of the failure rate, from 0 to 1.
    failure_rate: f64,
    /// Times in a row that the server was unreachable.
    unreachable: u32,
    /// Refusals in a row.
    refusals: u32,
    /// Prefill results in a row that expired before they were fetched.
    expired_prefills: u32,
    /// When this host's own avoidance of the server ends.
    avoid_until: time::Duration,
    /// When the avoidance of the server because it was silent ends.
    silent_until: time::Duration,
    /// When the avoidance of the engine for prefills ends.
    avoid_prefill_until: time::Duration,
    /// When the avoidance of the server that another host reported ends.
    peer_avoid_until: time::Duration,
    /// When the server last answered, or carried out what it was asked.
    responded_at: time::Duration,
    /// When connections to the server may be reused again.
    no_reuse_until: time::Duration,
}

impl Default for ServerRecord {
    fn default() -> Self {
        Self {
            outstanding: 0,
            latency_ms: INITIAL_LATENCY_MS,
            failure_rate: 0.0,
            unreachable: 0,
            refusals: 0,
            expired_prefills: 0,
            avoid_until: time::Duration::ZERO,
            silent_until: time::Duration::ZERO,
            avoid_prefill_until: time::Duration::ZERO,
            peer_avoid_until: time::Duration::ZERO,
            responded_at: time::Duration::ZERO,
            no_reuse_until: time::Duration::ZERO,
        }
    }
}

impl ServerRecord {
    /// Counts that the server was unreachable or silent once more in a row. Returns how long to avoid it.
    fn next_unreachable_backoff(&mut self) -> time::Duration {
        let wait = backoff(
            UNREACHABLE_BACKOFF,
            self.unreachable,
            MAX_UNREACHABLE_BACKOFF,
        );
        self.unreachable += 1;
        self.failure_rate += AVERAGE_WEIGHT * (1.0 - self.failure_rate);
        wait
    }
}

/// What one host has observed of all servers, by server id.
#[derive(Debug, Default)]
pub struct Health {
    records: collections::HashMap<sync::Arc<str>, ServerRecord>,
    /// The servers that each other host avoids by its last report. Hosts that avoid none are left out.
    peer_reports: collections::HashMap<sync::Arc<str>, Vec<sync::Arc<str>>>,
}

impl Health {
    fn record_of(&mut self, id: &str) -> &mut ServerRecord {
        if !self.records.contains_key(id) {
            self.records.insert(id.into(), ServerRecord::default());
        }
        self.records.get_mut(id).expect("record was just inserted")
    }

    /// Counts a request that is being sent to a server.
    pub fn record_sent(&mut self, id: &str) {
        self.record_of(id).outstanding += 1;
    }

    /// Counts the end of a request, whatever its outcome.
    pub fn record_ended(&mut self, id: &str) {
        let record = self.record_of(id);
        record.outstanding = record.outstanding.saturating_sub(1);
    }

    /// Records an answer and the time it took. `failed` says whether the server failed or refused the
    /// request.
    pub fn record_answer(
        &mut self,
        id: &str,
        took: time::Duration,
        failed: bool,
        now: time::Duration,
    ) {
        self.record_response(id, now);
        let record = self.record_of(id);
        record.latency_ms += AVERAGE_WEIGHT * (took.as_secs_f64() * 1_000.0 - record.latency_ms);
        record.failure_rate += AVERAGE_WEIGHT * (f64::from(u8::from(failed)) - record.failure_rate);
    }

    /// Records that a server answered, or an engine did what it was asked. Ends the avoidance of the server.
    pub fn record_response(&mut self, id: &str, now: time::Duration) {
        let record = self.record_of(id);
        record.responded_at = now;
        record.peer_avoid_until = time::Duration::ZERO;
        record.unreachable = 0;
        record.refusals = 0;
        record.avoid_until = time::Duration::ZERO;
        record.silent_until = time::Duration::ZERO;
    }

    /// Records that an engine refused a request that was placed there, and avoids it for a while: its state
    /// isn't what this host takes it to be.
    pub fn record_refusal(&mut self, id: &str, now: time::Duration) {
        let record = self.record_of(id);
        let wait = backoff(REFUSAL_BACKOFF, record.refusals, MAX_REFUSAL_BACKOFF);
        record.refusals += 1;
        record.avoid_until = record.avoid_until.max(now + wait);
    }

    /// Sends a server no requests until a time.
    pub fn avoid(&mut self, id: &str, until: time::Duration) {
        let record = self.record_of(id);
        record.avoid_until = record.avoid_until.max(until);
    }

    /// Records that another host avoids a server until a time. Ignored while this host avoids the server
    /// itself, or if the server has answered this host recently.
    pub fn record_peer_avoidance(&mut self, id: &str, until: time::Duration, now: time::Duration) {
        let record = self.record_of(id);
        let avoided = now < record.avoid_until.max(record.silent_until);
        if !avoided && record.responded_at + OWN_ANSWER_VALID_FOR < now {
            record.peer_avoid_until = until;
        }
    }

    /// Records all servers that another host avoids, each with the time at which that ends, in
    /// place of that host's last report. A server that no host reports any more is no longer
    /// avoided for it.
    pub fn replace_peer_avoidances(
        &mut self,
        host: &str,
        avoided: &[(sync::Arc<str>, time::Duration)],
        now: time::Duration,
    ) {
        let last_report = self.peer_reports.remove(host).unwrap_or_default();
        if !avoided.is_empty() {
            let servers = avoided.iter().map(|(id, _)| id.clone()).collect();
            self.peer_reports.insert(host.into(), servers);
        }
        for id in last_report {
            let is_reported = self.peer_reports.values().any(|ids| ids.contains(&id));
            if !is_reported && let Some(record) = self.records.get_mut(&id) {
                record.peer_avoid_until = time::Duration::ZERO;
            }
        }
        for (id, until) in avoided {
            self.record_peer_avoidance(id, *until, now);
        }
    }

    /// Records that the result of a prefill on an engine was gone when it was to be fetched.
    pub fn record_expired_prefill(&mut self, id: &str, now: time::Duration) {
        let record = self.record_of(id);
        let wait = backoff(
            EXPIRED_PREFILL_BACKOFF,
            record.expired_prefills,
            MAX_EXPIRED_PREFILL_BACKOFF,
        );
        record.expired_prefills += 1;
        record.avoid_prefill_until = now + wait;
    }

    /// Records that the result of a prefill on an engine was fetched.
    pub fn record_fetched_prefill(&mut self, id: &str) {
        self.record_of(id).expired_prefills = 0;
    }

    /// Returns whether an engine should get no prefills for now, since results expired there.
    pub fn is_avoided_for_prefill(&self, id: &str, now: time::Duration) -> bool {
        self.records
            .get(id)
            .is_some_and(|record| now < record.avoid_prefill_until)
    }

    /// Returns the servers that this host avoids by its own observation, and for how much longer.
    pub fn avoided(
        &self,
        now: time::Duration,
    ) -> impl Iterator<Item = (&sync::Arc<str>, time::Duration)> {
        let own = self
            .records
            .iter()
            .map(|(id, record)| (id, record.avoid_until.max(record.silent_until)));
        own.filter(move |(_, until)| now < *until)
            .map(move |(id, until)| (id, until - now))
    }

    /// Records that a server could be reached but failed the request: its answer stopped, broke off or
    /// reported a failure.
    pub fn record_failure(&mut self, id: &str) {
        let record = self.record_of(id);
        record.failure_rate += AVERAGE_WEIGHT * (1.0 - record.failure_rate);
    }

    /// Records that a server couldn't be reached, and avoids it for a while.
    pub fn record_unreachable(&mut self, id: &str, now: time::Duration) {
        let record = self.record_of(id);
        let until = now + record.next_unreachable_backoff();
        record.avoid_until = record.avoid_until.max(until);
    }

    /// Records that a server has sent nothing for longer than usual, and avoids it for a while if there
    /// are others. It may be sound. Ignored while it is avoided for that already.
    pub fn record_silence(&mut self, id: &str, now: time::Duration) {
        let record = self.record_of(id);
        if now < record.silent_until {
            return;
        }
        let until = now + record.next_unreachable_backoff();
        record.silent_until = until;
    }

    /// Records that a server sent the answer to a different request on a connection. Its connections
    /// aren't reused for a while.
    pub fn record_mismatched_answer(&mut self, id: &str, now: time::Duration) {
        self.record_of(id).no_reuse_until = now + NO_REUSE_FOR;
    }

    /// Returns whether a connection to the server may be used for more than one request.
    pub fn may_reuse_connections(&self, id: &str, now: time::Duration) -> bool {
        self.records
            .get(id)
            .is_none_or(|record| record.no_reuse_until <= now)
    }

    /// Returns whether the server was unreachable or silent to this host, is avoided for it, and hasn't responded
    /// since.
    pub fn is_away(&self, id: &str, now: time::Duration) -> bool {
        self.records.get(id).is_some_and(|record| {
            record.unreachable > 0 && now < record.avoid_until.max(record.silent_until)
        })
    }

    /// Returns whether the server should get no requests for now if there are others.
    pub fn is_avoided(&self, id: &str, now: time::Duration) -> bool {
        let until = |record: &ServerRecord| {
            let own = record.avoid_until.max(record.silent_until);
            own.max(record.peer_avoid_until)
        };
        self.records
            .get(id)
            .is_some_and(|record| now < until(record))
    }

    /// Returns whether this host itself couldn't reach the server or was refused by it, so that it
    /// should get no requests for now even if there are no others.
    pub fn is_unusable(&self, id: &str, now: time::Duration) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| now < record.avoid_until)
    }

    /// Forgets all observations of a server.
    pub fn forget(&mut self, id: &str) {
        self.records.remove(id);
    }

    /// Chooses the server with the lowest cost for a request to a plain service. Servers in `tried` aren't
    /// chosen; avoided servers only if no other is left. `random` is uniform and decides between servers of
    /// equal cost.
    pub fn choose<'a>(
        &self,
        servers: &'a [sync::Arc<backends::Backend>],
        tried: &[sync::Arc<str>],
        zone: &str,
        random: u32,
        now: time::Duration,
    ) -> Option<&'a sync::Arc<backends::Backend>> {
        let candidates = self.candidates(servers, tried, now);
        let start = random as usize % candidates.len().max(1);
        let rotated = candidates[start..].iter().chain(&candidates[..start]);
        let costs = rotated.map(|server| (self.cost(server, zone), *server));
        let cheapest = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        cheapest.map(|(_, server)| server)
    }

    /// Returns the servers that aren't in `tried` and not avoided, or if none is left, those that are avoided.
    pub fn candidates<'a>(
        &self,
        servers: &'a [sync::Arc<backends::Backend>],
        tried: &[sync::Arc<str>],
        now: time::Duration,
    ) -> Vec<&'a sync::Arc<backends::Backend>> {
        let untried = || servers.iter().filter(|s| !tried.contains(&s.id));
        let not_avoided: Vec<_> = untried().filter(|s| !self.is_avoided(&s.id, now)).collect();
        match not_avoided.is_empty() {
            true => untried().collect(),
            false => not_avoided,
        }
    }

    /// Returns the number of requests sent to a server that haven't ended yet.
    pub fn outstanding(&self, id: &str) -> u32 {
        self.records.get(id).map_or(0, |record| record.outstanding)
    }

    /// Returns the expected cost of a request to a server: its latency in milliseconds, raised for servers
    /// that are busy, fail requests or are in another zone.
    fn cost(&self, server: &backends::Backend, zone: &str) -> f64 {
        let unknown = ServerRecord::default();
        let record = self.records.get(&server.id).unwrap_or(&unknown);
        let zone_factor = if &*server.zone == zone {
            1.0
        } else {
            OTHER_ZONE_FACTOR
        };
        let busy = f64::from(record.outstanding) / f64::from(server.slots.max(1));
        let failure_factor = 1.0 + FAILURE_WEIGHT * record.failure_rate * record.failure_rate;
        zone_factor * record.latency_ms.max(1.0) * (1.0 + busy) * failure_factor
    }
}

/// Returns `first` doubled `doublings` times, up to `max`.
fn backoff(first: time::Duration, doublings: u32, max: time::Duration) -> time::Duration {
    (first * 2_u32.pow(doublings.min(MAX_DOUBLINGS))).min(max)
}
