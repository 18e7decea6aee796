//! The retries of all hosts together stay within a service's retry budget in any time window.

use std::time;

use walnuthaven_lib::retry_share;

const BUDGET: retry_share::Budget = retry_share::Budget {
    ratio: 0.2,
    slack: 52.0,
    window: time::Duration::from_secs(10),
};

/// Simulates hosts that retry requests as often as their shares allow, which is the worst load for a
/// failing service. Returns the time of each send and whether it is a retry.
fn sends_of(hosts: usize, requests_per_s: u32, seconds: u32) -> Vec<(time::Duration, bool)> {
    let mut log = Vec::new();
    let mut shares = vec![retry_share::Share::default(); hosts];
    for i in 0..requests_per_s * seconds {
        let now = time::Duration::from_secs_f64(f64::from(i) / f64::from(requests_per_s));
        let share = &mut shares[i as usize % hosts];
        share.record_send(retry_share::SendKind::First, now, &BUDGET);
        log.push((now, false));
        while share.allows_retry(now, &BUDGET, hosts) {
            share.record_send(retry_share::SendKind::Retry, now, &BUDGET);
            log.push((now, true));
        }
    }
    log
}

#[test]
fn no_window_holds_more_retries_than_the_budget() {
    for hosts in [1, 6, 70] {
        let log = sends_of(hosts, 50, 40);
        for (start, _) in &log {
            let end = *start + BUDGET.window;
            let inside = || log.iter().filter(|(at, _)| start <= at && *at < end);
            let retries = inside().filter(|(_, is_retry)| *is_retry).count() as f64;
            let firsts = inside().filter(|(_, is_retry)| !is_retry).count() as f64;
            let allowed = BUDGET.ratio * firsts.max(1.0) + BUDGET.slack;
            assert!(
                retries <= allowed,
                "{retries} retries of {firsts} requests with {hosts} hosts"
            );
        }
    }
}

#[test]
fn a_used_up_budget_recovers_after_the_window() {
    let mut share = retry_share::Share::default();
    let start = time::Duration::from_secs(100);
    while share.allows_retry(start, &BUDGET, 6) {
        share.record_send(retry_share::SendKind::Retry, start, &BUDGET);
    }
    assert!(!share.allows_retry(start + BUDGET.window, &BUDGET, 6));
    assert!(share.allows_retry(start + BUDGET.window * 2, &BUDGET, 6));
}
