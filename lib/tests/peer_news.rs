//! A host's view of other hosts: news out of order, restarts and silence.

use std::time;

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
