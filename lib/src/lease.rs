//! Leases with fencing numbers, for orders to engines.
//!
//! The lease is an object in the platform, written conditionally. The holder counts its time from
//! before the write was sent, on a clock that runs through suspension, and stops early by a margin.
//! A successor waits the lease and the longest order, so that the last order of a paused holder has
//! ended.

use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// How long a lease lasts.
pub const LEASE_DURATION: time::Duration = time::Duration::from_secs(10);
/// How long before its end the holder stops using a lease.
pub const SAFETY_MARGIN: time::Duration = time::Duration::from_secs(3);
/// The longest time that an order to an engine may take.
pub const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The lease object as stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The holder.
    pub holder: ids::HostId,
    /// Raised with each new holder; orders carry it.
    pub fence: u64,
    /// Raised with each renewal.
    pub renewal: u64,
}

/// A lease held by this host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Held {
    /// The number that orders carry.
    pub fence: u64,
    until: time::Duration,
}

impl Held {
    /// Returns whether an order may be sent now.
    pub fn is_usable(&self, now: time::Duration) -> bool {
        now + ORDER_TIMEOUT.min(SAFETY_MARGIN) < self.until
    }
}

/// What to do next about a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing to do.
    Wait,
    /// Write this record on the condition that the stored version is unchanged.
    Write(Record),
}

/// The lease of one pool as one host sees it.
#[derive(Debug)]
pub struct Lease {
    own: ids::HostId,
    seen: Option<(Record, time::Duration)>,
    held: Option<Held>,
}

impl Lease {
    /// Makes the view of a host that has seen nothing yet.
    pub fn new(own: ids::HostId) -> Self {
        Self {
            own,
            seen: None,
            held: None,
        }
    }

    /// Takes the stored record, as read at `now`. `wanted` says whether this host should hold the
    /// lease.
    pub fn observe(&mut self, stored: Option<&Record>, wanted: bool, now: time::Duration) -> Step {
        let Some(stored) = stored else {
            return if wanted { self.write(0, 0) } else { Step::Wait };
        };
        let changed = self.seen.as_ref().is_none_or(|(seen, _)| seen != stored);
        if changed {
            self.seen = Some((stored.clone(), now));
        }
        if stored.holder != self.own {
            self.held = None;
        }
        if !wanted {
            return Step::Wait;
        }
        if stored.holder == self.own {
            return self.write(stored.fence - 1, stored.renewal);
        }
        let since = self.seen.as_ref().map_or(now, |(_, at)| *at);
        if now.saturating_sub(since) >= LEASE_DURATION + ORDER_TIMEOUT {
            return self.write(stored.fence, 0);
        }
        Step::Wait
    }

    /// Notes that the record was written. `sent` is the time before the write was sent.
    pub fn written(&mut self, record: &Record, sent: time::Duration) {
        self.seen = Some((record.clone(), sent));
        self.held = Some(Held {
            fence: record.fence,
            until: sent + LEASE_DURATION,
        });
    }

    /// Returns the lease if an order may be sent now.
    pub fn held(&self, now: time::Duration) -> Option<Held> {
        self.held.filter(|held| held.is_usable(now))
    }

    fn write(&self, fence: u64, renewal: u64) -> Step {
        Step::Write(Record {
            holder: self.own.clone(),
            fence: fence + 1,
            renewal: renewal + 1,
        })
    }
}
