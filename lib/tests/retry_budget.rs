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
        while share.allows_retry(now, &BUDGET, Some(hosts)) {
            share.record_send(retry_share::SendKind::Retry, now, &BUDGET);
            log.push((now, true));
        }
    }
    log
}

/// Asserts that the retries in each window stay within the budget. `log` has the time of each send and whether
/// it is a retry.
fn assert_within_budget(log: &[(time::Duration, bool)]) {
    for (start, _) in log {
        let end = *start + BUDGET.window;
        let inside = || log.iter().filter(|(at, _)| start <= at && *at < end);
        let retries = inside().filter(|(_, is_retry)| *is_retry).count() as f64;
        let firsts = inside().filter(|(_, is_retry)| !is_retry).count() as f64;
        let allowed = BUDGET.ratio * firsts.max(1.0) + BUDGET.slack;
        assert!(
            retries <= allowed,
            "{retries} retries of {firsts} requests from {start:?}"
        );
    }
}

#[test]
fn no_window_holds_more_retries_than_the_budget() {
    for hosts in [1, 6, 70] {
        println!("{hosts} hosts");
        assert_within_budget(&sends_of(hosts, 50, 40));
    }
}

// A process that starts doesn't know what the one before it has used of the budget, nor the other hosts.
#[test]
fn hosts_that_are_killed_and_start_again_stay_within_the_budget() {
    const HOSTS: usize = 6;
    for lifetime_ms in [800, 3_000, 4_900, 8_000, 12_000] {
        let mut log = Vec::new();
        for process in 0..3_u32 {
            let started_at = time::Duration::from_millis(lifetime_ms) * process;
            for host in 0..HOSTS {
                // The first processes have run for long.
                let mut share = match process {
                    0 => retry_share::Share::default(),
                    _ => retry_share::Share::new(started_at),
                };
                for ms in (20 * host as u64..lifetime_ms).step_by(120) {
                    let now = started_at + time::Duration::from_millis(ms);
                    let known_hosts = (process == 0 || ms > 100).then_some(HOSTS);
                    share.record_send(retry_share::SendKind::First, now, &BUDGET);
                    log.push((now, false));
                    while share.allows_retry(now, &BUDGET, known_hosts) {
                        share.record_send(retry_share::SendKind::Retry, now, &BUDGET);
                        log.push((now, true));
                    }
                }
            }
        }
        println!("processes end after {lifetime_ms} ms");
        assert_within_budget(&log);
    }
}

#[test]
fn a_used_up_budget_recovers_after_the_window() {
    let mut share = retry_share::Share::default();
    let start = time::Duration::from_secs(100);
    while share.allows_retry(start, &BUDGET, Some(6)) {
        share.record_send(retry_share::SendKind::Retry, start, &BUDGET);
    }
    assert!(!share.allows_retry(start + BUDGET.window, &BUDGET, Some(6)));
    assert!(share.allows_retry(start + BUDGET.window * 2, &BUDGET, Some(6)));
}
