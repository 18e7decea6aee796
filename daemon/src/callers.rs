//! Authenticates callers and tells them which hosts to use.

use std::sync;

use serde::Serialize;
use walnuthaven_lib::auth;
use walnuthaven_lib::config_versions;
use walnuthaven_lib::ids;
use walnuthaven_lib::membership;
use walnuthaven_lib::refusal;
use walnuthaven_lib::rendezvous;
use walnuthaven_lib::request_table;

use crate::drain;
use crate::generate;
use crate::host;
use crate::locks;

/// How long callers may keep the list of hosts, in seconds.
pub const KEEP_S: u64 = 20;
const MAX_CACHED_KEYS: usize = 10_000;
/// Largest number of hosts in an answer.
const MAX_HOSTS: usize = 8;

/// Cache of callers' keys that were verified against an active document. It saves
/// hashing a key with each salt again.
#[derive(Debug, Default)]
pub struct KeyCache {
    known: sync::Mutex<auth::KeyIndex<Verified>>,
}

/// The document in which a key was found. The entry is valid while the workspace's active document
/// has this generation.
#[derive(Clone, Debug)]
struct Verified {
    workspace: ids::Name,
    generation: u64,
}

/// Finds the workspace that a caller's key belongs to.
///
/// # Errors
///
/// Refuses a missing or unknown key, and every key while the host has no configuration.
pub fn authenticate(
    cx: &host::Host,
    key: Option<&str>,
) -> Result<sync::Arc<config_versions::Stored>, refusal::Refusal> {
    let config = locks::read(&cx.config);
    if config.is_empty() {
        let message = "this host has no configuration yet";
        return Err(refusal::Refusal::not_run(
            refusal::Code::Unavailable,
            message,
        ));
    }
    let Some(key) = key else {
        let message = "the header authorization: Bearer KEY is missing";
        return Err(refusal::Refusal::not_run(
            refusal::Code::Unauthorized,
            message,
        ));
    };
    let mut known = locks::lock(&cx.verified_keys.known);
    if let Some(verified) = known.get(key)
        && let Some(stored) = config.get(&verified.workspace)
        && stored.generation == verified.generation
    {
        return Ok(stored.clone());
    }
    let Some(stored) = config.find_by_key(key) else {
        known.remove(key);
        let message = "the key is not known in any workspace";
        return Err(refusal::Refusal::not_run(
            refusal::Code::Unauthorized,
            message,
        ));
    };
    if known.len() >= MAX_CACHED_KEYS {
        known.clear();
    }
    let verified = Verified {
        workspace: stored.document.workspace.clone(),
        generation: stored.generation,
    };
    known.insert(key, verified);
    Ok(stored.clone())
}

/// The hosts that a caller should use.
#[derive(Debug, Serialize)]
pub struct Hosts {
    /// Hosts in order of preference.
    pub hosts: Vec<Address>,
    /// How long the caller may keep this answer, in seconds.
    pub keep_s: u64,
    /// Ids for the caller's next requests, whose home is the answering host.
    pub request_ids: Vec<String>,
}

/// A host that a caller may connect to.
#[derive(Debug, Serialize)]
pub struct Address {
    /// The host's name.
    pub name: ids::Name,
    /// The IP address and port for callers.
    pub address: ids::Name,
    /// Its availability zone.
    pub zone: ids::Name,
}

/// Lists hosts for a caller: first this host, because the request ids have their home here, then
/// the hosts of the caller's availability zone, then the others. Within each group the order
/// depends on the caller's key, so that load spreads.
pub fn list_hosts(cx: &host::Host, zone: Option<&str>, caller_key: &str) -> Hosts {
    let zone = zone.unwrap_or(&cx.settings.zone).to_owned();
    let mut members: Vec<membership::Member> = {
        let table = locks::lock(&cx.members);
        let live = table
            .eligible()
            .filter(|member| drain::takes_callers(member));
        live.cloned().collect()
    };
    members.sort_by_key(|member| {
        let elsewhere = *member.zone != *zone;
        let score = rendezvous::score(caller_key, &member.id.name);
        (member.id != cx.id, elsewhere, std::cmp::Reverse(score))
    });
    members.truncate(MAX_HOSTS);
    let hosts = members.into_iter().map(|member| Address {
        name: member.id.name,
        address: member.api_addr,
        zone: member.zone,
    });
    let serving = drain::refuse_if_leaving(cx).is_ok();
    let request_ids = match serving {
        true => generate::mint(cx, request_table::IDS_PER_BLOCK),
        false => Vec::new(),
    };
    Hosts {
        hosts: hosts.collect(),
        keep_s: KEEP_S,
        request_ids: request_ids.iter().map(|id| id.to_string()).collect(),
    }
}
