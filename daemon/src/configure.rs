//! Configuration: from the platform through relays into force at every host.
//!
//! Two relays in each availability zone hold a watch. Every other host learns from probes, which
//! compare digests, and fetches what is newer from the host that has it. Higher generations win and
//! nothing goes back.

use std::sync;
use std::sync::atomic;
use std::time;

use walnuthaven_lib::clock;
use walnuthaven_lib::config;
use walnuthaven_lib::config_versions;
use walnuthaven_lib::history;
use walnuthaven_lib::membership;
use walnuthaven_lib::rendezvous;
use walnuthaven_lib::validate;
use walnuthaven_wire::peer;

use crate::host;
use crate::locks;
use crate::platform;

/// The kind of objects that hold the documents in force.
pub const KIND: &str = "config";
/// The kind of objects that hold earlier documents.
pub const HISTORY_KIND: &str = "config-history";
/// Relays in each availability zone.
pub const RELAYS_PER_ZONE: usize = 2;
const IDLE: time::Duration = time::Duration::from_millis(500);
const MIN_BACK_OFF: time::Duration = time::Duration::from_millis(200);
const MAX_BACK_OFF: time::Duration = time::Duration::from_secs(5);
const PUSH_TO: usize = 8;

const MAX_FETCHING: u32 = 16;

/// Starts to follow the configuration.
pub fn spawn(cx: &sync::Arc<host::Host>) {
    let cx = cx.clone();
    tokio::spawn(async move { follow(&cx).await });
}

async fn follow(cx: &sync::Arc<host::Host>) {
    let mut version = 0;
    let mut back_off = MIN_BACK_OFF;
    loop {
        let cold = locks::read(&cx.config).is_empty();
        if !is_relay(cx) && !cold {
            version = 0;
            tokio::time::sleep(IDLE).await;
            continue;
        }
        let client = cx.platform.clone();
        let watched = tokio::task::spawn_blocking(move || match version {
            0 => client.list(KIND),
            version => client.watch(KIND, version),
        });
        match watched.await {
            Ok(Ok(list)) => {
                back_off = MIN_BACK_OFF;
                // A platform that was restored starts again at a lower version.
                version = list.version.max(1);
                take_list(cx, list).await;
                if cold {
                    tokio::time::sleep(IDLE).await;
                }
            }
            Ok(Err(failure)) => {
                log::debug!("configuration watch: {failure:?}");
                version = 0;
                tokio::time::sleep(jittered(back_off)).await;
                back_off = (back_off * 2).min(MAX_BACK_OFF);
            }
            Err(error) => log::error!("configuration watch: {error}"),
        }
    }
}

/// Returns whether this host watches the platform for its availability zone.
pub fn is_relay(cx: &host::Host) -> bool {
    let members = locks::lock(&cx.members);
    let zone = &cx.settings.zone;
    let own_zone = members.eligible().filter(|member| member.zone == *zone);
    let names = own_zone.map(|member| &*member.id.name);
    let relays = rendezvous::ranked(zone, names, RELAYS_PER_ZONE);
    relays.contains(&&*cx.id.name)
}

async fn take_list(cx: &sync::Arc<host::Host>, list: platform::List) {
    let mut fresh = Vec::new();
    for object in list.items {
        if object.value.is_null() {
            continue;
        }
        match serde_json::from_value::<config_versions::Stored>(object.value) {
            Ok(stored) => {
                repair(cx, &stored, object.version);
                if activate_if_newer(cx, stored.clone()) {
                    fresh.push(stored);
                }
            }
            Err(error) => log::error!("configuration object {}: {error}", object.name),
        }
    }
    push(cx, &fresh).await;
}

/// Writes back what is in force over an older document of a restored platform.
fn repair(cx: &sync::Arc<host::Host>, stored: &config_versions::Stored, version: u64) {
    let workspace = stored.document.workspace.clone();
    let Some(known) = locks::read(&cx.config).get(&workspace).cloned() else {
        return;
    };
    if known.generation <= stored.generation {
        return;
    }
    log::warn!("the platform shows an older document of {workspace}; it is written back");
    let client = cx.platform.clone();
    tokio::task::spawn_blocking(move || {
        if let Err(failure) = client.put(KIND, &workspace, &*known, version) {
            log::debug!("write back of {workspace}: {failure:?}");
        }
    });
}

/// Puts a document into force if it is newer. Returns whether it was.
pub fn activate_if_newer(cx: &host::Host, stored: config_versions::Stored) -> bool {
    let workspace = stored.document.workspace.clone();
    let generation = stored.generation;
    let report = validate::check(&stored.document);
    if !report.faults.is_empty() {
        log::error!("document of {workspace} is not valid: {}", report.faults[0]);
        return false;
    }
    // The event is written under the lock, so that events come in the order of their effect.
    let mut config = locks::write(&cx.config);
    if !config.replace_if_newer(stored) {
        return false;
    }
    cx.record_event(history::Event::InForce {
        host: cx.id.name.to_string(),
        incarnation: cx.id.incarnation,
        workspace: workspace.to_string(),
        generation,
    });
    drop(config);
    cx.metrics.count("config.in_force");
    log::info!("generation {generation} of {workspace} is in force");
    true
}

/// Offers documents to other hosts: all of them in a small fleet, else a few that pass it on.
pub async fn push(cx: &sync::Arc<host::Host>, fresh: &[config_versions::Stored]) {
    if fresh.is_empty() {
        return;
    }
    let call = peer::ConfigPush {
        documents: fresh.iter().filter_map(to_wire).collect(),
    };
    let targets: Vec<membership::Member> = {
        let members = locks::lock(&cx.members);
        let others = members.eligible().filter(|member| member.id != cx.id);
        others.take(PUSH_TO).cloned().collect()
    };
    let calls = targets
        .iter()
        .map(|target| cx.peers.push_config(&target.peer_addr, call.clone()));
    for (target, result) in targets
        .iter()
        .zip(futures_util::future::join_all(calls).await)
    {
        if let Err(status) = result {
            log::debug!("push to {}: {status}", target.id);
        }
    }
}

/// Takes documents that another host offered.
pub fn receive_push(cx: &host::Host, push: &peer::ConfigPush) {
    for document in &push.documents {
        match serde_json::from_str(&document.json) {
            Ok(stored) => {
                activate_if_newer(cx, stored);
            }
            Err(error) => log::error!("document of {}: {error}", document.workspace),
        }
    }
}

/// Fetches newer documents from a host, in the background.
pub fn fetch_from(cx: &sync::Arc<host::Host>, addr: &str) {
    if cx.config_fetches.fetch_add(1, atomic::Ordering::Relaxed) >= MAX_FETCHING {
        cx.config_fetches.fetch_sub(1, atomic::Ordering::Relaxed);
        return;
    }
    let cx = cx.clone();
    let addr = addr.to_owned();
    tokio::spawn(async move {
        let known = {
            let config = locks::read(&cx.config);
            let known = config.iter().map(|stored| peer::ConfigVersion {
                workspace: stored.document.workspace.to_string(),
                generation: stored.generation,
            });
            known.collect()
        };
        match cx
            .peers
            .fetch_config(&addr, peer::ConfigFetch { known })
            .await
        {
            Ok(push) => receive_push(&cx, &push),
            Err(status) => log::debug!("fetch from {addr}: {status}"),
        }
        cx.config_fetches.fetch_sub(1, atomic::Ordering::Relaxed);
    });
}

/// Returns the documents in force that are newer than the known ones.
pub fn documents_newer_than(cx: &host::Host, known: &[peer::ConfigVersion]) -> peer::ConfigPush {
    let config = locks::read(&cx.config);
    let is_news = |stored: &&sync::Arc<config_versions::Stored>| {
        let name = &*stored.document.workspace;
        let theirs = known.iter().find(|version| version.workspace == name);
        theirs.is_none_or(|theirs| theirs.generation < stored.generation)
    };
    let documents = config.iter().filter(is_news);
    peer::ConfigPush {
        documents: documents.filter_map(|stored| to_wire(stored)).collect(),
    }
}

/// Returns the cell with this name from the configuration in force.
pub fn find_cell(cx: &host::Host, name: &str) -> Option<config::CellSpec> {
    let mut parts = name.split('/');
    let workspace = parts.next()?;
    let pool = parts.next()?;
    let config = locks::read(&cx.config);
    let stored = config.get(workspace)?;
    let cells = stored.document.cells(pool);
    cells.into_iter().find(|cell| *cell.name == *name)
}

fn to_wire(stored: &config_versions::Stored) -> Option<peer::ConfigDocument> {
    let json = serde_json::to_string(stored).ok()?;
    Some(peer::ConfigDocument {
        workspace: stored.document.workspace.to_string(),
        generation: stored.generation,
        json,
    })
}

fn jittered(wait: time::Duration) -> time::Duration {
    wait.mul_f64(0.5 + rand::random::<f64>())
}

/// How a change ended.
#[derive(Debug)]
pub enum ApplyOutcome {
    /// The change is accepted as this generation.
    Accepted(u64),
    /// Another change came first; this is what it made.
    Conflict(Box<config_versions::Stored>),
    /// The platform did not take the change; nothing was changed.
    Refused(String),
    /// The platform did not answer; whether the change was accepted is not known yet.
    Unknown(String),
}

/// A change that an operator asks for.
#[derive(Clone, Debug)]
pub struct Change {
    /// The new document.
    pub document: config::Workspace,
    /// The generation that the operator saw, zero for none.
    pub seen_generation: u64,
    /// Identifies the change.
    pub id: String,
    /// The operator.
    pub author: String,
}

const READ_BACK_TRIES: u32 = 5;

/// Writes a change to the platform and puts it into force. Blocks.
pub fn apply(cx: &sync::Arc<host::Host>, change: &Change) -> ApplyOutcome {
    let name = change.document.workspace.clone();
    let (stored, version) = match read_stored(cx, &name) {
        Ok(found) => found,
        Err(failure) => {
            return ApplyOutcome::Refused(format!("the platform can't be read: {failure:?}"));
        }
    };
    let in_force = locks::read(&cx.config)
        .get(&name)
        .map(|known| (**known).clone());
    // A restored platform may show less than what is in force.
    let newest = [stored, in_force].into_iter().flatten();
    let newest = newest.max_by_key(|stored| stored.generation);
    if let Some(newest) = &newest
        && newest.contains_change(&change.id)
    {
        return ApplyOutcome::Accepted(newest.generation);
    }
    let generation = newest.as_ref().map_or(0, |stored| stored.generation);
    if generation != change.seen_generation {
        return match newest {
            Some(newest) => ApplyOutcome::Conflict(Box::new(newest)),
            None => ApplyOutcome::Refused(format!("workspace {name:?} does not exist")),
        };
    }
    let unix_ms = clock::millis(cx.unix_time());
    let document = change.document.clone();
    let next = config_versions::Stored::successor(
        newest.as_ref(),
        document,
        &change.id,
        &change.author,
        unix_ms,
    );
    let archived = archive(cx, &next);
    if let Err(failure) = archived {
        return ApplyOutcome::Refused(format!("the history can't be written: {failure:?}"));
    }
    match cx.platform.put(KIND, &name, &next, version) {
        Ok(_) => accepted(cx, next),
        Err(platform::Failure::Conflict | platform::Failure::Unknown(_)) => {
            read_back(cx, change, next)
        }
        Err(failure) => ApplyOutcome::Refused(format!("the platform refused: {failure:?}")),
    }
}

fn accepted(cx: &sync::Arc<host::Host>, stored: config_versions::Stored) -> ApplyOutcome {
    let generation = stored.generation;
    activate_if_newer(cx, stored);
    ApplyOutcome::Accepted(generation)
}

/// Finds out whether a write took effect whose reply was lost or that met another version.
fn read_back(
    cx: &sync::Arc<host::Host>,
    change: &Change,
    next: config_versions::Stored,
) -> ApplyOutcome {
    let name = &change.document.workspace;
    let mut last = String::new();
    for attempt in 0..READ_BACK_TRIES {
        match read_stored(cx, name) {
            Ok((Some(stored), _)) if stored.contains_change(&change.id) => {
                return accepted(cx, stored);
            }
            Ok((Some(stored), _)) if stored.generation >= next.generation => {
                return ApplyOutcome::Conflict(Box::new(stored));
            }
            // The write may still be on its way; the condition on the version will decide.
            Ok(_) => last = "the change is not visible".into(),
            Err(failure) => last = format!("{failure:?}"),
        }
        std::thread::sleep(MIN_BACK_OFF * (attempt + 1));
    }
    ApplyOutcome::Unknown(format!("the change may or may not be accepted: {last}"))
}

fn read_stored(
    cx: &host::Host,
    name: &str,
) -> Result<(Option<config_versions::Stored>, u64), platform::Failure> {
    match cx.platform.get(KIND, name) {
        Ok(object) => {
            let stored = serde_json::from_value(object.value);
            let stored = stored.map_err(|error| platform::Failure::Refused(error.to_string()))?;
            Ok((Some(stored), object.version))
        }
        Err(platform::Failure::NotFound) => Ok((None, 0)),
        Err(failure) => Err(failure),
    }
}

/// Keeps the document for roll-forward. It counts as history only if its change was accepted.
fn archive(cx: &host::Host, next: &config_versions::Stored) -> Result<(), platform::Failure> {
    let name = history_name(&next.document.workspace, next.generation, &next.change);
    match cx.platform.put(HISTORY_KIND, &name, next, 0) {
        Ok(_) | Err(platform::Failure::Conflict) => Ok(()),
        Err(failure) => Err(failure),
    }
}

/// Returns the name of the object with an earlier document.
pub fn history_name(workspace: &str, generation: u64, change: &str) -> String {
    format!("{workspace}.{generation}.{change}")
}
