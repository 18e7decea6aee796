//! Which crash marks hosts write to the store.

use std::time;

use walnuthaven_lib::quarantine;
use walnuthaven_lib::stored_marks;

const DIGEST: u64 = 7;

fn at(ms: u64) -> time::Duration {
    time::Duration::from_millis(1_000_000 + ms)
}

fn table_with_crashes(servers: &[&str]) -> quarantine::Table {
    let mut table = quarantine::Table::with_crash_threshold(3);
    for (number, server) in servers.iter().enumerate() {
        table.record_crash(DIGEST, &(*server).into(), at(number as u64));
    }
    table
}

#[test]
fn observer_writes_at_once_and_again_after_a_lost_answer() {
    let table = table_with_crashes(&["s1"]);
    let mut stored = stored_marks::StoredMarks::default();
    stored.record_change(DIGEST, stored_marks::Origin::Observed, 0.0, at(0));
    let write = stored.next_write(&table, at(0)).expect("nothing to write");
    assert_eq!(write.replaces, None);
    assert_eq!(stored.next_write(&table, at(100)), None);
    assert!(stored.next_write(&table, at(1_000)).is_some());
    stored.record_stored(write.mark, 12);
    assert_eq!(stored.next_write(&table, at(2_000)), None);
    assert!(!stored.has_unsaved());
}

// The host that observed a crash may end before it could write it.
#[test]
fn mark_heard_from_another_host_is_written_if_the_store_lacks_it() {
    let table = table_with_crashes(&["s1", "s2"]);
    let mut stored = stored_marks::StoredMarks::default();
    stored.record_change(DIGEST, stored_marks::Origin::Announced, 1.0, at(0));
    assert_eq!(stored.next_write(&table, at(900)), None);
    assert!(stored.next_write(&table, at(2_500)).is_some());
    let mut other = stored_marks::StoredMarks::default();
    other.record_change(DIGEST, stored_marks::Origin::Announced, 0.0, at(0));
    other.record_stored(table.get(DIGEST).unwrap().clone(), 3);
    assert_eq!(other.next_write(&table, at(2_500)), None);
}

#[test]
fn change_during_a_write_is_written_next() {
    let mut table = table_with_crashes(&["s1"]);
    let mut stored = stored_marks::StoredMarks::default();
    stored.record_change(DIGEST, stored_marks::Origin::Observed, 0.0, at(0));
    let write = stored.next_write(&table, at(0)).expect("nothing to write");
    table.record_crash(DIGEST, &"s2".into(), at(10));
    stored.record_change(DIGEST, stored_marks::Origin::Observed, 0.0, at(10));
    stored.record_written(&write.mark, &table);
    let next = stored.next_write(&table, at(10)).expect("nothing to write");
    assert_eq!(next.mark.servers().len(), 2);
}

// After an outage the store may lack marks that hosts made meanwhile.
#[test]
fn marks_that_a_list_lacks_are_written() {
    let table = table_with_crashes(&["s1"]);
    let mut stored = stored_marks::StoredMarks::default();
    stored.replace_all(Vec::new(), &table, 0.0, at(0));
    let write = stored.next_write(&table, at(2_500));
    assert_eq!(write.map(|write| write.mark.digest), Some(DIGEST));
}

#[test]
fn store_keeps_crashes_of_both_writers() {
    let mine = table_with_crashes(&["s1"]);
    let other = table_with_crashes(&["s2"]);
    let mut stored = stored_marks::StoredMarks::default();
    stored.record_change(DIGEST, stored_marks::Origin::Observed, 0.0, at(0));
    // Another host has written the mark first.
    let theirs = other.get(DIGEST).unwrap().clone();
    stored.record_stored(theirs.clone(), 4);
    let mut merged = mine;
    merged.merge_shared(&theirs, at(0));
    let write = stored.next_write(&merged, at(0)).expect("nothing to write");
    assert_eq!(write.replaces, Some(4));
    assert_eq!(write.mark.servers().len(), 2);
}
