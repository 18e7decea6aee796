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
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    shares: sync::Mutex<collections::HashMap<sync::Arc<str>, retry_share::Share>>,
}

impl RetryBudgets {
    /// Counts a send to a server of the service as a first send or a retry.
    pub(crate) fn record_send(
        &self,
        service: &sync::Arc<str>,
        kind: retry_share::SendKind,
        now: time::Duration,
        budget: &retry_share::Budget,
    ) {
        let mut shares = locks::lock(&self.shares);
        let share = shares.entry(service.clone()).or_default();
        share.record_send(kind, now, budget);
    }

    /// Returns whether this host's share of the service's budget allows one more retry. `hosts` is
    /// the number of hosts among which the budget is divided.
    pub(crate) fn allows_retry(
        &self,
        service: &str,
        now: time::Duration,
        budget: &retry_share::Budget,
        hosts: usize,
    ) -> bool {
        let shares = locks::lock(&self.shares);
        let share = shares.get(service).cloned().unwrap_or_default();
        share.allows_retry(now, budget, hosts)
    }
}
