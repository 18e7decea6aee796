//! Retry budgets of all services.

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::retry_share;

use crate::locks;

/// This host's shares of the retry budgets.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    shares: sync::Mutex<collections::HashMap<sync::Arc<str>, retry_share::Share>>,
}

impl RetryBudgets {
    /// Notes a send to a server.
    pub(crate) fn record_send(
        &self,
        service: &sync::Arc<str>,
        kind: retry_share::SendKind,
        now: time::Duration,
        terms: &retry_share::Budget,
    ) {
        let mut shares = locks::lock(&self.shares);
        let share = shares.entry(service.clone()).or_default();
        share.record_send(kind, now, terms);
    }

    /// Returns whether a repeat is within this host's share.
    pub(crate) fn allows_retry(
        &self,
        service: &str,
        now: time::Duration,
        terms: &retry_share::Budget,
        hosts: usize,
    ) -> bool {
        let shares = locks::lock(&self.shares);
        let share = shares.get(service).cloned().unwrap_or_default();
        share.allows_repeat(now, terms, hosts)
    }
}
