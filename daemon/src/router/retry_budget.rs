//! This host's shares of the retry budgets of all services.
//!
//! A retry budget bounds the retries that all hosts together send to a service, relative to its
//! requests.

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::retry_share;

use crate::locks;

/// This host's share of each service's retry budget, by service.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    /// When the process started, as time since boot.
    started_at: time::Duration,
    shares: sync::Mutex<collections::HashMap<sync::Arc<str>, retry_share::Share>>,
}

impl RetryBudgets {
    pub(crate) fn new(started_at: time::Duration) -> Self {
        Self {
            started_at,
            shares: sync::Mutex::default(),
        }
    }

    /// Counts a send to a server of the service as a first send or a retry.
    pub(crate) fn record_send(
        &self,
        service: &sync::Arc<str>,
        kind: retry_share::SendKind,
        now: time::Duration,
        budget: &retry_share::Budget,
    ) {
        let mut shares = locks::lock(&self.shares);
        let new_share = || retry_share::Share::new(self.started_at);
        let share = shares.entry(service.clone()).or_insert_with(new_share);
        share.record_send(kind, now, budget);
    }

    /// Returns whether this host's share of the service's budget allows one more retry. `hosts` is
    /// the number of hosts among which the budget is divided, if it is known.
    pub(crate) fn allows_retry(
        &self,
        service: &str,
        now: time::Duration,
        budget: &retry_share::Budget,
        hosts: Option<usize>,
    ) -> bool {
        let shares = locks::lock(&self.shares);
        match shares.get(service) {
            Some(share) => share.allows_retry(now, budget, hosts),
            None => retry_share::Share::new(self.started_at).allows_retry(now, budget, hosts),
        }
    }
}
