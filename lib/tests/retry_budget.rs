//! The shares of all hosts stay within the budget of a service, in any window.

use std::time;

use walnuthaven_lib::retry_share;

const TERMS: retry_share::Budget = retry_share::Budget {
    ratio: 0.2,
    slack: 52.0,
    window: time::Duration::from_secs(10),
};

/// Hosts that repeat every request as often as they may: the worst load for a failing service.
fn repeats_of(hosts: usize, requests_per_s: u32, seconds: u32) -> Vec<(time::Duration, bool)> {
    let mut log = Vec::new();
    let mut shares = vec![retry_share::Share::default(); hosts];
    for i in 0..requests_per_s * seconds {
        let now = time::Duration::from_secs_f64(f64::from(i) / f64::from(requests_per_s));
        let share = &mut shares[i as usize % hosts];
        share.record_send(retry_share::SendKind::First, now, &TERMS);
        log.push((now, false));
        while share.allows_repeat(now, &TERMS, hosts) {
            share.record_send(retry_share::SendKind::Repeat, now, &TERMS);
            log.push((now, true));
        }
    }
    log
}

#[test]
fn no_window_holds_more_repeats_than_the_budget() {
    for hosts in [1, 6, 70] {
        let log = repeats_of(hosts, 50, 40);
        for (start, _) in &log {
            let end = *start + TERMS.window;
            let inside = || log.iter().filter(|(at, _)| start <= at && *at < end);
            let repeats = inside().filter(|(_, again)| *again).count() as f64;
            let firsts = inside().filter(|(_, again)| !again).count() as f64;
            let most = TERMS.ratio * firsts.max(1.0) + TERMS.slack;
            assert!(
                repeats <= most,
                "{repeats} repeats of {firsts} with {hosts} hosts"
            );
        }
    }
}

#[test]
fn a_budget_that_was_spent_comes_back() {
    let mut share = retry_share::Share::default();
    let start = time::Duration::from_secs(100);
    while share.allows_repeat(start, &TERMS, 6) {
        share.record_send(retry_share::SendKind::Repeat, start, &TERMS);
    }
    assert!(!share.allows_repeat(start + TERMS.window, &TERMS, 6));
    assert!(share.allows_repeat(start + TERMS.window * 2, &TERMS, 6));
}
