//! How often a host tells the others its whole state.

use std::time;

use walnuthaven_lib::news_pacing;
use walnuthaven_lib::peers;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// Returns when states are sent in `[0, until)`, with changes at these times.
fn sent_states(
    peers: usize,
    changes: impl Iterator<Item = time::Duration>,
    until: time::Duration,
) -> Vec<time::Duration> {
    let mut pacing = news_pacing::Pacing::default();
    let mut sent = Vec::new();
    pacing.record_sent(time::Duration::ZERO);
    for at in changes.chain([until]) {
        while pacing.due_at(peers) < at {
            let now = pacing
                .due_at(peers)
                .max(sent.last().copied().unwrap_or_default());
            pacing.record_sent(now);
            sent.push(now);
        }
        pacing.record_change();
        if pacing.due_at(peers) <= at && at < until {
            pacing.record_sent(at);
            sent.push(at);
        }
    }
    sent
}

// As seen at a host of 69 after a quarter of the engines crashed: a change each 3 ms, for 2 s.
#[test]
fn a_storm_of_changes_does_not_fill_slow_links() {
    let changes = (0..667).map(|n| ms(1_000 + n * 3));
    let sent = sent_states(68, changes, ms(3_000));
    let in_storm = sent.iter().filter(|at| **at >= ms(1_000)).count();
    let bits_per_s = in_storm * 68 * 500 * 8 / 2;
    assert!(bits_per_s < 3_000_000, "{bits_per_s} bit/s");
    assert!(in_storm >= 18, "{in_storm} states");
}

#[test]
fn the_first_change_is_told_at_once() {
    let sent = sent_states(68, [ms(400)].into_iter(), ms(450));
    assert_eq!(sent, [ms(400)]);
}

#[test]
fn few_hosts_tell_changes_within_milliseconds() {
    let changes = (0..100).map(|n| ms(100 + n * 3));
    let sent = sent_states(7, changes, ms(400));
    assert!(sent.len() > 20, "{} states", sent.len());
}

#[test]
fn states_are_regular_without_changes() {
    let sent = sent_states(68, std::iter::empty(), ms(2_100));
    assert_eq!(sent, [ms(500), ms(1_000), ms(1_500), ms(2_000)]);
    assert_eq!(peers::NEWS_INTERVAL, ms(500));
}
