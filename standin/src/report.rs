//! The figures of a run.

use std::collections;
use std::time;

use serde::Serialize;
use walnuthaven_lib::history;

use crate::driver;
use crate::ledger;

/// First-token target of urgent and normal work.
pub const FIRST_TOKEN_TARGET: time::Duration = time::Duration::from_millis(1_300);
/// First-token target of patient work: its age limit.
pub const PATIENT_FIRST_TOKEN_TARGET: time::Duration = time::Duration::from_millis(30_000);
/// Target between tokens.
pub const PER_TOKEN_TARGET: time::Duration = time::Duration::from_millis(33);

/// The report of a run, one JSON object.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The scenario.
    pub scenario: String,
    /// The scheduler.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Model and plain requests sent, without those whose callers left.
    pub requests: u64,
    /// Share of the requests that met both targets; a refusal counts as a miss.
    pub goodput: f64,
    /// Share of the urgent requests let in that met both targets.
    pub goodput_urgent_admitted: f64,
    /// Share of prompt work computed in vain.
    pub wasted_prefill: f64,
    /// First-token time of model answers.
    pub ttft_p95_ms: f64,
    /// Time between tokens.
    pub tpot_p95_ms: f64,
    /// Requests refused.
    pub refused: u64,
    /// Requests whose end is not known to their callers.
    pub unknown: u64,
    /// Requests answered twice.
    pub answered_twice: u64,
    /// Non-repeatable requests that ran twice.
    pub ran_twice: u64,
    /// Answers that were not what the engine produced.
    pub wrong_answers: u64,
    /// Requests that never ended.
    pub lost: u64,
    /// Requests reported as not run that ran.
    pub false_not_run: u64,
    /// Streams cut by a graceful shutdown.
    pub cut_by_shutdown: u64,
    /// Engine memory held for callers who were gone for two seconds.
    pub slots_held_for_gone: u64,
    /// Hosts that went back to an older configuration.
    pub config_reverts: u64,
    /// Work given to a backend server more than two seconds after it announced to leave.
    pub work_after_leave: u64,
    /// Orders carried out with an older fencing number than before.
    pub stale_orders: u64,
    /// Urgent requests that missed their target while later patient work was served.
    pub overtaken_urgent: u64,
    /// Loads from the weight store, one for each role change.
    pub weight_loads: u64,
    /// Platform writes a second.
    pub platform_writes_per_s: f64,
    /// Platform reads a second, a watch counted as one.
    pub platform_reads_per_s: f64,
    /// Processor time of the hosts over requests, if the same hosts ran all the time.
    pub host_cpu_us_per_request: Option<f64>,
    /// Processor time of the hosts over tokens, if the same hosts ran all the time.
    pub host_cpu_us_per_token: Option<f64>,
    /// Processor time of the hosts in milliseconds, if the same hosts ran all the time.
    pub host_cpu_ms: Option<u64>,
    /// Tokens that the hosts sent to callers.
    pub host_tokens: u64,
    /// The largest memory of a host.
    pub host_peak_rss_mb: f64,
    /// Figures for each service and priority.
    pub groups: Vec<Group>,
}

/// Figures of one service and priority.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Group {
    /// Service and priority.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests refused.
    pub refused: u64,
    /// Share that met both targets.
    pub goodput: f64,
    /// First-token times in milliseconds: half, 95 and 99 in 100 are below.
    pub first_ms: [f64; 3],
    /// Times between tokens in milliseconds.
    pub per_token_ms: [f64; 3],
}

impl Report {
    /// Fills in what callers and history tell.
    pub fn add_results(&mut self, done: &[driver::Done], ledger: &ledger::Ledger) {
        let counted: Vec<&driver::Done> = done
            .iter()
            .filter(|done| done.ended != driver::Ended::Left && done.priority != "job")
            .collect();
        self.requests = counted.len() as u64;
        self.goodput = share(&counted, is_good);
        let urgent: Vec<&driver::Done> = counted
            .iter()
            .copied()
            .filter(|done| is_urgent(done) && !matches!(done.ended, driver::Ended::Refused(_)))
            .collect();
        self.goodput_urgent_admitted = share(&urgent, is_good);
        self.refused = count(done, |d| matches!(d.ended, driver::Ended::Refused(_)));
        self.unknown = count(done, |d| d.ended == driver::Ended::Unknown);
        let work = ledger.prefill_work();
        self.wasted_prefill = work.wasted as f64 / (work.computed.max(1)) as f64;
        let model: Vec<&driver::Done> = counted
            .iter()
            .copied()
            .filter(|done| done.priority != "plain")
            .collect();
        self.ttft_p95_ms = percentiles(model.iter().filter_map(|done| done.first))[1];
        self.tpot_p95_ms = percentiles(model.iter().filter_map(|done| done.per_token))[1];
        self.overtaken_urgent = overtaken(&model);
        self.groups = groups(&counted);
        self.violations(&ledger.records());
    }

    /// Returns the sum of all broken promises.
    pub fn broken_guarantees(&self) -> u64 {
        self.answered_twice
            + self.ran_twice
            + self.wrong_answers
            + self.lost
            + self.false_not_run
            + self.cut_by_shutdown
            + self.slots_held_for_gone
            + self.config_reverts
            + self.work_after_leave
            + self.stale_orders
    }

    fn violations(&mut self, records: &[history::Record]) {
        for violation in history::check(records) {
            log::warn!("broken promise: {violation}");
            let counter = match violation.promise {
                history::Promise::AnsweredTwice => &mut self.answered_twice,
                history::Promise::RanTwice => &mut self.ran_twice,
                history::Promise::WrongAnswer => &mut self.wrong_answers,
                history::Promise::Lost => &mut self.lost,
                history::Promise::FalseNotRun => &mut self.false_not_run,
                history::Promise::CutByShutdown => &mut self.cut_by_shutdown,
                history::Promise::SlotsHeldForGone => &mut self.slots_held_for_gone,
                history::Promise::ConfigReverts => &mut self.config_reverts,
                history::Promise::WorkAfterLeave => &mut self.work_after_leave,
                history::Promise::StaleOrder => &mut self.stale_orders,
            };
            *counter += 1;
        }
    }
}

fn is_urgent(done: &driver::Done) -> bool {
    matches!(done.priority, "door" | "deadline" | "plain")
}

fn is_good(done: &driver::Done) -> bool {
    let target = match done.priority {
        "patient" => PATIENT_FIRST_TOKEN_TARGET,
        _ => FIRST_TOKEN_TARGET,
    };
    done.ended == driver::Ended::Answered
        && done.first.is_some_and(|first| first <= target)
        && done
            .per_token
            .is_none_or(|per_token| per_token <= PER_TOKEN_TARGET)
}

/// Counts urgent requests that missed their target while patient work that came later was served.
fn overtaken(model: &[&driver::Done]) -> u64 {
    let patient: Vec<(time::Duration, time::Duration)> = model
        .iter()
        .filter(|done| done.priority == "patient")
        .filter_map(|done| Some((done.at, done.at + done.first?)))
        .collect();
    let late = model.iter().filter(|done| {
        is_urgent(done) && done.first.is_some_and(|first| first > FIRST_TOKEN_TARGET)
    });
    let late = late.filter(|done| {
        let served = done.at + done.first.unwrap_or_default();
        patient
            .iter()
            .any(|(at, first)| *at > done.at && *first < served)
    });
    late.count() as u64
}

fn groups(counted: &[&driver::Done]) -> Vec<Group> {
    let mut by_name: collections::BTreeMap<String, Vec<&driver::Done>> =
        collections::BTreeMap::new();
    for done in counted {
        let name = format!("{}/{}", done.service, done.priority);
        by_name.entry(name).or_default().push(done);
    }
    by_name
        .into_iter()
        .map(|(name, done)| Group {
            name,
            sent: done.len() as u64,
            answered: done
                .iter()
                .filter(|d| d.ended == driver::Ended::Answered)
                .count() as u64,
            refused: done
                .iter()
                .filter(|d| matches!(d.ended, driver::Ended::Refused(_)))
                .count() as u64,
            goodput: share(&done, is_good),
            first_ms: percentiles(done.iter().filter_map(|done| done.first)),
            per_token_ms: percentiles(done.iter().filter_map(|done| done.per_token)),
        })
        .collect()
}

fn share(done: &[&driver::Done], good: impl Fn(&driver::Done) -> bool) -> f64 {
    if done.is_empty() {
        return 1.0;
    }
    let count = done.iter().filter(|done| good(done)).count();
    count as f64 / done.len() as f64
}

fn count(done: &[driver::Done], f: impl Fn(&driver::Done) -> bool) -> u64 {
    done.iter().filter(|done| f(done)).count() as u64
}

/// Returns the values in milliseconds below which half, 95 and 99 in 100 of the times are.
pub fn percentiles(times: impl Iterator<Item = time::Duration>) -> [f64; 3] {
    let mut histogram = match hdrhistogram::Histogram::<u64>::new(3) {
        Ok(histogram) => histogram,
        Err(_) => return [0.0; 3],
    };
    for time in times {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        // The histogram grows as needed, so only memory could fail this.
        let _ = histogram.record(micros);
    }
    [0.5, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0)
}
