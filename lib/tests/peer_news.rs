//! A host's view of other hosts: news out of order, restarts and silence.

use std::time;

use walnuthaven_lib::announced_work;
use walnuthaven_lib::engine_load;
use walnuthaven_lib::peers;

fn at(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn entry(incarnation: u64) -> peers::PeerEntry {
    peers::PeerEntry {
        name: "b".into(),
        incarnation,
        caller_addr: "127.0.0.1:1".parse().unwrap(),
        news_addr: "127.0.0.1:2".parse().unwrap(),
    }
}

fn status(sequence: u64) -> peers::PeerStatus {
    peers::PeerStatus {
        sequence,
        takes_callers: true,
        config_version: 4,
        waiting: 2,
        ..peers::PeerStatus::default()
    }
}

#[test]
fn a_listed_host_is_offered_to_callers_after_its_first_news() {
    let mut peers = peers::Peers::default();
    peers.replace_entries(vec![entry(1)]);
    assert_eq!((peers.count(), peers.caller_addrs().count()), (1, 0));
    assert_eq!(peers.news_addrs("own").count(), 1);
    assert!(peers.record_news(entry(1), status(1), at(0)));
    assert_eq!(peers.caller_addrs().count(), 1);
}

#[test]
fn older_news_and_older_incarnations_are_ignored() {
    let mut peers = peers::Peers::default();
    assert!(peers.record_news(entry(5), status(7), at(0)));
    assert!(!peers.record_news(entry(5), status(6), at(1)));
    assert!(!peers.record_news(entry(4), status(100), at(1)));
    peers.replace_entries(vec![entry(4)]);
    assert!(peers.record_news(entry(6), status(1), at(2)));
    assert_eq!(peers.config_version(), 4);
}

// The clock of a host may be set back between two starts of its process.
#[test]
fn a_silent_host_that_starts_with_an_earlier_clock_is_heard_again() {
    let mut peers = peers::Peers::default();
    peers.replace_entries(vec![entry(5_000)]);
    assert!(peers.record_news(entry(5_000), status(7), at(0)));
    peers.expire(peers::SILENCE_TIMEOUT + at(1));
    assert!(peers.record_news(entry(3_000), status(1), at(4_000)));
    assert!(peers.record_news(entry(3_000), status(2), at(4_500)));
    assert_eq!(peers.caller_addrs().count(), 1);
}

// Queries go to all hosts: the one that knows the answer may be in any group, or silent only at this host.
#[test]
fn all_hosts_are_asked_and_silent_ones_are_not_in_touch() {
    let mut peers = peers::Peers::default();
    assert!(peers.is_in_touch(at(0)));
    let entries = (0..400).map(|number| peers::PeerEntry {
        name: format!("h{number}").into(),
        ..entry(1)
    });
    peers.replace_entries(entries.collect());
    assert!(peers.news_addrs("own").count() < 400);
    assert_eq!(peers.all_news_addrs().count(), 400);
    assert!(!peers.is_in_touch(at(0)));
    assert!(peers.record_news(entry(1), status(1), at(0)));
    assert!(peers.is_in_touch(at(1_100)));
}

// What a host knew before it was paused may be outdated, though no host has been found silent yet.
#[test]
fn a_host_that_was_paused_is_in_touch_after_the_next_news() {
    let mut peers = peers::Peers::default();
    assert!(peers.record_news(entry(1), status(1), at(0)));
    assert!(!peers.is_in_touch(at(10_000)));
    assert!(peers.record_news(entry(1), status(2), at(10_000)));
    assert!(peers.is_in_touch(at(10_000)));
}

#[test]
fn a_silent_host_is_not_offered_but_counts_while_listed() {
    let mut peers = peers::Peers::default();
    peers.replace_entries(vec![entry(1)]);
    peers.record_news(entry(1), status(1), at(0));
    assert!(peers.expire(peers::SILENCE_TIMEOUT).is_empty());
    assert_eq!(peers.expire(peers::SILENCE_TIMEOUT + at(1)), ["b".into()]);
    assert_eq!((peers.count(), peers.caller_addrs().count()), (1, 0));
    assert!(peers.record_news(entry(1), status(2), at(5_000)));
    peers.replace_entries(Vec::new());
    assert_eq!(
        peers.count(),
        1,
        "a host that sends news counts even if it isn't listed"
    );
    peers.expire(at(9_000));
    assert_eq!(peers.count(), 0);
}

fn update(incarnation: u64, sequence: u64) -> peers::PeerUpdate {
    peers::PeerUpdate {
        incarnation,
        sequence,
        waiting: 9,
        waiting_on_time: 3,
    }
}

#[test]
fn updates_count_only_after_the_whole_status_and_in_order() {
    let mut peers = peers::Peers::default();
    assert!(!peers.record_update("b", update(5, 1), at(0)));
    peers.replace_entries(vec![entry(5)]);
    assert!(!peers.record_update("b", update(5, 1), at(0)));
    assert!(peers.record_news(entry(5), status(2), at(0)));
    assert!(!peers.record_update("b", update(5, 2), at(1)));
    assert!(!peers.record_update("b", update(4, 3), at(1)));
    assert!(!peers.record_update("b", update(6, 3), at(1)));
    assert_eq!(peers.waiting(), 2);
    assert!(peers.record_update("b", update(5, 3), at(1)));
    assert_eq!(peers.waiting(), 9);
    // A whole state that was overtaken by an update lacks what the update told.
    assert!(!peers.record_news(entry(5), status(3), at(2)));
    assert!(peers.record_news(entry(5), status(4), at(3)));
    assert_eq!(peers.waiting(), 2);
}

#[test]
fn updates_keep_a_host_from_being_silent() {
    let mut peers = peers::Peers::default();
    assert!(peers.record_news(entry(5), status(1), at(0)));
    let later = peers::SILENCE_TIMEOUT - at(1);
    assert!(peers.record_update("b", update(5, 2), later));
    assert!(peers.expire(later + at(100)).is_empty());
}

#[test]
fn hosts_that_do_not_apply_changes_get_whole_states() {
    let mut peers = peers::Peers::default();
    peers.replace_entries(vec![entry(5)]);
    let applies = |peers: &peers::Peers| peers.news_addrs("own").map(|(_, applies)| applies).next();
    assert_eq!(applies(&peers), Some(false));
    let newer = peers::PeerStatus {
        applies_work_changes: true,
        ..status(1)
    };
    assert!(peers.record_news(entry(5), newer, at(0)));
    assert_eq!(applies(&peers), Some(true));
    // It was replaced by a process of the version before.
    assert!(peers.record_news(entry(6), status(1), at(1)));
    assert_eq!(applies(&peers), Some(false));
}

fn run(number: u64) -> (u64, engine_load::Run) {
    let run = engine_load::Run {
        engine: format!("e{}", number % 3).into(),
        prompt: 100,
        output: 50,
        generated: 0,
        as_of: at(0),
    };
    (number, run)
}

/// One host begins and ends runs and tells another one the changes, some of which are lost. After each
/// whole state, and for as long as none is lost, the other one knows the same runs.
#[test]
fn changes_lead_to_the_same_state() {
    const SEED: u64 = 35;
    println!("seed {SEED}");
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(60, SEED))
        .quickcheck(states_agree as fn(Vec<(u8, bool)>) -> bool);
}

fn states_agree(steps: Vec<(u8, bool)>) -> bool {
    let mut announced = announced_work::AnnouncedWork::default();
    let mut current = std::collections::BTreeSet::new();
    let mut load = engine_load::EngineLoad::default();
    let mut complete = true;
    for (step, (number, lost)) in (1..).zip(steps) {
        let number = u64::from(number % 16);
        if !current.remove(&number) {
            current.insert(number);
        }
        let difference = announced.announce(current.iter().copied());
        if step % 8 == 0 {
            load.replace_host(
                "b",
                current.iter().map(|n| run(*n)).collect(),
                Vec::new(),
                at(0),
            );
            complete = true;
        } else if lost {
            complete = false;
        } else {
            let changes = engine_load::HostChanges {
                runs: difference.added.into_iter().map(run).collect(),
                ended_runs: difference.ended,
                ..engine_load::HostChanges::default()
            };
            load.change_host("b", changes, at(0));
        }
        let known: std::collections::BTreeSet<u64> = load.runs_of("b").map(|(n, _)| n).collect();
        if complete && known != current {
            return false;
        }
    }
    true
}

#[test]
fn a_host_that_hears_few_others_is_not_in_close_touch() {
    let named = |name: &str| peers::PeerEntry {
        name: name.into(),
        ..entry(1)
    };
    let mut peers = peers::Peers::default();
    assert!(peers.is_in_close_touch("own", at(0)), "there are no others");
    peers.replace_entries(["b", "c", "d"].map(named).into());
    assert!(!peers.is_in_close_touch("own", at(0)));
    peers.record_news(named("b"), status(1), at(0));
    assert!(!peers.is_in_close_touch("own", at(0)));
    peers.record_news(named("c"), status(1), at(300));
    assert!(peers.is_in_close_touch("own", at(600)));
    assert!(!peers.is_in_close_touch("own", at(601)), "it was paused");
    peers.expire(at(9_000));
    assert!(!peers.is_in_close_touch("own", at(9_000)), "it was cut off");
}
