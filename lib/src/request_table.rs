//! The table of request ids at their home.
//!
//! The home alone decides whether an id may run, so nothing has to be agreed on. The table is
//! bounded in time and size; past the bound the answer is `id expired`, which claims nothing.

use std::collections;
use std::time;

use crate::ids;
use crate::refusal;

/// Ids handed out in one block.
pub const IDS_PER_BLOCK: u64 = 16;
const RETAINED_FOR: time::Duration = time::Duration::from_secs(600);
const MAX_RETAINED: usize = 200_000;
const MINT_VALID_FOR: time::Duration = time::Duration::from_secs(300);

/// What became of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum State {
    /// It waits or runs.
    Running,
    /// Its answer is complete and was not sent whole, or the connection broke.
    Finished,
    /// Its last byte went out; the caller has neither closed in order nor confirmed.
    Sent,
    /// The caller has the whole answer.
    Delivered,
    /// It ended without an answer.
    Refused(refusal::Refusal),
}

/// What to do with a request that arrives with an id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Arrival {
    /// The id is new: run it.
    Run,
    /// The id is running or finished but not delivered: join its answer.
    Attach,
    /// A final answer is known already.
    Final(refusal::Refusal),
}

#[derive(Debug)]
struct Entry {
    state: State,
    changed: time::Duration,
    workspace: ids::Name,
    content: u64,
}

#[derive(Clone, Copy, Debug)]
struct Block {
    last: u64,
    minted: time::Duration,
}

/// The ids minted by this host run.
#[derive(Debug)]
pub struct Table {
    home: ids::HostId,
    minted: u64,
    /// Numbers up to this one are too old to be used for the first time.
    floor: u64,
    blocks: collections::VecDeque<Block>,
    entries: collections::BTreeMap<u64, Entry>,
    /// Running requests of each workspace.
    running: collections::HashMap<ids::Name, usize>,
}

impl Table {
    /// Makes the table of a host run.
    pub fn new(home: ids::HostId) -> Self {
        Self {
            home,
            minted: 0,
            floor: 0,
            blocks: collections::VecDeque::new(),
            entries: collections::BTreeMap::new(),
            running: collections::HashMap::new(),
        }
    }

    /// Returns the host run whose ids these are.
    pub fn home(&self) -> &ids::HostId {
        &self.home
    }

    /// Mints a block of ids that name the given buddy.
    pub fn mint(
        &mut self,
        backup: Option<&ids::HostId>,
        count: u64,
        now: time::Duration,
    ) -> Vec<ids::RequestId> {
        let first = self.minted + 1;
        self.minted += count;
        self.blocks.push_back(Block {
            last: self.minted,
            minted: now,
        });
        let id = |number| ids::RequestId {
            home: self.home.clone(),
            backup: backup.cloned(),
            number,
        };
        (first..=self.minted).map(id).collect()
    }

    /// Decides on a request with this id. A new id is entered as running.
    ///
    /// `content` is the digest of what is asked, so that an id can't be used for two questions.
    /// `resumes` says that the caller names the offset from which it needs the rest.
    pub fn register(
        &mut self,
        id: &ids::RequestId,
        workspace: &ids::Name,
        content: u64,
        resumes: bool,
        now: time::Duration,
    ) -> Arrival {
        self.expire(now);
        if id.home != self.home || id.number > self.minted || id.number == 0 {
            let message = format!("request id {id} was not minted by this host");
            return Arrival::Final(not_run(refusal::Code::BadRequest, message));
        }
        if let Some(entry) = self.entries.get(&id.number) {
            return entry.arrival(id, workspace, content, resumes);
        }
        if id.number <= self.floor {
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

    /// Notes that the request's state changed.
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

    /// Returns the state of an id of this host, if it is known.
    pub fn state(&self, number: u64) -> Option<&State> {
        self.entries.get(&number).map(|entry| &entry.state)
    }

    /// Makes sure that an id which has not been used never runs. Returns whether that is so.
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

    /// Returns how many ids are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no id is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.running.values().sum()
    }

    /// Returns how many requests of a workspace run.
    pub fn running_in(&self, workspace: &str) -> usize {
        self.running.get(workspace).copied().unwrap_or(0)
    }

    fn expire(&mut self, now: time::Duration) {
        while let Some(block) = self.blocks.front() {
            if now.saturating_sub(block.minted) < MINT_VALID_FOR {
                break;
            }
            self.floor = block.last;
            self.blocks.pop_front();
        }
        while let Some((number, entry)) = self.entries.first_key_value() {
            let old = now.saturating_sub(entry.changed) >= RETAINED_FOR;
            let full = self.entries.len() > MAX_RETAINED;
            if *number > self.floor || entry.state == State::Running || !(old || full) {
                break;
            }
            self.entries.pop_first();
        }
    }
}

impl Entry {
    fn arrival(
        &self,
        id: &ids::RequestId,
        workspace: &ids::Name,
        content: u64,
        resumes: bool,
    ) -> Arrival {
        if self.workspace != *workspace && !self.workspace.is_empty() {
            let message = format!("request id {id} belongs to another workspace");
            return Arrival::Final(not_run(refusal::Code::BadRequest, message));
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

fn not_run(code: refusal::Code, message: String) -> refusal::Refusal {
    refusal::Refusal::not_run(code, message)
}

fn expired(id: &ids::RequestId) -> refusal::Refusal {
    let message = format!("request id {id} is too old; ask for a new one");
    refusal::Refusal::with_unknown_outcome(refusal::Code::IdExpired, message)
}
