//! How fast the servers of plain services answer, and how many requests they fail, as all hosts learn it together.
//!
//! Designed for this load: dozens of hosts share a few servers of unlike speed, and each gets only some answers a
//! second of each server. Servers turn slow for parts of a second, or for seconds, and come back as new processes.

use std::collections;
use std::sync;
use std::time;

use crate::backends;

/// Time constant of the usual time of a server, in seconds: some hundred answers of a busy server, and most of what
/// was learned while it was slow is forgotten ten seconds later.
const USUAL_S: f64 = 5.0;
/// Time constant of the recent time, in seconds: three moments of slowness, so that one alone changes nothing, and a
/// third of the time for which slow servers stay slow.
const RECENT_S: f64 = 2.0;
/// Answers of typical time that are added to those of a server. They count when answers are few or old.
const TYPICAL_ANSWERS: f64 = 4.0;
/// Typical time in milliseconds until an answer was measured.
const INITIAL_MS: f64 = 15.0;
/// The recent time replaces the usual one if it is this many times longer, or shorter.
const CHANGE_FACTOR: f64 = 1.5;
/// Sums below this many answers are forgotten.
const MIN_COUNT: f64 = 0.05;
/// Largest plausible number of answers in a sum of another host: a thousand a second.
const MAX_COUNT: f64 = 10_000.0;

/// Parts of a sum may exceed it by this factor, as they are told rounded.
const ROUNDING: f64 = 1.001;

/// A sum over answers, in which older ones count less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sums {
    /// Requests that ended.
    pub count: f64,
    /// Those of them that the server failed or refused.
    pub failed: f64,
    /// The others that were answered after the callers' target.
    pub late: f64,
    /// Time in milliseconds of all that weren't failed.
    pub time_ms: f64,
}

impl Sums {
    /// Returns the number of requests that weren't failed.
    pub fn answered(&self) -> f64 {
        (self.count - self.failed).max(0.0)
    }

    /// Returns the sums after `elapsed`, for a time constant in seconds.
    fn faded(&self, elapsed: time::Duration, constant_s: f64) -> Self {
        let part = (-elapsed.as_secs_f64() / constant_s).exp();
        Self {
            count: self.count * part,
            failed: self.failed * part,
            late: self.late * part,
            time_ms: self.time_ms * part,
        }
    }

    /// Returns recent sums after `elapsed`.
    pub(crate) fn recent_faded(&self, elapsed: time::Duration) -> Self {
        self.faded(elapsed, RECENT_S)
    }

    fn plus(&self, other: &Self) -> Self {
        Self {
            count: self.count + other.count,
            failed: self.failed + other.failed,
            late: self.late + other.late,
            time_ms: self.time_ms + other.time_ms,
        }
    }

    /// Returns the difference, no part of it below zero.
    pub(crate) fn minus(&self, other: &Self) -> Self {
        Self {
            count: (self.count - other.count).max(0.0),
            failed: (self.failed - other.failed).max(0.0),
            late: (self.late - other.late).max(0.0),
            time_ms: (self.time_ms - other.time_ms).max(0.0),
        }
    }

    /// Returns the mean time in milliseconds, if some answers of `assumed_ms` are added.
    fn mean_ms(&self, assumed_ms: f64) -> f64 {
        (self.time_ms + TYPICAL_ANSWERS * assumed_ms) / (self.answered() + TYPICAL_ANSWERS)
    }

    fn is_plausible(&self) -> bool {
        let parts = [self.count, self.failed, self.late, self.time_ms];
        let is_plausible = |part: &f64| part.is_finite() && *part >= 0.0;
        parts.iter().all(is_plausible)
            && self.count <= MAX_COUNT
            && self.failed + self.late <= self.count * ROUNDING
    }
}

/// The answers of one server process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Answers {
    /// Those of the last five seconds or so, without those while it started or recovered.
    pub usual: Sums,
    /// Those of the last two.
    pub recent: Sums,
    /// The time that the sums refer to.
    pub as_of: time::Duration,
}

impl Answers {
    fn faded(&self, now: time::Duration) -> Self {
        let elapsed = now.saturating_sub(self.as_of);
        Self {
            usual: self.usual.faded(elapsed, USUAL_S),
            recent: self.recent.recent_faded(elapsed),
            as_of: self.as_of.max(now),
        }
    }

    fn plus(&self, other: &Self) -> Self {
        Self {
            usual: self.usual.plus(&other.usual),
            recent: self.recent.plus(&other.recent),
            ..*self
        }
    }

    fn minus(&self, other: &Self) -> Self {
        Self {
            usual: self.usual.minus(&other.usual),
            recent: self.recent.minus(&other.recent),
            ..*self
        }
    }
}

/// How a request ended at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The server answered it in this time.
    Answered {
        /// The time from the send to the end of the answer.
        took: time::Duration,
        /// Whether that is longer than the callers' target.
        late: bool,
    },
    /// The server failed or refused it, or broke off.
    Failed,
}

/// The answers of one process to this host and to the others.
#[derive(Clone, Debug, Default)]
struct Entry {
    own: Answers,
    /// The last report of each other host.
    reports: collections::HashMap<sync::Arc<str>, Answers>,
    /// The sum of `reports`.
    others: Answers,
    /// Whether `own` changed since it was last told.
    is_news: bool,
}

impl Entry {
    fn all(&self, now: time::Duration) -> Answers {
        self.own.faded(now).plus(&self.others.faded(now))
    }
}

/// What is expected of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time of an answer in milliseconds.
    pub time_ms: f64,
    /// Part of the requests that it fails, from 0 to 1.
    pub failure_rate: f64,
}

/// What all hosts know of the servers, by process.
#[derive(Debug, Default)]
pub struct ServerSpeeds {
    entries: collections::BTreeMap<backends::Process, Entry>,
}

impl ServerSpeeds {
    /// Records how a request of this host ended. `is_usual` says that the server wasn't about to start or recover.
    pub fn record(
        &mut self,
        process: &backends::Process,
        ending: Ending,
        is_usual: bool,
        now: time::Duration,
    ) {
        let entry = self.entries.entry(process.clone()).or_default();
        let (failed, late, time_ms) = match ending {
            Ending::Answered { took, late } => {
                (0.0, f64::from(u8::from(late)), took.as_secs_f64() * 1e3)
            }
            Ending::Failed => (1.0, 0.0, 0.0),
        };
        let sums = Sums {
            count: 1.0,
            failed,
            late,
            time_ms,
        };
        let answers = Answers {
            usual: match is_usual {
                true => sums,
                false => Sums::default(),
            },
            recent: sums,
            as_of: now,
        };
        entry.own = entry.own.faded(now).plus(&answers);
        entry.is_news = true;
    }

    /// Replaces what another host reported of a process. Reports that can't be are ignored.
    pub fn replace_report(
        &mut self,
        host: &sync::Arc<str>,
        process: &backends::Process,
        report: Answers,
        now: time::Duration,
    ) {
        if !report.usual.is_plausible() || !report.recent.is_plausible() {
            return;
        }
        let report = Answers {
            as_of: now,
            ..report
        };
        let entry = self.entries.entry(process.clone()).or_default();
        let old = entry.reports.insert(host.clone(), report);
        let others = entry.others.faded(now);
        let without = old.map_or(others, |old| others.minus(&old.faded(now)));
        entry.others = without.plus(&report);
    }

    /// Returns up to `most` reports of what this host observed since the last ones.
    pub fn take_reports(
        &mut self,
        most: usize,
        now: time::Duration,
    ) -> Vec<(backends::Process, Answers)> {
        let changed = self.entries.iter_mut().filter(|(_, entry)| entry.is_news);
        let taken = changed.take(most).map(|(process, entry)| {
            entry.is_news = false;
            (process.clone(), entry.own.faded(now))
        });
        taken.collect()
    }

    /// Forgets processes that aren't listed any more, and what has faded.
    pub fn expire(&mut self, is_listed: impl Fn(&backends::Process) -> bool, now: time::Duration) {
        self.entries.retain(|process, entry| {
            entry.reports.retain(|_, report| {
                let report = report.faded(now);
                report.usual.count.max(report.recent.count) > MIN_COUNT
            });
            let all = entry.all(now);
            is_listed(process) && all.usual.count.max(all.recent.count) > MIN_COUNT
        });
    }

    /// Returns whether anything is known of any server.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the recent answers of a process to all hosts.
    pub fn recent(&self, process: &backends::Process, now: time::Duration) -> Sums {
        let entry = self.entries.get(process);
        entry.map_or(Sums::default(), |entry| entry.all(now).recent)
    }

    /// Returns the part of the requests that these servers of one service fail, all together.
    pub fn failure_rate(
        &self,
        servers: &[sync::Arc<backends::Backend>],
        now: time::Duration,
    ) -> f64 {
        let recent = servers
            .iter()
            .map(|server| self.recent(&server.process(), now));
        let total = recent.fold(Sums::default(), |total, recent| total.plus(&recent));
        total.failed / (total.count + TYPICAL_ANSWERS)
    }

    /// Returns what is expected of these servers of one service.
    pub fn estimates(
        &self,
        servers: &[sync::Arc<backends::Backend>],
        now: time::Duration,
    ) -> Vec<Estimate> {
        let answers: Vec<_> = servers
            .iter()
            .map(|server| self.entries.get(&server.process()))
            .map(|entry| entry.map_or(Answers::default(), |entry| entry.all(now)))
            .collect();
        let total = answers
            .iter()
            .fold(Sums::default(), |sum, answers| sum.plus(&answers.usual));
        let typical_ms = match total.answered() > 0.0 {
            true => total.time_ms / total.answered(),
            false => INITIAL_MS,
        };
        answers
            .iter()
            .map(|answers| Estimate {
                time_ms: time_ms(answers, typical_ms),
                failure_rate: answers.recent.failed / (answers.recent.count + TYPICAL_ANSWERS),
            })
            .collect()
    }
}

/// Returns the time of an answer in milliseconds: the usual one, or the recent one if that differs for more than a
/// moment.
fn time_ms(answers: &Answers, typical_ms: f64) -> f64 {
    let usual_ms = answers.usual.mean_ms(typical_ms);
    let recent_ms = answers.recent.mean_ms(usual_ms);
    let has_changed = recent_ms > usual_ms * CHANGE_FACTOR || recent_ms * CHANGE_FACTOR < usual_ms;
    match has_changed {
        true => recent_ms,
        false => usual_ms,
    }
}
