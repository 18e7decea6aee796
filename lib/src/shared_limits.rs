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

/// A host that has told nothing for this long counts as one that can't be heard. With a longer time, two halves of
/// the hosts that lost each other would exceed a limit by more than a tenth within eight seconds; a shorter one
/// would be less than the interval of the news and their usual delay.
const HEARD_TIMEOUT: time::Duration = time::Duration::from_millis(750);
/// All hosts together leave as much use untold as a limit allows in this time, or half of what can be used at once.
/// Less would cost messages; this is half of what a limit may be exceeded by within eight seconds.
const UNTOLD_TIME: time::Duration = time::Duration::from_millis(400);
/// A host that starts, or that heard fewer than half of the hosts, takes over the levels of other hosts for this
/// long. They tell them twice in that time.
const ADOPTION_TIME: time::Duration = time::Duration::from_secs(1);
/// Changes in what a host has used are in all its whole states for this long, so that the loss of one or two
/// messages doesn't matter.
const REPEATED_FOR: time::Duration = time::Duration::from_millis(1_500);
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
/// Whole states tell all workspaces in turn within this many messages, also those that haven't changed.
const TURNS: usize = 4;

/// What a workspace may use over all hosts, in whatever its limit counts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allowance {
    /// What may be used each second.
    pub per_second: f64,
    /// What may be used at once after a time without requests.
    pub burst: f64,
}

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

/// What a host has used and refused, as last told.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    used: f64,
    refused: f64,
}

/// The limit of one workspace.
#[derive(Clone, Debug, Default)]
struct Bucket {
    allowance: Allowance,
    /// What can be used at once; negative after use that was told late.
    level: f64,
    /// What has been refused and will come back.
    awaited: f64,
    /// The time for which `level` and `awaited` hold, as time since boot.
    as_of: time::Duration,
    /// What all heard hosts used in this span of [`HEARD_TIMEOUT`] and in the one before.
    spent: [f64; 2],
    /// When this span began.
    span_at: time::Duration,
    own: Totals,
    /// The part of `own.used` that other hosts were told.
    told: f64,
    /// When `own` last changed.
    changed_at: Option<time::Duration>,
    /// Totals of other hosts, by their names.
    by_host: collections::HashMap<sync::Arc<str>, Totals>,
    /// When the level was last moved towards those of other hosts.
    converged_at: time::Duration,
}

impl Bucket {
    /// Returns what the bucket holds at most, for hosts that have this share of the limit.
    fn capacity(&self, share: f64) -> f64 {
        let min = self.allowance.per_second * MIN_BURST_TIME.as_secs_f64();
        self.allowance.burst.max(min) * share
    }

    /// Adds what the limit has allowed since the last call.
    fn refill(&mut self, share: f64, now: time::Duration) {
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

    fn charge(&mut self, cost: f64, share: f64) {
        self.spent[0] += cost;
        self.set_level(self.level - cost, share);
    }

    /// Leaves hosts that aren't heard any more their part. They may have spent as much of a burst as the others
    /// since they were last heard, for they couldn't know either.
    fn divide(&mut self, before: f64, share: f64, now: time::Duration) {
        let span = now.saturating_sub(self.span_at) + HEARD_TIMEOUT;
        let refilled = self.allowance.per_second * before * span.as_secs_f64();
        let of_burst = (self.spent.iter().sum::<f64>() - refilled).max(0.0);
        let unheard = of_burst * (before - share) / share;
        self.set_level((self.level - unheard) * share / before, share);
    }

    fn set_level(&mut self, level: f64, share: f64) {
        let max_debt = self.allowance.per_second * MAX_DEBT_TIME.as_secs_f64();
        let least = -(self.allowance.burst + max_debt);
        self.level = level.min(self.capacity(share)).max(least);
    }

    /// Returns whether so much is untold that all hosts together might exceed the limit by it.
    fn is_untold(&self, hosts: usize) -> bool {
        let untold = self.own.used - self.told;
        let most = self.allowance.per_second * UNTOLD_TIME.as_secs_f64();
        untold * hosts as f64 > most.max(self.level / 2.0)
    }

    /// Decides on a request. `random` is uniform from 0 to 1.
    fn decide(&mut self, cost: f64, share: f64, random: f64) -> bool {
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
    fn wait(&self, cost: f64, share: f64) -> time::Duration {
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
    fn converge(&mut self, level: f64, heard: usize, share: f64, now: time::Duration) {
        let elapsed = now.saturating_sub(self.converged_at).min(ADOPTION_TIME);
        self.converged_at = now;
        let most = self.allowance.per_second * MAX_CONVERGENCE * elapsed.as_secs_f64();
        let difference = (level - self.level) / (heard + 1) as f64;
        self.set_level(self.level + difference.clamp(-most, most), share);
    }
}

/// Returns whether no other hosts can have as large a share.
fn has_most(share: f64) -> bool {
    share > 0.5
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
    buckets: collections::BTreeMap<sync::Arc<str>, Bucket>,
    hosts: collections::HashMap<sync::Arc<str>, Host>,
    /// The number of all hosts that are listed, with this one; 0 before they are known.
    listed: usize,
    /// The share that the hosts had when it was last needed.
    last_share: f64,
    /// When this host last heard fewer than half of the hosts.
    alone_at: Option<time::Duration>,
    /// The number of whole states told.
    states: usize,
}

impl SharedLimits {
    /// Puts the limits of a configuration in force, in place of those before. A bucket begins in debt: it may be that
    /// all hosts have started again, after use that none of them told.
    pub fn set_allowances(
        &mut self,
        allowances: impl Iterator<Item = (sync::Arc<str>, Allowance)>,
        now: time::Duration,
    ) {
        let share = self.share(now);
        let mut before = std::mem::take(&mut self.buckets);
        for (workspace, allowance) in allowances {
            let mut bucket = before.remove(&workspace).unwrap_or_else(|| Bucket {
                as_of: now,
                converged_at: now,
                ..Bucket::default()
            });
            bucket.refill(share, now);
            let is_new = bucket.allowance == Allowance::default();
            bucket.allowance = allowance;
            let level = match is_new {
                true => -allowance.per_second * HEARD_TIMEOUT.as_secs_f64(),
                false => bucket.level,
            };
            bucket.set_level(level, share);
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
        let is_heard = |host: &&Host| now.saturating_sub(host.heard_at) <= HEARD_TIMEOUT;
        self.hosts.values().filter(is_heard).count()
    }

    /// Returns the share of the limits that the hosts have that hear each other.
    fn share(&mut self, now: time::Duration) -> f64 {
        let share = match self.listed {
            0 => 0.0,
            listed => ((self.heard(now) + 1) as f64 / listed as f64).min(1.0),
        };
        if self.alone_at.is_none() || !has_most(share) {
            self.alone_at = Some(now);
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
            .is_none_or(|at| now.saturating_sub(at) < ADOPTION_TIME)
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
        let retry_after = bucket.wait(cost, share);
        bucket.own.refused += cost;
        bucket.awaited += cost;
        Decision::Refused { retry_after }
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
        let unbroken = before.filter(|_| silent_for <= HEARD_TIMEOUT);
        let host = Host {
            incarnation,
            heard_since: unbroken.map_or(now, |host| host.heard_since),
            heard_at: now,
        };
        self.hosts.insert(name.clone(), host);
        if restarted {
            for bucket in self.buckets.values_mut() {
                bucket.by_host.insert(name.clone(), Totals::default());
            }
        }
        let share = self.share(now);
        let adopts = self.is_adopting(now);
        let heard = self.heard(now);
        // All that it has used was told by now, if it had told anything.
        let is_known = now.saturating_sub(host.heard_since) > REPEATED_FOR * 2;
        for told in statements {
            let Some(bucket) = self.buckets.get_mut(&told.workspace) else {
                continue;
            };
            bucket.refill(share, now);
            let totals = Totals {
                used: told.used,
                refused: told.refused,
            };
            let known = bucket.by_host.insert(name.clone(), totals);
            let known = known.unwrap_or(match is_known {
                true => Totals::default(),
                false => totals,
            });
            // It was left its share while it wasn't heard.
            let left = match silent_for > HEARD_TIMEOUT {
                true => {
                    let its_share = silent_for.as_secs_f64() / self.listed.max(1) as f64;
                    bucket.allowance.per_second * its_share
                }
                false => 0.0,
            };
            let used = told.used - known.used;
            let charge = match used > 0.0 {
                true => (used - left).max(0.0),
                false => used,
            };
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
            host.incarnation == incarnation && now.saturating_sub(host.heard_at) <= HEARD_TIMEOUT
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
