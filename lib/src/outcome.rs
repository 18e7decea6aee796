//! What became of one send to a backend server, and what may follow.

use std::time;

use crate::routing;

/// What is known about one send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Nothing of the request reached the server.
    NeverWritten,
    /// The server states that it didn't run the request.
    RefusedUnrun,
    /// The server answered with a failure of its own.
    ServerFailed,
    /// The connection broke, or something else than the answer came, before the answer.
    BrokenBeforeAnswer,
    /// The answer broke off.
    BrokenMidway,
    /// No answer came in time.
    Silent,
}

impl Outcome {
    /// Returns whether the request certainly hasn't run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NeverWritten | Self::RefusedUnrun)
    }
}

/// What is left of a request's allowances.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Servers to which it may still be sent.
    pub attempts: u32,
    /// Time until its final answer is due.
    pub time: time::Duration,
    /// Whether the retry budget has room.
    pub budget: bool,
}

/// What follows a send that brought no answer for the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Send the request to another server.
    SendAgain,
    /// Tell the caller that the request hasn't run and when to come back.
    RefuseUnrun,
    /// Tell the caller that the request failed.
    Fail,
    /// Tell the caller that no answer came in time.
    TimedOut,
}

/// The shortest time left in which another server can still answer.
pub const MIN_TIME_TO_RESEND: time::Duration = time::Duration::from_millis(30);

/// Decides what follows.
pub fn next(kind: routing::Kind, outcome: Outcome, left: Allowance) -> Next {
    let allowed = outcome.is_not_run() || kind.may_run_again();
    if allowed && left.attempts > 0 && left.budget && left.time > MIN_TIME_TO_RESEND {
        return Next::SendAgain;
    }
    match outcome {
        Outcome::NeverWritten | Outcome::RefusedUnrun => Next::RefuseUnrun,
        Outcome::Silent => Next::TimedOut,
        Outcome::ServerFailed | Outcome::BrokenBeforeAnswer | Outcome::BrokenMidway => Next::Fail,
    }
}
