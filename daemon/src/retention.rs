//! Drops finished answers after some time, and reopens those that were sent through a host that is gone.

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
/// Number of answers above which finished ones are dropped early, the oldest first.
pub const MAX_KEPT_ANSWERS: usize = 5_000;
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// The answers that are sent through another host, which the caller is connected to. Maps request
/// numbers to the names of these hosts.
#[derive(Debug, Default)]
pub struct RelayedAnswers {
    entries: sync::Mutex<collections::HashMap<u64, ids::Name>>,
}

impl RelayedAnswers {
    /// Records that an answer is sent through another host.
    pub fn insert(&self, number: u64, host: &str) {
        locks::lock(&self.entries).insert(number, host.into());
    }

    /// Removes an answer whose delivery was recorded.
    pub fn remove(&self, number: u64) {
        locks::lock(&self.entries).remove(&number);
    }

    /// Removes and returns the answers that are sent through `host`.
    fn take_sent_through(&self, host: &str) -> Vec<u64> {
        let mut entries = locks::lock(&self.entries);
        let matching = entries.iter().filter(|(_, name)| &***name == host);
        let numbers: Vec<u64> = matching.map(|(number, _)| *number).collect();
        entries.retain(|_, name| &**name != host);
        numbers
    }

    fn retain(&self, keep: impl Fn(u64) -> bool) {
        locks::lock(&self.entries).retain(|number, _| keep(*number));
    }
}

/// Reopens the answers that were sent through `host`, which is gone: those that are not confirmed count
/// as not delivered, so that a retry by the caller gets the rest.
pub fn reopen_sent_through(cx: &host::Host, host: &str) {
    let numbers = cx.relayed.take_sent_through(host);
    let mut table = locks::lock(&cx.request_table);
    for number in numbers {
        if table.state(number) == Some(&request_table::State::Sent) {
            table.set_state(number, request_table::State::Finished, cx.now());
        }
    }
}

/// Starts to drop finished answers periodically.
pub fn spawn(cx: &sync::Arc<host::Host>) {
    let cx = cx.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            sweep(&cx);
        }
    });
}

fn sweep(cx: &host::Host) {
    let now = cx.now();
    let mut answers = locks::lock(&cx.answers);
    answers.retain(|_, answer| !is_expired(answer, now));
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

fn is_expired(answer: &answer::Answer, now: time::Duration) -> bool {
    let old = answer
        .ended_at()
        .is_some_and(|ended| now.saturating_sub(ended) >= ANSWER_RETENTION);
    old && !answer.has_readers()
}
