//! Records the events of a run, for the history checker and the report.

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::history;

/// Events and prefill counts of one run, written by the stand-ins and the load driver.
#[derive(Debug)]
pub struct Recorder {
    started_at: time::Instant,
    inner: sync::Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    records: Vec<history::Record>,
    prefills: collections::HashMap<String, Vec<u64>>,
    completed: collections::HashSet<String>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            started_at: time::Instant::now(),
            inner: sync::Mutex::default(),
        }
    }
}

/// Prompt tokens computed by the engines in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillTokens {
    /// All prompt tokens computed.
    pub computed: u64,
    /// Those for requests without a complete answer, and those of all but a request's last prefill.
    pub wasted: u64,
}

impl Recorder {
    /// Returns the time since the run began, in milliseconds.
    pub fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Records an event with the current time.
    pub fn record_event(&self, event: history::Event) {
        let at_ms = self.elapsed_ms();
        self.lock().records.push(history::Record { at_ms, event });
    }

    /// Adds events that were recorded elsewhere, such as those of the daemons.
    pub fn add_records(&self, records: Vec<history::Record>) {
        self.lock().records.extend(records);
    }

    /// Records that an engine computed a number of prompt tokens for a request.
    pub fn record_prefill(&self, request: &str, tokens: u64) {
        let mut inner = self.lock();
        let prefills = inner.prefills.entry(request.to_owned()).or_default();
        prefills.push(tokens);
    }

    /// Records that the last token of a request's answer was generated and handed to its reader.
    pub fn record_complete(&self, request: &str) {
        self.lock().completed.insert(request.to_owned());
    }

    /// Returns the prompt tokens computed in the run so far.
    pub fn prefill_tokens(&self) -> PrefillTokens {
        let inner = self.lock();
        let mut tokens = PrefillTokens::default();
        for (request, prefills) in &inner.prefills {
            let total: u64 = prefills.iter().sum();
            let useful = match inner.completed.contains(request) {
                true => prefills.last().copied().unwrap_or(0),
                false => 0,
            };
            tokens.computed += total;
            tokens.wasted += total - useful;
        }
        tokens
    }

    /// Returns all events recorded so far.
    pub fn records(&self) -> Vec<history::Record> {
        self.lock().records.clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
