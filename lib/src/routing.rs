//! The routes that are in force on a host.

use std::collections;
use std::sync;
use std::time;

/// What may be done again with a request of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The request may run any number of times.
    Repeatable,
    /// The request runs at most once.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// Whether another server may continue the stream after the last whole event.
        resumable: bool,
        /// The longest pause between events of an answer that is still on time.
        max_pause: time::Duration,
    },
}

impl Kind {
    /// Returns whether a request may be sent again although it may have run.
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
    /// The service.
    pub service: sync::Arc<str>,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: sync::Arc<str>,
    /// The host name that callers ask for, in lower case.
    pub host: sync::Arc<str>,
    /// The beginning of the paths that the route takes.
    pub prefix: sync::Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time until the answer ends.
    pub timeout: Option<time::Duration>,
    /// The time until the answer, or its first event, that callers expect.
    pub target_latency: time::Duration,
    /// The rank; 0 goes first.
    pub priority: u8,
    /// The services that take the requests.
    pub shares: Vec<Share>,
    /// The most servers to which one request may be sent.
    pub max_attempts: u32,
}

impl Route {
    /// Returns the service for a request. `point` is a uniform random number.
    pub fn service(&self, point: u32) -> Option<&sync::Arc<str>> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = (u64::from(point) * total) >> 32;
        for share in &self.shares {
            if left < u64::from(share.weight) {
                return Some(&share.service);
            }
            left -= u64::from(share.weight);
        }
        None
    }
}

/// What a service's model engines can do.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePool {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that one engine's memory holds.
    pub memory_tokens: u32,
    /// Tokens that one event of a stream carries.
    pub tokens_per_event: u32,
    /// How long an engine keeps the result of a prefill.
    pub handle_ttl: time::Duration,
    /// Whether engines copy the memory of a run to each other.
    pub can_move_runs: bool,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: sync::Arc<str>,
    /// Connections that one server accepts from all hosts together.
    pub max_connections: u32,
    /// Set for services of model engines.
    pub engines: Option<EnginePool>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time for a request's head.
    pub header_timeout: time::Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: time::Duration,
}

/// One version of all routes and services.
#[derive(Clone, Debug)]
pub struct Table {
    /// The version; higher is newer.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    routes: collections::HashMap<sync::Arc<str>, Vec<sync::Arc<Route>>>,
    services: collections::HashMap<sync::Arc<str>, sync::Arc<Service>>,
}

impl Table {
    /// Makes a table.
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
        }
    }

    /// Returns the route with the longest prefix of the path. A port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&sync::Arc<Route>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name);
        let list = match self.routes.get(name) {
            Some(list) => list,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        list.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&sync::Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &sync::Arc<Service>> {
        self.services.values()
    }
}
