//! The number of ready decode engines of each software version, and its recent peak.
//!
//! A stream that began at a version can go on only there, so its engines must keep room while their
//! number falls. Versions have no order: the one that runs out is known by its number of engines
//! alone.

use std::collections;
use std::sync;
use std::time;

/// How long a version that lost engines counts as running out. It is longer than the pauses between
/// the steps of a release and than a crashed engine needs to come back.
const PEAK_WINDOW: time::Duration = time::Duration::from_secs(30);

/// The ready decode engines of one version of a service.
#[derive(Debug, Default)]
struct Count {
    ready: usize,
    /// Higher counts of the past and when each ended, the oldest and highest first.
    past: collections::VecDeque<(usize, time::Duration)>,
}

impl Count {
    /// Returns whether the count is below its recent peak.
    fn is_below_peak(&self, now: time::Duration) -> bool {
        self.past
            .iter()
            .any(|(count, until)| now < *until + PEAK_WINDOW && *count > self.ready)
    }
}

/// The ready decode engines by service and version.
#[derive(Debug, Default)]
pub(crate) struct ReadyCounts {
    counts: collections::HashMap<sync::Arc<str>, collections::BTreeMap<sync::Arc<str>, Count>>,
}

impl ReadyCounts {
    /// Adds an engine.
    pub(crate) fn add(&mut self, service: &sync::Arc<str>, version: &sync::Arc<str>) {
        let versions = self.counts.entry(service.clone()).or_default();
        versions.entry(version.clone()).or_default().ready += 1;
    }

    /// Removes an engine that isn't ready any more.
    pub(crate) fn remove(&mut self, service: &str, version: &str, now: time::Duration) {
        let versions = self.counts.get_mut(service);
        let Some(count) = versions.and_then(|versions| versions.get_mut(version)) else {
            return;
        };
        while count
            .past
            .back()
            .is_some_and(|(past, _)| *past <= count.ready)
        {
            count.past.pop_back();
        }
        count.past.push_back((count.ready, now));
        count.ready = count.ready.saturating_sub(1);
    }

    /// Forgets peaks that are over.
    pub(crate) fn expire(&mut self, now: time::Duration) {
        self.counts.retain(|_, versions| {
            versions.retain(|_, count| {
                count.past.retain(|(_, until)| now < *until + PEAK_WINDOW);
                count.ready > 0 || !count.past.is_empty()
            });
            !versions.is_empty()
        });
    }

    /// Returns the versions of a service that run out: those with fewer engines than at their
    /// recent peak, while another one has as many as at its own.
    pub(crate) fn running_out(&self, service: &str, now: time::Duration) -> Vec<sync::Arc<str>> {
        let Some(versions) = self.counts.get(service).filter(|v| v.len() > 1) else {
            return Vec::new();
        };
        let (below, at_peak): (Vec<_>, Vec<_>) = versions
            .iter()
            .partition(|(_, count)| count.is_below_peak(now));
        if at_peak.iter().all(|(_, count)| count.ready == 0) {
            return Vec::new();
        }
        below
            .into_iter()
            .map(|(version, _)| version.clone())
            .collect()
    }
}
