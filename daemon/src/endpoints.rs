//! Health of the backend servers of plain services.
//!
//! One host stewards each service and checks the health of its servers. The other hosts ask the
//! steward which servers are live, and cache its answer for a short time.

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::config;
use walnuthaven_lib::ids;

use crate::host;
use crate::locks;
use crate::plain;

/// How long a host uses the steward's answer before it asks again.
pub const VALID_FOR: time::Duration = time::Duration::from_millis(500);
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
const HEALTH_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// How long a server is avoided after it did not accept a call.
const AVOID_FOR: time::Duration = time::Duration::from_secs(1);
/// How long a cached answer is still used if the steward does not answer.
const STALE_USABLE_FOR: time::Duration = time::Duration::from_secs(5);

/// A server of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// The backend server's name.
    pub name: ids::Name,
    /// Its IP address and port.
    pub addr: ids::Name,
    /// Its availability zone.
    pub zone: ids::Name,
}

/// A steward's answer, and the time at which it was requested.
#[derive(Clone, Debug)]
struct CachedAnswer {
    endpoints: Vec<Endpoint>,
    requested_at: time::Duration,
}

/// What a host knows about the health of servers.
#[derive(Debug, Default)]
pub struct Cache {
    /// Live servers of the services that this host stewards, by cell name.
    stewarded: sync::Mutex<collections::HashMap<String, Vec<Endpoint>>>,
    /// Answers of other stewards, by cell name.
    answers: sync::Mutex<collections::HashMap<String, CachedAnswer>>,
    /// Servers that did not accept a call, and until when each is avoided.
    avoided: sync::Mutex<collections::HashMap<ids::Name, time::Duration>>,
}

impl Cache {
    /// Returns the live servers of a service that this host stewards.
    pub fn stewarded(&self, cell: &str) -> Vec<Endpoint> {
        let stewarded = locks::lock(&self.stewarded);
        stewarded.get(cell).cloned().unwrap_or_default()
    }

    /// Records that a server did not accept a call, so that it is avoided for a short time.
    pub fn avoid(&self, server: &ids::Name, now: time::Duration) {
        locks::lock(&self.avoided).insert(server.clone(), now + AVOID_FOR);
    }

    /// Returns whether a server is avoided, because it recently did not accept a call.
    pub fn is_avoided(&self, server: &ids::Name, now: time::Duration) -> bool {
        let avoided = locks::lock(&self.avoided);
        avoided.get(server).is_some_and(|until| now < *until)
    }
}

/// Returns the cell name of a plain service, from which its steward is chosen.
pub fn cell_name(workspace: &str, service: &str) -> String {
    format!("{workspace}/plain/{service}")
}

/// Returns the live servers of a service according to its steward. Without a usable answer, these
/// are all configured servers that are not draining.
pub async fn live_servers(cx: &sync::Arc<host::Host>, cell: &str) -> Vec<Endpoint> {
    let steward = locks::lock(&cx.members).steward(cell).clone();
    let cache = cx.plain.endpoints();
    if steward.id == cx.id {
        let live = cache.stewarded(cell);
        return if live.is_empty() {
            configured_servers(cx, cell)
        } else {
            live
        };
    }
    let now = cx.now();
    let known = locks::lock(&cache.answers).get(cell).cloned();
    if let Some(known) = &known
        && now.saturating_sub(known.requested_at) < VALID_FOR
    {
        return known.endpoints.clone();
    }
    match cx.peers.endpoints(&steward.peer_addr, cell).await {
        Ok(reply) if !reply.endpoints.is_empty() => {
            let endpoints: Vec<Endpoint> = reply.endpoints.iter().map(from_wire).collect();
            let answer = CachedAnswer {
                endpoints: endpoints.clone(),
                requested_at: now,
            };
            locks::lock(&cache.answers).insert(cell.to_owned(), answer);
            endpoints
        }
        _ => match known {
            Some(known) if now.saturating_sub(known.requested_at) < STALE_USABLE_FOR => {
                known.endpoints
            }
            _ => configured_servers(cx, cell),
        },
    }
}

fn from_wire(endpoint: &walnuthaven_wire::peer::Endpoint) -> Endpoint {
    Endpoint {
        name: endpoint.name.as_str().into(),
        addr: endpoint.addr.as_str().into(),
        zone: endpoint.zone.as_str().into(),
    }
}

/// Returns the configured servers of a service that are not draining, for use when nothing is known
/// about their health.
fn configured_servers(cx: &host::Host, cell: &str) -> Vec<Endpoint> {
    let mut parts = cell.split('/');
    let workspace = parts.next().unwrap_or_default();
    let service = parts.nth(1).unwrap_or_default();
    let config = locks::read(&cx.config);
    let Some(stored) = config.get(workspace) else {
        return Vec::new();
    };
    undrained_servers(&stored.document, service)
}

/// Returns the servers of a service that the configuration does not mark as draining.
pub fn undrained_servers(document: &config::Workspace, service: &str) -> Vec<Endpoint> {
    let servers = document.plain_backends(service);
    let serving = servers.filter(|backend| !backend.draining);
    serving.map(endpoint_of).collect()
}

fn endpoint_of(backend: &config::Backend) -> Endpoint {
    Endpoint {
        name: backend.name.clone(),
        addr: backend.addr.clone(),
        zone: backend.zone.clone(),
    }
}

/// Starts to check the health of the servers of the services that this host stewards.
pub fn spawn(cx: &sync::Arc<host::Host>) {
    let cx = cx.clone();
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            check_stewarded(&cx).await;
        }
    });
}

async fn check_stewarded(cx: &sync::Arc<host::Host>) {
    let assignments = cx.current_assignments();
    let mut live_by_cell = collections::HashMap::new();
    for (cell, servers) in &assignments.services {
        let health = servers.iter().map(|server| is_healthy(&cx.plain, server));
        let health = futures_util::future::join_all(health).await;
        let live = servers.iter().zip(health).filter(|(_, healthy)| *healthy);
        live_by_cell.insert(
            cell.clone(),
            live.map(|(server, _)| server.clone()).collect(),
        );
    }
    *locks::lock(&cx.plain.endpoints().stewarded) = live_by_cell;
}

async fn is_healthy(plain: &plain::Proxy, server: &Endpoint) -> bool {
    let url = format!("http://{}/healthz", server.addr);
    let response = plain.http().get(url).timeout(HEALTH_TIMEOUT).send().await;
    response.is_ok_and(|response| response.status().is_success())
}
