//! Finds out which software version of its service began a stream.
//!
//! A stream may go on only at that version. A host knows it if a single version has served, if it or
//! another host of its group began the stream, or if the store held a record of the stream when the host
//! started; otherwise it asks all hosts.

use std::collections;
use std::net;
use std::sync;
use std::time;

use prost::Message as _;
use walnuthaven_lib::clock;
use walnuthaven_lib::dialect;
use walnuthaven_lib::served_versions;
use walnuthaven_lib::stream_versions;
use walnuthaven_wire::news;
use xxhash_rust::xxh3;

use crate::locks;
use crate::router::context;
use crate::router::events::event;
use crate::router::view_renewal;

/// Maximum number of streams in a message.
const MAX_STREAMS_PER_MESSAGE: usize = 64;
/// Longest time to wait for the answer of another host.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(150);
/// Longest time to wait until a host that has just started has read the store's records.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// How old the view of the servers may be for a conclusion from it, if most other hosts aren't heard.
const MAX_UNCONFIRMED: time::Duration = time::Duration::from_millis(600);
/// Time after which the other hosts are asked once more. Any datagram may be lost.
const ASK_AGAIN_AFTER: time::Duration = time::Duration::from_millis(60);
/// Time to collect streams before other hosts are asked about them in one message.
const COLLECT_TIME: time::Duration = time::Duration::from_millis(2);
/// Maximum number of streams that wait to be asked about.
const MAX_QUERIES: usize = 4_096;
/// Number of datagrams that are sent before other tasks may run.
const SENDS_PER_TURN: usize = 64;

/// Returns the version that began a stream of a service, or `None` if that can't be found out. `began_as` is
/// the id of the request that brought the stream's first event.
pub(crate) async fn find<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    service: &sync::Arc<str>,
    began_as: &str,
) -> Option<sync::Arc<str>> {
    let started = cx.now();
    let stream = key(began_as);
    let sole = sole_version(cx, service);
    let known = locks::lock(&cx.stream_versions)
        .get(stream, started)
        .cloned();
    let sole_is_certain = sole.is_none() || known.is_some() || is_current(cx, started).await;
    // The servers may have been listed meanwhile.
    let sole = sole.and_then(|_| sole_version(cx, service));
    // What was recorded of this stream goes before what is concluded from the servers.
    let (source, version, record) = match (known, sole) {
        (Some(known), sole) if sole.as_ref() != Some(&known.version) => {
            ("memory", Some(known.version.clone()), Some(known))
        }
        (known, Some(sole)) if sole_is_certain => ("sole", Some(sole), known),
        _ => match ask(cx, stream, started).await {
            Some(found) => ("asked", Some(found.version.clone()), Some(found)),
            // A host that has just started may have read meanwhile what served before.
            None => match sole_version(cx, service) {
                Some(sole) if sole_is_certain || is_in_close_touch(cx) => {
                    ("sole", Some(sole), None)
                }
                _ => ("unknown", None, None),
            },
        },
    };
    cx.telemetry.count(&format!("stream_versions.{source}"));
    let now = cx.now();
    let age = record.map(|record| clock::millis(now.saturating_sub(record.known_since)));
    event!(Info, "stream-version", "id" => began_as, "source" => source, "version" => version,
        "age_ms" => age, "took_ms" => clock::millis(now.saturating_sub(started)));
    version
}

/// Returns the only version of a service that has served recently, if this host knows that.
fn sole_version<D: dialect::Dialect>(
    cx: &context::Router<D>,
    service: &str,
) -> Option<sync::Arc<str>> {
    let now = cx.now();
    let in_touch = locks::lock(&cx.peers).is_in_touch(now);
    locks::lock(&cx.served_versions).sole(service, in_touch, now)
}

fn is_in_close_touch<D: dialect::Dialect>(cx: &context::Router<D>) -> bool {
    locks::lock(&cx.peers).is_in_close_touch(&cx.id.name, cx.now())
}

/// Returns whether this host knows of all servers that others may have begun streams at. A host that was cut off from
/// the others, or paused, lists the servers first.
async fn is_current<D: dialect::Dialect>(cx: &context::Router<D>, now: time::Duration) -> bool {
    let is_recent = {
        let served = locks::lock(&cx.served_versions);
        served.is_confirmed_since(now.saturating_sub(MAX_UNCONFIRMED))
    };
    is_recent || is_in_close_touch(cx) || view_renewal::confirm_servers(cx).await
}

/// Records that a version began a stream, or goes on with it, and tells the other hosts. Callers may take
/// the stream up until `expires`, as time since boot.
pub(crate) fn record_begun<D: dialect::Dialect>(
    cx: &sync::Arc<context::Router<D>>,
    began_as: &str,
    version: &sync::Arc<str>,
    expires: time::Duration,
) {
    let now = cx.now();
    let key = key(began_as);
    let is_new = locks::lock(&cx.stream_versions).record_own(key, version, expires, now);
    if is_new {
        locks::lock(&cx.stream_records).record_begun(key, now);
    }
    cx.work_changed.notify_one();
}

/// Returns the key of the stream that a request began.
fn key(began_as: &str) -> stream_versions::StreamKey {
    stream_versions::StreamKey(xxh3::xxh3_64(began_as.as_bytes()))
}

/// Asks all other hosts which version began a stream.
async fn ask<D: dialect::Dialect>(
    cx: &context::Router<D>,
    stream: stream_versions::StreamKey,
    started: time::Duration,
) -> Option<stream_versions::Record> {
    let ask_again_at = started + ASK_AGAIN_AFTER;
    let mut asked_again = false;
    queue_query(cx, stream);
    loop {
        let changed = cx.stream_versions_changed.notified();
        let deadline = started
            + match cx.stream_records_read.get() {
                Some(()) => ANSWER_TIMEOUT,
                None => READ_TIMEOUT,
            };
        let now = cx.now();
        let known = locks::lock(&cx.stream_versions).get(stream, now).cloned();
        if known.is_some() || now >= deadline {
            return known;
        }
        if now >= ask_again_at && !asked_again {
            asked_again = true;
            queue_query(cx, stream);
        }
        let until = match asked_again {
            true => deadline,
            false => ask_again_at,
        };
        // After a time-out, the loop looks what is due.
        let _ = tokio::time::timeout(until.saturating_sub(now), changed).await;
    }
}

fn queue_query<D: dialect::Dialect>(cx: &context::Router<D>, stream: stream_versions::StreamKey) {
    let mut queries = locks::lock(&cx.stream_queries);
    if queries.len() < MAX_QUERIES && !queries.contains(&stream) {
        queries.push(stream);
    }
    cx.stream_queries_due.notify_one();
}

/// Asks the other hosts about streams. One message asks for all streams that are due.
pub(crate) async fn query_loop<D: dialect::Dialect>(
    cx: sync::Arc<context::Router<D>>,
    socket: sync::Arc<tokio::net::UdpSocket>,
) {
    loop {
        cx.stream_queries_due.notified().await;
        tokio::time::sleep(COLLECT_TIME).await;
        let streams = std::mem::take(&mut *locks::lock(&cx.stream_queries));
        for streams in streams.chunks(MAX_STREAMS_PER_MESSAGE) {
            send_query(&cx, &socket, streams).await;
        }
    }
}

async fn send_query<D: dialect::Dialect>(
    cx: &context::Router<D>,
    socket: &tokio::net::UdpSocket,
    streams: &[stream_versions::StreamKey],
) {
    let query = news::StreamQuery {
        reply_to: cx.settings().news_addr.to_string(),
        streams: streams.iter().map(|stream| stream.0).collect(),
    };
    let message = news::News {
        stream_query: Some(query),
        ..news::News::default()
    };
    let message = message.encode_to_vec();
    let addresses: Vec<_> = locks::lock(&cx.peers).all_news_addrs().collect();
    for addresses in addresses.chunks(SENDS_PER_TURN) {
        for addr in addresses {
            // Some hosts may be unreachable; each of the others may know the answer.
            let _ = socket.try_send_to(&message, *addr);
        }
        tokio::task::yield_now().await;
    }
}

/// Answers the query of another host with the streams that this host knows.
pub(crate) fn answer_query<D: dialect::Dialect>(
    cx: &context::Router<D>,
    socket: &tokio::net::UdpSocket,
    query: Option<news::StreamQuery>,
) {
    let Some(query) = query else {
        return;
    };
    let Ok(reply_to) = query.reply_to.parse::<net::SocketAddr>() else {
        event!(Warn, "news-unreadable", "cause" => "address");
        return;
    };
    let now = cx.now();
    let found: Vec<_> = {
        let known = locks::lock(&cx.stream_versions);
        let streams = query.streams.into_iter().take(MAX_STREAMS_PER_MESSAGE);
        let streams = streams.map(stream_versions::StreamKey);
        let found = streams.filter_map(|stream| Some((stream, known.get(stream, now)?.clone())));
        found.collect()
    };
    if found.is_empty() {
        return;
    }
    let answer = news::News {
        begun_streams: to_wire(found, now),
        ..news::News::default()
    };
    // The other host asks again if the answer is lost.
    let _ = socket.try_send_to(&answer.encode_to_vec(), reply_to);
}

/// Returns the streams of this host that are announced in the next message to the other hosts.
pub(crate) fn next_announced<D: dialect::Dialect>(
    cx: &context::Router<D>,
) -> Vec<news::BegunStreams> {
    let now = cx.now();
    let mut streams = locks::lock(&cx.stream_versions);
    let announced = streams.next_announced(MAX_STREAMS_PER_MESSAGE, now);
    if streams.has_unannounced() {
        cx.work_changed.notify_one();
    }
    drop(streams);
    to_wire(announced, now)
}

/// Groups streams by version for a message.
fn to_wire(
    streams: Vec<(stream_versions::StreamKey, stream_versions::Record)>,
    now: time::Duration,
) -> Vec<news::BegunStreams> {
    let mut by_version: collections::BTreeMap<sync::Arc<str>, news::BegunStreams> =
        collections::BTreeMap::new();
    for (stream, record) in streams {
        let begun = by_version.entry(record.version.clone()).or_default();
        begun.streams.push(stream.0);
        let left = record.expires.saturating_sub(now);
        begun.for_ms.push(clock::millis(left) as u32);
    }
    let with_version = by_version
        .into_iter()
        .map(|(version, begun)| news::BegunStreams {
            version: version.to_string(),
            ..begun
        });
    with_version.collect()
}

/// Remembers the streams that another host told of.
pub(crate) fn merge_received<D: dialect::Dialect>(
    cx: &context::Router<D>,
    received: Vec<news::BegunStreams>,
) {
    if received.is_empty() {
        return;
    }
    let now = cx.now();
    let mut new = Vec::new();
    let mut known = locks::lock(&cx.stream_versions);
    for begun in received {
        for (stream, for_ms) in begun.streams.into_iter().zip(begun.for_ms) {
            let expires = now + time::Duration::from_millis(for_ms.into());
            let stream = stream_versions::StreamKey(stream);
            if known.record_received(stream, &begun.version, expires, now) {
                new.push(stream);
            }
        }
    }
    drop(known);
    let mut records = locks::lock(&cx.stream_records);
    for stream in new {
        records.record_begun(stream, now);
    }
    drop(records);
    cx.stream_versions_changed.notify_waiters();
}

/// Returns the versions of which this host has seen servers, for a message to the other hosts.
pub(crate) fn served<D: dialect::Dialect>(cx: &context::Router<D>) -> Vec<news::ServedVersion> {
    let seen = locks::lock(&cx.served_versions).next_announced(cx.now());
    let seen = seen
        .into_iter()
        .map(|(of, counts_for)| news::ServedVersion {
            service: of.service.to_string(),
            version: of.version.to_string(),
            for_ms: clock::millis(counts_for) as u32,
        });
    seen.collect()
}

/// Records the versions of which another host has seen servers.
pub(crate) fn record_served<D: dialect::Dialect>(
    cx: &context::Router<D>,
    received: Vec<news::ServedVersion>,
) {
    let now = cx.now();
    let mut served = locks::lock(&cx.served_versions);
    for version in received {
        let counts_for = time::Duration::from_millis(version.for_ms.into());
        let of = served_versions::ServiceVersion {
            service: version.service.into(),
            version: version.version.into(),
        };
        served.record_elsewhere(of, counts_for, now);
    }
}
