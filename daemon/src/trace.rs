//! Records the steps of each request, for the commands `explain` and `requests show`.

use std::collections;
use std::sync;
use std::time;

const MAX_REQUESTS: usize = 5_000;
const MAX_STEPS_PER_REQUEST: usize = 40;

/// A step in the processing of a request.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Step {
    /// Wall-clock time in Unix milliseconds.
    pub unix_ms: u64,
    /// What was done and why.
    pub what: String,
}

#[derive(Debug, Default)]
struct Inner {
    /// The steps by request id.
    steps: collections::HashMap<String, Vec<Step>>,
    /// The request ids in order of their first step.
    order: collections::VecDeque<String>,
}

/// The traces of this host's latest requests. Those of older requests are dropped.
#[derive(Debug, Default)]
pub struct Traces {
    inner: sync::Mutex<Inner>,
}

impl Traces {
    /// Adds a step to a request. Drops it if the request has `MAX_STEPS_PER_REQUEST` steps already.
    pub fn add(&self, request: &str, unix: time::Duration, what: impl Into<String>) {
        let step = Step {
            unix_ms: walnuthaven_lib::clock::millis(unix),
            what: what.into(),
        };
        let mut inner = self.lock();
        if !inner.steps.contains_key(request) {
            inner.order.push_back(request.to_owned());
            if inner.order.len() > MAX_REQUESTS
                && let Some(oldest) = inner.order.pop_front()
            {
                inner.steps.remove(&oldest);
            }
        }
        let steps = inner.steps.entry(request.to_owned()).or_default();
        if steps.len() < MAX_STEPS_PER_REQUEST {
            steps.push(step);
        }
    }

    /// Returns the steps of a request in order.
    pub fn get(&self, request: &str) -> Vec<Step> {
        let inner = self.lock();
        inner.steps.get(request).cloned().unwrap_or_default()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
