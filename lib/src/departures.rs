//! How servers left the view: with notice, as a server does that shuts down, or without.
//!
//! Tells a crash from a planned end when a request's answer breaks off.

use std::collections;
use std::sync;
use std::time;

use crate::backends;

/// How long a departure is remembered.
const REMEMBERED_FOR: time::Duration = time::Duration::from_secs(30);

/// A server's departure from the view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Departure {
    /// When the server began to drain, or its entry vanished, as time since boot.
    pub at: time::Duration,
    /// Whether the server announced it by draining.
    pub announced: bool,
}

/// The recent departures, by the id of the server.
#[derive(Debug, Default)]
pub struct Departures {
    by_id: collections::BTreeMap<sync::Arc<str>, Departure>,
}

impl Departures {
    /// Records a change of the view.
    pub fn record(&mut self, change: &backends::Change, now: time::Duration) {
        self.by_id
            .retain(|_, departure| now.saturating_sub(departure.at) < REMEMBERED_FOR);
        let (server, departure) = match change {
            backends::Change::Updated(server) | backends::Change::Joined(server) => {
                (server, server.draining.then_some(true))
            }
            // The process that had the id before has ended.
            backends::Change::Restarted(server) => (server, Some(false)),
            backends::Change::Vanished(server) => (server, Some(server.draining)),
        };
        match departure {
            None => {
                self.by_id.remove(&server.id);
            }
            Some(announced) => {
                let departure = Departure { at: now, announced };
                self.by_id.entry(server.id.clone()).or_insert(departure);
            }
        }
    }

    /// Returns how a server left the view, or `None` if it hasn't.
    pub fn get(&self, id: &str) -> Option<Departure> {
        self.by_id.get(id).copied()
    }
}

/// The end of a request to a server that brought no complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// When the attempt ended, as time since boot.
    pub ended_at: time::Duration,
    /// Whether the server broke the connection. Otherwise it was silent, or the caller left.
    pub broke: bool,
}

/// What an attempt to connect to the server shows after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// The server accepts connections, or answers on open ones.
    Reachable,
    /// The connection was refused: no process listens.
    Refused,
    /// No connection could be opened.
    Unreachable,
}

/// Whether a server crashed during a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It crashed.
    Crashed,
    /// It runs, or ended as planned.
    NotCrashed,
    /// Only its entry in the store can tell: it crashed if the entry vanishes without notice.
    Unknown,
}

/// How long a server goes on serving after it announced its end, or its entry was removed instead.
const SERVES_AFTER_NOTICE: time::Duration = backends::LAST_RESORT_FOR;
/// A server that is reachable this long after the attempt may have restarted since.
const MAX_PROBE_DELAY: time::Duration = time::Duration::from_secs(1);

/// Judges whether a server crashed, from a probe at `probed_at` (time since boot) and from how the server
/// left the view, if it did.
pub fn judge(
    attempt: FailedAttempt,
    probe: Probe,
    probed_at: time::Duration,
    departure: Option<Departure>,
) -> Verdict {
    let late = probed_at.saturating_sub(attempt.ended_at) > MAX_PROBE_DELAY;
    // A server that broke nothing may crash after the caller has left.
    if probe == Probe::Reachable && attempt.broke && !late {
        return Verdict::NotCrashed;
    }
    if let Some(departure) = departure {
        let after_notice = attempt.ended_at > departure.at + SERVES_AFTER_NOTICE;
        if after_notice && (departure.announced || attempt.broke) {
            return Verdict::NotCrashed;
        }
        if !departure.announced {
            return Verdict::Crashed;
        }
    }
    match probe {
        Probe::Refused => Verdict::Crashed,
        Probe::Unreachable if attempt.broke => Verdict::Crashed,
        _ => Verdict::Unknown,
    }
}
