//! Configuration documents.
//!
//! One document describes one workspace. It is written and validated as a whole. The field
//! reference is `docs/CONFIG.md`.

use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::auth;
use crate::engines;
use crate::ids;
use crate::queue;

/// The document of one workspace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The workspace's name.
    pub workspace: ids::Name,
    /// Weight in the fair sharing of engines: a workspace of weight two gets twice the work of one
    /// of weight one.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Limits on its requests.
    #[serde(default)]
    pub limits: Limits,
    /// The salted and hashed keys of its callers.
    #[serde(default)]
    pub keys: Vec<auth::HashedKey>,
    /// The places where it has backend servers.
    #[serde(default)]
    pub sites: Vec<Site>,
    /// The names that its callers may use for priority classes.
    #[serde(default)]
    pub priorities: Vec<Priority>,
    /// Its pools of engines.
    #[serde(default)]
    pub pools: Vec<Pool>,
    /// The services that its callers can ask for.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Its backend servers.
    #[serde(default)]
    pub backends: Vec<Backend>,
}

/// Limits on the requests of a workspace.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum length of a prompt, in tokens.
    pub max_prompt_tokens: u32,
    /// Maximum number of tokens generated for one request.
    pub max_output_tokens: u32,
    /// Maximum number of requests that run or wait at one host.
    pub max_open_requests: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_prompt_tokens: 64_000,
            max_output_tokens: 4_096,
            max_open_requests: 2_000,
        }
    }
}

/// A place where the workspace has backend servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The site's name.
    pub name: ids::Name,
    /// Its availability zone.
    pub zone: ids::Name,
}

/// A name that callers may give as the priority of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// The name that callers use.
    pub name: ids::Name,
    /// The priority class that it stands for.
    pub class: queue::Class,
}

/// A pool of engines that serve one model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The pool's name.
    pub name: ids::Name,
    /// The name of the model.
    pub model: ids::Name,
    /// The model's version.
    #[serde(default = "default_version")]
    pub version: ids::Name,
    /// Names of the adapters to load with the model.
    #[serde(default)]
    pub adapters: Vec<ids::Name>,
    /// Whether the router may switch engines between the prefill and decode roles.
    #[serde(default)]
    pub role_changes: bool,
    /// Minimum number of engines in each role.
    #[serde(default = "default_minimum")]
    pub min_per_role: u32,
}

/// A service, which callers ask for by name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub name: ids::Name,
    /// Whether engines or ordinary HTTP servers serve it.
    pub kind: Kind,
    /// The pool whose engines serve it, for a model service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<ids::Name>,
    /// Whether a request may run more than once, for instance again after a crash.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Target for the time to the first token, in milliseconds.
    #[serde(default = "default_first_token")]
    pub first_token_ms: u64,
    /// Target for the time between tokens, in milliseconds.
    #[serde(default = "default_per_token")]
    pub per_token_ms: u64,
    /// How long a request of class `patient` may wait for its first token, in milliseconds.
    #[serde(default = "default_patient_age")]
    pub patient_age_ms: u64,
    /// Time limit of a call to a plain service, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
}

/// The kind of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Served by the engines of a pool.
    Model,
    /// Served by ordinary HTTP servers.
    Plain,
}

/// A backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// The server's name.
    pub name: ids::Name,
    /// The IP address and port at which it is called.
    pub addr: ids::Name,
    /// Its availability zone.
    pub zone: ids::Name,
    /// The pool that the engine belongs to; absent for a plain server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<ids::Name>,
    /// The service that the plain server serves; absent for an engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ids::Name>,
    /// The role that an engine starts with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<engines::Role>,
    /// Number of requests that fit into an engine's memory while they are decoded.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Prompt tokens that an engine prefills per second.
    #[serde(default = "default_prefill_rate")]
    pub prefill_tokens_s: u32,
    /// Bandwidth of an engine's link for KV transfers, in megabytes per second.
    #[serde(default = "default_link")]
    pub link_mb_s: u32,
    /// Whether the server refuses orders with an outdated fencing number.
    #[serde(default = "default_fencing")]
    pub checks_fencing: bool,
    /// Whether the server is to get no new work.
    #[serde(default)]
    pub draining: bool,
}

impl Workspace {
    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// Returns the pool with this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| &*pool.name == name)
    }

    /// Returns the priority class that a caller asks for, by a configured name or else by the name
    /// of the class itself.
    pub fn class(&self, priority: &str) -> Option<queue::Class> {
        let named = self.priorities.iter().find(|p| &*p.name == priority);
        named
            .map(|p| p.class)
            .or_else(|| queue::Class::parse(priority))
    }

    /// Returns the backend servers of a pool.
    pub fn pool_backends<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Backend> {
        let in_pool = move |backend: &&Backend| backend.pool.as_deref() == Some(pool);
        self.backends.iter().filter(in_pool)
    }

    /// Returns the backend servers of a plain service.
    pub fn plain_backends<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Backend> {
        let serves = move |backend: &&Backend| backend.service.as_deref() == Some(service);
        self.backends.iter().filter(serves)
    }

    /// Splits the engines of a pool into as few cells as `MAX_ENGINES_PER_CELL` allows. A pool
    /// without engines has one empty cell.
    pub fn cells(&self, pool: &str) -> Vec<CellSpec> {
        let specs: Vec<engines::Spec> = self
            .pool_backends(pool)
            .filter_map(Backend::engine_spec)
            .collect();
        let count = specs.len().div_ceil(MAX_ENGINES_PER_CELL).max(1);
        let mut cells: Vec<CellSpec> = (0..count)
            .map(|shard| CellSpec {
                name: cell_name(&self.workspace, pool, shard).into(),
                engines: Vec::new(),
            })
            .collect();
        // Assigning the engines in turn, one role after the other, gives each cell an equal part of
        // each role.
        let of_role = |role| specs.iter().filter(move |spec| spec.role == role);
        let by_role = of_role(engines::Role::Prefill).chain(of_role(engines::Role::Decode));
        for (at, spec) in by_role.enumerate() {
            cells[at % count].engines.push(spec.clone());
        }
        cells
    }
}

impl Backend {
    /// Returns the engine specification of this backend server, or `None` if it has no role.
    pub fn engine_spec(&self) -> Option<engines::Spec> {
        Some(engines::Spec {
            address: engines::Address {
                name: self.name.clone(),
                addr: self.addr.clone(),
            },
            role: self.role?,
            slots: self.slots,
            prefill_tokens_s: self.prefill_tokens_s,
            link_mb_s: self.link_mb_s,
            draining: self.draining,
        })
    }
}

impl Service {
    /// Returns how long a request of this class may wait for its first token. For class `patient`
    /// this is the age limit instead of the latency target.
    pub fn first_token_target(&self, class: queue::Class) -> time::Duration {
        match class {
            queue::Class::Patient => time::Duration::from_millis(self.patient_age_ms),
            _ => time::Duration::from_millis(self.first_token_ms),
        }
    }
}

/// A cell: the engines of a pool that one host, the steward of the cell, schedules together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellSpec {
    /// The cell's name; a hash of it chooses the steward.
    pub name: ids::Name,
    /// Its engines.
    pub engines: Vec<engines::Spec>,
}

/// Maximum number of engines in one cell.
pub const MAX_ENGINES_PER_CELL: usize = 32;

/// Returns the name of a pool's cell with the number `shard`.
pub fn cell_name(workspace: &str, pool: &str, shard: usize) -> String {
    format!("{workspace}/{pool}/{shard}")
}

fn default_share() -> u32 {
    1
}

fn default_version() -> ids::Name {
    "1".into()
}

fn default_minimum() -> u32 {
    1
}

fn default_repeatable() -> bool {
    true
}

fn default_first_token() -> u64 {
    1_300
}

fn default_per_token() -> u64 {
    33
}

fn default_patient_age() -> u64 {
    60_000
}

fn default_timeout() -> u64 {
    2_000
}

fn default_slots() -> u32 {
    20
}

fn default_prefill_rate() -> u32 {
    20_000
}

fn default_link() -> u32 {
    4_000
}

fn default_fencing() -> bool {
    true
}
