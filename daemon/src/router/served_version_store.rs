//! Keeps a record of each served software version in the store, from which hosts that start learn what served
//! before.
//!
//! A record changes only when a version appears or disappears. All hosts notice that; they look at the store
//! one after the other, so that the first one writes and the others find it written.

use std::sync;
use std::time;

use serde::Deserialize;
use serde::Serialize;
use walnuthaven_lib::clock;
use walnuthaven_lib::dialect;
use walnuthaven_lib::rendezvous;
use walnuthaven_lib::served_versions;
use xxhash_rust::xxh3;

use crate::locks;
use crate::router::context;
use crate::router::events::event;
use crate::router::store;

/// How often the host checks whether it has to look at the store. The check makes no calls.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// How often a host that starts checks whether servers were listed.
const LIST_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Time between the turns of two hosts to look at the store.
const TURN: time::Duration = time::Duration::from_secs(1);
/// First pause after a failed call. Doubled after each further failure.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(100);
/// The longest such pause.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(2);
/// The key by which the hosts' turns are ordered.
const TURN_KEY: &str = "served-versions";

/// A version as the store holds it.
#[derive(Debug, Deserialize, Serialize)]
struct StoredVersion {
    service: sync::Arc<str>,
    version: sync::Arc<str>,
    /// When its last server disappeared, in Unix milliseconds; not set while it is listed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    gone_unix_ms: Option<u64>,
}

/// Starts the task that reads and writes the records.
pub(crate) fn spawn<D: dialect::Dialect>(cx: &sync::Arc<context::Router<D>>) {
    tokio::spawn(keep_records(cx.clone()));
}

async fn keep_records<D: dialect::Dialect>(cx: sync::Arc<context::Router<D>>) {
    let mut client = store::Client::new(&cx);
    let mut era = cx.renewals.era();
    read_records(&cx, &mut client).await;
    let mut pause = FIRST_PAUSE;
    let mut freshness = dialect::Freshness::MayLag;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if cx.renewals.has_new_era(&mut era) {
            // A lagging list may be of the former era.
            freshness = dialect::Freshness::Newest;
            locks::lock(&cx.served_versions).record_store_loss(cx.now());
        }
        if !is_due(&cx) {
            continue;
        }
        tokio::time::sleep(TURN * turn(&cx)).await;
        if !is_due(&cx) {
            continue;
        }
        match update_records(&cx, &mut client, freshness).await {
            Ok(()) => {
                pause = FIRST_PAUSE;
                freshness = dialect::Freshness::MayLag;
            }
            Err(failure) => {
                event!(Info, "versions-not-written", "cause" => failure.to_string());
                // An outdated list may have been the cause.
                freshness = dialect::Freshness::Newest;
                tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

/// Returns whether this host has to look at the records. It doesn't before it knows the other hosts, as all
/// hosts that start would take the first turn.
fn is_due<D: dialect::Dialect>(cx: &context::Router<D>) -> bool {
    let known = locks::lock(&cx.peers).is_listed();
    known && locks::lock(&cx.served_versions).has_unsaved(cx.now())
}

/// Returns the number of hosts whose turn comes before that of this host.
fn turn<D: dialect::Dialect>(cx: &context::Router<D>) -> u32 {
    let own = rendezvous::score(TURN_KEY, &cx.id.name);
    let peers = locks::lock(&cx.peers);
    let before = peers
        .all(cx.now())
        .filter(|(peer, _)| rendezvous::score(TURN_KEY, &peer.name) > own);
    before.count() as u32
}

/// Reads the records, and retries until that succeeds. They are applied once servers were listed.
async fn read_records<D: dialect::Dialect>(cx: &context::Router<D>, client: &mut store::Client<D>) {
    let mut pause = FIRST_PAUSE;
    let records = loop {
        match list(client, dialect::Freshness::Newest).await {
            Ok(records) => break records,
            Err(failure) => {
                event!(Info, "versions-not-read", "cause" => failure.to_string());
                tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    };
    while !locks::lock(&cx.served_versions).has_list() {
        tokio::time::sleep(LIST_CHECK_INTERVAL).await;
    }
    locks::lock(&cx.served_versions).record_stored(&records, cx.unix_time(), cx.now());
    event!(Info, "versions-read", "records" => records.len());
}

/// Brings the store's records up to date, as far as no other host has.
async fn update_records<D: dialect::Dialect>(
    cx: &context::Router<D>,
    client: &mut store::Client<D>,
    freshness: dialect::Freshness,
) -> Result<(), store::Failure> {
    let records = list(client, freshness).await?;
    let writes = locks::lock(&cx.served_versions).next_writes(&records, cx.unix_time(), cx.now());
    for write in writes {
        make_write(client, &write).await?;
        locks::lock(&cx.served_versions).record_written(&write);
    }
    Ok(())
}

async fn make_write<D: dialect::Dialect>(
    client: &mut store::Client<D>,
    write: &served_versions::Write,
) -> Result<(), store::Failure> {
    let collection = dialect::Collection::ServedVersions;
    let (of, gone_at, replaces) = match write {
        served_versions::Write::Put(of, gone_at, replaces) => (of, gone_at, replaces),
        served_versions::Write::Remove(of, revision) => {
            let result = client.delete(collection, &object_name(of), *revision).await;
            event!(Info, "version-removed", "service" => of.service, "version" => of.version,
                "failure" => result.as_ref().err().map(ToString::to_string));
            return result;
        }
    };
    let name = object_name(of);
    let record = StoredVersion {
        service: of.service.clone(),
        version: of.version.clone(),
        gone_unix_ms: gone_at.map(clock::millis),
    };
    let value = serde_json::to_value(&record).map_err(|_| store::Failure::Unreadable)?;
    let result = match replaces {
        None => client.create(collection, &name, &value).await,
        Some(revision) => client.replace(collection, &name, *revision, &value).await,
    };
    event!(Info, "version-written", "service" => record.service, "version" => record.version,
        "gone" => record.gone_unix_ms, "replaces" => replaces,
        "failure" => result.as_ref().err().map(ToString::to_string));
    result
}

/// Lists the records. Those that can't be read are logged and left out.
async fn list<D: dialect::Dialect>(
    client: &mut store::Client<D>,
    freshness: dialect::Freshness,
) -> Result<Vec<served_versions::Stored>, store::Failure> {
    let collection = dialect::Collection::ServedVersions;
    let (objects, _) = client.list(collection, freshness).await?;
    Ok(objects.iter().filter_map(read_record).collect())
}

fn read_record(object: &dialect::Object) -> Option<served_versions::Stored> {
    let record = match StoredVersion::deserialize(&object.value) {
        Ok(record) => record,
        Err(fault) => {
            event!(Warn, "version-unreadable", "name" => object.name, "fault" => fault.to_string());
            return None;
        }
    };
    Some(served_versions::Stored {
        of: served_versions::ServiceVersion {
            service: record.service,
            version: record.version,
        },
        gone_at: record.gone_unix_ms.map(time::Duration::from_millis),
        revision: object.revision,
    })
}

/// Returns the name of a version's object. Versions may contain characters that names may not.
fn object_name(of: &served_versions::ServiceVersion) -> String {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(of.service.as_bytes());
    hasher.update(&[0]);
    hasher.update(of.version.as_bytes());
    format!("{:016x}", hasher.digest())
}
