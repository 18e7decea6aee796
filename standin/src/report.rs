//! The results of a run: latency, goodput, resource usage and broken guarantees.

use std::collections;
use std::time;

use serde::Serialize;
use walnuthaven_lib::history;

use crate::driver;
use crate::recorder;

/// First-token target of urgent and normal requests, and target for the replies of plain calls.
pub const FIRST_TOKEN_TARGET: time::Duration = time::Duration::from_millis(1_300);
/// First-token target of patient requests. It equals the longest time that they may wait for their
/// first token.
pub const PATIENT_FIRST_TOKEN_TARGET: time::Duration = time::Duration::from_millis(30_000);
/// Target for the mean time between tokens.
pub const PER_TOKEN_TARGET: time::Duration = time::Duration::from_millis(33);

/// The results of a run, written as one JSON object. Field names are keys of that object.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the scheduler: `baseline` or `current`.
    pub policy: String,
    /// Seed of the load.
    pub seed: u64,
    /// Number of model and plain requests, except jobs and requests whose callers disconnected.
    pub requests: u64,
    /// Share (0 to 1) of `requests` that met the targets for the first token and between tokens. A
    /// refused request counts as one that missed them.
    pub goodput: f64,
    /// Share (0 to 1) of the urgent requests not refused that met both targets.
    pub goodput_urgent_admitted: f64,
    /// Share (0 to 1) of the computed prompt tokens that led to no complete answer or were computed
    /// again.
    pub wasted_prefill: f64,
    /// 95th percentile of the time to the first token of model answers, in milliseconds.
    pub ttft_p95_ms: f64,
    /// 95th percentile of the mean time between tokens of a model answer, in milliseconds.
    pub tpot_p95_ms: f64,
    /// Number of requests refused.
    pub refused: u64,
    /// Number of requests whose callers don't know whether they ran.
    pub unknown: u64,
    /// Number of requests answered twice.
    pub answered_twice: u64,
    /// Number of requests that ran twice although they may not be repeated.
    pub ran_twice: u64,
    /// Number of answers that differ from what the engine produced.
    pub wrong_answers: u64,
    /// Number of requests that never ended.
    pub lost: u64,
    /// Number of requests that ran although their callers were told that they did not.
    pub false_not_run: u64,
    /// Number of streams cut off by a graceful shutdown.
    pub cut_by_shutdown: u64,
    /// Number of requests for which an engine held memory two seconds after the callers had left.
    pub slots_held_for_gone: u64,
    /// Number of times a host went back to an older configuration.
    pub config_reverts: u64,
    /// Number of times a backend server began work more than two seconds after it had announced
    /// that it leaves.
    pub work_after_leave: u64,
    /// Number of orders that an engine carried out with a lower fencing number than an earlier one.
    pub stale_orders: u64,
    /// Number of urgent requests that missed the first-token target while a patient request that
    /// arrived later was served.
    pub overtaken_urgent: u64,
    /// Number of loads from the weight store, one for each role change of an engine.
    pub weight_loads: u64,
    /// Writes to the platform per second.
    pub platform_writes_per_s: f64,
    /// Reads from the platform per second; a watch counts as one read.
    pub platform_reads_per_s: f64,
    /// CPU time of all hosts per request in microseconds, if no host was restarted.
    pub host_cpu_us_per_request: Option<f64>,
    /// CPU time of all hosts per token in microseconds, if no host was restarted.
    pub host_cpu_us_per_token: Option<f64>,
    /// CPU time of all hosts in milliseconds, if no host was restarted.
    pub host_cpu_ms: Option<u64>,
    /// Number of tokens that the hosts sent to callers; zero if a host was restarted.
    pub host_tokens: u64,
    /// Largest peak memory of a single host, in mebibytes.
    pub host_peak_rss_mb: f64,
    /// Results for each combination of service and priority.
    pub groups: Vec<Group>,
}

/// Results for one service and priority.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Group {
    /// Service and priority, as `service/priority`.
    pub name: String,
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests answered completely.
    pub answered: u64,
    /// Number of requests refused.
    pub refused: u64,
    /// Share (0 to 1) of the requests that met both targets.
    pub goodput: f64,
    /// 50th, 95th and 99th percentiles of the time to the first token, or to the reply of a plain
    /// call, in milliseconds.
    pub first_ms: [f64; 3],
    /// 50th, 95th and 99th percentiles of the mean time between tokens, in milliseconds.
    pub per_token_ms: [f64; 3],
}

impl Report {
    /// Fills in the results that follow from what the callers saw and from the recorded history.
    pub fn add_results(&mut self, results: &[driver::CallResult], recorder: &recorder::Recorder) {
        let counted: Vec<&driver::CallResult> = results
            .iter()
            .filter(|result| {
                result.outcome != driver::Outcome::CallerLeft && result.priority != "job"
            })
            .collect();
        self.requests = counted.len() as u64;
        self.goodput = share(&counted, met_targets);
        let urgent: Vec<&driver::CallResult> = counted
            .iter()
            .copied()
            .filter(|result| {
                is_urgent(result) && !matches!(result.outcome, driver::Outcome::Refused(_))
            })
            .collect();
        self.goodput_urgent_admitted = share(&urgent, met_targets);
        self.refused = count(results, |result| {
            matches!(result.outcome, driver::Outcome::Refused(_))
        });
        self.unknown = count(results, |result| result.outcome == driver::Outcome::Unknown);
        let prefill_tokens = recorder.prefill_tokens();
        self.wasted_prefill =
            prefill_tokens.wasted as f64 / (prefill_tokens.computed.max(1)) as f64;
        let model_requests: Vec<&driver::CallResult> = counted
            .iter()
            .copied()
            .filter(|result| result.priority != "plain")
            .collect();
        self.ttft_p95_ms = percentiles(
            model_requests
                .iter()
                .filter_map(|result| result.first_response),
        )[1];
        self.tpot_p95_ms = percentiles(
            model_requests
                .iter()
                .filter_map(|result| result.token_interval),
        )[1];
        self.overtaken_urgent = count_overtaken(&model_requests);
        self.groups = group_results(&counted);
        self.count_violations(&recorder.records());
    }

    /// Returns how often any guarantee was broken.
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

    /// Checks the history and counts the violations of each guarantee.
    fn count_violations(&mut self, records: &[history::Record]) {
        for violation in history::check(records) {
            log::warn!("broken guarantee: {violation}");
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

fn is_urgent(result: &driver::CallResult) -> bool {
    matches!(result.priority, "door" | "deadline" | "plain")
}

/// Returns whether a request was answered within its first-token target and, if it has several
/// tokens, within the target between tokens.
fn met_targets(result: &driver::CallResult) -> bool {
    let target = match result.priority {
        "patient" => PATIENT_FIRST_TOKEN_TARGET,
        _ => FIRST_TOKEN_TARGET,
    };
    result.outcome == driver::Outcome::Answered
        && result.first_response.is_some_and(|first| first <= target)
        && result
            .token_interval
            .is_none_or(|per_token| per_token <= PER_TOKEN_TARGET)
}

/// Counts urgent requests that missed the first-token target while a patient request that arrived
/// later received its first token before them.
fn count_overtaken(model_requests: &[&driver::CallResult]) -> u64 {
    let patient: Vec<(time::Duration, time::Duration)> = model_requests
        .iter()
        .filter(|result| result.priority == "patient")
        .filter_map(|result| Some((result.at, result.at + result.first_response?)))
        .collect();
    let late = model_requests.iter().filter(|result| {
        is_urgent(result)
            && result
                .first_response
                .is_some_and(|first| first > FIRST_TOKEN_TARGET)
    });
    let late = late.filter(|result| {
        let served = result.at + result.first_response.unwrap_or_default();
        patient
            .iter()
            .any(|(at, first)| *at > result.at && *first < served)
    });
    late.count() as u64
}

fn group_results(counted: &[&driver::CallResult]) -> Vec<Group> {
    let mut by_name: collections::BTreeMap<String, Vec<&driver::CallResult>> =
        collections::BTreeMap::new();
    for result in counted {
        let name = format!("{}/{}", result.service, result.priority);
        by_name.entry(name).or_default().push(result);
    }
    by_name
        .into_iter()
        .map(|(name, results)| Group {
            name,
            sent: results.len() as u64,
            answered: results
                .iter()
                .filter(|result| result.outcome == driver::Outcome::Answered)
                .count() as u64,
            refused: results
                .iter()
                .filter(|result| matches!(result.outcome, driver::Outcome::Refused(_)))
                .count() as u64,
            goodput: share(&results, met_targets),
            first_ms: percentiles(results.iter().filter_map(|result| result.first_response)),
            per_token_ms: percentiles(results.iter().filter_map(|result| result.token_interval)),
        })
        .collect()
}

/// Returns the share (0 to 1) of the requests for which `is_counted` holds; 1 if there are none.
fn share(results: &[&driver::CallResult], is_counted: impl Fn(&driver::CallResult) -> bool) -> f64 {
    if results.is_empty() {
        return 1.0;
    }
    let count = results.iter().filter(|result| is_counted(result)).count();
    count as f64 / results.len() as f64
}

fn count(results: &[driver::CallResult], f: impl Fn(&driver::CallResult) -> bool) -> u64 {
    results.iter().filter(|result| f(result)).count() as u64
}

/// Returns the 50th, 95th and 99th percentiles of the times, in milliseconds.
pub fn percentiles(times: impl Iterator<Item = time::Duration>) -> [f64; 3] {
    let mut histogram = match hdrhistogram::Histogram::<u64>::new(3) {
        Ok(histogram) => histogram,
        Err(_) => return [0.0; 3],
    };
    for time in times {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        // The histogram resizes itself, so recording a value fails only for lack of memory.
        let _ = histogram.record(micros);
    }
    [0.5, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0)
}
