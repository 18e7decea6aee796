//! Job journals: which jobs a new owner runs again, and the bounds on size and age.

use std::time;

use walnuthaven_lib::ids;
use walnuthaven_lib::job_journal;
use walnuthaven_lib::queue;
use walnuthaven_lib::refusal;

fn host(name: &str) -> ids::HostId {
    ids::HostId {
        name: name.into(),
        incarnation: 1,
    }
}

fn entry(repeatable: bool, progress: job_journal::Progress) -> job_journal::Entry {
    job_journal::Entry {
        job: job_journal::Job {
            workspace: "w".into(),
            service: "s".into(),
            prompt: "p".repeat(1_000),
            max_tokens: 100,
            class: queue::Class::Patient,
            repeatable,
        },
        progress,
        changed: time::Duration::ZERO,
    }
}

#[test]
fn take_over_runs_only_repeatable_jobs_again() {
    let done = job_journal::Progress::Done {
        text: "t".into(),
        tokens: 1,
    };
    let mut journal = job_journal::Journal::new(host("a"));
    for (id, repeatable, progress) in [
        ("waiting", false, job_journal::Progress::Waiting),
        ("begun", true, job_journal::Progress::Dispatched),
        ("unsure", false, job_journal::Progress::Dispatched),
        ("done", false, done.clone()),
        ("fetched", true, job_journal::Progress::Fetched),
    ] {
        journal
            .entries
            .insert(id.into(), entry(repeatable, progress));
    }
    let to_run = journal.take_over(host("b"), time::Duration::from_secs(9));
    assert_eq!(to_run, ["begun", "waiting"]);
    assert_eq!(journal.owner, host("b"));
    assert_eq!(journal.entries["done"].progress, done);
    match &journal.entries["unsure"].progress {
        job_journal::Progress::Failed { refusal } => assert_eq!(refusal.ran, refusal::Ran::Unknown),
        other => panic!("{other:?}"),
    }
}

#[test]
fn journal_size_and_retention_are_bounded() {
    let mut journal = job_journal::Journal::new(host("a"));
    let mut number = 0;
    while journal.fits(entry(true, job_journal::Progress::Waiting).size()) {
        let id = format!("{number}");
        journal
            .entries
            .insert(id, entry(true, job_journal::Progress::Waiting));
        number += 1;
    }
    assert_eq!(number, job_journal::MAX_ENTRIES);
    assert!(!journal.fits(1));
    let mut other = job_journal::Journal::new(host("a"));
    assert!(!other.fits(job_journal::MAX_BYTES + 1));
    other
        .entries
        .insert("x".into(), entry(true, job_journal::Progress::Fetched));
    assert!(!other.remove_expired(time::Duration::from_secs(10)));
    assert!(other.remove_expired(job_journal::FINAL_ENTRY_RETENTION));
}
