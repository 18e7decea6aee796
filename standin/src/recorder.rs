//! What the stand-ins and the load driver saw, for the history checker and the report.

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::history;

/// The record of one run.
#[derive(Debug)]
pub struct Recorder {
    began: time::Instant,
    inner: sync::Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    records: Vec<history::Record>,
    prefills: collections::HashMap<String, Vec<u64>>,
    complete: collections::HashSet<String>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            began: time::Instant::now(),
            inner: sync::Mutex::default(),
        }
    }
}

/// Prompt work of a run, in tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillTokens {
    /// All prompt tokens computed.
    pub computed: u64,
    /// Those that led to no whole answer, or were computed again.
    pub wasted: u64,
}

impl Recorder {
    /// Returns the time since the run began, in milliseconds.
    pub fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Adds an event.
    pub fn record_event(&self, event: history::Event) {
        let at_ms = self.elapsed_ms();
        self.lock().records.push(history::Record { at_ms, event });
    }

    /// Adds events that were written by a process of the fleet.
    pub fn add_records(&self, records: Vec<history::Record>) {
        self.lock().records.extend(records);
    }

    /// Notes prompt tokens computed for a request.
    pub fn record_prefill(&self, request: &str, tokens: u64) {
        let mut inner = self.lock();
        let work = inner.prefills.entry(request.to_owned()).or_default();
        work.push(tokens);
    }

    /// Notes that the whole answer of a request was generated and streamed.
    pub fn record_complete(&self, request: &str) {
        self.lock().complete.insert(request.to_owned());
    }

    /// Returns the prompt work of the run.
    pub fn prefill_tokens(&self) -> PrefillTokens {
        let inner = self.lock();
        let mut work = PrefillTokens::default();
        for (request, tries) in &inner.prefills {
            let all: u64 = tries.iter().sum();
            let used = match inner.complete.contains(request) {
                true => tries.last().copied().unwrap_or(0),
                false => 0,
            };
            work.computed += all;
            work.wasted += all - used;
        }
        work
    }

    /// Returns all events.
    pub fn records(&self) -> Vec<history::Record> {
        self.lock().records.clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
