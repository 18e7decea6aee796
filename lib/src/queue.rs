//! The queue of a cell: priority classes, fair shares between workspaces, and a minimum share of
//! the grants for patient requests.

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
    /// An interactive user waits for the answer.
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

/// At least one of this many grants goes to a patient entry, if one waits.
const PATIENT_EVERY: u32 = 10;
/// Fraction of its age limit after which a patient entry goes before all other classes.
const AGED_FRACTION: f64 = 0.5;

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Identifies the entry.
    pub ticket: u64,
    /// The entry's class.
    pub class: Class,
    /// The workspace that is charged for the entry.
    pub workspace: ids::Name,
    /// The workspace's weight: one of weight two gets twice the grants of one of weight one.
    pub share: u32,
    /// When the request began to wait.
    pub since: time::Duration,
    /// Longest time that a patient entry should wait.
    pub age_limit: time::Duration,
}

/// A queue of tickets.
#[derive(Debug, Default)]
pub struct Queue {
    classes: collections::BTreeMap<Class, ClassQueue>,
    /// Grants to other classes since the last grant to a patient entry.
    since_patient: u32,
}

/// The entries of one class, shared fairly between workspaces by start-time fair queueing.
#[derive(Debug, Default)]
struct ClassQueue {
    workspaces: collections::BTreeMap<ids::Name, WorkspaceQueue>,
    /// Highest virtual start time of the granted entries.
    virtual_time: f64,
    len: usize,
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    entries: collections::VecDeque<Entry>,
    /// Virtual time at which the next entry starts. Each grant moves it on by one over the
    /// workspace's weight.
    virtual_start: f64,
}

impl Queue {
    /// Adds an entry behind the others of its class and workspace.
    pub fn push(&mut self, entry: Entry) {
        let class = self.classes.entry(entry.class).or_default();
        let workspace = class.workspaces.entry(entry.workspace.clone()).or_default();
        if workspace.entries.is_empty() {
            workspace.virtual_start = workspace.virtual_start.max(class.virtual_time);
        }
        workspace.entries.push_back(entry);
        class.len += 1;
    }

    /// Removes an entry without a grant. Returns whether it was waiting.
    pub fn remove(&mut self, class: Class, ticket: u64) -> bool {
        let Some(class) = self.classes.get_mut(&class) else {
            return false;
        };
        for workspace in class.workspaces.values_mut() {
            let before = workspace.entries.len();
            workspace.entries.retain(|entry| entry.ticket != ticket);
            if workspace.entries.len() < before {
                class.len -= 1;
                class.drop_idle();
                return true;
            }
        }
        false
    }

    /// Returns the tickets in the order in which to try to grant them now, at most `limit`.
    ///
    /// A patient entry comes first if it is aged or if the last nine grants went to other classes.
    /// Then follow the classes in order, with fair shares between the workspaces of a class.
    pub fn order(&self, now: time::Duration, limit: usize) -> Vec<u64> {
        let mut tickets = Vec::new();
        if let Some(patient) = self.classes.get(&Class::Patient) {
            let patient_turn = self.since_patient + 1 >= PATIENT_EVERY;
            let first = patient.fair_order(1).into_iter();
            let due = first.filter(|entry| patient_turn || is_aged(entry, now));
            tickets.extend(due.map(|entry| entry.ticket));
        }
        for class in self.classes.values() {
            for entry in class.fair_order(limit) {
                if tickets.len() >= limit {
                    return tickets;
                }
                if !tickets.contains(&entry.ticket) {
                    tickets.push(entry.ticket);
                }
            }
        }
        tickets
    }

    /// Removes an entry that was granted, and charges its workspace for it.
    pub fn remove_granted(&mut self, class: Class, ticket: u64) {
        match class {
            Class::Patient => self.since_patient = 0,
            _ => self.since_patient = self.since_patient.saturating_add(1),
        }
        let Some(class) = self.classes.get_mut(&class) else {
            return;
        };
        for workspace in class.workspaces.values_mut() {
            let Some(at) = workspace
                .entries
                .iter()
                .position(|entry| entry.ticket == ticket)
            else {
                continue;
            };
            let share = workspace.entries[at].share.max(1);
            workspace.entries.remove(at);
            class.len -= 1;
            class.virtual_time = class.virtual_time.max(workspace.virtual_start);
            workspace.virtual_start += 1.0 / f64::from(share);
            class.drop_idle();
            return;
        }
    }

    /// Returns how many entries wait in the class and in the more urgent ones.
    pub fn ahead_of(&self, class: Class) -> usize {
        let up_to = self.classes.range(..=class);
        up_to.map(|(_, class)| class.len).sum()
    }

    /// Returns how many entries wait in the class.
    pub fn len_of(&self, class: Class) -> usize {
        self.classes.get(&class).map_or(0, |class| class.len)
    }

    /// Returns how many entries wait.
    pub fn len(&self) -> usize {
        self.classes.values().map(|class| class.len).sum()
    }

    /// Returns whether no entry waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl ClassQueue {
    /// Merges the workspaces' entries by the virtual time at which each would start.
    fn fair_order(&self, limit: usize) -> Vec<&Entry> {
        let mut candidates = Vec::new();
        for workspace in self.workspaces.values() {
            let mut start = workspace.virtual_start.max(self.virtual_time);
            for entry in workspace.entries.iter().take(limit) {
                candidates.push((start, entry));
                start += 1.0 / f64::from(entry.share.max(1));
            }
        }
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.ticket.cmp(&b.1.ticket)));
        candidates.truncate(limit);
        candidates.into_iter().map(|(_, entry)| entry).collect()
    }

    /// Forgets workspaces without entries, except those that got more than their share so far.
    /// Otherwise the excess would no longer count against them when they queue requests again.
    fn drop_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.workspaces.retain(|_, workspace| {
            !workspace.entries.is_empty() || workspace.virtual_start > virtual_time
        });
    }
}

fn is_aged(entry: &Entry, now: time::Duration) -> bool {
    now.saturating_sub(entry.since) >= entry.age_limit.mul_f64(AGED_FRACTION)
}
