//! Keeps crash marks in the store, from which hosts that start read them, and removes expired ones.

use std::sync;
use std::time;

use serde::Deserialize;
use serde::Serialize;
use walnuthaven_lib::clock;
use walnuthaven_lib::dialect;
use walnuthaven_lib::quarantine;

use crate::locks;
use crate::router::context;
use crate::router::crash_marks;
use crate::router::events::event;
use crate::router::store;

/// How often marks that weren't written are looked for without a signal.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Shortest time between two writes of this host. The crash of an engine marks the content of all of its
/// runs, and the hosts share the writes that the store accepts.
const WRITE_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// First pause after a failed write. Doubled after each further failure.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(100);
/// The longest such pause.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);
/// How often expired marks are removed, by one of the hosts.
const EXPIRY_INTERVAL: time::Duration = time::Duration::from_secs(60);

/// A mark as the store holds it, under its digest.
#[derive(Debug, Deserialize, Serialize)]
struct StoredMark {
    /// The crashes that count.
    crashes: Vec<StoredCrash>,
    /// Those that were cleared.
    cleared: Vec<StoredCrash>,
    /// When the mark expires, in Unix milliseconds.
    expires_unix_ms: u64,
    /// Set if the mark is of a part of requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    part: Option<StoredEvidence>,
}

/// What is known of a part of requests, as the store holds it.
#[derive(Debug, Deserialize, Serialize)]
struct StoredEvidence {
    /// What part it is.
    #[serde(default)]
    kind: quarantine::PartKind,
    /// Number of answers to requests with the part.
    answers: u64,
    /// The crashed servers that had a request with the part on trial.
    trials: Vec<String>,
}

/// A crash as the store holds it.
#[derive(Debug, Deserialize, Serialize)]
struct StoredCrash {
    server: String,
    at_unix_ms: u64,
}

impl StoredMark {
    fn new(mark: &quarantine::CrashMark) -> Self {
        let store = |crashes: &std::collections::BTreeSet<quarantine::Crash>| {
            let crashes = crashes.iter().map(|crash| StoredCrash {
                server: crash.server.to_string(),
                at_unix_ms: clock::millis(crash.at),
            });
            crashes.collect()
        };
        Self {
            crashes: store(&mark.crashes),
            cleared: store(&mark.cleared),
            expires_unix_ms: clock::millis(mark.expires),
            part: mark.part.as_ref().map(|part| StoredEvidence {
                kind: part.kind,
                answers: part.answers,
                trials: part.trials.iter().map(ToString::to_string).collect(),
            }),
        }
    }

    fn into_mark(self, digest: u64) -> quarantine::CrashMark {
        let read = |crashes: Vec<StoredCrash>| {
            let crashes = crashes.into_iter().map(|crash| quarantine::Crash {
                at: time::Duration::from_millis(crash.at_unix_ms),
                server: crash.server.into(),
            });
            crashes.collect()
        };
        quarantine::CrashMark {
            digest,
            part: self.part.map(|part| quarantine::PartEvidence {
                kind: part.kind,
                answers: part.answers,
                trials: part.trials.into_iter().map(Into::into).collect(),
            }),
            crashes: read(self.crashes),
            cleared: read(self.cleared),
            expires: time::Duration::from_millis(self.expires_unix_ms),
        }
    }
}

/// Starts the tasks that write marks and remove expired ones.
pub(crate) fn spawn<D: dialect::Dialect>(cx: &sync::Arc<context::Router<D>>) {
    tokio::spawn(write_loop(cx.clone()));
    tokio::spawn(expiry_loop(cx.clone()));
}

/// Merges a complete list of the store's marks. From then on this host knows the marks.
pub(crate) fn apply_list<D: dialect::Dialect>(
    cx: &context::Router<D>,
    objects: &[dialect::Object],
) {
    let listed: Vec<_> = objects.iter().filter_map(read_mark).collect();
    for (mark, _) in &listed {
        crash_marks::merge(cx, mark, "store");
    }
    locks::lock(&cx.crash_marks).record_list(listed, cx.now());
    cx.crash_marks_unsaved.notify_one();
}

/// Applies a watched change.
pub(crate) fn apply_change<D: dialect::Dialect>(
    cx: &context::Router<D>,
    change: &dialect::ObjectChange,
) {
    let Some((mark, revision)) = read_mark(&change.object) else {
        return;
    };
    if change.removed {
        locks::lock(&cx.crash_marks)
            .stored
            .record_removed(mark.digest);
        return;
    }
    locks::lock(&cx.crash_marks)
        .stored
        .record_stored(mark.clone(), revision);
    crash_marks::merge(cx, &mark, "store");
}

/// Reads a mark and its revision. Logs an object that can't be read.
fn read_mark(object: &dialect::Object) -> Option<(quarantine::CrashMark, u64)> {
    let digest = u64::from_str_radix(&object.name, 16);
    let mark = StoredMark::deserialize(&object.value);
    match (digest, mark) {
        (Ok(digest), Ok(mark)) => Some((mark.into_mark(digest), object.revision)),
        (_, mark) => {
            event!(Warn, "mark-unreadable", "name" => object.name,
                "fault" => mark.err().map(|fault| fault.to_string()));
            None
        }
    }
}

/// Writes marks that the store lacks, one after the other.
async fn write_loop<D: dialect::Dialect>(cx: sync::Arc<context::Router<D>>) {
    let mut client = store::Client::new(&cx);
    let mut pause = FIRST_PAUSE;
    loop {
        let next = locks::lock(&cx.crash_marks).next_write(cx.now());
        let Some(write) = next else {
            // After a time-out, marks of other hosts may have become due.
            let unsaved = cx.crash_marks_unsaved.notified();
            let _ = tokio::time::timeout(CHECK_INTERVAL, unsaved).await;
            continue;
        };
        let digest = write.mark.digest;
        let result = write_mark(&mut client, &write).await;
        event!(Info, "mark-written", "digest" => crash_marks::hex(digest),
            "servers" => write.mark.servers().len(), "replaces" => write.replaces,
            "failure" => result.as_ref().err().map(ToString::to_string));
        record_result(&cx, &write.mark, &result);
        if result.is_ok() {
            pause = FIRST_PAUSE;
            tokio::time::sleep(WRITE_INTERVAL).await;
        } else {
            tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }
}

fn record_result<D: dialect::Dialect>(
    cx: &context::Router<D>,
    mark: &quarantine::CrashMark,
    result: &Result<(), store::Failure>,
) {
    let mut marks = locks::lock(&cx.crash_marks);
    match result {
        Ok(()) => marks.record_written(mark),
        Err(store::Failure::Status(dialect::StoreStatus::Missing)) => {
            marks.stored.record_removed(mark.digest);
        }
        // The watch brings the version of another host, or this host's own if the answer was lost.
        Err(_) => {}
    }
}

async fn write_mark<D: dialect::Dialect>(
    client: &mut store::Client<D>,
    write: &walnuthaven_lib::stored_marks::Write,
) -> Result<(), store::Failure> {
    let collection = dialect::Collection::CrashMarks;
    let name = crash_marks::hex(write.mark.digest);
    let value = serde_json::to_value(StoredMark::new(&write.mark))
        .map_err(|_| store::Failure::Unreadable)?;
    match write.replaces {
        None => client.create(collection, &name, &value).await,
        Some(revision) => client.replace(collection, &name, revision, &value).await,
    }
}

/// Forgets expired marks and removes them from the store. The first host to try removes one, and the
/// others learn of it by their watch.
async fn expiry_loop<D: dialect::Dialect>(cx: sync::Arc<context::Router<D>>) {
    let mut client = store::Client::new(&cx);
    loop {
        let interval = EXPIRY_INTERVAL.mul_f64(rand::random_range(0.5..1.5));
        tokio::time::sleep(interval).await;
        let unix_time = cx.unix_time();
        let expired = {
            let mut marks = locks::lock(&cx.crash_marks);
            marks.table.expire(unix_time);
            marks.stored.expired(unix_time)
        };
        for (digest, revision) in expired {
            let name = crash_marks::hex(digest);
            let collection = dialect::Collection::CrashMarks;
            match client.delete(collection, &name, revision).await {
                Ok(()) => {
                    locks::lock(&cx.crash_marks).stored.record_removed(digest);
                    event!(Info, "mark-expired", "digest" => name);
                }
                Err(failure) => event!(Info, "mark-not-removed", "digest" => name,
                    "cause" => failure.to_string()),
            }
        }
    }
}
