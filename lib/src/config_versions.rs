//! The configuration documents in force at a host.
//!
//! Each workspace's document carries a generation number of our own. A higher generation replaces a
//! lower one and nothing else does, whatever the platform shows: a restored platform can't take a
//! host back.

use std::collections;
use std::sync;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3;

use crate::config;
use crate::ids;

/// A document with its place in history, as stored in the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stored {
    /// The generation, one higher than that of the document it replaced.
    pub generation: u64,
    /// Identifies the change.
    pub change: String,
    /// The operator who made the change.
    pub author: String,
    /// When it was made, in Unix milliseconds.
    pub unix_ms: u64,
    /// The latest changes, this one included, newest first.
    pub recent: Vec<Change>,
    /// The document.
    pub document: config::Workspace,
}

/// A change in the history of a workspace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The generation it made.
    pub generation: u64,
    /// Identifies the change.
    pub change: String,
    /// Who made it.
    pub author: String,
    /// When, in Unix milliseconds.
    pub unix_ms: u64,
}

/// Changes remembered inside a stored document.
pub const MAX_RECENT_CHANGES: usize = 64;

impl Stored {
    /// Makes the successor of a stored document.
    pub fn successor(
        previous: Option<&Self>,
        document: config::Workspace,
        change: &str,
        author: &str,
        unix_ms: u64,
    ) -> Self {
        let generation = previous.map_or(0, |stored| stored.generation) + 1;
        let own = Change {
            generation,
            change: change.to_owned(),
            author: author.to_owned(),
            unix_ms,
        };
        let earlier = previous.map_or(&[][..], |stored| &stored.recent);
        let recent = std::iter::once(own).chain(earlier.iter().cloned());
        Self {
            generation,
            change: change.to_owned(),
            author: author.to_owned(),
            unix_ms,
            recent: recent.take(MAX_RECENT_CHANGES).collect(),
            document,
        }
    }

    /// Returns whether a change is in the history.
    pub fn contains_change(&self, change: &str) -> bool {
        self.recent.iter().any(|known| known.change == change)
    }
}

/// The documents in force.
#[derive(Clone, Debug, Default)]
pub struct ActiveDocuments {
    documents: collections::BTreeMap<ids::Name, sync::Arc<Stored>>,
}

impl ActiveDocuments {
    /// Puts a document into force if its generation is higher. Returns whether it did.
    pub fn replace_if_newer(&mut self, stored: Stored) -> bool {
        let name = stored.document.workspace.clone();
        let newer = self
            .documents
            .get(&name)
            .is_none_or(|known| stored.generation > known.generation);
        if newer {
            self.documents.insert(name, sync::Arc::new(stored));
        }
        newer
    }

    /// Returns a workspace's document.
    pub fn get(&self, workspace: &str) -> Option<&sync::Arc<Stored>> {
        self.documents.get(workspace)
    }

    /// Returns all documents.
    pub fn iter(&self) -> impl Iterator<Item = &sync::Arc<Stored>> {
        self.documents.values()
    }

    /// Returns whether no document is in force.
    pub fn is_empty(&self) -> bool {
        self.documents.is_empty()
    }

    /// Returns a digest by which two hosts see whether they have the same documents.
    pub fn digest(&self) -> u64 {
        let mut hasher = xxh3::Xxh3::new();
        for (name, stored) in &self.documents {
            hasher.update(name.as_bytes());
            hasher.update(&stored.generation.to_le_bytes());
        }
        hasher.digest()
    }

    /// Finds the workspace whose key was presented.
    pub fn find_by_key(&self, key: &str) -> Option<&sync::Arc<Stored>> {
        self.documents
            .values()
            .find(|stored| stored.document.keys.iter().any(|known| known.matches(key)))
    }
}

/// Returns the lines by which two documents differ, with `-` and `+`.
pub fn unified_diff(before: &str, after: &str) -> String {
    similar::TextDiff::from_lines(before, after)
        .unified_diff()
        .context_radius(2)
        .header("in force", "proposed")
        .to_string()
}
