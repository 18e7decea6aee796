//! Limits on what workspaces use, kept by all hosts together.
//!
//! A single request may use a large part of what its workspace may use in a second, so hosts don't divide a limit.
//! Each host keeps a token bucket for all hosts. It charges the bucket with its own callers' requests at once, and
//! with those of other hosts when their news tell how much they have used. What a limit allows is divided
//! only where hosts don't hear each other: hosts that can't be heard keep an equal share each.
//!
//! Designed for this load: dozens of hosts, at each of which a small workspace has one request in some seconds, and
//! a large one all of its requests; a workspace that suddenly sends seven times as much; hosts that are cut off from
//! each other, or killed all at once and started again, while callers send as before.

use std::collections;
use std::sync;
use std::time;

use crate::shared_bucket;
pub use crate::shared_bucket::Allowance;

/// Changes in what a host has used are in all its whole states for this long, so that the loss of one or two
/// messages doesn't matter.
const REPEATED_FOR: time::Duration = time::Duration::from_millis(1_500);
/// A host that started at most this long before another one counts as started with it. Clocks of hosts differ by
/// some seconds.
const START_DIFFERENCE_MS: u64 = 10_000;
/// A host that starts hears the others within this time; they tell their states twice a second. One that doesn't is
/// cut off from them.
const HEARING_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Callers return to a host that starts after this time at most, as it may use the whole limit once it hears the others.
const HEARING_WAIT: time::Duration = time::Duration::from_millis(400);
/// Whole states tell all workspaces in turn within this many messages, also those that haven't changed.
const TURNS: usize = 4;

/// What a host tells others of a workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// The workspace's name.
    pub workspace: sync::Arc<str>,
    /// What the host's callers have used since the host started, less what was given back.
    pub used: f64,
    /// What the host has refused since it started.
    pub refused: f64,
    /// What the host believes can be used at once; `None` if it has just started, or in changes.
    pub level: Option<f64>,
}

/// Whether a request is within its workspace's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It is, and its cost has been charged.
    Admitted {
        /// Whether other hosts should be told without delay.
        tell: bool,
    },
    /// It isn't.
    Refused {
        /// When its cost will be there, after those that were refused before.
        retry_after: time::Duration,
    },
}

/// Another host that keeps the limits.
#[derive(Clone, Copy, Debug)]
struct Host {
    incarnation: u64,
    /// Since when it has been heard without a break.
    heard_since: time::Duration,
    heard_at: time::Duration,
}

/// The limits of all workspaces, as one host keeps them.
#[derive(Debug, Default)]
pub struct SharedLimits {
    /// When this host's process started, in Unix milliseconds.
    incarnation: u64,
    buckets: collections::BTreeMap<sync::Arc<str>, shared_bucket::Bucket>,
    hosts: collections::HashMap<sync::Arc<str>, Host>,
    /// The number of all hosts that are listed, with this one; 0 before they are known.
    listed: usize,
    /// The share that the hosts had when it was last needed.
    last_share: f64,
    /// When this host last heard fewer than half of the hosts.
    alone_at: Option<time::Duration>,
    /// Since when it has heard fewer than half of the hosts, if it does.
    apart_since: Option<time::Duration>,
    /// The number of whole states told.
    states: usize,
}

impl SharedLimits {
    /// Creates the limits of a host whose process started at this time, in Unix milliseconds.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    /// Puts the limits of a configuration in force, in place of those before. A bucket begins empty: it may be that all
    /// hosts have started again after the burst was used.
    pub fn set_allowances(
        &mut self,
        allowances: impl Iterator<Item = (sync::Arc<str>, Allowance)>,
        now: time::Duration,
    ) {
        let share = self.share(now);
        let mut before = std::mem::take(&mut self.buckets);
        for (workspace, allowance) in allowances {
            let mut bucket = before
                .remove(&workspace)
                .unwrap_or_else(|| shared_bucket::Bucket {
                    as_of: now,
                    converged_at: now,
                    ..shared_bucket::Bucket::default()
                });
            bucket.refill(share, now);
            bucket.allowance = allowance;
            bucket.set_level(bucket.level, share);
            self.buckets.insert(workspace, bucket);
        }
    }

    /// Records how many hosts there are, with this one; 0 if that isn't known yet.
    pub fn set_host_count(&mut self, hosts: usize) {
        self.listed = hosts;
    }

    /// Returns whether there is nothing to keep.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    fn heard(&self, now: time::Duration) -> usize {
        let is_heard =
            |host: &&Host| now.saturating_sub(host.heard_at) <= shared_bucket::HEARD_TIMEOUT;
        self.hosts.values().filter(is_heard).count()
    }

    /// Returns the share of the limits that the hosts have that hear each other.
    fn share(&mut self, now: time::Duration) -> f64 {
        let share = match self.listed {
            0 => 0.0,
            listed => ((self.heard(now) + 1) as f64 / listed as f64).min(1.0),
        };
        if self.alone_at.is_none() || !shared_bucket::has_most(share) {
            self.alone_at = Some(now);
        }
        match shared_bucket::has_most(share) {
            true => self.apart_since = None,
            false => _ = self.apart_since.get_or_insert(now),
        }
        let before = std::mem::replace(&mut self.last_share, share);
        if share > 0.0 && share < before {
            for bucket in self.buckets.values_mut() {
                bucket.refill(before, now);
                bucket.divide(before, share, now);
            }
        }
        share
    }

    /// Returns whether this host can't know the levels of its buckets yet.
    fn is_adopting(&self, now: time::Duration) -> bool {
        self.alone_at
            .is_none_or(|at| now.saturating_sub(at) < shared_bucket::ADOPTION_TIME)
    }

    /// Decides on a request of a caller, and charges it if it is within the limit. A workspace without a limit
    /// is always within it. `random` is uniform from 0 to 1.
    pub fn decide(
        &mut self,
        workspace: &str,
        cost: f64,
        random: f64,
        now: time::Duration,
    ) -> Decision {
        let share = self.share(now);
        let Some(bucket) = self.buckets.get_mut(workspace) else {
            return Decision::Admitted { tell: false };
        };
        bucket.refill(share, now);
        bucket.changed_at = Some(now);
        if bucket.decide(cost, share, random) {
            bucket.own.used += cost;
            let tell = bucket.is_untold(self.listed);
            return Decision::Admitted { tell };
        }
        let is_starting = self
            .apart_since
            .is_some_and(|since| now.saturating_sub(since) < HEARING_TIME);
        let wait = bucket.wait(cost, share);
        let retry_after = match is_starting {
            true => wait.min(HEARING_WAIT),
            false => wait,
        };
        bucket.own.refused += cost;
        bucket.awaited += cost;
        Decision::Refused { retry_after }
    }

    /// Returns how long a request would have to wait; `None` if it would be within the limit. Charges nothing.
    pub fn preview(
        &mut self,
        workspace: &str,
        cost: f64,
        now: time::Duration,
    ) -> Option<time::Duration> {
        let share = self.share(now);
        let bucket = self.buckets.get(workspace)?;
        let mut copy = bucket.clone();
        copy.refill(share, now);
        // A draw of 1 admits nothing that isn't sure to be.
        (!copy.decide(cost, share, 1.0)).then(|| copy.wait(cost, share))
    }

    /// Gives back the cost of a request that was admitted and hasn't run.
    pub fn give_back(&mut self, workspace: &str, cost: f64, now: time::Duration) {
        let share = self.share(now);
        let Some(bucket) = self.buckets.get_mut(workspace) else {
            return;
        };
        bucket.refill(share, now);
        bucket.own.used -= cost;
        bucket.changed_at = Some(now);
        bucket.charge(-cost, share);
    }

    /// Records that another host that keeps the limits was heard, and what it told. News must come in the order in
    /// which the host sent them.
    pub fn record_news(
        &mut self,
        name: &sync::Arc<str>,
        incarnation: u64,
        statements: &[Statement],
        now: time::Duration,
    ) {
        let before = self.hosts.get(name).copied();
        let silent_for = before.map_or(time::Duration::ZERO, |host| {
            now.saturating_sub(host.heard_at)
        });
        let restarted = before.is_some_and(|host| host.incarnation != incarnation);
        let unbroken = before.filter(|_| silent_for <= shared_bucket::HEARD_TIMEOUT);
        let host = Host {
            incarnation,
            heard_since: unbroken.map_or(now, |host| host.heard_since),
            heard_at: now,
        };
        self.hosts.insert(name.clone(), host);
        if restarted {
            for bucket in self.buckets.values_mut() {
                bucket
                    .by_host
                    .insert(name.clone(), shared_bucket::Totals::default());
            }
        }
        let share = self.share(now);
        let adopts = self.is_adopting(now);
        let heard = self.heard(now);
        // It started with this host or later, or has told all that it had used before. Otherwise, what it tells first
        // is from before this host's start.
        let is_recent = incarnation.saturating_add(START_DIFFERENCE_MS) > self.incarnation;
        let is_known = is_recent || now.saturating_sub(host.heard_since) > REPEATED_FOR * 2;
        // It was left its share while it wasn't heard.
        let left_for = match silent_for > shared_bucket::HEARD_TIMEOUT {
            true => silent_for.as_secs_f64() / self.listed.max(1) as f64,
            false => 0.0,
        };
        for told in statements {
            let Some(bucket) = self.buckets.get_mut(&told.workspace) else {
                continue;
            };
            bucket.refill(share, now);
            let totals = shared_bucket::Totals {
                used: told.used,
                refused: told.refused,
            };
            let known = bucket.by_host.insert(name.clone(), totals);
            let known = known.unwrap_or(match is_known {
                true => shared_bucket::Totals::default(),
                false => totals,
            });
            let left = bucket.allowance.per_second * left_for;
            let used = told.used - known.used;
            let charge = (used - left).max(used.min(0.0));
            bucket.charge(charge, share);
            bucket.awaited += (told.refused - known.refused).max(0.0);
            match told.level {
                Some(level) if adopts => {
                    bucket.set_level((bucket.level + level) / 2.0, share);
                }
                Some(level) => bucket.converge(level, heard, share, now),
                None => {}
            }
        }
    }

    /// Returns whether a process is heard at present. Of any other, only whole states may be recorded.
    pub fn knows_host(&self, name: &str, incarnation: u64, now: time::Duration) -> bool {
        let host = self.hosts.get(name);
        host.is_some_and(|host| {
            host.incarnation == incarnation
                && now.saturating_sub(host.heard_at) <= shared_bucket::HEARD_TIMEOUT
        })
    }

    /// Forgets a host that isn't listed any more.
    pub fn retain_hosts(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.hosts.retain(|name, _| is_listed(name));
        for bucket in self.buckets.values_mut() {
            bucket.by_host.retain(|name, _| is_listed(name));
        }
    }

    /// Returns what to tell in a whole state: of workspaces that changed lately, and of some others in turn.
    pub fn state(&mut self, max: usize, now: time::Duration) -> Vec<Statement> {
        let tells_level = !self.is_adopting(now);
        let share = self.share(now);
        self.states += 1;
        let turn = self.states % TURNS;
        let mut told = Vec::new();
        for (number, (workspace, bucket)) in self.buckets.iter_mut().enumerate() {
            let Some(changed_at) = bucket.changed_at else {
                continue;
            };
            let is_recent = now.saturating_sub(changed_at) < REPEATED_FOR;
            if told.len() < max && (is_recent || number % TURNS == turn) {
                bucket.refill(share, now);
                bucket.told = bucket.own.used;
                told.push(Statement {
                    workspace: workspace.clone(),
                    used: bucket.own.used,
                    refused: bucket.own.refused,
                    level: tells_level.then_some(bucket.level),
                });
            }
        }
        told
    }

    /// Returns what to tell with changes of work: what wasn't told yet.
    pub fn changes(&mut self, max: usize) -> Vec<Statement> {
        let untold = self.buckets.iter_mut();
        let untold = untold.filter(|(_, bucket)| bucket.own.used != bucket.told);
        let told = untold.take(max).map(|(workspace, bucket)| {
            bucket.told = bucket.own.used;
            Statement {
                workspace: workspace.clone(),
                used: bucket.own.used,
                refused: bucket.own.refused,
                level: None,
            }
        });
        told.collect()
    }

    /// Returns all workspaces with limits: name, limit, and what this host has used and refused of it.
    pub fn all(&self) -> impl Iterator<Item = Usage<'_>> {
        self.buckets.iter().map(|(workspace, bucket)| Usage {
            workspace,
            allowance: bucket.allowance,
            used: bucket.own.used,
            refused: bucket.own.refused,
            level: bucket.level,
        })
    }
}

/// How a workspace's limit is used.
#[derive(Clone, Copy, Debug)]
pub struct Usage<'a> {
    /// The workspace's name.
    pub workspace: &'a str,
    /// The limit.
    pub allowance: Allowance,
    /// What callers of this host have used.
    pub used: f64,
    /// What this host has refused.
    pub refused: f64,
    /// What could be used at once, over all hosts, when the workspace was last concerned.
    pub level: f64,
}
