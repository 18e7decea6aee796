//! Which suspected parts of prompts are on trial at this host: at most one prompt with each at a time.

use std::collections;
use std::sync;

use crate::locks;

/// The suspected parts that are on trial, by digest.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trials(sync::Arc<State>);

#[derive(Debug, Default)]
struct State {
    parts: sync::Mutex<collections::HashSet<u64>>,
    ended: tokio::sync::Notify,
}

/// Allows a prompt to be sent although some of its parts are suspected, until it is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    trials: Trials,
    parts: Vec<u64>,
}

impl Trials {
    /// Starts a trial unless one of the parts is on trial already.
    pub(crate) fn start(&self, parts: Vec<u64>) -> Option<Permit> {
        let mut on_trial = locks::lock(&self.0.parts);
        if parts.iter().any(|part| on_trial.contains(part)) {
            return None;
        }
        on_trial.extend(&parts);
        Some(Permit {
            trials: self.clone(),
            parts,
        })
    }

    /// Waits until a trial ends.
    pub(crate) fn ended(&self) -> tokio::sync::futures::Notified<'_> {
        self.0.ended.notified()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let state = &self.trials.0;
        locks::lock(&state.parts).retain(|part| !self.parts.contains(part));
        state.ended.notify_waiters();
    }
}
