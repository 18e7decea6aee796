//! Learns how many requests a second the servers of a plain service do, from what all hosts have at them.
//!
//! While slots are free, a server does as many as fit into its slots in the time that it takes for each. While all are
//! taken, it does as many as it answers. Both are known from answers, so a server that turns slow is found without
//! knowing its speed.

use std::collections;
use std::time;

use crate::backends;
use crate::demand;

/// Work at a server up to this multiple of its slots is usual: half a batch that waits, so that a slot is filled as soon
/// as it is free.
const USUAL_SHARE: f64 = 1.5;
/// Fewer answers a second than this say nothing of a server's capacity while it isn't full.
const MIN_ANSWERS: f64 = 5.0;
/// Time constant with which the capacity follows what is seen.
const LEARN_TIME: time::Duration = time::Duration::from_millis(500);
/// Least weight of a new answer in the average of this host's answers, of which each of the first ones has the same.
const ANSWER_WEIGHT: f64 = 0.05;
/// Answers from which this host takes the capacity, as long as none has told more.
const MIN_OWN_ANSWERS: u32 = 5;
/// The shortest time in seconds that an answer counts as.
const MIN_ANSWER_TIME: f64 = 0.000_1;
/// The lowest capacity, in requests a second: a server that doesn't answer is tried again.
const MIN_CAPACITY: f64 = 1.0;

/// What a server does for a host, or for several.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Answers a second.
    pub answers: f64,
    /// Requests that it has, as an average of the same time.
    pub outstanding: f64,
}

impl Work {
    /// Adds what a server does for another host.
    pub fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.outstanding += other.outstanding;
    }

    /// Returns this work `factor` times.
    pub fn times(self, factor: f64) -> Self {
        Self {
            answers: self.answers * factor,
            outstanding: self.outstanding * factor,
        }
    }
}

/// Returns the share of a server's slots that is taken on average, if it has `work` requests for each slot. Up to half of
/// them hardly any waits; with as many as there are slots, some slots are free at times while requests wait at others.
fn busy(work: f64) -> f64 {
    work / (1.0 + work.powi(4)).powf(0.25)
}

/// Returns how much work waits at a server beyond the usual.
pub fn excess(slots: u32, work: Work) -> f64 {
    (work.outstanding - USUAL_SHARE * f64::from(slots.max(1))).max(0.0)
}

/// What is known of one server process.
#[derive(Clone, Debug, Default)]
struct Server {
    /// Answers to this host.
    answers: demand::Rate,
    /// This host's requests at it now.
    outstanding: u32,
    /// Average of these, as of `averaged_at`.
    average: f64,
    averaged_at: time::Duration,
    /// Requests a second that it does in each slot; `None` until it is known.
    per_slot: Option<f64>,
    learned_at: time::Duration,
    /// What it has from all hosts, as last seen.
    seen: Work,
}

impl Server {
    fn average_at(&self, now: time::Duration) -> f64 {
        let kept = demand::decay(now.saturating_sub(self.averaged_at));
        self.average * kept + f64::from(self.outstanding) * (1.0 - kept)
    }

    fn work_at(&self, now: time::Duration) -> Work {
        Work {
            answers: self.answers.at(now),
            outstanding: self.average_at(now),
        }
    }

    fn set_outstanding(&mut self, outstanding: u32, now: time::Duration) {
        self.average = self.average_at(now);
        self.averaged_at = now;
        self.outstanding = outstanding;
    }
}

/// The servers of one service.
#[derive(Debug, Default)]
pub struct Servers {
    by_process: collections::BTreeMap<backends::Process, Server>,
    /// Average time in seconds in which servers answer this host, and of how many answers.
    answer_time: f64,
    answers: u32,
}

impl Servers {
    /// Counts a request that this host sends to a server.
    pub fn record_sent(&mut self, process: &backends::Process, now: time::Duration) {
        let server = self.by_process.entry(process.clone()).or_default();
        server.set_outstanding(server.outstanding + 1, now);
    }

    /// Records the end of a request, and how long it took if the server answered it.
    pub fn record_ended(
        &mut self,
        process: &backends::Process,
        took: Option<time::Duration>,
        now: time::Duration,
    ) {
        let Some(server) = self.by_process.get_mut(process) else {
            return;
        };
        server.set_outstanding(server.outstanding.saturating_sub(1), now);
        if let Some(took) = took {
            server.answers.record(now);
            self.answers = self.answers.saturating_add(1);
            let weight = ANSWER_WEIGHT.max(1.0 / f64::from(self.answers));
            self.answer_time += weight * (took.as_secs_f64() - self.answer_time);
        }
    }

    /// Returns what a server does for this host.
    pub fn own_work(&self, process: &backends::Process, now: time::Duration) -> Work {
        let server = self.by_process.get(process);
        server.map_or(Work::default(), |server| server.work_at(now))
    }

    /// Returns what each server does for this host.
    pub fn all_own_work(
        &self,
        now: time::Duration,
    ) -> impl Iterator<Item = (backends::Process, Work)> {
        let servers = self.by_process.iter();
        servers.map(move |(process, server)| (process.clone(), server.work_at(now)))
    }

    /// Learns a server's capacity from what it does for all hosts.
    pub fn learn(
        &mut self,
        process: &backends::Process,
        slots: u32,
        work: Work,
        now: time::Duration,
    ) {
        let prior = self.capacity(process, slots);
        let slots = f64::from(slots.max(1));
        let server = self.by_process.entry(process.clone()).or_default();
        server.seen = work;
        let age = now
            .saturating_sub(server.learned_at)
            .min(LEARN_TIME)
            .as_secs_f64();
        server.learned_at = now;
        let taken = work.outstanding / slots;
        if work.answers < MIN_ANSWERS && taken < USUAL_SHARE {
            return;
        }
        let seen = work.answers / busy(taken).max(f64::MIN_POSITIVE);
        let before = prior.unwrap_or(seen);
        let weight = 1.0 - (-age / LEARN_TIME.as_secs_f64()).exp();
        let capacity = before + weight * (seen - before);
        server.per_slot = Some(capacity.max(MIN_CAPACITY) / slots);
    }

    /// Returns how many requests a second a server does; `None` if nothing is known. A server of which
    /// nothing is known is taken for an average one.
    pub fn capacity(&self, process: &backends::Process, slots: u32) -> Option<f64> {
        let slots = f64::from(slots.max(1));
        let known = self.by_process.get(process).and_then(|s| s.per_slot);
        let per_slot = known.or_else(|| self.usual_per_slot())?;
        Some((per_slot * slots).max(MIN_CAPACITY))
    }

    fn usual_per_slot(&self) -> Option<f64> {
        let known = self.by_process.values().filter_map(|s| s.per_slot);
        let (count, sum) = known.fold((0, 0.0), |(count, sum), rate| (count + 1, sum + rate));
        match count {
            0 if self.answers < MIN_OWN_ANSWERS => None,
            0 => Some(1.0 / self.answer_time.max(MIN_ANSWER_TIME)),
            count => Some(sum / f64::from(count)),
        }
    }

    /// Returns how much work waited at a server beyond the usual when it was last seen.
    pub fn last_excess(&self, process: &backends::Process, slots: u32) -> f64 {
        let server = self.by_process.get(process);
        server.map_or(0.0, |server| excess(slots, server.seen))
    }

    /// Forgets servers.
    pub fn retain(&mut self, is_listed: impl Fn(&backends::Process) -> bool) {
        self.by_process
            .retain(|process, server| is_listed(process) || server.outstanding > 0);
    }
}
