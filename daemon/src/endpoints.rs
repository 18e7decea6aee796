//! Which servers of a plain service take work.
//!
//! One host stewards each service: it asks the servers for their health. The others ask the steward
//! and keep its answer for a moment.

use std::collections;
use std::sync;
use std::time;

use walnuthaven_lib::config;
use walnuthaven_lib::ids;

use crate::host;
use crate::locks;
use crate::plain;

/// How long a host keeps the steward's answer.
pub const VALID_FOR: time::Duration = time::Duration::from_millis(500);
const CHECK_EVERY: time::Duration = time::Duration::from_millis(250);
const HEALTH_TIMEOUT: time::Duration = time::Duration::from_millis(500);
const AVOID_FOR: time::Duration = time::Duration::from_secs(1);
const STALE_USABLE_FOR: time::Duration = time::Duration::from_secs(5);

/// A server of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// The backend server's name.
    pub name: ids::Name,
    /// Its address.
    pub addr: ids::Name,
    /// Its availability zone.
    pub zone: ids::Name,
}

#[derive(Clone, Debug)]
struct Known {
    endpoints: Vec<Endpoint>,
    at: time::Duration,
}

/// What a host knows of live servers.
#[derive(Debug, Default)]
pub struct Cache {
    stewarded: sync::Mutex<collections::HashMap<String, Vec<Endpoint>>>,
    asked: sync::Mutex<collections::HashMap<String, Known>>,
    avoided: sync::Mutex<collections::HashMap<ids::Name, time::Duration>>,
}

impl Cache {
    /// Returns the live servers of a service that this host stewards.
    pub fn stewarded(&self, cell: &str) -> Vec<Endpoint> {
        let stewarded = locks::lock(&self.stewarded);
        stewarded.get(cell).cloned().unwrap_or_default()
    }

    /// Notes that a server did not take a call.
    pub fn avoid(&self, server: &ids::Name, now: time::Duration) {
        locks::lock(&self.avoided).insert(server.clone(), now + AVOID_FOR);
    }

    /// Returns whether a server did not take a call a moment ago.
    pub fn is_avoided(&self, server: &ids::Name, now: time::Duration) -> bool {
        let avoided = locks::lock(&self.avoided);
        avoided.get(server).is_some_and(|until| now < *until)
    }
}

/// Returns the name by which a plain service chooses its steward.
pub fn cell_name(workspace: &str, service: &str) -> String {
    format!("{workspace}/plain/{service}")
}

/// Returns the servers that take work, from the steward of the service.
pub async fn live_servers(cx: &sync::Arc<host::Host>, cell: &str) -> Vec<Endpoint> {
    let steward = locks::lock(&cx.members).steward(cell).clone();
    let cache = cx.plain.endpoints();
    if steward.id == cx.id {
        let live = cache.stewarded(cell);
        return if live.is_empty() {
            configured(cx, cell)
        } else {
            live
        };
    }
    let now = cx.now();
    let known = locks::lock(&cache.asked).get(cell).cloned();
    if let Some(known) = &known
        && now.saturating_sub(known.at) < VALID_FOR
    {
        return known.endpoints.clone();
    }
    match cx.peers.endpoints(&steward.peer_addr, cell).await {
        Ok(reply) if !reply.endpoints.is_empty() => {
            let endpoints: Vec<Endpoint> = reply.endpoints.iter().map(from_wire).collect();
            let fresh = Known {
                endpoints: endpoints.clone(),
                at: now,
            };
            locks::lock(&cache.asked).insert(cell.to_owned(), fresh);
            endpoints
        }
        _ => match known {
            Some(known) if now.saturating_sub(known.at) < STALE_USABLE_FOR => known.endpoints,
            _ => configured(cx, cell),
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

/// Returns all configured servers of a service, for when nothing is known of their health.
fn configured(cx: &host::Host, cell: &str) -> Vec<Endpoint> {
    let mut parts = cell.split('/');
    let workspace = parts.next().unwrap_or_default();
    let service = parts.nth(1).unwrap_or_default();
    let config = locks::read(&cx.config);
    let Some(stored) = config.get(workspace) else {
        return Vec::new();
    };
    undrained_servers(&stored.document, service)
}

/// Returns the servers of a service that an operator has not drained.
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

/// Starts to check the servers of the services that this host stewards.
pub fn spawn(cx: &sync::Arc<host::Host>) {
    let cx = cx.clone();
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(CHECK_EVERY);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            check(&cx).await;
        }
    });
}

async fn check(cx: &sync::Arc<host::Host>) {
    let duties = cx.stewarded();
    let mut checked = collections::HashMap::new();
    for (cell, servers) in &duties.services {
        let health = servers.iter().map(|server| is_healthy(&cx.plain, server));
        let health = futures_util::future::join_all(health).await;
        let live = servers.iter().zip(health).filter(|(_, healthy)| *healthy);
        checked.insert(
            cell.clone(),
            live.map(|(server, _)| server.clone()).collect(),
        );
    }
    *locks::lock(&cx.plain.endpoints().stewarded) = checked;
}

async fn is_healthy(plain: &plain::Proxy, server: &Endpoint) -> bool {
    let url = format!("http://{}/healthz", server.addr);
    let response = plain.http().get(url).timeout(HEALTH_TIMEOUT).send().await;
    response.is_ok_and(|response| response.status().is_success())
}
