//! How server processes left the view: with notice, as one does that shuts down, or without.
//!
//! Tells a crash from a planned end when a request's answer breaks off. Processes that follow each other may
//! have the same id, the same address, or both, so what one of them did says nothing about another one.

use std::collections;
use std::net;
use std::sync;
use std::time;

use crate::backends;

/// How long a departure is remembered.
const REMEMBERED_FOR: time::Duration = time::Duration::from_secs(30);

/// How a process left the view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// It announced its end by draining.
    Drained,
    /// Its entry vanished without notice.
    Vanished,
    /// Another process has its id or its address, so that it had ended before.
    Replaced,
}

/// A process's departure from the view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Departure {
    /// When this host learned of it, as time since boot.
    pub at: time::Duration,
    /// How the process left.
    pub way: Way,
}

/// The recent departures, by process.
#[derive(Debug, Default)]
pub struct Departures {
    departed: collections::BTreeMap<backends::Process, Departure>,
    /// The newest process that was listed with each id.
    by_id: collections::BTreeMap<sync::Arc<str>, backends::Process>,
    /// The newest process that was listed at each address.
    by_addr: collections::BTreeMap<net::SocketAddr, backends::Process>,
}

impl Departures {
    /// Records a change of the view.
    pub fn record(&mut self, change: &backends::Change, now: time::Duration) {
        self.departed
            .retain(|_, departure| now.saturating_sub(departure.at) < REMEMBERED_FOR);
        match change {
            backends::Change::Joined(server)
            | backends::Change::Updated(server)
            | backends::Change::Restarted(server) => self.record_listed(server, now),
            backends::Change::Vanished(server) => {
                let process = server.process();
                if self.by_id.get(&process.id) == Some(&process) {
                    self.by_id.remove(&process.id);
                }
                if self.by_addr.get(&process.addr) == Some(&process) {
                    self.by_addr.remove(&process.addr);
                }
                let way = match server.draining {
                    true => Way::Drained,
                    false => Way::Vanished,
                };
                self.record_departed(process, way, now);
            }
        }
    }

    /// Records that a process is listed, which shows that the one before it has ended.
    fn record_listed(&mut self, server: &backends::Backend, now: time::Duration) {
        let process = server.process();
        let of_id = self.by_id.get(&process.id).cloned();
        let at_addr = self.by_addr.get(&process.addr).cloned();
        let others = of_id.into_iter().chain(at_addr);
        let others: Vec<_> = others.filter(|other| *other != process).collect();
        // A store that lags, or was restored, may list a process that has ended.
        if others.iter().any(|other| process.started_before(other)) {
            self.record_departed(process, Way::Replaced, now);
            return;
        }
        for other in others {
            self.record_departed(other, Way::Replaced, now);
        }
        self.by_id.insert(process.id.clone(), process.clone());
        self.by_addr.insert(process.addr, process.clone());
        match server.draining {
            true => self.record_departed(process, Way::Drained, now),
            false => {
                self.departed.remove(&process);
            }
        }
    }

    /// Records a departure unless the process had left before.
    fn record_departed(&mut self, process: backends::Process, way: Way, now: time::Duration) {
        let departure = Departure { at: now, way };
        self.departed.entry(process).or_insert(departure);
    }

    /// Returns how a process left the view, or `None` if it hasn't.
    pub fn get(&self, process: &backends::Process) -> Option<Departure> {
        self.departed.get(process).copied()
    }
}

/// The end of a request to a server that brought no complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// When the request was sent, as time since boot.
    pub sent_at: time::Duration,
    /// When the attempt ended, as time since boot.
    pub ended_at: time::Duration,
    /// Whether the server broke the connection. Otherwise it was silent, or the caller left.
    pub broke: bool,
}

/// What an attempt to connect to the server's address shows after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// A process accepts connections: the server, or the one that was started in its place.
    Accepted,
    /// The connection was refused: no process listens.
    Refused,
    /// No connection could be opened.
    Unreachable,
}

/// What other hosts say of a server that can't be reached from here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OtherHosts {
    /// There are none, so that this host's own view counts.
    None,
    /// One of them reaches a process at its address.
    Reach,
    /// They don't reach it, although they reach other servers.
    DontReach,
    /// They can't tell.
    Unknown,
}

/// Whether a server process crashed during a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It crashed.
    Crashed,
    /// It ended as planned.
    NotCrashed,
    /// Only the entries in the store can tell: it crashed if its own vanishes without notice, or if another
    /// process takes its place.
    Unknown,
}

/// How long a server goes on serving after it announced its end, or its entry was removed instead.
const SERVES_AFTER_NOTICE: time::Duration = backends::LAST_RESORT_FOR;

/// Judges whether a server process crashed, from a probe, from what other hosts say if that fails, and from how the
/// process left the view, if it did.
pub fn judge(
    attempt: FailedAttempt,
    probe: Probe,
    others: OtherHosts,
    departure: Option<Departure>,
) -> Verdict {
    if let Some(departure) = departure {
        let after_notice = attempt.ended_at > departure.at + SERVES_AFTER_NOTICE;
        match departure.way {
            Way::Drained if after_notice => return Verdict::NotCrashed,
            Way::Vanished if after_notice && attempt.broke => return Verdict::NotCrashed,
            Way::Vanished => return Verdict::Crashed,
            Way::Replaced if attempt.sent_at <= departure.at => return Verdict::Crashed,
            // The request was sent to the process that took the place of this one.
            Way::Drained | Way::Replaced => {}
        }
    }
    let confirmed = match others {
        OtherHosts::None | OtherHosts::DontReach => true,
        // The host's own links may be cut.
        OtherHosts::Reach | OtherHosts::Unknown => false,
    };
    match probe {
        Probe::Refused if confirmed => Verdict::Crashed,
        Probe::Unreachable if confirmed && attempt.broke => Verdict::Crashed,
        Probe::Accepted | Probe::Refused | Probe::Unreachable => Verdict::Unknown,
    }
}
