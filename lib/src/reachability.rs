//! Which backend servers this host reaches, by its own connections.
//!
//! A server that sends nothing may be sound but slow, so silence leads to a check: a new connection is tried. A
//! server to which none can be opened is out of reach, until one can or the server sends something. It may be
//! sound nonetheless, if the host's own network links are cut.

use std::collections;
use std::sync;
use std::time;

/// A server in use is checked when it has sent nothing for this long; doubled with each check in a row that
/// reaches it.
const QUIET_TIME: time::Duration = time::Duration::from_millis(300);
/// Shortest time between two checks of servers that only send nothing. If the host's links are cut, one of them shows
/// it, and each takes a connection that the server may need.
const QUIET_CHECK_SPACING: time::Duration = time::Duration::from_secs(1);
/// Time to the next check of a server that is out of reach; doubled with each further failure in a row.
const RECHECK_TIME: time::Duration = time::Duration::from_millis(400);
/// Upper bound of either time.
const MAX_CHECK_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Maximum number of doublings of either time.
const MAX_DOUBLINGS: u32 = 4;

/// What is known of the way to one server. Times are on the host's monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
struct Path {
    /// Number of connections that wait for bytes.
    in_use: u32,
    /// Since when nothing was received although a connection was in use.
    quiet_since: time::Duration,
    /// Whether no connection can be opened.
    lost: bool,
    /// Checks in a row with the same result.
    checks: u32,
    /// From when on the next check is due.
    next_check: time::Duration,
    /// Whether a check is wanted whatever the server does.
    wanted: bool,
    /// Whether a check is in progress.
    checking: bool,
}

/// The ways to all servers, by server id.
#[derive(Debug, Default)]
pub struct Reachability {
    paths: collections::HashMap<sync::Arc<str>, Path>,
    /// From when on a server that only sends nothing may be checked.
    next_quiet_check: time::Duration,
}

impl Reachability {
    fn path(&mut self, id: &str) -> &mut Path {
        if !self.paths.contains_key(id) {
            self.paths.insert(id.into(), Path::default());
        }
        self.paths.get_mut(id).expect("path was just inserted")
    }

    /// Records that a connection waits for bytes of a server.
    pub fn record_used(&mut self, id: &str, now: time::Duration) {
        let path = self.path(id);
        if path.in_use == 0 {
            path.quiet_since = now;
            if !path.lost {
                path.checks = 0;
                path.next_check = now + QUIET_TIME;
            }
        }
        path.in_use += 1;
    }

    /// Records that a connection no longer waits for bytes of a server.
    pub fn record_unused(&mut self, id: &str) {
        if let Some(path) = self.paths.get_mut(id) {
            path.in_use = path.in_use.saturating_sub(1);
        }
    }

    /// Records that a server sent something. Returns whether it was out of reach.
    pub fn record_heard(&mut self, id: &str, now: time::Duration) -> bool {
        let path = self.path(id);
        path.quiet_since = now;
        path.checks = 0;
        path.next_check = now + QUIET_TIME;
        std::mem::replace(&mut path.lost, false)
    }

    /// Records that a connection to a server was opened. Returns whether it was out of reach.
    pub fn record_reached(&mut self, id: &str, now: time::Duration) -> bool {
        let path = self.path(id);
        path.checking = false;
        if std::mem::replace(&mut path.lost, false) {
            path.checks = 0;
            path.quiet_since = now;
            path.next_check = now + QUIET_TIME;
            return true;
        }
        path.checks += 1;
        path.next_check = now + doubled(QUIET_TIME, path.checks);
        false
    }

    /// Records that no connection to a server could be opened. `spread`, from 0 to 1, shortens the time to the next
    /// check, so that hosts and servers aren't checked together. Returns whether it was in reach before.
    pub fn record_unreached(&mut self, id: &str, spread: f64, now: time::Duration) -> bool {
        let path = self.path(id);
        let was_lost = std::mem::replace(&mut path.lost, true);
        path.checking = false;
        path.checks = match was_lost {
            true => path.checks + 1,
            false => 0,
        };
        let wait = doubled(RECHECK_TIME, path.checks);
        path.next_check = now + wait.mul_f64(1.0 - spread.clamp(0.0, 1.0) / 2.0);
        !was_lost
    }

    /// Has a server checked soon, whatever it does.
    pub fn want_check(&mut self, id: &str, now: time::Duration) {
        let path = self.path(id);
        path.wanted = true;
        path.next_check = path.next_check.min(now);
    }

    /// Returns the servers to check now. Each check must be followed by [`Self::record_reached`] or
    /// [`Self::record_unreached`].
    pub fn take_due(&mut self, now: time::Duration) -> Vec<sync::Arc<str>> {
        let mut due = Vec::new();
        for (id, path) in &mut self.paths {
            let is_quiet = path.in_use > 0 && now >= path.quiet_since + QUIET_TIME;
            let is_concerned = path.lost || path.wanted;
            let has_reason = is_concerned || (is_quiet && now >= self.next_quiet_check);
            if has_reason && !path.checking && now >= path.next_check {
                if !is_concerned {
                    self.next_quiet_check = now + QUIET_CHECK_SPACING;
                }
                path.checking = true;
                path.wanted = false;
                due.push(id.clone());
            }
        }
        due
    }

    /// Returns whether a server is out of reach.
    pub fn is_lost(&self, id: &str) -> bool {
        self.paths.get(id).is_some_and(|path| path.lost)
    }

    /// Returns whether there are servers, and all of them are out of reach.
    pub fn all_lost<'a>(&self, mut ids: impl Iterator<Item = &'a sync::Arc<str>>) -> bool {
        let first = ids.next();
        first.is_some_and(|first| self.is_lost(first) && ids.all(|id| self.is_lost(id)))
    }

    /// Returns whether there are servers, and at least half of them are out of reach.
    pub fn mostly_lost<'a>(&self, ids: impl Iterator<Item = &'a sync::Arc<str>>) -> bool {
        let (mut all, mut lost) = (0, 0);
        for id in ids {
            all += 1;
            lost += usize::from(self.is_lost(id));
        }
        all > 0 && lost * 2 >= all
    }

    /// Forgets a server's process: another one may have taken its place.
    pub fn forget(&mut self, id: &str) {
        if let Some(path) = self.paths.get_mut(id) {
            *path = Path {
                in_use: path.in_use,
                ..Path::default()
            };
        }
    }

    /// Forgets the servers that aren't known any more, unless connections to them are in use.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.paths
            .retain(|id, path| path.in_use > 0 || is_known(id));
    }
}

/// Returns `first` doubled `doublings` times, up to [`MAX_CHECK_TIME`].
fn doubled(first: time::Duration, doublings: u32) -> time::Duration {
    (first * 2_u32.pow(doublings.min(MAX_DOUBLINGS))).min(MAX_CHECK_TIME)
}
