//! Histories of concurrent runs and the checker that reads them.
//!
//! Every process writes one event a line. The checker's rules are short predicates over the events
//! of one request, one server or one host.

use std::collections;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// What happened.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// A caller received a whole answer, not marked as a replay.
    Answered {
        /// The request.
        request: String,
        /// Whether each byte was the one expected.
        correct: bool,
    },
    /// A caller was told that a request did not run.
    NotRun {
        /// The request.
        request: String,
    },
    /// A backend server began to run a request.
    Ran {
        /// The request.
        request: String,
        /// The server.
        server: String,
        /// Whether the request may run more than once.
        repeatable: bool,
    },
    /// A backend server began work after it had announced that it leaves.
    WorkAfterLeave {
        /// The server.
        server: String,
        /// Time since the announcement in milliseconds.
        after_ms: u64,
    },
    /// A stream was cut by a host that was shutting down gracefully.
    CutByShutdown {
        /// The request.
        request: String,
    },
    /// An engine still held a request whose callers were gone.
    HeldForGone {
        /// The request.
        request: String,
        /// Time since the last caller left, in milliseconds.
        after_ms: u64,
    },
    /// A configuration generation came into force at a host.
    InForce {
        /// The host.
        host: String,
        /// The host's incarnation.
        incarnation: u64,
        /// The workspace.
        workspace: String,
        /// The generation.
        generation: u64,
    },
    /// A request was accepted for later.
    Accepted {
        /// The request.
        request: String,
    },
    /// An accepted request is known to have ended.
    Concluded {
        /// The request.
        request: String,
    },
    /// An engine carried out an order.
    Ordered {
        /// The server.
        server: String,
        /// The fencing number of the order.
        fence: u64,
    },
}

/// An event with its time in milliseconds since the run began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The time.
    pub at_ms: u64,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// A broken promise.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// A request was answered twice.
    AnsweredTwice,
    /// A request that may not be repeated ran twice.
    RanTwice,
    /// An answer was not what the engine produced.
    WrongAnswer,
    /// An accepted request never ended.
    Lost,
    /// A request that ran was reported as not run.
    FalseNotRun,
    /// A graceful shutdown cut a request.
    CutByShutdown,
    /// Engine memory was held for callers who are gone.
    SlotsHeldForGone,
    /// A host went back to an older configuration.
    ConfigReverts,
    /// A leaving backend server got new work after its grace.
    WorkAfterLeave,
    /// An engine carried out an order with an older fencing number than one before.
    StaleOrder,
}

/// A violation found in a history.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Violation {
    /// The promise broken.
    pub promise: Promise,
    /// The request, server or host concerned.
    pub subject: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} by {}", self.promise, self.subject)
    }
}

/// Time after its announcement in which a leaving server may still get work.
pub const LEAVE_GRACE_MS: u64 = 2_000;
/// Time in which engine memory must be free after the last caller left.
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
    answers: collections::HashMap<String, u32>,
    runs: collections::HashMap<String, u32>,
    not_run: collections::BTreeSet<String>,
    open: collections::BTreeSet<String>,
    generations: collections::HashMap<(String, u64, String), u64>,
    fences: collections::HashMap<String, u64>,
    violations: Vec<Violation>,
}

impl Checker {
    fn observe(&mut self, event: &Event) {
        match event {
            Event::Answered { request, correct } => self.answered(request, *correct),
            Event::NotRun { request } => {
                self.not_run.insert(request.clone());
            }
            Event::Ran {
                request,
                repeatable,
                ..
            } => self.ran(request, *repeatable),
            Event::WorkAfterLeave { server, after_ms } => {
                if *after_ms > LEAVE_GRACE_MS {
                    self.violate(Promise::WorkAfterLeave, server);
                }
            }
            Event::CutByShutdown { request } => self.violate(Promise::CutByShutdown, request),
            Event::HeldForGone { request, after_ms } => {
                if *after_ms > CALLERS_GONE_GRACE_MS {
                    self.violate(Promise::SlotsHeldForGone, request);
                }
            }
            Event::InForce {
                host,
                incarnation,
                workspace,
                generation,
            } => self.in_force(host, *incarnation, workspace, *generation),
            Event::Accepted { request } => {
                self.open.insert(request.clone());
            }
            Event::Concluded { request } => {
                self.open.remove(request);
            }
            Event::Ordered { server, fence } => self.ordered(server, *fence),
        }
    }

    fn answered(&mut self, request: &str, correct: bool) {
        let count = self.answers.entry(request.to_owned()).or_default();
        *count += 1;
        if *count == 2 {
            self.violate(Promise::AnsweredTwice, request);
        }
        if !correct {
            self.violate(Promise::WrongAnswer, request);
        }
    }

    fn ran(&mut self, request: &str, repeatable: bool) {
        let count = self.runs.entry(request.to_owned()).or_default();
        *count += 1;
        if *count == 2 && !repeatable {
            self.violate(Promise::RanTwice, request);
        }
    }

    fn in_force(&mut self, host: &str, incarnation: u64, workspace: &str, generation: u64) {
        let key = (host.to_owned(), incarnation, workspace.to_owned());
        let known = self.generations.insert(key, generation);
        if known.is_some_and(|known| known > generation) {
            self.violate(Promise::ConfigReverts, host);
        }
    }

    fn ordered(&mut self, server: &str, fence: u64) {
        let known = self.fences.entry(server.to_owned()).or_default();
        let stale = fence < *known;
        *known = (*known).max(fence);
        if stale {
            self.violate(Promise::StaleOrder, server);
        }
    }

    fn violate(&mut self, promise: Promise, subject: &str) {
        let subject = subject.to_owned();
        self.violations.push(Violation { promise, subject });
    }

    fn finish(mut self) -> Vec<Violation> {
        let false_not_run: Vec<String> = self
            .not_run
            .iter()
            .filter(|request| self.runs.contains_key(*request))
            .cloned()
            .collect();
        for request in false_not_run {
            self.violate(Promise::FalseNotRun, &request);
        }
        for request in std::mem::take(&mut self.open) {
            self.violate(Promise::Lost, &request);
        }
        self.violations
    }
}
