//! Keeps records of begun streams in the store while several versions of a service serve, and reads them when
//! the host starts.

use std::collections;
use std::sync;
use std::time;

use serde::Deserialize;
use serde::Serialize;
use walnuthaven_lib::clock;
use walnuthaven_lib::dialect;
use walnuthaven_lib::rendezvous;
use walnuthaven_lib::stream_records;
use walnuthaven_lib::stream_versions;
use xxhash_rust::xxh3;

use crate::locks;
use crate::router::context;
use crate::router::events::event;
use crate::router::store;

/// How often the host checks whether streams have to be stored. The check makes no calls.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The same while they are.
const WRITE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// How often a host that starts checks whether it knows which versions serve.
const START_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// First pause after the records couldn't be read. Doubled after each further failure.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(100);
/// The longest such pause.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(2);
/// The key by which the hosts of a group are ordered.
const WRITER_KEY: &str = "stream-records";
/// Maximum number of streams in a message to other hosts.
const MAX_STREAMS_PER_MESSAGE: usize = 128;

/// Streams as the store holds them, by version.
#[derive(Debug, Deserialize, Serialize)]
struct StoredStreams {
    /// Digests of the ids of the requests that began the streams, as hexadecimal numbers.
    streams: collections::BTreeMap<sync::Arc<str>, Vec<String>>,
    /// When the last of them expires, in Unix milliseconds.
    expires_unix_ms: u64,
}

impl StoredStreams {
    fn new(batch: &stream_records::Batch, expires: time::Duration) -> Self {
        let streams = batch.by_version.iter().map(|(version, streams)| {
            let streams = streams.iter().map(|stream| format!("{:016x}", stream.0));
            (version.clone(), streams.collect())
        });
        Self {
            streams: streams.collect(),
            expires_unix_ms: clock::millis(expires),
        }
    }

    /// Returns how long the streams count; `None` if all have expired.
    fn counts_for(&self, unix_now: time::Duration) -> Option<time::Duration> {
        let expires = time::Duration::from_millis(self.expires_unix_ms);
        stream_records::counts_for(expires, unix_now)
    }
}

/// Starts the task that reads and writes the records.
pub(crate) fn spawn<D: dialect::Dialect>(cx: &sync::Arc<context::Router<D>>) {
    tokio::spawn(keep_records(cx.clone()));
}

async fn keep_records<D: dialect::Dialect>(cx: sync::Arc<context::Router<D>>) {
    let mut client = store::Client::new(&cx);
    let mut era = cx.renewals.era();
    read_records(&cx, &mut client).await;
    for number in 0_u64.. {
        if cx.renewals.has_new_era(&mut era) {
            let known = locks::lock(&cx.stream_versions);
            locks::lock(&cx.stream_records).record_store_loss(&known, cx.now());
        }
        let is_needed = check_needed(&cx);
        tokio::time::sleep(match is_needed {
            true => WRITE_CHECK_INTERVAL,
            false => CHECK_INTERVAL,
        })
        .await;
        if is_needed {
            write_due(&cx, &mut client, number).await;
        }
    }
}

/// Looks whether streams have to be stored, and returns whether they have.
fn check_needed<D: dialect::Dialect>(cx: &context::Router<D>) -> bool {
    let now = cx.now();
    let is_mixed = locks::lock(&cx.served_versions).is_mixed(now);
    let known = locks::lock(&cx.stream_versions);
    let mut records = locks::lock(&cx.stream_records);
    if records.is_needed() != is_mixed {
        records.set_needed(is_mixed, &known, now);
        event!(Info, "stream-records", "needed" => is_mixed, "unsaved" => records.count_unsaved());
    }
    is_mixed
}

/// Returns the number of hosts of this host's group that write before it, and the number of groups.
fn rank<D: dialect::Dialect>(cx: &context::Router<D>) -> (u32, u64) {
    let peers = locks::lock(&cx.peers);
    let groups = peers.groups();
    let group = groups.group(&cx.id.name);
    let own = rendezvous::score(WRITER_KEY, &cx.id.name);
    let before = peers
        .alive()
        .filter(|peer| groups.group(peer) == group)
        .filter(|peer| rendezvous::score(WRITER_KEY, peer) > own);
    (before.count() as u32, groups.count())
}

/// Writes the streams that this host has to store now. `number` is unique among this host's writes.
async fn write_due<D: dialect::Dialect>(
    cx: &context::Router<D>,
    client: &mut store::Client<D>,
    number: u64,
) {
    let (rank, groups) = rank(cx);
    let now = cx.now();
    let batch = {
        let known = locks::lock(&cx.stream_versions);
        locks::lock(&cx.stream_records).next_batch(&known, rank, groups, now)
    };
    let Some(batch) = batch else {
        return;
    };
    let result = write(cx, client, &batch, number).await;
    let now = cx.now();
    cx.telemetry.count("stream_records.writes");
    event!(Info, "streams-stored", "streams" => batch.streams().count(), "rank" => rank,
        "replaces" => batch.replaces.as_ref().map(|of| of.name.clone()),
        "failure" => result.as_ref().err().map(ToString::to_string));
    if result.is_err() {
        cx.telemetry.count("stream_records.failures");
        locks::lock(&cx.stream_records).record_failure(now);
        return;
    }
    cx.telemetry
        .add("stream_records.streams", batch.streams().count() as u64);
    locks::lock(&cx.stream_records).record_written(&batch, now);
    cx.work_changed.notify_one();
    if locks::lock(&cx.stream_records).is_list_due(now) {
        find_replaceable(cx, client).await;
    }
}

async fn write<D: dialect::Dialect>(
    cx: &context::Router<D>,
    client: &mut store::Client<D>,
    batch: &stream_records::Batch,
    number: u64,
) -> Result<(), store::Failure> {
    let collection = dialect::Collection::StreamRecords;
    let expires = cx.unix_time() + batch.expires.saturating_sub(cx.now());
    let value = serde_json::to_value(StoredStreams::new(batch, expires))
        .map_err(|_| store::Failure::Unreadable)?;
    match &batch.replaces {
        Some(of) => {
            client
                .replace(collection, &of.name, of.revision, &value)
                .await
        }
        None => {
            let mut hasher = xxh3::Xxh3::new();
            hasher.update(cx.id.to_string().as_bytes());
            hasher.update(&number.to_le_bytes());
            let name = format!("{:016x}", hasher.digest());
            client.create(collection, &name, &value).await
        }
    }
}

/// Lists the objects whose streams have expired.
async fn find_replaceable<D: dialect::Dialect>(
    cx: &context::Router<D>,
    client: &mut store::Client<D>,
) {
    let listed = client
        .list(
            dialect::Collection::StreamRecords,
            dialect::Freshness::MayLag,
        )
        .await;
    // Without a list, new objects are created.
    let Ok((objects, _)) = listed else {
        return;
    };
    let unix_now = cx.unix_time();
    let expired = objects
        .into_iter()
        .filter(|object| read(object).is_none_or(|streams| streams.counts_for(unix_now).is_none()));
    let replaceable = expired.map(|object| stream_records::Replaceable {
        name: object.name,
        revision: object.revision,
    });
    locks::lock(&cx.stream_records).record_replaceable(replaceable.collect());
}

fn read(object: &dialect::Object) -> Option<StoredStreams> {
    match StoredStreams::deserialize(&object.value) {
        Ok(streams) => Some(streams),
        Err(fault) => {
            event!(Warn, "streams-unreadable", "name" => object.name,
                "fault" => fault.to_string());
            None
        }
    }
}

/// Reads the streams that the store holds, if several versions have served, and retries until that succeeds.
async fn read_records<D: dialect::Dialect>(cx: &context::Router<D>, client: &mut store::Client<D>) {
    while !locks::lock(&cx.served_versions).is_read() {
        tokio::time::sleep(START_CHECK_INTERVAL).await;
    }
    let mut pause = FIRST_PAUSE;
    while locks::lock(&cx.served_versions).is_mixed(cx.now()) {
        let collection = dialect::Collection::StreamRecords;
        match client.list(collection, dialect::Freshness::Newest).await {
            Ok((objects, _)) => {
                // What is read needs no further write, as only what is known by then does.
                check_needed(cx);
                apply(cx, &objects);
                break;
            }
            Err(failure) => {
                event!(Info, "streams-not-read", "cause" => failure.to_string());
                tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
    let _ = cx.stream_records_read.set(());
    cx.stream_versions_changed.notify_waiters();
}

/// Remembers the streams that the store holds.
fn apply<D: dialect::Dialect>(cx: &context::Router<D>, objects: &[dialect::Object]) {
    let (now, unix_now) = (cx.now(), cx.unix_time());
    let mut known = locks::lock(&cx.stream_versions);
    let mut count = 0_u64;
    for stored in objects.iter().filter_map(read) {
        let Some(counts_for) = stored.counts_for(unix_now) else {
            continue;
        };
        for (version, streams) in &stored.streams {
            let streams = streams
                .iter()
                .filter_map(|stream| u64::from_str_radix(stream, 16).ok());
            for stream in streams {
                let key = stream_versions::StreamKey(stream);
                known.record_received(key, version, now + counts_for, now);
                count += 1;
            }
        }
    }
    drop(known);
    event!(Info, "streams-read", "objects" => objects.len(), "streams" => count);
}

/// Returns the streams of which other hosts are told that they are stored.
pub(crate) fn next_announced<D: dialect::Dialect>(cx: &context::Router<D>) -> Vec<u64> {
    let now = cx.now();
    let mut records = locks::lock(&cx.stream_records);
    let announced = records.next_announced(MAX_STREAMS_PER_MESSAGE, now);
    if records.has_announcement(now) {
        cx.work_changed.notify_one();
    }
    announced.into_iter().map(|stream| stream.0).collect()
}

/// Records the streams that another host stored.
pub(crate) fn record_saved<D: dialect::Dialect>(cx: &context::Router<D>, streams: Vec<u64>) {
    if streams.is_empty() {
        return;
    }
    let streams: Vec<_> = streams
        .into_iter()
        .map(stream_versions::StreamKey)
        .collect();
    locks::lock(&cx.stream_records).record_saved_elsewhere(&streams);
}
