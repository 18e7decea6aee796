//! Which parts of prompts are held responsible for crashes.

use std::time;

use walnuthaven_lib::part_blame;
use walnuthaven_lib::quarantine;

const NOW: time::Duration = time::Duration::from_secs(1_000_000);
const SHARED: u64 = 1;
const OTHER: u64 = 2;
const CRASHING: u64 = 3;
const ALSO_CRASHING: u64 = 4;
/// Number of answers of a part that all prompts share.
const MANY: u64 = 5_000;

/// Records the crash of a server by prompts with these parts, each with its number of answers.
fn crash(table: &mut quarantine::Table, server: &str, parts: &[(u64, u64)]) {
    crash_at(table, server, parts, false, NOW);
}

fn crash_at(
    table: &mut quarantine::Table,
    server: &str,
    parts: &[(u64, u64)],
    on_trial: bool,
    at: time::Duration,
) {
    for (part, answers) in parts {
        let part = (*part, quarantine::PartKind::Prompt);
        table.record_part_crash(part, &server.into(), *answers, on_trial, at);
    }
}

fn judge(table: &mut quarantine::Table, parts: &[u64]) -> part_blame::Verdict {
    table.judge_parts(parts, NOW)
}

fn is_trial(verdict: &part_blame::Verdict) -> bool {
    matches!(verdict, part_blame::Verdict::Trial(_))
}

#[test]
fn part_without_answers_is_suspected_then_refused_and_others_are_not() {
    let mut table = quarantine::Table::default();
    let prompt = [SHARED, OTHER, CRASHING];
    let parts = [(SHARED, MANY), (OTHER, 40), (CRASHING, 0)];
    crash(&mut table, "a", &parts);
    assert_eq!(judge(&mut table, &prompt), part_blame::Verdict::Clear);
    for server in ["b", "c", "d"] {
        crash(&mut table, server, &parts);
        assert!(is_trial(&judge(&mut table, &prompt)), "after {server}");
        let sound = judge(&mut table, &[SHARED, OTHER]);
        assert_eq!(sound, part_blame::Verdict::Clear, "after {server}");
    }
    crash(&mut table, "e", &parts);
    let verdict = judge(&mut table, &prompt);
    assert_eq!(verdict, part_blame::Verdict::Refused(CRASHING));
    let sound = judge(&mut table, &[SHARED, OTHER]);
    assert_eq!(sound, part_blame::Verdict::Clear);
}

#[test]
fn crash_on_trial_confirms_the_suspicion() {
    let mut table = quarantine::Table::default();
    for server in ["a", "b"] {
        crash(&mut table, server, &[(CRASHING, 0)]);
    }
    crash_at(&mut table, "c", &[(CRASHING, 0)], true, NOW);
    let verdict = judge(&mut table, &[CRASHING]);
    assert_eq!(verdict, part_blame::Verdict::Refused(CRASHING));
}

#[test]
fn answer_clears_a_part() {
    let mut table = quarantine::Table::default();
    for server in ["a", "b", "c"] {
        crash(&mut table, server, &[(CRASHING, 0)]);
    }
    table.lift(CRASHING);
    // Another host notices the last crash later.
    crash(&mut table, "c", &[(CRASHING, 0)]);
    let verdict = judge(&mut table, &[CRASHING]);
    assert_eq!(verdict, part_blame::Verdict::Clear);
}

#[test]
fn two_crashing_parts_are_told_apart_from_the_part_that_they_share() {
    let mut table = quarantine::Table::default();
    for server in ["a", "b", "c", "d", "e"] {
        crash(&mut table, server, &[(SHARED, MANY), (CRASHING, 0)]);
    }
    for server in ["f", "g", "h", "i", "j"] {
        crash(&mut table, server, &[(SHARED, MANY), (ALSO_CRASHING, 0)]);
    }
    for part in [CRASHING, ALSO_CRASHING] {
        let verdict = judge(&mut table, &[SHARED, part]);
        assert_eq!(verdict, part_blame::Verdict::Refused(part));
    }
    let sound = judge(&mut table, &[SHARED, OTHER]);
    assert_eq!(sound, part_blame::Verdict::Clear);
}

// A new part that is in flight at some of the crashes isn't blamed for what another one explains.
#[test]
fn new_part_beside_a_crashing_one_is_clear() {
    let mut table = quarantine::Table::default();
    for server in ["a", "b", "c", "d", "e"] {
        crash(&mut table, server, &[(CRASHING, 0)]);
    }
    for server in ["a", "c", "d"] {
        crash(&mut table, server, &[(OTHER, 0)]);
    }
    let verdict = judge(&mut table, &[OTHER]);
    assert_eq!(verdict, part_blame::Verdict::Clear);
    let verdict = judge(&mut table, &[CRASHING]);
    assert_eq!(verdict, part_blame::Verdict::Refused(CRASHING));
}

#[test]
fn parts_with_the_same_evidence_are_told_apart_by_a_trial() {
    let mut table = quarantine::Table::default();
    let parts = [(OTHER, 0), (CRASHING, 0)];
    for server in ["a", "b", "c", "d", "e"] {
        crash(&mut table, server, &parts);
    }
    let verdict = judge(&mut table, &[OTHER, CRASHING]);
    assert!(
        matches!(verdict, part_blame::Verdict::Refused(_)),
        "{verdict:?}"
    );
    assert!(is_trial(&judge(&mut table, &[OTHER])));
    assert!(is_trial(&judge(&mut table, &[CRASHING])));
    crash_at(&mut table, "f", &[(CRASHING, 0)], true, NOW);
    assert_eq!(judge(&mut table, &[OTHER]), part_blame::Verdict::Clear);
    let verdict = judge(&mut table, &[CRASHING]);
    assert_eq!(verdict, part_blame::Verdict::Refused(CRASHING));
}

// Servers that end together for another reason must not stop a whole route.
#[test]
fn part_with_answers_is_not_refused_without_a_trial() {
    let mut table = quarantine::Table::default();
    for server in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        crash(&mut table, server, &[(SHARED, MANY)]);
    }
    let verdict = judge(&mut table, &[SHARED]);
    let part_blame::Verdict::Trial(trial) = verdict else {
        panic!("{verdict:?}");
    };
    assert!(trial.answered);
    crash_at(&mut table, "i", &[(SHARED, MANY)], true, NOW);
    let verdict = judge(&mut table, &[SHARED]);
    assert_eq!(verdict, part_blame::Verdict::Refused(SHARED));
}

// Sessions of a shared part that has begun to crash servers have few crashes each.
#[test]
fn shared_part_is_blamed_rather_than_many_that_hold_it() {
    let mut table = quarantine::Table::default();
    for session in 0..6 {
        let own = (100 + session, 0);
        for number in 0..2 {
            let server = format!("s{session}-{number}");
            crash(&mut table, &server, &[(SHARED, MANY), own]);
        }
    }
    let verdict = judge(&mut table, &[SHARED, 900]);
    assert!(is_trial(&verdict), "{verdict:?}");
    crash_at(&mut table, "t", &[(SHARED, MANY)], true, NOW);
    let verdict = judge(&mut table, &[SHARED, 901]);
    assert_eq!(verdict, part_blame::Verdict::Refused(SHARED));
}

#[test]
fn refused_part_is_tried_again_after_some_time() {
    let mut table = quarantine::Table::default();
    for server in ["a", "b", "c", "d", "e"] {
        crash(&mut table, server, &[(CRASHING, 0)]);
    }
    let at = |minutes: u64| NOW + time::Duration::from_secs(60 * minutes);
    let refused = part_blame::Verdict::Refused(CRASHING);
    assert_eq!(table.judge_parts(&[CRASHING], at(9)), refused);
    assert!(is_trial(&table.judge_parts(&[CRASHING], at(11))));
    crash_at(&mut table, "f", &[(CRASHING, 0)], true, at(11));
    assert_eq!(table.judge_parts(&[CRASHING], at(30)), refused);
    assert!(is_trial(&table.judge_parts(&[CRASHING], at(32))));
}

#[test]
fn hosts_that_learn_of_crashes_in_another_order_judge_alike() {
    let parts = [(SHARED, MANY), (CRASHING, 0)];
    let servers: Vec<String> = (0..20).map(|number| format!("s{number}")).collect();
    let mut observers = [quarantine::Table::default(), quarantine::Table::default()];
    for (number, server) in servers.iter().enumerate() {
        crash(&mut observers[number % 2], server, &parts);
    }
    let marks: Vec<Vec<_>> = observers
        .iter()
        .map(|table| table.marks().cloned().collect())
        .collect();
    let mut forward = quarantine::Table::default();
    let mut backward = quarantine::Table::default();
    for mark in marks.iter().flatten() {
        forward.merge_shared(mark, NOW);
    }
    for mark in marks.iter().rev().flatten() {
        backward.merge_shared(mark, NOW);
    }
    assert!(forward.marks().eq(backward.marks()));
    for table in [&mut forward, &mut backward] {
        let verdict = judge(table, &[SHARED, CRASHING]);
        assert_eq!(verdict, part_blame::Verdict::Refused(CRASHING));
        assert_eq!(judge(table, &[SHARED]), part_blame::Verdict::Clear);
    }
}

/// Records the crash of a server by a request with this content, with its number of answers.
fn crash_by_content(
    table: &mut quarantine::Table,
    server: &str,
    (content, answers): (u64, u64),
    on_trial: bool,
) {
    let part = (content, quarantine::PartKind::Content);
    table.record_part_crash(part, &server.into(), answers, on_trial, NOW);
}

// A harmless request may lose two servers.
#[test]
fn content_is_suspected_from_three_crashes_on() {
    let mut table = quarantine::Table::default();
    for server in ["a", "b"] {
        crash_by_content(&mut table, server, (CRASHING, 0), false);
        assert_eq!(judge(&mut table, &[CRASHING]), part_blame::Verdict::Clear);
    }
    crash_by_content(&mut table, "c", (CRASHING, 0), false);
    assert!(is_trial(&judge(&mut table, &[CRASHING])));
    crash_by_content(&mut table, "d", (CRASHING, 0), true);
    let verdict = judge(&mut table, &[CRASHING]);
    assert_eq!(verdict, part_blame::Verdict::Refused(CRASHING));
}

// Content that many callers ask for is in flight wherever a server crashes.
#[test]
fn content_with_answers_is_not_blamed_for_crashes_by_content_without() {
    let mut table = quarantine::Table::default();
    for server in ["a", "b", "c", "d"] {
        crash_by_content(&mut table, server, (SHARED, MANY), false);
        crash_by_content(&mut table, server, (CRASHING, 0), false);
    }
    assert_eq!(judge(&mut table, &[SHARED]), part_blame::Verdict::Clear);
    assert!(is_trial(&judge(&mut table, &[CRASHING])));
}

#[test]
fn content_is_not_blamed_for_a_part_of_its_prompt() {
    let mut table = quarantine::Table::default();
    for server in ["a", "b", "c"] {
        crash(&mut table, server, &[(CRASHING, 0)]);
        crash_by_content(&mut table, server, (OTHER, 0), false);
    }
    assert_eq!(judge(&mut table, &[OTHER]), part_blame::Verdict::Clear);
    assert!(is_trial(&judge(&mut table, &[CRASHING])));
}
