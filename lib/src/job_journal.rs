//! Patient work that was accepted without a caller waiting.
//!
//! Submitted requests are kept in journal objects of the platform, many to an object. An object has
//! one owner; when the owner is gone another host takes it over by a conditional write. A request is
//! accepted only once its object is written.

use std::collections;
use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::queue;
use crate::refusal;

/// Entries kept in one object.
pub const MAX_ENTRIES: usize = 64;
/// Bytes kept in one object, below the platform's limit of one megabyte.
pub const MAX_BYTES: usize = 700_000;
/// How long a finished answer is kept for its caller.
pub const FINAL_ENTRY_RETENTION: time::Duration = time::Duration::from_secs(3_600);

/// What was submitted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// The workspace that pays.
    pub workspace: ids::Name,
    /// The service to ask.
    pub service: ids::Name,
    /// The prompt.
    pub prompt: String,
    /// Tokens wanted.
    pub max_tokens: u32,
    /// How urgent it is.
    pub class: queue::Class,
    /// Whether it may be run again after a crash.
    pub repeatable: bool,
}

/// How far a job is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum Progress {
    /// It waits.
    Waiting,
    /// A non-repeatable job may have been dispatched.
    Dispatched,
    /// Its answer is complete.
    Done {
        /// The answer.
        text: String,
        /// Tokens generated.
        tokens: u32,
    },
    /// It ended without an answer.
    Failed {
        /// Why.
        refusal: refusal::Refusal,
    },
    /// The answer was fetched and dropped.
    Fetched,
}

impl Progress {
    /// Returns whether nothing is left to run.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Waiting | Self::Dispatched)
    }
}

/// A job with its progress.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// What was submitted.
    pub job: Job,
    /// How far it is.
    pub progress: Progress,
    /// When the progress changed, in Unix time.
    pub changed: time::Duration,
}

/// One journal object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Journal {
    /// The host run that works on the entries.
    pub owner: ids::HostId,
    /// The entries by job id.
    pub entries: collections::BTreeMap<String, Entry>,
}

impl Journal {
    /// Makes an empty journal.
    pub fn new(owner: ids::HostId) -> Self {
        Self {
            owner,
            entries: collections::BTreeMap::new(),
        }
    }

    /// Returns whether another entry of this many bytes fits.
    pub fn fits(&self, bytes: usize) -> bool {
        let used: usize = self.entries.values().map(Entry::size).sum();
        self.entries.len() < MAX_ENTRIES && used + bytes <= MAX_BYTES
    }

    /// Takes the journal over from an owner that is gone and returns the jobs to run. A
    /// non-repeatable job that may have been dispatched is concluded as unknown.
    pub fn take_over(&mut self, owner: ids::HostId, unix: time::Duration) -> Vec<String> {
        self.owner = owner;
        let mut to_run = Vec::new();
        for (id, entry) in &mut self.entries {
            match entry.progress {
                Progress::Waiting => to_run.push(id.clone()),
                Progress::Dispatched if entry.job.repeatable => to_run.push(id.clone()),
                Progress::Dispatched => {
                    let refusal =
                        refusal::Refusal::outcome_unknown("the host that ran the job is gone");
                    entry.progress = Progress::Failed { refusal };
                    entry.changed = unix;
                }
                _ => {}
            }
        }
        to_run
    }

    /// Drops entries whose time is over. Returns whether none is left.
    pub fn remove_expired(&mut self, unix: time::Duration) -> bool {
        self.entries.retain(|_, entry| {
            let old = unix.saturating_sub(entry.changed) >= FINAL_ENTRY_RETENTION;
            !(entry.progress.is_final() && old)
        });
        self.entries.is_empty()
    }
}

impl Entry {
    /// Returns the bytes that count against the object's limit.
    pub fn size(&self) -> usize {
        let answer = match &self.progress {
            Progress::Done { text, .. } => text.len(),
            _ => 0,
        };
        // The answer's share is reserved from the start, so that it fits when it comes.
        let reserved = self.job.max_tokens as usize * RESERVED_BYTES_PER_TOKEN;
        self.job.prompt.len() + answer.max(reserved)
    }
}

const RESERVED_BYTES_PER_TOKEN: usize = 8;
