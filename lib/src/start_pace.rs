//! How much of its fair share a server gets that has just started or comes back.
//!
//! Designed for this load: dozens of hosts list a new server of six slots at the same moment, or stop avoiding one
//! that was away. It may be sound at once, slow for its first second, or fail again. Its answers to all hosts decide.

use std::collections;
use std::time;

use crate::backends;
use crate::server_speed;

/// The part at the start: an answer at a time for a server of 50 requests a second whose answers come at the
/// callers' target.
const START_PART: f64 = 0.125;
/// Lowest part: a server without requests couldn't show that it is sound.
const MIN_PART: f64 = 0.05;
/// Good answers that a late one takes back.
const LATE_WEIGHT: f64 = 1.0;
/// Good answers that a failure takes back.
const FAILED_WEIGHT: f64 = 6.0;
/// Time until a server without any evidence has its whole share.
const UNKNOWN_FOR: time::Duration = time::Duration::from_secs(5);
/// Longest spell. The learned time and failures say more by then.
const LONGEST_SPELL: time::Duration = time::Duration::from_secs(10);
/// Failures up to this many times the usual rate of the service are chance.
const CHANCE_FACTOR: f64 = 2.0;
/// Late or failed answers below this have faded.
const FADED: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Spell {
    began: time::Duration,
    /// The recent answers at that time.
    before: server_speed::Sums,
}

/// The servers that have just started or come back, by process.
#[derive(Debug, Default)]
pub struct Paces {
    spells: collections::BTreeMap<backends::Process, Spell>,
}

/// What is known of a server in a spell.
#[derive(Clone, Copy, Debug)]
pub struct Evidence {
    /// Its recent answers to all hosts.
    pub recent: server_speed::Sums,
    /// Number of good answers that show it to be sound.
    pub enough: f64,
    /// Part of the requests that the servers of its service fail, from 0 to 1.
    pub usual_failures: f64,
}

/// What a spell allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// This part of the server's fair share.
    Part(f64),
    /// The whole share: the spell, which began this long ago, is over.
    Ended(time::Duration),
    /// The whole share, as there is no spell.
    Whole,
}

impl Pace {
    /// Returns the part of the fair share, from above 0 to 1.
    pub fn part(self) -> f64 {
        match self {
            Self::Part(part) => part,
            Self::Ended(_) | Self::Whole => 1.0,
        }
    }
}

impl Paces {
    /// Begins the spell of a server, or begins it anew. `recent` are its recent answers. Returns whether there was
    /// none.
    pub fn begin(
        &mut self,
        process: &backends::Process,
        recent: server_speed::Sums,
        now: time::Duration,
    ) -> bool {
        let spell = Spell {
            began: now,
            before: recent,
        };
        self.spells.insert(process.clone(), spell).is_none()
    }

    /// Returns whether there are no spells.
    pub fn is_empty(&self) -> bool {
        self.spells.is_empty()
    }

    /// Returns whether a server is in a spell.
    pub fn is_paced(&self, process: &backends::Process) -> bool {
        self.spells.contains_key(process)
    }

    /// Returns the pace of a server, and ends its spell if it has shown that it is sound.
    pub fn pace(
        &mut self,
        process: &backends::Process,
        evidence: Evidence,
        now: time::Duration,
    ) -> Pace {
        let Some(spell) = self.spells.get(process) else {
            return Pace::Whole;
        };
        let elapsed = now.saturating_sub(spell.began);
        let part = part(spell, evidence, elapsed);
        if part < 1.0 && elapsed < LONGEST_SPELL {
            return Pace::Part(part);
        }
        self.spells.remove(process);
        Pace::Ended(elapsed)
    }

    /// Forgets the spells of processes that aren't listed any more.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&backends::Process) -> bool) {
        self.spells.retain(|process, _| is_listed(process));
    }
}

fn part(spell: &Spell, evidence: Evidence, elapsed: time::Duration) -> f64 {
    let since = evidence.recent.minus(&spell.before.recent_faded(elapsed));
    let good = (since.answered() - since.late).max(0.0);
    let by_chance = CHANCE_FACTOR * evidence.usual_failures * since.count;
    let failed = (since.failed - by_chance).max(0.0);
    let bad = LATE_WEIGHT * since.late + FAILED_WEIGHT * failed;
    let shown = START_PART + (good - bad) / evidence.enough.max(1.0);
    let grown = match since.late + failed < FADED {
        true => elapsed.as_secs_f64() / UNKNOWN_FOR.as_secs_f64(),
        false => 0.0,
    };
    shown.max(grown).clamp(MIN_PART, 1.0)
}
