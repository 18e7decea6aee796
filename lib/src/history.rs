//! Histories of events from concurrent processes, and a checker for the guarantees that the system
//! gives.
//!
//! Every process writes one event per line. Each rule of the checker looks at the events of one
//! request, one server or one host.

use std::collections;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// An event that the checker needs to know of.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// A caller received a complete answer that was not marked as a replay.
    Answered {
        /// Id of the request.
        request: String,
        /// Whether the answer was the expected one, byte for byte.
        correct: bool,
    },
    /// A caller was told that a request did not run.
    NotRun {
        /// Id of the request.
        request: String,
    },
    /// A backend server began to run a request.
    Ran {
        /// Id of the request.
        request: String,
        /// Name of the server.
        server: String,
        /// Whether the request may run more than once.
        repeatable: bool,
    },
    /// A backend server began work after it had announced that it leaves.
    WorkAfterLeave {
        /// Name of the server.
        server: String,
        /// Time since the announcement in milliseconds.
        after_ms: u64,
    },
    /// A host that was shutting down gracefully cut off a stream.
    CutByShutdown {
        /// Id of the request.
        request: String,
    },
    /// An engine still held memory for a request after all its callers had left.
    HeldForGone {
        /// Id of the request.
        request: String,
        /// Time since the last caller left, in milliseconds.
        after_ms: u64,
    },
    /// A host began to use a generation of a workspace's configuration.
    InForce {
        /// Name of the host.
        host: String,
        /// The host's incarnation, which differs after each restart.
        incarnation: u64,
        /// Name of the workspace.
        workspace: String,
        /// Number of the generation.
        generation: u64,
    },
    /// A request was accepted, to be answered later.
    Accepted {
        /// Id of the request.
        request: String,
    },
    /// An accepted request is known to have ended.
    Concluded {
        /// Id of the request.
        request: String,
    },
    /// An engine carried out an order.
    Ordered {
        /// Name of the server.
        server: String,
        /// The fencing number of the order. Later lease holders use higher numbers.
        fence: u64,
    },
}

/// An event with its time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Milliseconds since the run began.
    pub at_ms: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// A guarantee of the system, named after the way in which it is broken.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// A request was answered twice.
    AnsweredTwice,
    /// A non-repeatable request ran twice.
    RanTwice,
    /// An answer differed from what the engine produced.
    WrongAnswer,
    /// An accepted request never ended.
    Lost,
    /// A request that ran was reported as not run.
    FalseNotRun,
    /// A graceful shutdown cut off a request's stream.
    CutByShutdown,
    /// Engine memory was held for too long after the callers left.
    SlotsHeldForGone,
    /// A host went back to an older configuration.
    ConfigReverts,
    /// A leaving backend server began new work after the grace period.
    WorkAfterLeave,
    /// An engine carried out an order with a lower fencing number than an earlier one.
    StaleOrder,
}

/// A violation of a guarantee, found in a history.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Violation {
    /// The guarantee that was broken.
    pub promise: Promise,
    /// The request, server or host concerned.
    pub subject: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} by {}", self.promise, self.subject)
    }
}

/// Milliseconds after its announcement in which a leaving server may still begin new work.
pub const LEAVE_GRACE_MS: u64 = 2_000;
/// Milliseconds after the last caller left within which engine memory must be free.
pub const CALLERS_GONE_GRACE_MS: u64 = 2_000;

/// Checks a history and returns every violation.
pub fn check(records: &[Record]) -> Vec<Violation> {
    let mut checker = Checker::default();
    for record in records {
        checker.observe(&record.event);
    }
    checker.finish()
}

#[derive(Default)]
struct Checker {
    /// Complete answers for each request.
    answers: collections::HashMap<String, u32>,
    /// Runs of each request at any server.
    runs: collections::HashMap<String, u32>,
    /// Requests that were reported as not run.
    not_run: collections::BTreeSet<String>,
    /// Accepted requests that are not known to have ended.
    unfinished: collections::BTreeSet<String>,
    /// Last generation for each host, its incarnation and a workspace.
    generations: collections::HashMap<(String, u64, String), u64>,
    /// Highest fencing number that each server carried out.
    fences: collections::HashMap<String, u64>,
    violations: Vec<Violation>,
}

impl Checker {
    fn observe(&mut self, event: &Event) {
        match event {
            Event::Answered { request, correct } => self.on_answered(request, *correct),
            Event::NotRun { request } => {
                self.not_run.insert(request.clone());
            }
            Event::Ran {
                request,
                repeatable,
                ..
            } => self.on_ran(request, *repeatable),
            Event::WorkAfterLeave { server, after_ms } => {
                if *after_ms > LEAVE_GRACE_MS {
                    self.add_violation(Promise::WorkAfterLeave, server);
                }
            }
            Event::CutByShutdown { request } => self.add_violation(Promise::CutByShutdown, request),
            Event::HeldForGone { request, after_ms } => {
                if *after_ms > CALLERS_GONE_GRACE_MS {
                    self.add_violation(Promise::SlotsHeldForGone, request);
                }
            }
            Event::InForce {
                host,
                incarnation,
                workspace,
                generation,
            } => self.on_in_force(host, *incarnation, workspace, *generation),
            Event::Accepted { request } => {
                self.unfinished.insert(request.clone());
            }
            Event::Concluded { request } => {
                self.unfinished.remove(request);
            }
            Event::Ordered { server, fence } => self.on_ordered(server, *fence),
        }
    }

    fn on_answered(&mut self, request: &str, correct: bool) {
        let count = self.answers.entry(request.to_owned()).or_default();
        *count += 1;
        if *count == 2 {
            self.add_violation(Promise::AnsweredTwice, request);
        }
        if !correct {
            self.add_violation(Promise::WrongAnswer, request);
        }
    }

    fn on_ran(&mut self, request: &str, repeatable: bool) {
        let count = self.runs.entry(request.to_owned()).or_default();
        *count += 1;
        if *count == 2 && !repeatable {
            self.add_violation(Promise::RanTwice, request);
        }
    }

    fn on_in_force(&mut self, host: &str, incarnation: u64, workspace: &str, generation: u64) {
        let key = (host.to_owned(), incarnation, workspace.to_owned());
        let known = self.generations.insert(key, generation);
        if known.is_some_and(|known| known > generation) {
            self.add_violation(Promise::ConfigReverts, host);
        }
    }

    fn on_ordered(&mut self, server: &str, fence: u64) {
        let known = self.fences.entry(server.to_owned()).or_default();
        let stale = fence < *known;
        *known = (*known).max(fence);
        if stale {
            self.add_violation(Promise::StaleOrder, server);
        }
    }

    fn add_violation(&mut self, promise: Promise, subject: &str) {
        let subject = subject.to_owned();
        self.violations.push(Violation { promise, subject });
    }

    /// Adds the violations that show only once all events are known, and returns all.
    fn finish(mut self) -> Vec<Violation> {
        let false_not_run: Vec<String> = self
            .not_run
            .iter()
            .filter(|request| self.runs.contains_key(*request))
            .cloned()
            .collect();
        for request in false_not_run {
            self.add_violation(Promise::FalseNotRun, &request);
        }
        for request in std::mem::take(&mut self.unfinished) {
            self.add_violation(Promise::Lost, &request);
        }
        self.violations
    }
}
