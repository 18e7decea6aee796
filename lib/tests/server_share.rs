//! Work in proportion to the speed of servers, by hosts that learn it together.

mod plain_fleet;

use std::sync;

use plain_fleet::at;
use walnuthaven_lib::backends;
use walnuthaven_lib::server_speed;

/// Work of 15 ms, more or less, at a speed.
fn work(speed: f64, draws: &mut plain_fleet::Draws) -> Option<f64> {
    Some(15.0 / speed * (0.5 + draws.next()))
}

fn slow(_: u64, draws: &mut plain_fleet::Draws) -> Option<f64> {
    work(0.7, draws)
}

fn usual(_: u64, draws: &mut plain_fleet::Draws) -> Option<f64> {
    work(1.0, draws)
}

fn fast(_: u64, draws: &mut plain_fleet::Draws) -> Option<f64> {
    work(1.7, draws)
}

/// 2.5 times slower in a sixth of the moments of 0.6 s.
fn unsteady(now: u64, draws: &mut plain_fleet::Draws) -> Option<f64> {
    let is_slow = (now / 600).is_multiple_of(6);
    work(if is_slow { 0.4 } else { 1.0 }, draws)
}

/// Five times slower between 20 and 30 s.
fn slow_for_a_while(now: u64, draws: &mut plain_fleet::Draws) -> Option<f64> {
    let is_slow = (20_000..30_000).contains(&now);
    work(if is_slow { 0.2 } else { 1.0 }, draws)
}

/// Fails four in ten between 20 and 30 s.
fn grey(now: u64, draws: &mut plain_fleet::Draws) -> Option<f64> {
    let is_grey = (20_000..30_000).contains(&now);
    work(1.0, draws).filter(|_| !is_grey || draws.next() > 0.4)
}

/// Checks that each server has its fair share, in proportion to `speeds`, within a tenth, from 10 to 70 s.
fn check_shares(fleet: &mut plain_fleet::Fleet, per_second: f64, speeds: &[f64]) {
    fleet.run_until(70_000, per_second);
    let sent: Vec<_> = (0..speeds.len())
        .map(|i| fleet.sent(i, 10_000..70_000) as f64)
        .collect();
    let all: f64 = sent.iter().sum();
    let all_speeds: f64 = speeds.iter().sum();
    for (sent, speed) in sent.iter().zip(speeds) {
        let of_fair = sent / all / (speed / all_speeds);
        assert!((0.9..=1.1).contains(&of_fair), "{sent} of {all}: {of_fair}");
    }
}

#[test]
fn unequal_servers() {
    let mut fleet = plain_fleet::Fleet::new(86, &[slow, slow, fast, usual], 1);
    check_shares(&mut fleet, 211.0, &[0.7, 0.7, 1.7, 1.0]);
    let mut fleet = plain_fleet::Fleet::new(7, &[slow, fast], 2);
    check_shares(&mut fleet, 100.0, &[0.7, 1.7]);
    let mut fleet = plain_fleet::Fleet::new(2, &[usual, fast], 3);
    check_shares(&mut fleet, 200.0, &[1.0, 1.7]);
}

/// Also those of which no host has an answer yet when others have.
#[test]
fn equal_servers() {
    let mut fleet = plain_fleet::Fleet::new(86, &[usual as plain_fleet::Behaviour; 4], 4);
    check_shares(&mut fleet, 211.0, &[1.0; 4]);
    let mut fleet = plain_fleet::Fleet::new(40, &[usual as plain_fleet::Behaviour; 17], 5);
    check_shares(&mut fleet, 900.0, &[1.0; 17]);
}

#[test]
fn moments_of_slowness() {
    let mut fleet = plain_fleet::Fleet::new(86, &[unsteady, usual, usual, usual], 6);
    // A sixth of the time at 2.5 times the work: 1.25 times on average.
    check_shares(&mut fleet, 211.0, &[0.8, 1.0, 1.0, 1.0]);
}

/// A server turns five times slower for ten seconds: within a second it has less than half of an equal share, and its
/// whole one within ten seconds after it recovered.
#[test]
fn slow_server() {
    let mut fleet = plain_fleet::Fleet::new(86, &[slow_for_a_while, usual, usual, usual], 7);
    fleet.run_until(60_000, 211.0);
    let per_second = |times: std::ops::Range<u64>| {
        let seconds = (times.end - times.start) as f64 / 1e3;
        fleet.sent(0, times) as f64 / seconds
    };
    assert!(per_second(21_000..30_000) < 211.0 / 8.0);
    assert!(per_second(40_000..60_000) > 211.0 / 4.0 * 0.9);
}

/// Of a server that fails requests the callers of all hosts see few failures, and it has its share again within ten
/// seconds after it recovered.
#[test]
fn grey_server() {
    let mut fleet = plain_fleet::Fleet::new(86, &[grey, usual, usual, usual], 8);
    fleet.run_until(60_000, 211.0);
    assert!(fleet.sent(0, 21_500..30_000) < fleet.sent(1, 21_500..30_000) / 4);
    let sent = fleet.sent(0, 40_000..60_000) as f64;
    assert!(sent > 211.0 * 20.0 / 4.0 * 0.9, "{sent}");
}

#[test]
fn hosts_apart() {
    let mut fleet = plain_fleet::Fleet::new(2, &[slow, fast], 9);
    fleet.hear = false;
    check_shares(&mut fleet, 100.0, &[0.7, 1.7]);
}

fn server(started_unix_ms: u64) -> sync::Arc<backends::Backend> {
    let mut server = plain_fleet::Fleet::new(1, &[usual], 1).servers.remove(0);
    let backend = sync::Arc::make_mut(&mut server.backend);
    backend.started_unix_ms = Some(started_unix_ms);
    server.backend
}

fn answered(ms: u64) -> server_speed::Ending {
    server_speed::Ending::Answered {
        took: at(ms),
        late: false,
    }
}

/// What is known of a process fades to the typical time, and isn't taken for its successor's under the same id.
#[test]
fn unknown_servers() {
    let mut speeds = server_speed::ServerSpeeds::default();
    let (old, new, other) = (server(1), server(2), server(3));
    for _ in 0..100 {
        speeds.record(&old.process(), answered(100), true, at(0));
        speeds.record(&other.process(), answered(10), true, at(0));
    }
    let estimates = speeds.estimates(&[old.clone(), new, other.clone()], at(0));
    assert!(estimates[0].time_ms > 90.0, "{estimates:?}");
    assert!((estimates[1].time_ms - 55.0).abs() < 1.0, "{estimates:?}");
    let estimates = speeds.estimates(&[old, other], at(60_000));
    let ratio = estimates[0].time_ms / estimates[1].time_ms;
    assert!((0.8..1.25).contains(&ratio), "{estimates:?}");
}

/// Reports are whole states: the last one of each host counts, and one that can't be doesn't.
#[test]
fn reports() {
    let process = server(1).process();
    let mut teller = server_speed::ServerSpeeds::default();
    let mut hearer = server_speed::ServerSpeeds::default();
    for i in 0..3 {
        teller.record(&process, answered(30), true, at(i));
        let reports = teller.take_reports(16, at(i));
        hearer.replace_report(&"h".into(), &process, reports[0].1, at(i));
    }
    assert!(teller.take_reports(16, at(3)).is_empty(), "nothing is new");
    let count = hearer.recent(&process, at(3)).count;
    assert!((2.9..=3.0).contains(&count), "{count}");
    let mut wrong = server_speed::Answers::default();
    for bad in [f64::NAN, -1.0, 1e9] {
        wrong.recent.count = bad;
        hearer.replace_report(&"h".into(), &process, wrong, at(3));
    }
    assert_eq!(hearer.recent(&process, at(3)).count, count);
    hearer.expire(|_| true, at(120_000));
    assert!(hearer.is_empty());
}
