//! How long answers are kept, and what happens to those that went out through a host that is gone.

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::ids;
use walnuthaven_lib::request_table;

use crate::answer;
use crate::host;
use crate::locks;

/// How long a finished answer is kept.
pub const ANSWER_RETENTION: time::Duration = time::Duration::from_secs(60);
/// Most finished answers kept; the oldest go first.
pub const MAX_KEPT_ANSWERS: usize = 5_000;
const SWEEP_EVERY: time::Duration = time::Duration::from_secs(2);

/// Answers that go out through other hosts, by request number.
#[derive(Debug, Default)]
pub struct RelayedAnswers {
    entries: sync::Mutex<collections::HashMap<u64, ids::Name>>,
}

impl RelayedAnswers {
    /// Notes that an answer goes out through another host.
    pub fn insert(&self, number: u64, entry: &str) {
        locks::lock(&self.entries).insert(number, entry.into());
    }

    /// Forgets an answer whose delivery was settled.
    pub fn remove(&self, number: u64) {
        locks::lock(&self.entries).remove(&number);
    }

    /// Takes the answers that went out through a host.
    fn take(&self, entry: &str) -> Vec<u64> {
        let mut entries = locks::lock(&self.entries);
        let through = entries.iter().filter(|(_, name)| &***name == entry);
        let numbers: Vec<u64> = through.map(|(number, _)| *number).collect();
        entries.retain(|_, name| &**name != entry);
        numbers
    }

    fn retain(&self, kept: impl Fn(u64) -> bool) {
        locks::lock(&self.entries).retain(|number, _| kept(*number));
    }
}

/// Notes that a host is gone: what went out through it and was not confirmed counts as not
/// delivered, so that a repeat gets the rest.
pub fn on_entry_host_gone(cx: &host::Host, entry: &str) {
    let numbers = cx.relayed.take(entry);
    let mut ids = locks::lock(&cx.request_table);
    for number in numbers {
        if ids.state(number) == Some(&request_table::State::Sent) {
            ids.set_state(number, request_table::State::Finished, cx.now());
        }
    }
}

/// Starts to drop answers whose time is over.
pub fn spawn(cx: &sync::Arc<host::Host>) {
    let cx = cx.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(SWEEP_EVERY).await;
            sweep(&cx);
        }
    });
}

fn sweep(cx: &host::Host) {
    let now = cx.now();
    let mut answers = locks::lock(&cx.answers);
    answers.retain(|_, answer| !is_over(answer, now));
    let excess = answers.len().saturating_sub(MAX_KEPT_ANSWERS);
    if excess > 0 {
        let mut ended: Vec<(time::Duration, u64)> = answers
            .iter()
            .filter(|(_, answer)| !answer.has_readers())
            .filter_map(|(number, answer)| Some((answer.ended_at()?, *number)))
            .collect();
        ended.sort_unstable();
        for (_, number) in ended.into_iter().take(excess) {
            answers.remove(&number);
        }
    }
    cx.relayed.retain(|number| answers.contains_key(&number));
}

fn is_over(answer: &answer::Answer, now: time::Duration) -> bool {
    let old = answer
        .ended_at()
        .is_some_and(|ended| now.saturating_sub(ended) >= ANSWER_RETENTION);
    old && !answer.has_readers()
}
