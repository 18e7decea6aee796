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
    /// The weight of its fair share.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Limits on its requests.
    #[serde(default)]
    pub limits: Limits,
    /// Its callers' keys.
    #[serde(default)]
    pub keys: Vec<auth::HashedKey>,
    /// Its sites.
    #[serde(default)]
    pub sites: Vec<Site>,
    /// Its names for priorities.
    #[serde(default)]
    pub priorities: Vec<Priority>,
    /// Its engine pools.
    #[serde(default)]
    pub pools: Vec<Pool>,
    /// Its services.
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
    /// Longest prompt in tokens.
    pub max_prompt_tokens: u32,
    /// Most tokens generated for one request.
    pub max_output_tokens: u32,
    /// Most requests that run or wait at one host.
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

/// A name that callers give as priority.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// The name that callers use.
    pub name: ids::Name,
    /// The class it stands for.
    pub class: queue::Class,
}

/// Engines that serve one model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The pool's name.
    pub name: ids::Name,
    /// The model.
    pub model: ids::Name,
    /// The model's version.
    #[serde(default = "default_version")]
    pub version: ids::Name,
    /// Adapters to load.
    #[serde(default)]
    pub adapters: Vec<ids::Name>,
    /// Whether engines may change between prefill and decode.
    #[serde(default)]
    pub role_changes: bool,
    /// Fewest engines in each role.
    #[serde(default = "default_minimum")]
    pub min_per_role: u32,
}

/// What callers ask for by name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub name: ids::Name,
    /// Model or plain.
    pub kind: Kind,
    /// The pool of a model service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<ids::Name>,
    /// Whether a request may run more than once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Target for the first token in milliseconds.
    #[serde(default = "default_first_token")]
    pub first_token_ms: u64,
    /// Target between tokens in milliseconds.
    #[serde(default = "default_per_token")]
    pub per_token_ms: u64,
    /// How long patient work may wait, in milliseconds.
    #[serde(default = "default_patient_age")]
    pub patient_age_ms: u64,
    /// Time limit of a plain call in milliseconds.
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
    /// IP address and port.
    pub addr: ids::Name,
    /// Its availability zone.
    pub zone: ids::Name,
    /// The pool that it belongs to, for an engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<ids::Name>,
    /// The service that it serves, for a plain server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ids::Name>,
    /// The role that an engine starts with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<engines::Role>,
    /// Requests that an engine's memory holds while decoding.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Prompt tokens computed per second.
    #[serde(default = "default_prefill_rate")]
    pub prefill_tokens_s: u32,
    /// Rate of the transfer link in megabytes per second.
    #[serde(default = "default_link")]
    pub link_mb_s: u32,
    /// Whether the server refuses orders with an old fencing number.
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

    /// Returns the class for a caller's priority: a configured name, else a class name.
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

    /// Returns the cells of a pool, each with the engines in it.
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
        // Dealing role by role gives each cell its part of both roles.
        let of_role = |role| specs.iter().filter(move |spec| spec.role == role);
        let dealt = of_role(engines::Role::Prefill).chain(of_role(engines::Role::Decode));
        for (at, spec) in dealt.enumerate() {
            cells[at % count].engines.push(spec.clone());
        }
        cells
    }
}

impl Backend {
    /// Returns the engine that this backend server is, if it is one.
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
    /// Returns how long a request of this class may wait for its first token.
    pub fn first_token_target(&self, class: queue::Class) -> time::Duration {
        match class {
            queue::Class::Patient => time::Duration::from_millis(self.patient_age_ms),
            _ => time::Duration::from_millis(self.first_token_ms),
        }
    }
}

/// Engines that one steward schedules together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CellSpec {
    /// The cell's name, which chooses its steward.
    pub name: ids::Name,
    /// Its engines.
    pub engines: Vec<engines::Spec>,
}

/// Most engines in one cell.
pub const MAX_ENGINES_PER_CELL: usize = 32;

/// Returns the name of a cell.
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
