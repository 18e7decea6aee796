//! Which other host serves a request in place of one that reaches no server.

use std::sync;

/// How much likelier a host of the same availability zone is chosen, as bytes between zones cost.
const SAME_ZONE_WEIGHT: f64 = 2.0;

/// A host that may serve the request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The host's name.
    pub name: sync::Arc<str>,
    /// Its availability zone.
    pub zone: sync::Arc<str>,
    /// Number of requests that it serves for this host at present.
    pub outstanding: u32,
}

impl Candidate {
    fn weight(&self, zone: &str) -> f64 {
        let zone_weight = match &*self.zone == zone {
            true => SAME_ZONE_WEIGHT,
            false => 1.0,
        };
        zone_weight / f64::from(self.outstanding + 1)
    }
}

/// Chooses a host at random: likelier one of the same zone, and one that serves few requests for this host.
/// `random` is uniform between 0 and 1.
pub fn choose<'a>(candidates: &'a [Candidate], zone: &str, random: f64) -> Option<&'a Candidate> {
    let total: f64 = candidates.iter().map(|c| c.weight(zone)).sum();
    let mut left = random * total;
    for candidate in candidates {
        left -= candidate.weight(zone);
        if left < 0.0 {
            return Some(candidate);
        }
    }
    candidates.last()
}
