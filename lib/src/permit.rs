//! Permits that a backup host keeps for non-repeatable requests of other hosts.
//!
//! The home of a request is the host that minted its id and alone may run it. The home dispatches a
//! non-repeatable request only after the backup host named in the id has stored a permit for it.
//! When the home is gone, the backup host answers in its place. If it holds a permit, the outcome
//! is unknown unless the home reported it. Without a permit it fences the id: a home that was only
//! paused can't get the permit later, so it is certain that the request did not run and won't.

use std::collections;
use std::time;

use crate::refusal;

/// How long a permit is kept after it was stored.
const PERMIT_RETENTION: time::Duration = time::Duration::from_secs(900);
/// Above this number of permits the oldest are dropped before their time.
const MAX_PERMITS: usize = 200_000;

/// What the backup host knows of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The permit is stored: the home may have dispatched the request.
    Held,
    /// The home reported that the request was answered.
    Answered,
    /// The home reported that the request did not run.
    NotRun,
    /// The backup host answered for the home that the request did not run; the home must not
    /// dispatch it any more.
    Fenced,
}

#[derive(Debug)]
struct Entry {
    state: State,
    changed: time::Duration,
}

/// The permits that one host keeps as backup host.
#[derive(Debug)]
pub struct Table {
    entries: collections::HashMap<String, Entry>,
    /// The requests with an entry and when it was added, oldest first.
    by_age: collections::VecDeque<(time::Duration, String)>,
    created: time::Duration,
    /// Whether an entry has ever been dropped. From then on, a request without an entry may have
    /// had one.
    dropped_any: bool,
}

impl Table {
    /// Creates an empty table.
    pub fn new(now: time::Duration) -> Self {
        Self {
            entries: collections::HashMap::new(),
            by_age: collections::VecDeque::new(),
            created: now,
            dropped_any: false,
        }
    }

    /// Stores a permit for a request. Returns whether the home may dispatch the request.
    #[must_use]
    pub fn hold(&mut self, request: &str, now: time::Duration) -> bool {
        self.remove_expired(now);
        match self.entries.get(request).map(|entry| entry.state) {
            None => {
                self.insert(request, State::Held, now);
                true
            }
            // The home retries the call if the reply was lost.
            Some(State::Held) => true,
            Some(State::Answered | State::NotRun | State::Fenced) => false,
        }
    }

    /// Records the outcome of a request as reported by its home. Only the first report counts.
    pub fn record_outcome(&mut self, request: &str, state: State, now: time::Duration) {
        if let Some(entry) = self.entries.get_mut(request)
            && entry.state == State::Held
        {
            entry.state = state;
            entry.changed = now;
        }
    }

    /// Answers for a home that is gone, and fences the id if there is no entry for it.
    pub fn answer_for(&mut self, request: &str, now: time::Duration) -> refusal::Refusal {
        self.remove_expired(now);
        match self.entries.get(request).map(|entry| entry.state) {
            Some(State::Held) => {
                refusal::Refusal::outcome_unknown("the host that ran the request is gone")
            }
            Some(State::Answered) => refusal::Refusal::already_answered(),
            Some(State::NotRun | State::Fenced) => home_gone_not_run(),
            None if self.dropped_any => {
                refusal::Refusal::outcome_unknown("the request is older than what is remembered")
            }
            None => {
                self.insert(request, State::Fenced, now);
                home_gone_not_run()
            }
        }
    }

    /// Returns what is known of a request, if it has an entry.
    pub fn state(&self, request: &str) -> Option<State> {
        self.entries.get(request).map(|entry| entry.state)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, request: &str, state: State, now: time::Duration) {
        let entry = Entry {
            state,
            changed: now,
        };
        self.entries.insert(request.to_owned(), entry);
        self.by_age.push_back((now, request.to_owned()));
    }

    fn remove_expired(&mut self, now: time::Duration) {
        while let Some((at, _)) = self.by_age.front() {
            let old = now.saturating_sub(*at.max(&self.created)) >= PERMIT_RETENTION;
            if !old && self.by_age.len() <= MAX_PERMITS {
                return;
            }
            if let Some((_, request)) = self.by_age.pop_front() {
                self.entries.remove(&request);
                self.dropped_any = true;
            }
        }
    }
}

/// The refusal of a request that did not run because its home is gone.
fn home_gone_not_run() -> refusal::Refusal {
    let message = "the host of the request is gone and it did not run; ask for a new request id";
    refusal::Refusal::not_run(refusal::Code::Unavailable, message)
}
