//! The choice among the servers of a plain service in proportion to what each does.
//!
//! Designed for this load: dozens of hosts that know the same of a few servers of unlike speed. Chances, not an order,
//! keep them from all choosing the same one.

use std::sync;

use crate::backends;
use crate::server_speed;

/// Factor on the time of a server in another availability zone.
const OTHER_ZONE_FACTOR: f64 = 1.2;
/// Failure rates that exceed the lowest one by up to this are chance.
const USUAL_FAILURES: f64 = 0.05;
/// A server whose failure rate exceeds that by this gets a third of its share, at twice that a ninth: a failed
/// request may not be repeated.
const FAILURE_SCALE: f64 = 0.05;
/// Lowest part of its share that a failing server gets: enough to see within seconds that it is sound again.
const MIN_FAILING_PART: f64 = 0.03;

/// A server that may be chosen.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a sync::Arc<backends::Backend>,
    /// What all hosts know of it.
    pub estimate: server_speed::Estimate,
    /// The part of its fair share that it gets, from above 0 to 1.
    pub part: f64,
    /// This host's requests that it has now.
    pub outstanding: u32,
}

impl Candidate<'_> {
    /// Returns the part of the server's slots that this host's requests take.
    fn busy(&self) -> f64 {
        f64::from(self.outstanding) / (f64::from(self.server.slots.max(1)) * self.part)
    }
}

/// Chooses a server for a request of a host in `zone`. The two draws are uniform, from 0 to 1. Returns `None` only if
/// there are no candidates.
pub fn choose<'a>(
    candidates: &[Candidate<'a>],
    zone: &str,
    draws: [f64; 2],
) -> Option<&'a sync::Arc<backends::Backend>> {
    let rates = candidates.iter().map(|c| c.estimate.failure_rate);
    let lowest_rate = rates.fold(1.0, f64::min);
    let weights: Vec<_> = candidates
        .iter()
        .map(|candidate| weight(candidate, zone, lowest_rate))
        .collect();
    let [first, second] = draws.map(|draw| drawn(candidates, &weights, draw));
    let (first, second) = (first?, second?);
    match second.busy() < first.busy() {
        true => Some(second.server),
        false => Some(first.server),
    }
}

/// Returns a server's chance in relation to those of others.
fn weight(candidate: &Candidate<'_>, zone: &str, lowest_rate: f64) -> f64 {
    let zone_factor = match &*candidate.server.zone == zone {
        true => 1.0,
        false => OTHER_ZONE_FACTOR,
    };
    let estimate = candidate.estimate;
    let excess = (estimate.failure_rate - lowest_rate - USUAL_FAILURES).max(0.0);
    let sound_part = (-excess / FAILURE_SCALE).exp().max(MIN_FAILING_PART);
    let slots = f64::from(candidate.server.slots.max(1));
    slots * candidate.part * sound_part / (estimate.time_ms.max(1.0) * zone_factor)
}

fn drawn<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    weights: &[f64],
    draw: f64,
) -> Option<&'b Candidate<'a>> {
    let mut left = draw * weights.iter().sum::<f64>();
    let crossed = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    let chosen = crossed.unwrap_or(candidates.len().saturating_sub(1));
    candidates.get(chosen)
}
