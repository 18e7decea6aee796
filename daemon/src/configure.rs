//! Distribution of configuration documents from the platform to all hosts.
//!
//! Two hosts in each availability zone, the relays, watch the platform. The other hosts notice from
//! the digests in probes that another host's documents differ, and fetch newer ones from it. A
//! document replaces the active one only if its generation is higher, so no host ever goes back to
//! an older document.

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

/// The kind of platform objects that hold the active documents.
pub const KIND: &str = "config";
/// The kind of platform objects that hold the document of each generation.
pub const HISTORY_KIND: &str = "config-history";
/// Number of relays in each availability zone.
pub const RELAYS_PER_ZONE: usize = 2;
/// How often a host that is no relay checks whether it has become one. Also how long a
/// host without any configuration waits before it reads the platform again.
const IDLE_INTERVAL: time::Duration = time::Duration::from_millis(500);
const MIN_BACK_OFF: time::Duration = time::Duration::from_millis(200);
const MAX_BACK_OFF: time::Duration = time::Duration::from_secs(5);
/// Largest number of hosts to which documents are pushed.
const MAX_PUSH_TARGETS: usize = 8;
/// Largest number of fetches from other hosts that run at the same time.
const MAX_FETCHES: u32 = 16;

/// Starts to follow configuration changes on the platform, for as long as this host is a relay or
/// has no configuration.
pub fn spawn(cx: &sync::Arc<host::Host>) {
    let cx = cx.clone();
    tokio::spawn(async move { follow_changes(&cx).await });
}

async fn follow_changes(cx: &sync::Arc<host::Host>) {
    let mut version = 0;
    let mut back_off = MIN_BACK_OFF;
    loop {
        let has_no_config = locks::read(&cx.config).is_empty();
        if !is_relay(cx) && !has_no_config {
            version = 0;
            tokio::time::sleep(IDLE_INTERVAL).await;
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
                // Versions may go down: a platform restored from a backup restarts at a lower one.
                version = list.version.max(1);
                apply_list(cx, list).await;
                if has_no_config {
                    tokio::time::sleep(IDLE_INTERVAL).await;
                }
            }
            Ok(Err(failure)) => {
                log::debug!("can't watch the configuration: {failure:?}");
                version = 0;
                tokio::time::sleep(jittered(back_off)).await;
                back_off = (back_off * 2).min(MAX_BACK_OFF);
            }
            Err(error) => log::error!("configuration watch task failed: {error}"),
        }
    }
}

/// Returns whether this host is a relay: whether it watches the platform for its availability zone.
pub fn is_relay(cx: &host::Host) -> bool {
    let members = locks::lock(&cx.members);
    let zone = &cx.settings.zone;
    let own_zone = members.eligible().filter(|member| member.zone == *zone);
    let names = own_zone.map(|member| &*member.id.name);
    let relays = rendezvous::ranked(zone, names, RELAYS_PER_ZONE);
    relays.contains(&&*cx.id.name)
}

/// Activates the newer documents of a list read from the platform, and pushes them to other hosts.
async fn apply_list(cx: &sync::Arc<host::Host>, list: platform::List) {
    let mut activated = Vec::new();
    for object in list.items {
        if object.value.is_null() {
            continue;
        }
        match serde_json::from_value::<config_versions::Stored>(object.value) {
            Ok(stored) => {
                write_back_if_older(cx, &stored, object.version);
                if activate_if_newer(cx, stored.clone()) {
                    activated.push(stored);
                }
            }
            Err(error) => log::error!("can't parse configuration object {}: {error}", object.name),
        }
    }
    push(cx, &activated).await;
}

/// Writes the active document to the platform if that holds an older one, as it does after a
/// restore from a backup. `version` is the version of the stored object.
fn write_back_if_older(cx: &sync::Arc<host::Host>, stored: &config_versions::Stored, version: u64) {
    let workspace = stored.document.workspace.clone();
    let Some(known) = locks::read(&cx.config).get(&workspace).cloned() else {
        return;
    };
    if known.generation <= stored.generation {
        return;
    }
    log::warn!("the platform holds an older document of {workspace}; writing the active one back");
    let client = cx.platform.clone();
    tokio::task::spawn_blocking(move || {
        if let Err(failure) = client.put(KIND, &workspace, &*known, version) {
            log::debug!("can't write back the document of {workspace}: {failure:?}");
        }
    });
}

/// Makes a document the active one of its workspace if it is valid and newer. Returns whether it is
/// active now.
pub fn activate_if_newer(cx: &host::Host, stored: config_versions::Stored) -> bool {
    let workspace = stored.document.workspace.clone();
    let generation = stored.generation;
    let report = validate::check(&stored.document);
    if !report.faults.is_empty() {
        log::error!("document of {workspace} is not valid: {}", report.faults[0]);
        return false;
    }
    // The event is written under the lock, so that events are in the order in which the documents
    // became active.
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
    log::info!("generation {generation} of {workspace} is active");
    true
}

/// Pushes documents to other hosts: to all in a small fleet, otherwise to a few, from which the
/// rest fetch them when probes show a difference.
pub async fn push(cx: &sync::Arc<host::Host>, documents: &[config_versions::Stored]) {
    if documents.is_empty() {
        return;
    }
    let call = peer::ConfigPush {
        documents: documents.iter().filter_map(to_wire).collect(),
    };
    let targets: Vec<membership::Member> = {
        let members = locks::lock(&cx.members);
        let others = members.eligible().filter(|member| member.id != cx.id);
        others.take(MAX_PUSH_TARGETS).cloned().collect()
    };
    let calls = targets
        .iter()
        .map(|target| cx.peers.push_config(&target.peer_addr, call.clone()));
    for (target, result) in targets
        .iter()
        .zip(futures_util::future::join_all(calls).await)
    {
        if let Err(status) = result {
            log::debug!("can't push configuration to {}: {status}", target.id);
        }
    }
}

/// Activates those documents from another host that are newer than the active ones.
pub fn receive_push(cx: &host::Host, push: &peer::ConfigPush) {
    for document in &push.documents {
        match serde_json::from_str(&document.json) {
            Ok(stored) => {
                activate_if_newer(cx, stored);
            }
            Err(error) => log::error!(
                "can't parse the document of {}: {error}",
                document.workspace
            ),
        }
    }
}

/// Fetches newer documents from the host with peer address `addr`, in the background. Does nothing
/// if too many fetches are running.
pub fn fetch_from(cx: &sync::Arc<host::Host>, addr: &str) {
    if cx.config_fetches.fetch_add(1, atomic::Ordering::Relaxed) >= MAX_FETCHES {
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
            Err(status) => log::debug!("can't fetch configuration from {addr}: {status}"),
        }
        cx.config_fetches.fetch_sub(1, atomic::Ordering::Relaxed);
    });
}

/// Returns the active documents that are newer than the `known` ones of another host.
pub fn documents_newer_than(cx: &host::Host, known: &[peer::ConfigVersion]) -> peer::ConfigPush {
    let config = locks::read(&cx.config);
    let is_newer = |stored: &&sync::Arc<config_versions::Stored>| {
        let name = &*stored.document.workspace;
        let theirs = known.iter().find(|version| version.workspace == name);
        theirs.is_none_or(|theirs| theirs.generation < stored.generation)
    };
    let documents = config.iter().filter(is_newer);
    peer::ConfigPush {
        documents: documents.filter_map(|stored| to_wire(stored)).collect(),
    }
}

/// Finds a cell by its name, `workspace/pool/shard`, in the active documents.
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

/// Multiplies a waiting time by a random factor from 0.5 to 1.5, so that hosts don't call in step.
fn jittered(wait: time::Duration) -> time::Duration {
    wait.mul_f64(0.5 + rand::random::<f64>())
}

/// The outcome of a change.
#[derive(Debug)]
pub enum ApplyOutcome {
    /// The change is accepted; the new document has this generation.
    Accepted(u64),
    /// Another change was accepted first; this is the document that it made.
    Conflict(Box<config_versions::Stored>),
    /// The change was refused and has no effect.
    Refused(String),
    /// The platform did not answer, so it isn't known yet whether the change is accepted.
    Unknown(String),
}

/// A change requested by an operator.
#[derive(Clone, Debug)]
pub struct Change {
    /// The new document.
    pub document: config::Workspace,
    /// The generation that the operator's change is based on, zero for a new workspace.
    pub seen_generation: u64,
    /// Identifies the change, so that a repeated one is applied only once.
    pub id: String,
    /// The name of the operator.
    pub author: String,
}

/// How many times the stored document is read to find out whether a write took effect.
const READ_BACK_ATTEMPTS: u32 = 5;

/// Writes a changed document to the platform and activates it here. This blocks.
pub fn apply(cx: &sync::Arc<host::Host>, change: &Change) -> ApplyOutcome {
    let name = change.document.workspace.clone();
    let (stored, version) = match read_stored(cx, &name) {
        Ok(found) => found,
        Err(failure) => {
            return ApplyOutcome::Refused(format!("the platform can't be read: {failure:?}"));
        }
    };
    let active = locks::read(&cx.config)
        .get(&name)
        .map(|known| (**known).clone());
    // A platform restored from a backup may hold an older document than the active one.
    let newest = [stored, active].into_iter().flatten();
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
        Ok(_) => activate_accepted(cx, next),
        Err(platform::Failure::Conflict | platform::Failure::Unknown(_)) => {
            read_back(cx, change, next)
        }
        Err(failure) => ApplyOutcome::Refused(format!("the platform refused: {failure:?}")),
    }
}

fn activate_accepted(cx: &sync::Arc<host::Host>, stored: config_versions::Stored) -> ApplyOutcome {
    let generation = stored.generation;
    activate_if_newer(cx, stored);
    ApplyOutcome::Accepted(generation)
}

/// Finds out whether a write took effect after its reply was lost or it conflicted with another
/// write.
fn read_back(
    cx: &sync::Arc<host::Host>,
    change: &Change,
    next: config_versions::Stored,
) -> ApplyOutcome {
    let name = &change.document.workspace;
    let mut last = String::new();
    for attempt in 0..READ_BACK_ATTEMPTS {
        match read_stored(cx, name) {
            Ok((Some(stored), _)) if stored.contains_change(&change.id) => {
                return activate_accepted(cx, stored);
            }
            Ok((Some(stored), _)) if stored.generation >= next.generation => {
                return ApplyOutcome::Conflict(Box::new(stored));
            }
            // The write may still reach the platform, which then accepts it only if the stored
            // version is still the expected one.
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

/// Stores the document as an object of its own, so that it can be applied again later as a new
/// generation. It is part of the history only if its change is accepted.
fn archive(cx: &host::Host, next: &config_versions::Stored) -> Result<(), platform::Failure> {
    let name = history_name(&next.document.workspace, next.generation, &next.change);
    match cx.platform.put(HISTORY_KIND, &name, next, 0) {
        Ok(_) | Err(platform::Failure::Conflict) => Ok(()),
        Err(failure) => Err(failure),
    }
}

/// Returns the name of the platform object that holds the document of a generation.
pub fn history_name(workspace: &str, generation: u64, change: &str) -> String {
    format!("{workspace}.{generation}.{change}")
}
