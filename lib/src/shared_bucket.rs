//! The token bucket of one workspace, as one host keeps it for all hosts (see [`crate::shared_limits`]).
//!
//! Designed for this load: requests that each use as much as the workspace may in a tenth of a second or in a whole
//! one, at hosts that learn milliseconds later what the others have admitted.

use std::collections;
use std::sync;
use std::time;

/// A host that has told nothing for this long counts as one that can't be heard. With a longer time, two halves of
/// the hosts that lost each other would exceed a limit by more than a tenth within eight seconds; a shorter one
/// would be less than the interval of the news and their usual delay.
pub(crate) const HEARD_TIMEOUT: time::Duration = time::Duration::from_millis(750);
/// All hosts together leave as much use untold as a limit allows in this time, or half of what can be used at once.
/// Less would cost messages; this is half of what a limit may be exceeded by within eight seconds.
const UNTOLD_TIME: time::Duration = time::Duration::from_millis(400);
/// A host that starts, or that heard fewer than half of the hosts, takes over the levels of other hosts for this
/// long. They tell them twice in that time.
pub(crate) const ADOPTION_TIME: time::Duration = time::Duration::from_secs(1);
/// Share of a limit by which differences between the levels of hosts may shrink. They are errors of both signs, so
/// this doesn't raise what all hosts allow; the bound is for hosts that hear others without being heard.
const MAX_CONVERGENCE: f64 = 0.05;
/// The bucket holds at least what the limit allows in this time, so that requests pass a limit without a burst.
const MIN_BURST_TIME: time::Duration = time::Duration::from_millis(250);
/// A bucket owes at most this much, besides a burst: an error must not refuse a workspace for longer.
const MAX_DEBT_TIME: time::Duration = time::Duration::from_secs(2);
/// Time until callers should return to a host that doesn't know yet how many hosts there are.
const START_WAIT: time::Duration = time::Duration::from_secs(1);
/// The longest predicted time until a refused caller would be served.
const MAX_WAIT: time::Duration = time::Duration::from_secs(30);

/// Part of the slack that a bucket holds besides the burst. The rest is for single requests that several hosts admit
/// before they hear of each other's.
const USED_SLACK: f64 = 0.75;

/// What a workspace may use over all hosts, in whatever its limit counts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allowance {
    /// What may be used each second.
    pub per_second: f64,
    /// What may be used at once after a time without requests.
    pub burst: f64,
    /// What the deployment lets all hosts together use besides in any of its spans of time; 0 if it sets none.
    pub slack: f64,
}

/// What a host has used and refused, as last told.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) used: f64,
    pub(crate) refused: f64,
}

/// The limit of one workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bucket {
    pub(crate) allowance: Allowance,
    /// What can be used at once; negative after use that was told late.
    pub(crate) level: f64,
    /// What has been refused and will come back.
    pub(crate) awaited: f64,
    /// The time for which `level` and `awaited` hold, as time since boot.
    pub(crate) as_of: time::Duration,
    /// What all heard hosts used in this span of [`HEARD_TIMEOUT`] and in the one before.
    pub(crate) spent: [f64; 2],
    /// When this span began.
    pub(crate) span_at: time::Duration,
    pub(crate) own: Totals,
    /// The part of `own.used` that other hosts were told.
    pub(crate) told: f64,
    /// When `own` last changed.
    pub(crate) changed_at: Option<time::Duration>,
    /// Totals of other hosts, by their names.
    pub(crate) by_host: collections::HashMap<sync::Arc<str>, Totals>,
    /// When the level was last moved towards those of other hosts.
    pub(crate) converged_at: time::Duration,
}

impl Bucket {
    /// Returns what the bucket holds at most, for hosts that have this share of the limit.
    pub(crate) fn capacity(&self, share: f64) -> f64 {
        let min = self.allowance.per_second * MIN_BURST_TIME.as_secs_f64();
        (self.allowance.burst.max(min) + self.allowance.slack * USED_SLACK) * share
    }

    /// Adds what the limit has allowed since the last call.
    pub(crate) fn refill(&mut self, share: f64, now: time::Duration) {
        let elapsed = now.saturating_sub(self.as_of).as_secs_f64();
        self.as_of = self.as_of.max(now);
        let added = self.allowance.per_second * share * elapsed;
        self.set_level(self.level + added, share);
        let most = self.allowance.per_second * MAX_WAIT.as_secs_f64();
        self.awaited = (self.awaited - added).clamp(0.0, most);
        let span = now.saturating_sub(self.span_at);
        if span >= HEARD_TIMEOUT {
            let is_next = span < HEARD_TIMEOUT * 2;
            self.spent = [0.0, if is_next { self.spent[0] } else { 0.0 }];
            self.span_at = now;
        }
    }

    pub(crate) fn charge(&mut self, cost: f64, share: f64) {
        self.spent[0] += cost;
        self.set_level(self.level - cost, share);
    }

    /// Leaves hosts that aren't heard any more their part. They may have spent as much of a burst as the others
    /// since they were last heard, for they couldn't know either.
    pub(crate) fn divide(&mut self, before: f64, share: f64, now: time::Duration) {
        let span = now.saturating_sub(self.span_at) + HEARD_TIMEOUT;
        let refilled = self.allowance.per_second * before * span.as_secs_f64();
        let of_burst = (self.spent.iter().sum::<f64>() - refilled).max(0.0);
        let unheard = of_burst * (before - share) / share;
        self.set_level((self.level - unheard) * share / before, share);
    }

    pub(crate) fn set_level(&mut self, level: f64, share: f64) {
        let max_debt = self.allowance.per_second * MAX_DEBT_TIME.as_secs_f64();
        let least = -(self.allowance.burst + max_debt);
        self.level = level.min(self.capacity(share)).max(least);
    }

    /// Returns whether so much is untold that all hosts together might exceed the limit by it.
    pub(crate) fn is_untold(&self, hosts: usize) -> bool {
        let untold = self.own.used - self.told;
        let most = self.allowance.per_second * UNTOLD_TIME.as_secs_f64();
        untold * hosts as f64 > most.max(self.level / 2.0)
    }

    /// Decides on a request. `random` is uniform from 0 to 1.
    pub(crate) fn decide(&mut self, cost: f64, share: f64, random: f64) -> bool {
        let capacity = self.capacity(share);
        if cost <= self.level {
            self.charge(cost, share);
            return true;
        }
        if cost <= capacity || capacity <= 0.0 || self.level < capacity {
            return false;
        }
        // More than the bucket ever holds.
        if has_most(share) {
            self.charge(cost, share);
            return true;
        }
        // Such a debt at each of many small shares would be a multiple of the limit. A draw that uses up the
        // bucket lets as much pass on average as the share allows.
        self.level = 0.0;
        random * cost < capacity
    }

    /// Predicts when a refused request's cost will be there.
    pub(crate) fn wait(&self, cost: f64, share: f64) -> time::Duration {
        if share <= 0.0 {
            return START_WAIT;
        }
        let wanted = cost.min(self.capacity(share)) - self.level;
        let missing = wanted.max(0.0) + self.awaited;
        let seconds = missing / (self.allowance.per_second * share);
        let wait = time::Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT);
        wait.min(MAX_WAIT)
    }

    /// Moves the level towards that of another host, of `heard` that are heard.
    pub(crate) fn converge(&mut self, level: f64, heard: usize, share: f64, now: time::Duration) {
        let elapsed = now.saturating_sub(self.converged_at).min(ADOPTION_TIME);
        self.converged_at = now;
        let most = self.allowance.per_second * MAX_CONVERGENCE * elapsed.as_secs_f64();
        let difference = (level - self.level) / (heard + 1) as f64;
        self.set_level(self.level + difference.clamp(-most, most), share);
    }
}

/// Returns whether no other hosts can have as large a share.
pub(crate) fn has_most(share: f64) -> bool {
    share > 0.5
}
