//! Journals of submitted jobs.
//!
//! A job is a request that is accepted without a caller waiting for the answer. Jobs are stored in
//! journal objects in the platform, many to an object. Each object has one owner host, which runs
//! its jobs. When the owner is gone, another host takes the object over by a conditional write. A
//! job is accepted only once its object is written.

use std::collections;
use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::queue;
use crate::refusal;

/// Maximum number of entries in one journal object.
pub const MAX_ENTRIES: usize = 64;
/// Maximum size of the entries in one journal object, in bytes as counted by [`Entry::size`]. It is
/// below the platform's limit of one megabyte per object.
pub const MAX_BYTES: usize = 700_000;
/// How long the entry of a job that has ended is kept, so that the caller can fetch the answer.
pub const FINAL_ENTRY_RETENTION: time::Duration = time::Duration::from_secs(3_600);

/// A job as it was submitted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// The workspace of the caller.
    pub workspace: ids::Name,
    /// The name of the service that runs it.
    pub service: ids::Name,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Its priority class.
    pub class: queue::Class,
    /// Whether it may run again when it is unknown whether it ran before, such as after a crash.
    pub repeatable: bool,
}

/// How far a job has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum Progress {
    /// It waits to be run. A repeatable job stays in this state while it runs.
    Waiting,
    /// It may have been dispatched. This is written before a non-repeatable job is dispatched.
    Dispatched,
    /// Its answer is complete.
    Done {
        /// The answer.
        text: String,
        /// Number of tokens generated.
        tokens: u32,
    },
    /// It ended without an answer.
    Failed {
        /// Why, and whether it ran.
        refusal: refusal::Refusal,
    },
    /// The caller has fetched the answer, and its text was dropped.
    Fetched,
}

impl Progress {
    /// Returns whether the job has ended.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Waiting | Self::Dispatched)
    }
}

/// A job with its progress.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The job as it was submitted.
    pub job: Job,
    /// How far the job has come.
    pub progress: Progress,
    /// When the progress last changed, as time since the Unix epoch.
    pub changed: time::Duration,
}

/// The content of one journal object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Journal {
    /// The host run that runs the jobs.
    pub owner: ids::HostId,
    /// The entries by job id.
    pub entries: collections::BTreeMap<String, Entry>,
}

impl Journal {
    /// Creates an empty journal.
    pub fn new(owner: ids::HostId) -> Self {
        Self {
            owner,
            entries: collections::BTreeMap::new(),
        }
    }

    /// Returns whether another entry of this size, in bytes, fits into the object.
    pub fn fits(&self, bytes: usize) -> bool {
        let used: usize = self.entries.values().map(Entry::size).sum();
        self.entries.len() < MAX_ENTRIES && used + bytes <= MAX_BYTES
    }

    /// Takes the journal over from an owner that is gone and returns the ids of the jobs to run. A
    /// non-repeatable job that may have been dispatched fails with an unknown outcome. `unix_time`
    /// is the time since the Unix epoch.
    pub fn take_over(&mut self, owner: ids::HostId, unix_time: time::Duration) -> Vec<String> {
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
                    entry.changed = unix_time;
                }
                _ => {}
            }
        }
        to_run
    }

    /// Drops the entries of jobs that ended longer than `FINAL_ENTRY_RETENTION` ago. Returns
    /// whether no entry is left.
    pub fn remove_expired(&mut self, unix_time: time::Duration) -> bool {
        self.entries.retain(|_, entry| {
            let old = unix_time.saturating_sub(entry.changed) >= FINAL_ENTRY_RETENTION;
            !(entry.progress.is_final() && old)
        });
        self.entries.is_empty()
    }
}

impl Entry {
    /// Returns the bytes that the entry counts for against `MAX_BYTES`.
    pub fn size(&self) -> usize {
        let answer = match &self.progress {
            Progress::Done { text, .. } => text.len(),
            _ => 0,
        };
        // Room for the answer is reserved from the start, so that the object can take it when it is
        // complete.
        let reserved = self.job.max_tokens as usize * RESERVED_BYTES_PER_TOKEN;
        self.job.prompt.len() + answer.max(reserved)
    }
}

const RESERVED_BYTES_PER_TOKEN: usize = 8;
