//! The workspaces of a deployment's callers: whose key a request carries, and what the workspace may use.

use std::collections;
use std::sync;

use crate::auth;
use crate::dialect;

/// What a workspace's limit counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unit {
    /// Each request as one.
    Requests,
    /// The tokens of each prompt and the maximum number in its answer.
    Tokens {
        /// What a request without a prompt counts as.
        plain: f64,
    },
}

/// A limit on what all requests of a workspace may use, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// What may be used each second.
    pub per_second: f64,
    /// What may be used at once after a time without requests.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

impl Limit {
    /// Returns what a request uses of the limit.
    pub fn cost(&self, prompt: Option<&dialect::Prompt>) -> f64 {
        match (self.unit, prompt) {
            (Unit::Requests, _) => 1.0,
            (Unit::Tokens { plain }, None) => plain,
            (Unit::Tokens { .. }, Some(prompt)) => {
                f64::from(prompt.tokens) + f64::from(prompt.max_output)
            }
        }
    }
}

/// A workspace: callers that share keys, a priority and a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its name, which servers get in place of the key.
    pub name: sync::Arc<str>,
    /// The priority of its requests in place of that of their route; 0 goes first.
    pub priority: Option<u8>,
    /// What it may use; `None` for any amount.
    pub limit: Option<Limit>,
}

/// A workspace with its keys.
#[derive(Clone, Debug)]
pub struct Definition {
    /// The workspace.
    pub workspace: Workspace,
    /// The keys of its callers.
    pub keys: Vec<String>,
}

/// All workspaces of a configuration. Empty if the deployment has none: its callers carry no keys then.
#[derive(Clone, Debug, Default)]
pub struct Workspaces {
    by_name: collections::BTreeMap<sync::Arc<str>, sync::Arc<Workspace>>,
    by_key: auth::KeyIndex<sync::Arc<Workspace>>,
    /// What each workspace is owed of room that is short, relative to the others.
    weights: Vec<(sync::Arc<str>, f64)>,
}

impl Workspaces {
    /// Indexes workspaces by their names and keys.
    ///
    /// # Errors
    ///
    /// Returns the field that is invalid and its value. Of a key, the error names the workspaces instead.
    pub fn new(definitions: Vec<Definition>) -> Result<Self, String> {
        let mut workspaces = Self::default();
        for Definition { workspace, keys } in definitions {
            check(&workspace)?;
            let workspace = sync::Arc::new(workspace);
            let name = workspace.name.clone();
            for key in keys {
                if key.is_empty() {
                    return Err(format!("workspace {name:?}: a key is empty"));
                }
                if let Some(other) = workspaces.by_key.insert(&key, workspace.clone()) {
                    let other = &other.name;
                    return Err(format!(
                        "workspace {name:?}: a key is also one of {other:?}"
                    ));
                }
            }
            if workspaces.by_name.insert(name.clone(), workspace).is_some() {
                return Err(format!("workspace name {name:?}: used twice"));
            }
        }
        workspaces.weights = weights(workspaces.by_name.values());
        Ok(workspaces)
    }

    /// Returns what each workspace is owed of room that is short, relative to the others: as much as its limit allows
    /// it. One without a limit is owed as much as the one with the highest limit.
    pub fn weights(&self) -> &[(sync::Arc<str>, f64)] {
        &self.weights
    }

    /// Returns whether the deployment has no workspaces.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the workspace with this name.
    pub fn find(&self, name: &str) -> Option<&sync::Arc<Workspace>> {
        self.by_name.get(name)
    }

    /// Returns the workspace that a key belongs to.
    pub fn find_by_key(&self, key: &str) -> Option<&sync::Arc<Workspace>> {
        self.by_key.get(key)
    }

    /// Returns all workspaces.
    pub fn all(&self) -> impl Iterator<Item = &sync::Arc<Workspace>> {
        self.by_name.values()
    }
}

fn weights<'a>(
    workspaces: impl Iterator<Item = &'a sync::Arc<Workspace>> + Clone,
) -> Vec<(sync::Arc<str>, f64)> {
    // Limits that count different things can't be compared.
    let unit = |workspace: &Workspace| {
        let counts_tokens = |limit: Limit| matches!(limit.unit, Unit::Tokens { .. });
        workspace.limit.map(counts_tokens)
    };
    let mut units = workspaces.clone().filter_map(|workspace| unit(workspace));
    let first = units.next();
    if units.any(|unit| Some(unit) != first) {
        return Vec::new();
    }
    let rates = workspaces.clone().filter_map(|workspace| workspace.limit);
    let highest = rates.map(|limit| limit.per_second).fold(0.0, f64::max);
    if highest == 0.0 {
        return Vec::new();
    }
    let weights = workspaces.map(|workspace| {
        let limit = workspace.limit.map_or(highest, |limit| limit.per_second);
        (workspace.name.clone(), limit / highest)
    });
    weights.collect()
}

fn check(workspace: &Workspace) -> Result<(), String> {
    let name = &workspace.name;
    if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(format!(
            "workspace name {name:?}: must be visible ASCII text"
        ));
    }
    let Some(limit) = workspace.limit else {
        return Ok(());
    };
    let plain = match limit.unit {
        Unit::Requests => 1.0,
        Unit::Tokens { plain } => plain,
    };
    let amounts = [
        ("limit a second", limit.per_second),
        ("burst", limit.burst),
        ("tokens of a plain request", plain),
    ];
    for (field, value) in amounts {
        if !value.is_finite() || value < 0.0 {
            return Err(format!(
                "workspace {name:?}: {field} {value}: must be 0 or more"
            ));
        }
    }
    Ok(())
}
