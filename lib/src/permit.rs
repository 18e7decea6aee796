//! Permits that a buddy keeps for other homes' non-repeatable requests.
//!
//! A home dispatches a non-repeatable request only after the buddy named in the id holds its
//! permit. When the home is gone, the buddy answers: with a permit the outcome is unknown unless it
//! was reported; without one the id is fenced, so that a home that was only paused can't dispatch it
//! later, and the request has truly not run.

use std::collections;
use std::time;

use crate::refusal;

const KEPT_FOR: time::Duration = time::Duration::from_secs(900);
const MAX_PERMITS: usize = 200_000;

/// What the buddy knows of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The home may have dispatched the request.
    Held,
    /// The home reported that the request was answered.
    Answered,
    /// The home reported that the request did not run.
    NotRun,
    /// The buddy gave the id up; the home must not dispatch it.
    Fenced,
}

#[derive(Debug)]
struct Entry {
    state: State,
    changed: time::Duration,
}

/// The permits kept at one host.
#[derive(Debug)]
pub struct Table {
    entries: collections::HashMap<String, Entry>,
    order: collections::VecDeque<(time::Duration, String)>,
    since: time::Duration,
    forgotten: bool,
}

impl Table {
    /// Makes an empty table.
    pub fn new(now: time::Duration) -> Self {
        Self {
            entries: collections::HashMap::new(),
            order: collections::VecDeque::new(),
            since: now,
            forgotten: false,
        }
    }

    /// Stores a permit. Returns whether the home may dispatch.
    #[must_use]
    pub fn hold(&mut self, request: &str, now: time::Duration) -> bool {
        self.expire(now);
        match self.entries.get(request).map(|entry| entry.state) {
            None => {
                self.insert(request, State::Held, now);
                true
            }
            // The home repeats the call when the reply was lost.
            Some(State::Held) => true,
            Some(State::Answered | State::NotRun | State::Fenced) => false,
        }
    }

    /// Notes the outcome that the home reported.
    pub fn record_outcome(&mut self, request: &str, state: State, now: time::Duration) {
        if let Some(entry) = self.entries.get_mut(request)
            && entry.state == State::Held
        {
            entry.state = state;
            entry.changed = now;
        }
    }

    /// Answers for a home that is gone, and fences the id if no permit is held.
    pub fn answer_for(&mut self, request: &str, now: time::Duration) -> refusal::Refusal {
        self.expire(now);
        match self.entries.get(request).map(|entry| entry.state) {
            Some(State::Held) => {
                refusal::Refusal::outcome_unknown("the host that ran the request is gone")
            }
            Some(State::Answered) => refusal::Refusal::already_answered(),
            Some(State::NotRun | State::Fenced) => given_up(),
            None if self.forgotten => {
                refusal::Refusal::outcome_unknown("the request is older than what is remembered")
            }
            None => {
                self.insert(request, State::Fenced, now);
                given_up()
            }
        }
    }

    /// Returns the state of a permit.
    pub fn state(&self, request: &str) -> Option<State> {
        self.entries.get(request).map(|entry| entry.state)
    }

    /// Returns how many permits are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no permit is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, request: &str, state: State, now: time::Duration) {
        let entry = Entry {
            state,
            changed: now,
        };
        self.entries.insert(request.to_owned(), entry);
        self.order.push_back((now, request.to_owned()));
    }

    fn expire(&mut self, now: time::Duration) {
        while let Some((at, _)) = self.order.front() {
            let old = now.saturating_sub(*at.max(&self.since)) >= KEPT_FOR;
            if !old && self.order.len() <= MAX_PERMITS {
                return;
            }
            if let Some((_, request)) = self.order.pop_front() {
                self.entries.remove(&request);
                self.forgotten = true;
            }
        }
    }
}

fn given_up() -> refusal::Refusal {
    let message = "the host of the request is gone and it did not run; ask for a new request id";
    refusal::Refusal::not_run(refusal::Code::Unavailable, message)
}
