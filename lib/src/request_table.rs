//! The table in which a host keeps the state of the request ids that it minted.
//!
//! The host run that minted an id is the id's home. The home alone decides whether the id may run,
//! so hosts need no agreement on it. Entries are kept for a bounded time and in a bounded number.
//! An id past these bounds is refused as expired, which does not say whether the request ran.

use std::collections;
use std::time;

use crate::ids;
use crate::refusal;

/// Number of ids that a caller is given at once.
pub const IDS_PER_BLOCK: u64 = 16;
/// How long an entry is kept after its last change.
const ENTRY_RETENTION: time::Duration = time::Duration::from_secs(600);
/// Above this number of entries, those of ended requests are dropped before their time, lowest
/// number first.
const MAX_ENTRIES: usize = 200_000;
/// How long after its minting an id may be used for the first time.
const UNUSED_ID_LIFETIME: time::Duration = time::Duration::from_secs(300);

/// The state of a request at its home.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum State {
    /// It waits or runs.
    Running,
    /// Its answer is complete, but was not sent in full or the connection broke.
    Finished,
    /// The last byte of its answer was sent, but the caller has neither closed the connection
    /// cleanly nor confirmed that it has the answer.
    Sent,
    /// The caller is known to have the whole answer.
    Delivered,
    /// It ended without an answer.
    Refused(refusal::Refusal),
}

/// What to do with a request that arrives with an id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// The id is new: run the request.
    Run,
    /// The request is running, or finished but not delivered: send the caller its answer.
    Attach,
    /// The request can neither run nor be answered: send the caller this refusal.
    Final(refusal::Refusal),
}

#[derive(Debug)]
struct Entry {
    state: State,
    changed: time::Duration,
    /// Empty for an id that was fenced before its first use.
    workspace: ids::Name,
    /// Digest of what is asked; zero for an id that was fenced before its first use.
    content: u64,
}

/// Ids that were minted together.
#[derive(Clone, Copy, Debug)]
struct Block {
    /// The highest number in the block.
    last: u64,
    minted_at: time::Duration,
}

/// The ids minted by this host run, with the state of those that are in use.
#[derive(Debug)]
pub struct Table {
    home: ids::HostId,
    /// The highest number minted so far.
    last_minted: u64,
    /// Numbers up to this one are too old to be used for the first time.
    expired_up_to: u64,
    /// The blocks above `expired_up_to`, oldest first.
    blocks: collections::VecDeque<Block>,
    /// The ids in use, by number.
    entries: collections::BTreeMap<u64, Entry>,
    /// The number of running requests of each workspace.
    running: collections::HashMap<ids::Name, usize>,
}

impl Table {
    /// Creates the empty table of a host run.
    pub fn new(home: ids::HostId) -> Self {
        Self {
            home,
            last_minted: 0,
            expired_up_to: 0,
            blocks: collections::VecDeque::new(),
            entries: collections::BTreeMap::new(),
            running: collections::HashMap::new(),
        }
    }

    /// Returns the host run that mints the ids.
    pub fn home(&self) -> &ids::HostId {
        &self.home
    }

    /// Mints a block of `count` ids that name the given backup host.
    pub fn mint(
        &mut self,
        backup: Option<&ids::HostId>,
        count: u64,
        now: time::Duration,
    ) -> Vec<ids::RequestId> {
        let first = self.last_minted + 1;
        self.last_minted += count;
        self.blocks.push_back(Block {
            last: self.last_minted,
            minted_at: now,
        });
        let id = |number| ids::RequestId {
            home: self.home.clone(),
            backup: backup.cloned(),
            number,
        };
        (first..=self.last_minted).map(id).collect()
    }

    /// Decides what to do with a request that arrives with this id. A new id is entered as running.
    ///
    /// `content` is a digest of what is asked, so that an id can't be used for two different
    /// requests. `resumes` says that the caller names the offset from which it needs the rest of
    /// the answer.
    pub fn register(
        &mut self,
        id: &ids::RequestId,
        workspace: &ids::Name,
        content: u64,
        resumes: bool,
        now: time::Duration,
    ) -> Arrival {
        self.remove_expired(now);
        if id.home != self.home || id.number > self.last_minted || id.number == 0 {
            return Arrival::Final(not_minted(id));
        }
        if let Some(entry) = self.entries.get(&id.number) {
            return entry.arrival(id, workspace, content, resumes);
        }
        if id.number <= self.expired_up_to {
            return Arrival::Final(expired(id));
        }
        let entry = Entry {
            state: State::Running,
            changed: now,
            workspace: workspace.clone(),
            content,
        };
        *self.running.entry(workspace.clone()).or_default() += 1;
        self.entries.insert(id.number, entry);
        Arrival::Run
    }

    /// Sets the state of a request. Does nothing if its id has no entry.
    pub fn set_state(&mut self, number: u64, state: State, now: time::Duration) {
        let Some(entry) = self.entries.get_mut(&number) else {
            return;
        };
        let ends = entry.state == State::Running && state != State::Running;
        entry.state = state;
        entry.changed = now;
        if ends && let Some(running) = self.running.get_mut(&entry.workspace) {
            *running -= 1;
        }
    }

    /// Returns the state of the id with this number, if it has an entry.
    pub fn state(&self, number: u64) -> Option<&State> {
        self.entries.get(&number).map(|entry| &entry.state)
    }

    /// Returns the state of the id with this number as callers of a workspace may see it: an id of another
    /// workspace looks like one without an entry.
    pub fn state_in(&self, number: u64, workspace: &ids::Name) -> Option<&State> {
        let entry = self.entries.get(&number)?;
        entry.is_visible_to(workspace).then_some(&entry.state)
    }

    /// Makes sure that an id that has not been used yet never runs. Returns false if the id has
    /// been used or has another home.
    pub fn fence(&mut self, id: &ids::RequestId, now: time::Duration) -> bool {
        if id.home != self.home || self.entries.contains_key(&id.number) {
            return false;
        }
        let refused = not_run(
            refusal::Code::IdExpired,
            "the request id was given up".into(),
        );
        let entry = Entry {
            state: State::Refused(refused),
            changed: now,
            workspace: "".into(),
            content: 0,
        };
        self.entries.insert(id.number, entry);
        true
    }

    /// Returns the number of ids with an entry.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no id has an entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.values().sum()
    }

    /// Returns the number of running requests of a workspace.
    pub fn running_in(&self, workspace: &str) -> usize {
        self.running.get(workspace).copied().unwrap_or(0)
    }

    /// Expires unused ids that are too old, then drops the entries of expired ids that ended long
    /// ago or, oldest number first, of those beyond the maximum. Stops at the first entry that must
    /// stay.
    fn remove_expired(&mut self, now: time::Duration) {
        while let Some(block) = self.blocks.front() {
            if now.saturating_sub(block.minted_at) < UNUSED_ID_LIFETIME {
                break;
            }
            self.expired_up_to = block.last;
            self.blocks.pop_front();
        }
        while let Some((number, entry)) = self.entries.first_key_value() {
            let old = now.saturating_sub(entry.changed) >= ENTRY_RETENTION;
            let full = self.entries.len() > MAX_ENTRIES;
            if *number > self.expired_up_to || entry.state == State::Running || !(old || full) {
                break;
            }
            self.entries.pop_first();
        }
    }
}

impl Entry {
    /// Returns whether callers of a workspace may learn of this entry. An id that was fenced before its first
    /// use belongs to none.
    fn is_visible_to(&self, workspace: &ids::Name) -> bool {
        self.workspace == *workspace || self.workspace.is_empty()
    }

    /// Decides what to do with another request with the id of this entry.
    fn arrival(
        &self,
        id: &ids::RequestId,
        workspace: &ids::Name,
        content: u64,
        resumes: bool,
    ) -> Arrival {
        if !self.is_visible_to(workspace) {
            return Arrival::Final(not_minted(id));
        }
        if self.content != content && self.content != 0 {
            let message = format!("request id {id} was used for other content");
            let code = refusal::Code::Conflict;
            return Arrival::Final(not_run(code, message));
        }
        match &self.state {
            State::Running | State::Finished => Arrival::Attach,
            State::Sent if resumes => Arrival::Attach,
            State::Sent | State::Delivered => Arrival::Final(refusal::Refusal::already_answered()),
            State::Refused(refusal) => Arrival::Final(refusal.clone()),
        }
    }
}

/// Refuses an id that doesn't exist here, or that callers of the workspace must not know of.
fn not_minted(id: &ids::RequestId) -> refusal::Refusal {
    let message = format!("request id {id} was not minted by this host");
    not_run(refusal::Code::BadRequest, message)
}

/// Refuses a request that did not run.
fn not_run(code: refusal::Code, message: String) -> refusal::Refusal {
    refusal::Refusal::not_run(code, message)
}

fn expired(id: &ids::RequestId) -> refusal::Refusal {
    let message = format!("request id {id} is too old; ask for a new one");
    refusal::Refusal::with_unknown_outcome(refusal::Code::IdExpired, message)
}
