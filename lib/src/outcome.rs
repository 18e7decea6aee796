//! The outcome of sending a request to a backend server, and what the router does next.

use std::sync;
use std::sync::atomic;
use std::time;

use crate::routing;

/// How one send of a request ended without an answer for the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Nothing of the request reached the server.
    NeverWritten,
    /// The server stated that it didn't run the request.
    RefusedUnrun,
    /// It wasn't sent, because its content crashes servers.
    Quarantined,
    /// The server answered with a failure of its own.
    ServerFailed,
    /// Before the answer, the connection broke or something other than this request's answer arrived.
    BrokenBeforeAnswer,
    /// The answer began but broke off or was invalid.
    BrokenMidway,
    /// The server didn't answer, or stopped answering, until the time limit.
    Silent,
}

impl Outcome {
    /// Returns whether it is certain that the server hasn't run the request.
    pub fn is_not_run(self) -> bool {
        !AttemptEnd::from(self).may_have_run()
    }
}

/// How an attempt to have a request answered ended, whoever made it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// A server answered, or failed by itself, which counts as run.
    Answered,
    /// There is no answer, and it isn't known whether it ran.
    MayHaveRun,
    /// Nothing of the request was sent.
    NotSent,
    /// Whoever received it stated that it didn't run.
    Refused,
}

impl AttemptEnd {
    /// Returns whether a server may have run the request.
    fn may_have_run(self) -> bool {
        match self {
            Self::Answered | Self::MayHaveRun => true,
            Self::NotSent | Self::Refused => false,
        }
    }
}

impl From<Outcome> for AttemptEnd {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::NeverWritten | Outcome::Quarantined => Self::NotSent,
            Outcome::RefusedUnrun => Self::Refused,
            Outcome::ServerFailed => Self::Answered,
            Outcome::BrokenBeforeAnswer | Outcome::BrokenMidway | Outcome::Silent => {
                Self::MayHaveRun
            }
        }
    }
}

/// The attempts of a request, shared by all that make one. Each counts as one that may have run until its end shows that
/// it didn't, so none is forgotten that is given up, or whose end isn't recorded.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Number of attempts that may have run.
    count: atomic::AtomicUsize,
}

impl Attempts {
    /// Returns the attempts after those of another host.
    pub fn of_other_host(may_have_run: bool) -> Self {
        Self {
            count: atomic::AtomicUsize::new(may_have_run.into()),
        }
    }

    /// Starts an attempt, just before the request is sent.
    pub fn start(self: &sync::Arc<Self>) -> Attempt {
        self.count.fetch_add(1, atomic::Ordering::Relaxed);
        Attempt {
            attempts: self.clone(),
            may_have_run: true,
        }
    }

    /// Returns the number of attempts that may have run, with those that haven't ended.
    pub fn count(&self) -> usize {
        self.count.load(atomic::Ordering::Relaxed)
    }

    /// Returns what the attempts allow.
    pub fn state(&self) -> RunState {
        RunState {
            may_have_run: self.count() > 0,
        }
    }
}

/// An attempt under way. One that is dropped may have run.
#[derive(Debug)]
#[must_use]
pub struct Attempt {
    attempts: sync::Arc<Attempts>,
    may_have_run: bool,
}

impl Attempt {
    /// Records how it ended.
    pub fn end(mut self, end: AttemptEnd) {
        self.may_have_run = end.may_have_run();
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.may_have_run {
            self.attempts.count.fetch_sub(1, atomic::Ordering::Relaxed);
        }
    }
}

/// What the attempts of a request allow, here and at other hosts. Nothing else decides whether the request may be sent
/// again or answered as not run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunState {
    may_have_run: bool,
}

impl RunState {
    /// Returns whether a server or another host may get a request of this kind.
    pub fn may_be_sent(self, kind: routing::Kind) -> bool {
        !self.may_have_run || kind.may_run_again()
    }

    /// Returns whether the caller may be told that the request didn't run.
    pub fn may_be_refused(self) -> bool {
        !self.may_have_run
    }

    /// Returns whether a server may have run the request.
    pub fn may_have_run(self) -> bool {
        self.may_have_run
    }
}

/// What a request may still use for further sends.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Number of further servers to which it may be sent.
    pub attempts: u32,
    /// Time until its final answer is due.
    pub time: time::Duration,
    /// Whether the service's retry budget allows another send.
    pub budget: bool,
}

/// What the router does after a send that brought no answer for the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Send the request to another server.
    SendAgain,
    /// Tell the caller that the request hasn't run, and when to retry.
    RefuseUnrun,
    /// Tell the caller that the request failed.
    Fail,
    /// Tell the caller that no answer came in time.
    TimedOut,
}

/// Minimum remaining time for which a retry at another server is worthwhile: with less, that server
/// couldn't answer in time.
pub const MIN_TIME_TO_RETRY: time::Duration = time::Duration::from_millis(30);

/// Decides what the router does after a send with this outcome. A request is retried only if it hasn't run or
/// its kind allows running it again.
pub fn next(kind: routing::Kind, outcome: Outcome, allowance: Allowance) -> Next {
    let runs = RunState {
        may_have_run: !outcome.is_not_run(),
    };
    let allowed = outcome != Outcome::Quarantined && runs.may_be_sent(kind);
    if allowed && allowance.attempts > 0 && allowance.budget && allowance.time > MIN_TIME_TO_RETRY {
        return Next::SendAgain;
    }
    match outcome {
        Outcome::NeverWritten | Outcome::RefusedUnrun | Outcome::Quarantined => Next::RefuseUnrun,
        Outcome::Silent => Next::TimedOut,
        Outcome::ServerFailed | Outcome::BrokenBeforeAnswer | Outcome::BrokenMidway => Next::Fail,
    }
}
