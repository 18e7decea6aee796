//! When engines change between prefill and decode.
//!
//! The pressure on each side is compared with hysteresis, a change needs the pressure to last, a
//! pool rests after each change, and each role keeps its minimum of engines.

use std::time;

use crate::engines;
use crate::ids;

/// How long an imbalance must last before an engine changes its role.
pub const SUSTAINED_FOR: time::Duration = time::Duration::from_secs(3);
/// How long a pool rests after a change.
pub const COOLDOWN: time::Duration = time::Duration::from_secs(10);
const HIGH: f64 = 0.95;
const LOW: f64 = 0.6;

/// The pressure on both sides of a pool, as used over available capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pressure {
    /// Prefill work arriving over what the prefill engines compute.
    pub prefill: f64,
    /// Decode slots wanted over decode slots.
    pub decode: f64,
}

/// An engine that may change its role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The backend server's name.
    pub name: ids::Name,
    /// Its role now.
    pub role: engines::Role,
    /// Requests it holds; the emptiest engine drains fastest.
    pub held: u32,
}

/// An order to change a role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The backend server.
    pub name: ids::Name,
    /// The role it shall have.
    pub role: engines::Role,
}

/// The role policy of one pool.
#[derive(Debug, Default)]
pub struct Policy {
    since: Option<(engines::Role, time::Duration)>,
    last_change: Option<time::Duration>,
}

impl Policy {
    /// Decides on a change. `minimum` engines stay in each role.
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
        let resting = self
            .last_change
            .is_some_and(|at| now.saturating_sub(at) < COOLDOWN);
        if resting || now.saturating_sub(since) < SUSTAINED_FOR {
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

fn wanted_role(pressure: Pressure) -> Option<engines::Role> {
    if pressure.prefill > HIGH && pressure.decode < LOW {
        return Some(engines::Role::Prefill);
    }
    if pressure.decode > HIGH && pressure.prefill < LOW {
        return Some(engines::Role::Decode);
    }
    None
}
