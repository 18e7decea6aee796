//! Leases with fencing numbers, for orders to engines.
//!
//! A lease is an object in the platform's store that is written conditionally on its version. The holder
//! counts the duration from before it sent the write, on a clock that also runs during suspension, and
//! stops using the lease some time before its end. A successor waits for the duration of the lease plus
//! that of the longest order, so that the last order of a paused holder has ended.
//!
//! A store that comes back from a copy loses leases. Each time is an era: what was read in one isn't compared with what
//! is read in another, and the fencing numbers of a later era are higher. A host that first hears of a later era presumes
//! that a lease of an earlier one is still held, whether or not it ran then.

use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// How long a lease lasts.
pub const LEASE_DURATION: time::Duration = time::Duration::from_secs(10);
/// How long before the end of a lease its holder must stop using it; [`ORDER_TIMEOUT`] if that is shorter.
pub const SAFETY_MARGIN: time::Duration = time::Duration::from_secs(3);
/// The longest time that an order to an engine may take.
pub const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Fencing numbers that each era has for itself.
const FENCES_PER_ERA: u64 = 1_000_000;

/// The stored lease object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The host that holds the lease.
    pub holder: ids::HostId,
    /// The fencing number: higher for each new holder. Orders carry it, so that engines can refuse those of
    /// an earlier holder.
    pub fence: u64,
    /// Incremented by each renewal.
    pub renewal: u64,
}

/// A lease held by this host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Held {
    /// The fencing number for orders.
    pub fence: u64,
    /// When the lease ends.
    until: time::Duration,
}

impl Held {
    /// Returns whether an order may be sent now, so that it ends before the lease does.
    pub fn is_usable(&self, now: time::Duration) -> bool {
        now + ORDER_TIMEOUT.min(SAFETY_MARGIN) < self.until
    }
}

/// What a host has to do next to acquire or renew a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Nothing now; observe the lease again later.
    Wait,
    /// Write this record, on condition that the stored version hasn't changed since it was read.
    Write(Record),
}

/// One host's view of a lease.
#[derive(Debug)]
pub struct Lease {
    /// This host.
    own: ids::HostId,
    /// The last record read or written, and when this host first saw it.
    seen: Option<(Record, time::Duration)>,
    /// Set while this host holds the lease.
    held: Option<Held>,
    /// The store's era; 0 until it first comes back from a copy.
    era: u64,
    /// When the leases of earlier eras have ended.
    former_end_at: time::Duration,
}

impl Lease {
    /// Creates the view of host `own`, which hasn't read the lease yet.
    pub fn new(own: ids::HostId) -> Self {
        Self {
            own,
            seen: None,
            held: None,
            era: 0,
            former_end_at: time::Duration::ZERO,
        }
    }

    /// Records the store's era. A lease of an earlier one isn't held any more: another host may have taken it after the
    /// copy was made, or may take it now.
    pub fn record_era(&mut self, era: u64, now: time::Duration) {
        if self.era == era {
            return;
        }
        self.era = era;
        self.seen = None;
        self.held = None;
        self.former_end_at = now + LEASE_DURATION + ORDER_TIMEOUT;
    }

    /// Returns the highest fencing number of earlier eras.
    fn former_fences(&self) -> u64 {
        self.era.saturating_mul(FENCES_PER_ERA)
    }

    /// Observes the stored record, as read at `now`, and returns what to do next. `wanted` says whether this
    /// host wants to hold the lease. The store's era must be recorded before.
    pub fn observe(&mut self, stored: Option<&Record>, wanted: bool, now: time::Duration) -> Step {
        let former_fences = self.former_fences();
        let Some(stored) = stored else {
            return match wanted && now >= self.former_end_at {
                true => self.write(former_fences, 0),
                false => Step::Wait,
            };
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
        let is_of_era = stored.fence > former_fences || former_fences == 0;
        if stored.holder == self.own && is_of_era && now >= self.former_end_at {
            return self.write(stored.fence.saturating_sub(1), stored.renewal);
        }
        let since = self.seen.as_ref().map_or(now, |(_, at)| *at);
        if now.saturating_sub(since) >= LEASE_DURATION + ORDER_TIMEOUT {
            return self.write(stored.fence.max(former_fences), 0);
        }
        Step::Wait
    }

    /// Records that a write succeeded. `sent` is a time just before it was sent.
    pub fn record_write(&mut self, record: &Record, sent: time::Duration) {
        self.seen = Some((record.clone(), sent));
        self.held = Some(Held {
            fence: record.fence,
            until: sent + LEASE_DURATION,
        });
    }

    /// Returns the lease if this host holds it and may send an order now.
    pub fn held(&self, now: time::Duration) -> Option<Held> {
        self.held.filter(|held| held.is_usable(now))
    }

    /// Returns the step that writes a record with the numbers following these.
    fn write(&self, fence: u64, renewal: u64) -> Step {
        Step::Write(Record {
            holder: self.own.clone(),
            fence: fence + 1,
            renewal: renewal + 1,
        })
    }
}
