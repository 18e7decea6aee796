//! The waiting line of a cell: classes, fair shares between workspaces, and a floor for patient
//! work.

use std::collections;
use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// How urgent a request is.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Someone waits in front of a screen.
    Urgent,
    /// The default.
    #[default]
    Normal,
    /// May wait, up to an age limit.
    Patient,
}

impl Class {
    /// Parses a class by its configured name.
    pub fn parse(s: &str) -> Option<Self> {
        match s {
            "urgent" => Some(Self::Urgent),
            "normal" => Some(Self::Normal),
            "patient" => Some(Self::Patient),
            _ => None,
        }
    }

    /// Returns the configured name of the class.
    pub fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Patient => "patient",
        }
    }
}

const PATIENT_EVERY: u32 = 10;
const AGED_SHARE: f64 = 0.5;

/// What the queue needs to know of an entry.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Identifies the entry.
    pub ticket: u64,
    /// The entry's class.
    pub class: Class,
    /// The workspace that pays for it.
    pub workspace: ids::Name,
    /// The workspace's weight; a workspace of weight two gets twice the work of one of weight one.
    pub share: u32,
    /// When the entry came.
    pub since: time::Duration,
    /// How long patient work may be passed over.
    pub age_limit: time::Duration,
}

/// A queue of tickets.
#[derive(Debug, Default)]
pub struct Queue {
    lines: collections::BTreeMap<Class, Line>,
    since_patient: u32,
}

#[derive(Debug, Default)]
struct Line {
    workspaces: collections::BTreeMap<ids::Name, Waiting>,
    virtual_time: f64,
    len: usize,
}

#[derive(Debug, Default)]
struct Waiting {
    keys: collections::VecDeque<Entry>,
    finish: f64,
}

impl Queue {
    /// Adds an entry at the end of its workspace's line.
    pub fn push(&mut self, key: Entry) {
        let line = self.lines.entry(key.class).or_default();
        let waiting = line.workspaces.entry(key.workspace.clone()).or_default();
        if waiting.keys.is_empty() {
            waiting.finish = waiting.finish.max(line.virtual_time);
        }
        waiting.keys.push_back(key);
        line.len += 1;
    }

    /// Removes an entry. Returns whether it was waiting.
    pub fn remove(&mut self, class: Class, ticket: u64) -> bool {
        let Some(line) = self.lines.get_mut(&class) else {
            return false;
        };
        for waiting in line.workspaces.values_mut() {
            let before = waiting.keys.len();
            waiting.keys.retain(|key| key.ticket != ticket);
            if waiting.keys.len() < before {
                line.len -= 1;
                line.drop_idle();
                return true;
            }
        }
        false
    }

    /// Returns the tickets in the order in which they should be tried now, at most `limit`.
    ///
    /// Aged patient work comes first, then one patient entry after every nine others, then the
    /// classes in order, with fair shares between the workspaces of a class.
    pub fn order(&self, now: time::Duration, limit: usize) -> Vec<u64> {
        let mut tickets = Vec::new();
        if let Some(line) = self.lines.get(&Class::Patient) {
            let floor = self.since_patient + 1 >= PATIENT_EVERY;
            let first = line.fair_order(1).into_iter();
            let due = first.filter(|key| floor || is_aged(key, now));
            tickets.extend(due.map(|key| key.ticket));
        }
        for line in self.lines.values() {
            for key in line.fair_order(limit) {
                if tickets.len() >= limit {
                    return tickets;
                }
                if !tickets.contains(&key.ticket) {
                    tickets.push(key.ticket);
                }
            }
        }
        tickets
    }

    /// Takes an entry out because it was granted, and charges its workspace.
    pub fn remove_granted(&mut self, class: Class, ticket: u64) {
        match class {
            Class::Patient => self.since_patient = 0,
            _ => self.since_patient = self.since_patient.saturating_add(1),
        }
        let Some(line) = self.lines.get_mut(&class) else {
            return;
        };
        for waiting in line.workspaces.values_mut() {
            let Some(at) = waiting.keys.iter().position(|key| key.ticket == ticket) else {
                continue;
            };
            let share = waiting.keys[at].share.max(1);
            waiting.keys.remove(at);
            line.len -= 1;
            line.virtual_time = line.virtual_time.max(waiting.finish);
            waiting.finish += 1.0 / f64::from(share);
            line.drop_idle();
            return;
        }
    }

    /// Returns how many entries wait in the class and in those before it.
    pub fn ahead_of(&self, class: Class) -> usize {
        let up_to = self.lines.range(..=class);
        up_to.map(|(_, line)| line.len).sum()
    }

    /// Returns how many entries wait in the class.
    pub fn len_of(&self, class: Class) -> usize {
        self.lines.get(&class).map_or(0, |line| line.len)
    }

    /// Returns how many entries wait.
    pub fn len(&self) -> usize {
        self.lines.values().map(|line| line.len).sum()
    }

    /// Returns whether no entry waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Line {
    /// Merges the workspaces' lines by the virtual finish time that each entry would get.
    fn fair_order(&self, limit: usize) -> Vec<&Entry> {
        let mut candidates = Vec::new();
        for waiting in self.workspaces.values() {
            let mut finish = waiting.finish.max(self.virtual_time);
            for key in waiting.keys.iter().take(limit) {
                candidates.push((finish, key));
                finish += 1.0 / f64::from(key.share.max(1));
            }
        }
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.ticket.cmp(&b.1.ticket)));
        candidates.truncate(limit);
        candidates.into_iter().map(|(_, key)| key).collect()
    }

    /// Forgets workspaces that wait for nothing and owe nothing.
    fn drop_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.workspaces
            .retain(|_, waiting| !waiting.keys.is_empty() || waiting.finish > virtual_time);
    }
}

fn is_aged(key: &Entry, now: time::Duration) -> bool {
    now.saturating_sub(key.since) >= key.age_limit.mul_f64(AGED_SHARE)
}
