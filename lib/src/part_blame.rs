//! Which parts of requests are to blame for crashes of servers.
//!
//! A part is one of a prompt, or the content of a whole request, whoever sends it. A part that crashes servers
//! does so whenever a server begins to answer a request with it, whatever else the request holds. Evidence against a part are the server processes that crashed just after
//! they had begun such an answer. An answer that a server could write is evidence for it, and clears its
//! crashes.
//!
//! Most parts with crashes are harmless: all prompts of a route share parts, and a crash breaks all streams of
//! the engine. A part is held responsible only for the crashes that no likelier part explains. Parts without
//! an answer are likelier than those with many, and then those with more crashes are. Until the evidence is
//! clear, requests with a suspected part are tried one at a time.
//!
//! Designed for some hundred parts with crashes; an answer costs one look-up for each part of its request.

use std::cmp;
use std::collections;
use std::time;

use crate::ids;
use crate::quarantine;

/// Unexplained crashes from which a part of prompts without a known answer is suspected.
const SUSPECTED_UNANSWERED: usize = 2;
/// Unexplained crashes from which other parts are suspected. In a burst of unrelated crashes, a harmless request may
/// lose its first server and the one that it is sent to next, but hardly a third one.
const SUSPECTED_OTHERWISE: usize = 3;
/// Unexplained crashes from which a part is refused if one of them was on trial.
const REFUSED_AFTER_TRIAL: usize = 3;
/// Unexplained crashes from which a part without a known answer is refused without a trial.
const REFUSED_UNANSWERED: usize = 5;
/// Maximum number of other parts that explain the crashes of a part. If it takes more of them, the part that
/// they share is likelier.
const MAX_EXPLAINING: usize = 2;
/// Time from the last crash after which a refused part with answers is tried again. Doubled with each trial that
/// ended in a crash.
const RETRIAL_ANSWERED: time::Duration = time::Duration::from_secs(30);
/// The same time for a part without a known answer.
const RETRIAL_UNANSWERED: time::Duration = time::Duration::from_secs(600);
/// Maximum number of times that the time to the next trial is doubled.
const MAX_DOUBLINGS: usize = 6;

/// What is held against a part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Charge {
    /// What part it is.
    pub kind: quarantine::PartKind,
    /// Number of crashed servers that no likelier part explains.
    pub unexplained: usize,
    /// How many of these crashed by a request on trial.
    pub trials: usize,
    /// Whether any answer to a request with the part is known.
    pub answered: bool,
    /// Other parts with just the same evidence. A request without one of them tells them apart.
    pub tied: collections::BTreeSet<u64>,
    /// When a server crashed last, in Unix time.
    pub last_crash: time::Duration,
}

impl Charge {
    fn is_suspected(&self) -> bool {
        let threshold = match (self.kind, self.answered) {
            (quarantine::PartKind::Prompt, false) => SUSPECTED_UNANSWERED,
            (quarantine::PartKind::Prompt, true) | (quarantine::PartKind::Content, _) => {
                SUSPECTED_OTHERWISE
            }
        };
        self.unexplained >= threshold
    }

    fn is_refused(&self) -> bool {
        (self.trials > 0 && self.unexplained >= REFUSED_AFTER_TRIAL)
            || (!self.answered && self.unexplained >= REFUSED_UNANSWERED)
    }

    /// Returns since when the part may be tried, in Unix time.
    fn trial_due(&self) -> time::Duration {
        let base = match (self.is_refused(), self.answered) {
            (false, _) => return self.last_crash,
            (true, true) => RETRIAL_ANSWERED,
            (true, false) => RETRIAL_UNANSWERED,
        };
        self.last_crash + base * (1 << self.trials.min(MAX_DOUBLINGS))
    }
}

/// Whether a request may be sent to servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may.
    Clear,
    /// Only on trial.
    Trial(Trial),
    /// This part crashes servers.
    Refused(u64),
}

/// A request with suspected parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Trial {
    /// The suspected parts.
    pub parts: Vec<u64>,
    /// Whether answers to requests with each of the parts are known.
    pub answered: bool,
    /// Since when it may be tried, in Unix time.
    pub due: time::Duration,
}

/// What is held against each part with crashes.
#[derive(Clone, Debug, Default)]
pub struct Blame {
    charges: collections::BTreeMap<u64, Charge>,
}

/// A part with crashes that aren't cleared.
#[derive(Debug)]
struct Candidate<'a> {
    mark: &'a quarantine::CrashMark,
    evidence: &'a quarantine::PartEvidence,
    servers: collections::BTreeSet<&'a ids::Name>,
}

impl Candidate<'_> {
    /// Orders candidates by how likely they are to blame, the likeliest first. Those that compare as equal have
    /// the same evidence.
    ///
    /// Of parts with as few answers those of prompts come first: content that holds one crashes servers, too.
    fn rank(
        &self,
    ) -> (
        u32,
        quarantine::PartKind,
        cmp::Reverse<usize>,
        &collections::BTreeSet<&ids::Name>,
    ) {
        let magnitude = self
            .evidence
            .answers
            .checked_ilog2()
            .map_or(0, |log| log + 1);
        (
            magnitude,
            self.evidence.kind,
            cmp::Reverse(self.servers.len()),
            &self.servers,
        )
    }
}

impl Blame {
    /// Weighs the evidence of marks. Those that aren't of parts are passed over.
    pub fn new<'a>(marks: impl Iterator<Item = &'a quarantine::CrashMark>) -> Self {
        let candidates = marks.filter_map(|mark| {
            let servers = mark.servers();
            (servers.len() >= SUSPECTED_UNANSWERED).then_some(Candidate {
                mark,
                evidence: mark.part.as_ref()?,
                servers,
            })
        });
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_by(|a, b| a.rank().cmp(&b.rank()));
        let mut charges = collections::BTreeMap::new();
        let mut blamed: Vec<&collections::BTreeSet<&ids::Name>> = Vec::new();
        for group in candidates.chunk_by(|a, b| a.rank() == b.rank()) {
            let unexplained = subtract_largest(&group[0].servers, &blamed);
            let mut suspected = false;
            for candidate in group {
                let charge = charge_of(candidate, group, &unexplained);
                suspected |= charge.is_suspected();
                charges.insert(candidate.mark.digest, charge);
            }
            if suspected {
                blamed.push(&group[0].servers);
            }
        }
        Self { charges }
    }

    /// Returns what is held against a part.
    pub fn charge(&self, part: u64) -> Option<&Charge> {
        self.charges.get(&part)
    }

    /// Judges a request by its parts.
    pub fn judge(&self, parts: &[u64], unix_now: time::Duration) -> Verdict {
        let mut trial: Option<Trial> = None;
        for part in parts {
            let Some(charge) = self
                .charges
                .get(part)
                .filter(|charge| charge.is_suspected())
            else {
                continue;
            };
            let separates_tied = charge.tied.iter().any(|other| !parts.contains(other));
            let due = match separates_tied {
                true => charge.last_crash,
                false => charge.trial_due(),
            };
            if charge.is_refused() && unix_now < due {
                return Verdict::Refused(*part);
            }
            let trial = trial.get_or_insert(Trial {
                parts: Vec::new(),
                answered: true,
                due,
            });
            trial.parts.push(*part);
            trial.answered &= charge.answered;
            trial.due = trial.due.max(due);
        }
        trial.map_or(Verdict::Clear, Verdict::Trial)
    }
}

fn charge_of(
    candidate: &Candidate<'_>,
    group: &[Candidate<'_>],
    unexplained: &collections::BTreeSet<&ids::Name>,
) -> Charge {
    let digest = candidate.mark.digest;
    let trials = candidate.evidence.trials.iter();
    let tied = group.iter().map(|other| other.mark.digest);
    Charge {
        kind: candidate.evidence.kind,
        unexplained: unexplained.len(),
        trials: trials.filter(|server| unexplained.contains(server)).count(),
        answered: candidate.evidence.answers > 0,
        tied: tied.filter(|other| *other != digest).collect(),
        last_crash: candidate.mark.last_crash(),
    }
}

/// Returns the servers without those of the sets that hold most of them.
fn subtract_largest<'a>(
    servers: &collections::BTreeSet<&'a ids::Name>,
    sets: &[&collections::BTreeSet<&'a ids::Name>],
) -> collections::BTreeSet<&'a ids::Name> {
    let mut left = servers.clone();
    for _ in 0..MAX_EXPLAINING {
        let largest = sets
            .iter()
            .max_by_key(|set| set.intersection(&left).count());
        left.retain(|server| !largest.is_some_and(|set| set.contains(server)));
    }
    left
}
