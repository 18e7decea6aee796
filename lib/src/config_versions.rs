//! Versions of configuration documents, and those of them that are active at a host.
//!
//! Each version of a workspace's document has a generation number, which walnuthaven assigns
//! independently of the platform's object versions. A host replaces its document only by one of a
//! higher generation, so a platform that was restored from a backup can't make it go back to an
//! older one.

use std::collections;
use std::sync;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3;

use crate::config;
use crate::ids;

/// One version of a document with its recent history, as stored in the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stored {
    /// The generation, one higher than that of the document it replaced.
    pub generation: u64,
    /// The id of the change that made this version.
    pub change: String,
    /// The operator who made the change.
    pub author: String,
    /// When the change was made, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The latest changes, this one included, newest first.
    pub recent: Vec<Change>,
    /// The document.
    pub document: config::Workspace,
}

/// A change in the history of a workspace's document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The generation of the version that it made.
    pub generation: u64,
    /// The id of the change.
    pub change: String,
    /// The operator who made it.
    pub author: String,
    /// When it was made, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// Maximum number of changes remembered in a stored version.
pub const MAX_RECENT_CHANGES: usize = 64;

impl Stored {
    /// Makes the version that follows `previous`, or the first one.
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

    /// Returns whether the recent history contains the change with this id.
    pub fn contains_change(&self, change: &str) -> bool {
        self.recent.iter().any(|known| known.change == change)
    }
}

/// The active document versions of a host, one for each workspace.
#[derive(Clone, Debug, Default)]
pub struct ActiveDocuments {
    documents: collections::BTreeMap<ids::Name, sync::Arc<Stored>>,
}

impl ActiveDocuments {
    /// Makes a version the active one of its workspace if there is none or its generation is higher
    /// than that of the active one. Returns whether it did.
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

    /// Returns the active version of a workspace's document.
    pub fn get(&self, workspace: &str) -> Option<&sync::Arc<Stored>> {
        self.documents.get(workspace)
    }

    /// Returns the active versions of all workspaces.
    pub fn iter(&self) -> impl Iterator<Item = &sync::Arc<Stored>> {
        self.documents.values()
    }

    /// Returns whether no document is active.
    pub fn is_empty(&self) -> bool {
        self.documents.is_empty()
    }

    /// Returns a digest of the active generations, by which two hosts compare their documents.
    pub fn digest(&self) -> u64 {
        let mut hasher = xxh3::Xxh3::new();
        for (name, stored) in &self.documents {
            hasher.update(name.as_bytes());
            hasher.update(&stored.generation.to_le_bytes());
        }
        hasher.digest()
    }

    /// Returns the active version of the workspace that the given caller's key belongs to.
    pub fn find_by_key(&self, key: &str) -> Option<&sync::Arc<Stored>> {
        self.documents
            .values()
            .find(|stored| stored.document.keys.iter().any(|known| known.matches(key)))
    }
}

/// Returns the difference between two texts in the unified diff format.
pub fn unified_diff(before: &str, after: &str) -> String {
    similar::TextDiff::from_lines(before, after)
        .unified_diff()
        .context_radius(2)
        .header("in force", "proposed")
        .to_string()
}
