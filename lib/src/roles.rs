//! Decides when engines change their role between prefill and decode.
//!
//! The pressure on both roles is compared with hysteresis. An imbalance must last for some time before an
//! engine changes its role, the pool then makes no change for some time, and each role keeps a minimum
//! number of engines.

use std::time;

use crate::engines;
use crate::ids;

/// How long an imbalance must last before an engine changes its role.
pub const SUSTAINED_FOR: time::Duration = time::Duration::from_secs(3);
/// How long a pool makes no further change after one.
pub const COOLDOWN: time::Duration = time::Duration::from_secs(10);
/// Pressure above which a role needs another engine.
const HIGH_PRESSURE: f64 = 0.95;
/// Pressure below which a role can give up an engine.
const LOW_PRESSURE: f64 = 0.6;

/// The pressure on both roles of a pool: capacity in demand divided by capacity available.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pressure {
    /// Arriving prefill work divided by the work that the prefill engines can do in the same time.
    pub prefill: f64,
    /// Decode slots in demand divided by decode slots available.
    pub decode: f64,
}

/// An engine that may change its role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The backend server's name.
    pub name: ids::Name,
    /// Its current role.
    pub role: engines::Role,
    /// Number of requests it holds. The engine with the fewest is changed, as it drains fastest.
    pub held: u32,
}

/// An order to change a role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The name of the backend server.
    pub name: ids::Name,
    /// The role to change to.
    pub role: engines::Role,
}

/// The role policy of one pool.
#[derive(Debug, Default)]
pub struct Policy {
    /// The role that currently needs another engine, and since when.
    since: Option<(engines::Role, time::Duration)>,
    /// When the policy last decided on a change.
    last_change: Option<time::Duration>,
}

impl Policy {
    /// Returns the change of role to make now, if any. At least `minimum` engines stay in each role.
    pub fn decide(
        &mut self,
        pressure: Pressure,
        engines: &[Candidate],
        minimum: usize,
        now: time::Duration,
    ) -> Option<Change> {
        let wanted = wanted_role(pressure);
        self.since = match (wanted, self.since) {
            (Some(role), Some((since_role, at))) if role == since_role => Some((role, at)),
            (Some(role), _) => Some((role, now)),
            (None, _) => None,
        };
        let (role, since) = self.since?;
        let in_cooldown = self
            .last_change
            .is_some_and(|at| now.saturating_sub(at) < COOLDOWN);
        if in_cooldown || now.saturating_sub(since) < SUSTAINED_FOR {
            return None;
        }
        let donors = engines.iter().filter(|engine| engine.role != role);
        if donors.clone().count() <= minimum {
            return None;
        }
        let emptiest = donors.min_by_key(|engine| engine.held)?;
        self.last_change = Some(now);
        self.since = None;
        Some(Change {
            name: emptiest.name.clone(),
            role,
        })
    }
}

/// Returns the role that needs another engine.
fn wanted_role(pressure: Pressure) -> Option<engines::Role> {
    if pressure.prefill > HIGH_PRESSURE && pressure.decode < LOW_PRESSURE {
        return Some(engines::Role::Prefill);
    }
    if pressure.decode > HIGH_PRESSURE && pressure.prefill < LOW_PRESSURE {
        return Some(engines::Role::Decode);
    }
    None
}
