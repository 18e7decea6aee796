//! Hosts that compare up to which revision they know a collection of the store.

use std::time;

use walnuthaven_lib::view_revisions;

/// The time in which a host that is in touch has to know of a change, less that of a call to the store.
const FINDS_OUT_WITHIN: time::Duration = time::Duration::from_millis(1_500);

fn listed(revision: u64, newest: u64) -> view_revisions::ViewRevision {
    let mut view = view_revisions::ViewRevision::default();
    view.record_list(revision, newest);
    view
}

#[test]
fn a_change_that_another_host_knows_is_lacked() {
    let (mut current, mut silent) = (listed(10, 7), listed(12, 7));
    assert!(!silent.lacks(current.changed()));
    current.record_changes(20, Some(18));
    assert!(silent.lacks(current.changed()));
    silent.record_changes(19, Some(18));
    assert!(!silent.lacks(current.changed()));
}

/// The removed object has the revision of its last change.
#[test]
fn a_removal_that_another_host_knows_is_lacked() {
    let (mut current, silent) = (listed(14, 7), listed(12, 7));
    current.record_changes(20, Some(7));
    assert!(silent.lacks(current.changed()));
}

/// Guards against removals that a silent host never notices, because its last answer is newer than those of the others
/// before the removal. The store's revision also counts changes of other collections.
#[test]
fn a_removal_is_lacked_by_the_host_with_the_newest_answer_before_it() {
    let (mut current, mut silent) = (listed(4, 4), listed(4, 4));
    silent.record_changes(7, None);
    current.record_changes(8, Some(3));
    let told = current.changed();
    assert!(silent.lacks(told), "the removal at 8 is told as {told}");
}

#[test]
fn answers_without_changes_are_not_told() {
    let (mut current, silent) = (listed(10, 7), listed(10, 7));
    current.record_changes(90, None);
    assert!(!silent.lacks(current.changed()));
}

#[test]
fn hosts_with_the_same_changes_lack_nothing() {
    let (mut early, mut late) = (listed(10, 7), listed(10, 7));
    early.record_changes(15, Some(13));
    late.record_changes(30, Some(13));
    assert!(!early.lacks(late.changed()));
    assert!(!late.lacks(early.changed()));
}

#[test]
fn the_store_is_asked_once_for_a_change() {
    let mut view = listed(10, 7);
    view.record_check(20);
    assert!(!view.lacks(20));
    assert!(view.lacks(21));
}

#[test]
fn a_store_that_went_back_is_followed() {
    let mut view = listed(50, 40);
    view.record_list(30, 25);
    assert_eq!(view.changed(), 25);
    assert!(view.lacks(31));
}

/// Watches of all hosts begin at the same change and are silent; the first call that isn't answered shows it.
#[test]
fn a_fleet_finds_out_soon_that_all_watches_are_silent() {
    for hosts in [3, 6, 8, 30, 62, 86, 300, 2_000] {
        let mut first_ends = 0.0;
        let rounds = 400;
        for _ in 0..rounds {
            let waits =
                (0..hosts).map(|_| view_revisions::watch_time(hosts, rand::random()).as_secs_f64());
            first_ends += waits.fold(f64::INFINITY, f64::min) / f64::from(rounds);
        }
        let bound = FINDS_OUT_WITHIN.as_secs_f64();
        assert!(first_ends < bound, "{hosts} hosts: {first_ends} s");
    }
}

/// The same, at any time after the waits began: of those that haven't ended yet, some end soon.
#[test]
fn waits_end_at_a_steady_rate() {
    let hosts = 86;
    let waits: Vec<_> = (0..hosts * 400)
        .map(|_| view_revisions::watch_time(hosts, rand::random()).as_secs_f64())
        .collect();
    for second in 1..24 {
        let from = f64::from(second);
        let open = waits.iter().filter(|wait| **wait >= from).count();
        let ended = waits
            .iter()
            .filter(|wait| (from..from + 1.0).contains(*wait));
        let share = ended.count() as f64 / open as f64;
        assert!(share > 0.015, "after {second} s: {share}");
    }
}

#[test]
fn calls_do_not_grow_with_the_fleet_until_they_are_rare() {
    let samples = 2_000;
    for hosts in [1, 3, 8, 30, 50] {
        let waits =
            (0..samples).map(|_| view_revisions::watch_time(hosts, rand::random()).as_secs_f64());
        let mean = waits.sum::<f64>() / f64::from(samples);
        let per_second = hosts as f64 / mean;
        assert!(
            per_second < 4.0,
            "{hosts} hosts make {per_second} calls a second"
        );
    }
    let longest = view_revisions::watch_time(2_000, 1.0);
    assert_eq!(longest, view_revisions::MAX_WATCH_TIME);
}
