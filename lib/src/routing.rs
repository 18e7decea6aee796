//! The routing table of a host: which service takes a request, and under which limits.

use std::collections;
use std::sync;
use std::time;

use crate::workspaces;

/// The kind of a route's requests. It determines whether they may be retried after a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The request is idempotent: it may run any number of times.
    Repeatable,
    /// The request must run at most once.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// Whether another server may continue a broken stream after its last complete event.
        resumable: bool,
        /// Longest pause between two events; after a longer one the answer counts as late.
        max_pause: time::Duration,
    },
}

impl Kind {
    /// Returns whether a request may be retried although it may have run.
    pub fn may_run_again(self) -> bool {
        matches!(
            self,
            Self::Repeatable
                | Self::Stream {
                    resumable: true,
                    ..
                }
        )
    }
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The name of the service.
    pub service: sync::Arc<str>,
    /// The weight of this share relative to the sum over the route's shares.
    pub weight: u32,
}

/// A route: the requests for a host name and path prefix, and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: sync::Arc<str>,
    /// The host name in the requests' `Host` header, in lower case.
    pub host: sync::Arc<str>,
    /// The prefix of the requests' paths.
    pub prefix: sync::Arc<str>,
    /// The kind of the requests.
    pub kind: Kind,
    /// Longest time from a request's arrival to the end of its answer.
    pub timeout: Option<time::Duration>,
    /// Time within which callers expect the answer, or the first event of a stream.
    pub target_latency: time::Duration,
    /// The priority among waiting requests; 0 goes first.
    pub priority: u8,
    /// The services that share the requests.
    pub shares: Vec<Share>,
    /// Maximum number of servers to which one request may be sent.
    pub max_attempts: u32,
    /// Whether callers without a key may use it, in a deployment with workspaces.
    pub is_open: bool,
}

impl Route {
    /// Returns the service for a request, chosen by weight. `point` is a uniform random number. Returns
    /// `None` if the sum of the weights is zero.
    pub fn service(&self, point: u32) -> Option<&sync::Arc<str>> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut rest = (u64::from(point) * total) >> 32;
        for share in &self.shares {
            if rest < u64::from(share.weight) {
                return Some(&share.service);
            }
            rest -= u64::from(share.weight);
        }
        None
    }
}

/// Properties of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePool {
    /// Maximum number of requests that one engine runs at once.
    pub slots: u32,
    /// Size of one engine's memory in tokens.
    pub memory_tokens: u32,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// How long an engine keeps memory under a handle, such as the result of a prefill.
    pub handle_ttl: time::Duration,
    /// Whether an engine can copy the memory of a run to another engine.
    pub can_move_runs: bool,
}

/// A service: a set of backend servers that answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: sync::Arc<str>,
    /// Maximum number of connections that one server accepts, from all hosts together.
    pub max_connections: u32,
    /// Set if the servers are model engines; the service is a plain one otherwise.
    pub engines: Option<EnginePool>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time for receiving a request's head.
    pub header_timeout: time::Duration,
    /// Longest time that a connection may be idle between requests.
    pub idle_timeout: time::Duration,
}

/// One version of the configuration: all routes and services.
#[derive(Clone, Debug)]
pub struct Table {
    /// The version number; higher is newer.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Routes by host name, those with the longest prefix first.
    routes: collections::HashMap<sync::Arc<str>, Vec<sync::Arc<Route>>>,
    services: collections::HashMap<sync::Arc<str>, sync::Arc<Service>>,
    /// Who may send requests.
    pub workspaces: workspaces::Workspaces,
}

impl Table {
    /// Creates a table.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: Vec<Route>,
        services: Vec<Service>,
    ) -> Self {
        let mut by_host: collections::HashMap<_, Vec<_>> = collections::HashMap::new();
        for route in routes {
            let list = by_host.entry(route.host.clone()).or_default();
            list.push(sync::Arc::new(route));
        }
        for list in by_host.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter();
        Self {
            version,
            limits,
            routes: by_host,
            services: services
                .map(|service| (service.name.clone(), sync::Arc::new(service)))
                .collect(),
            workspaces: workspaces::Workspaces::default(),
        }
    }

    /// Returns the route for a request: of those for the host name, the one with the longest prefix that
    /// matches the path. Case and port of `host` are ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&sync::Arc<Route>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let list = match self.routes.get(name) {
            Some(list) => list,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        list.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &sync::Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&sync::Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &sync::Arc<Service>> {
        self.services.values()
    }
}
