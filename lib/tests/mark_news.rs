//! Which crash marks hosts announce to each other.

use std::collections;
use std::time;

use walnuthaven_lib::announced_marks;
use walnuthaven_lib::quarantine;

const LIMIT: usize = 8;
const SPACING: time::Duration = time::Duration::from_millis(200);

fn at(ms: u64) -> time::Duration {
    time::Duration::from_millis(1_000_000 + ms)
}

fn table_with_marks(count: u64) -> quarantine::Table {
    let mut table = quarantine::Table::with_crash_threshold(3);
    for digest in 1..=count {
        table.record_crash(digest, &"s1".into(), at(0));
    }
    table
}

/// Returns the digests that a host announces at the given times, in milliseconds.
fn announced(
    announcements: &mut announced_marks::Announcements,
    table: &quarantine::Table,
    times: impl Iterator<Item = u64>,
) -> collections::BTreeSet<u64> {
    let marks = times.flat_map(|ms| announcements.next(table, LIMIT, SPACING, at(ms)));
    marks.map(|mark| mark.digest).collect()
}

// The crash of an engine marks the content of all of its runs, which is more than one message holds.
#[test]
fn marks_beyond_the_limit_of_a_message_are_announced_in_the_next_ones() {
    let table = table_with_marks(40);
    let mut announcements = announced_marks::Announcements::default();
    let first = announced(&mut announcements, &table, 0..1);
    assert_eq!(first.len(), LIMIT);
    let all = announced(&mut announcements, &table, (10..).step_by(10).take(4));
    assert_eq!(first.union(&all).count(), 40);
}

#[test]
fn a_changed_mark_is_announced_again() {
    let mut table = table_with_marks(1);
    let mut announcements = announced_marks::Announcements::default();
    announced(&mut announcements, &table, (0..20_000).step_by(100));
    table.record_crash(1, &"s2".into(), at(20_000));
    let marks = announcements.next(&table, LIMIT, SPACING, at(20_000));
    assert_eq!(marks.len(), 1);
    assert_eq!(marks[0].servers().len(), 2);
}

// A host that is cut off for longer than a change is announced must learn of it afterwards.
#[test]
fn all_marks_are_repeated_after_they_were_announced() {
    let table = table_with_marks(10);
    let mut announcements = announced_marks::Announcements::default();
    announced(&mut announcements, &table, (0..6_000).step_by(100));
    let repeated = announced(&mut announcements, &table, (6_000..12_000).step_by(100));
    assert_eq!(repeated.len(), 10);
}

// Few marks refuse content. They must not wait for a turn among all others.
#[test]
fn marks_that_refuse_content_are_repeated_within_a_second() {
    let mut table = table_with_marks(200);
    for server in ["s2", "s3"] {
        table.record_crash(150, &server.into(), at(0));
    }
    let mut announcements = announced_marks::Announcements::default();
    announced(&mut announcements, &table, (0..6_000).step_by(100));
    for second in 6..10 {
        let times = (second * 1_000..(second + 1) * 1_000 + 500).step_by(100);
        assert!(announced(&mut announcements, &table, times).contains(&150));
    }
}

// A steady flow of messages must not grow with the number of marks.
#[test]
fn repetitions_are_few() {
    let table = table_with_marks(1_000);
    let mut announcements = announced_marks::Announcements::default();
    announced(&mut announcements, &table, (0..6_000).step_by(100));
    let sent: usize = (6_000..16_000)
        .step_by(2)
        .map(|ms| announcements.next(&table, LIMIT, SPACING, at(ms)).len())
        .sum();
    assert!(sent <= 20, "{sent} marks were sent in 10 s");
}

// A message to each host in turn must carry a change to all of them.
#[test]
fn without_spacing_each_message_has_the_changes() {
    let table = table_with_marks(3);
    let mut announcements = announced_marks::Announcements::default();
    for _ in 0..5 {
        let marks = announcements.next(&table, LIMIT, time::Duration::ZERO, at(0));
        assert_eq!(marks.len(), 3);
    }
}
