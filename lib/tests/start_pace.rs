//! The pace of servers that start or recover, as many hosts find it together.

mod plain_fleet;

use plain_fleet::Behaviour;

const JOINS: u64 = 8_000;
const SLOTS: usize = 6;
/// Plays that are counted together, as a second of one has some dozen requests.
const SEEDS: std::ops::Range<u64> = 1..21;

fn sound(_: u64, draws: &mut plain_fleet::Draws) -> Option<f64> {
    Some(15.0 * (0.5 + draws.next()))
}

/// Ten times slower in its first second: not one answer is in time.
fn slow_at_first(now: u64, draws: &mut plain_fleet::Draws) -> Option<f64> {
    let is_slow = (JOINS..JOINS + 1_000).contains(&now);
    sound(now, draws).map(|work| work * if is_slow { 10.0 } else { 1.0 })
}

/// Answers for 0.2 s, then fails until 3 s after its start.
fn failing_again(now: u64, draws: &mut plain_fleet::Draws) -> Option<f64> {
    let fails = (JOINS + 200..JOINS + 3_000).contains(&now);
    sound(now, draws).filter(|_| !fails)
}

/// Fails as many requests as all servers of its service do, by what callers send.
fn sound_but_for_callers(now: u64, draws: &mut plain_fleet::Draws) -> Option<f64> {
    sound(now, draws).filter(|_| draws.next() > 0.09)
}

/// Plays 86 hosts, 211 requests a second and three sound servers, with one more that joins. In its first second it
/// never gets more than its slots at once.
fn played(behaviour: Behaviour, seed: u64) -> plain_fleet::Fleet {
    let mut fleet = plain_fleet::Fleet::new(86, &[sound, sound, sound, behaviour], seed);
    fleet.servers[3].joins = JOINS;
    fleet.run_until(JOINS + 1_000, 211.0);
    let most_at_once = fleet.servers[3].most_at_once;
    assert!(most_at_once <= SLOTS, "{most_at_once}");
    fleet.run_until(JOINS + 6_000, 211.0);
    fleet
}

/// Returns a server's part of its fair share of four, in a time after it joined, on average over the seeds.
fn part(fleets: &[plain_fleet::Fleet], after: std::ops::Range<u64>) -> f64 {
    let times = JOINS + after.start..JOINS + after.end;
    let sum = |servers: &[usize]| {
        let sent = |fleet: &plain_fleet::Fleet| -> usize {
            let sent = servers.iter().map(|i| fleet.sent(*i, times.clone()));
            sent.sum()
        };
        fleets.iter().map(sent).sum::<usize>() as f64
    };
    sum(&[3]) * 4.0 / sum(&[0, 1, 2, 3])
}

/// 90% of its fair share one second after it was listed.
#[test]
fn sound_server() {
    let fleets: Vec<_> = SEEDS.map(|seed| played(sound, seed)).collect();
    let after_a_second = part(&fleets, 1_000..1_500);
    assert!(after_a_second >= 0.9, "{after_a_second}");
    let at_first = part(&fleets, 0..200);
    assert!(at_first < 0.5, "{at_first}");
}

/// Failures that all servers have don't hold a sound one back.
#[test]
fn usual_failures() {
    let play = |seed| {
        let behaviours = [sound_but_for_callers as Behaviour; 4];
        let mut fleet = plain_fleet::Fleet::new(86, &behaviours, seed);
        fleet.servers[3].joins = JOINS;
        fleet.run_until(JOINS + 1_500, 211.0);
        fleet
    };
    let fleets: Vec<_> = SEEDS.map(play).collect();
    let after_a_second = part(&fleets, 1_000..1_500);
    assert!(after_a_second >= 0.9, "{after_a_second}");
}

/// While it is slow, few requests find that out; it has 90% of its share within three seconds after.
#[test]
fn slow_start() {
    let fleets: Vec<_> = SEEDS.map(|seed| played(slow_at_first, seed)).collect();
    for fleet in &fleets {
        let late = fleet.servers[3].late;
        assert!(late <= 2 * SLOTS, "{late}");
    }
    let recovered = part(&fleets, 4_000..6_000);
    assert!(recovered >= 0.9, "{recovered}");
}

/// It fails fewer requests than a tenth of those that an equal share would have brought.
#[test]
fn failure_again() {
    let fleets: Vec<_> = SEEDS.map(|seed| played(failing_again, seed)).collect();
    let failures: usize = fleets.iter().map(|f| f.servers[3].failures).sum();
    let fair = 211.0 / 4.0 * 2.8 * fleets.len() as f64;
    assert!((failures as f64) < fair / 10.0, "{failures} of {fair}");
}

/// Half of the fleet was away and returns at once: callers are served all the time, in time, and the ten have 90% of
/// their share within two seconds.
#[test]
fn ten_return() {
    let mut fleet = plain_fleet::Fleet::new(86, &[sound as Behaviour; 20], 1);
    for server in &mut fleet.servers[10..] {
        server.joins = JOINS;
    }
    fleet.run_until(JOINS + 6_000, 1_500.0);
    let late: usize = fleet.servers.iter().map(|server| server.late).sum();
    assert_eq!(late, 0);
    let times = || JOINS + 2_000..JOINS + 3_000;
    let returned: usize = (10..20).map(|i| fleet.sent(i, times())).sum();
    assert!(returned as f64 >= 0.9 * 1_500.0 / 2.0, "{returned}");
}

/// If all servers are in spells, their callers are served as without.
#[test]
fn all_return() {
    let mut fleet = plain_fleet::Fleet::new(86, &[sound as Behaviour; 4], 1);
    for server in &mut fleet.servers {
        server.away = 9_000..10_000;
    }
    fleet.run_until(12_000, 211.0);
    let late: usize = fleet.servers.iter().map(|server| server.late).sum();
    assert_eq!(late, 0);
}

/// Two hosts that don't hear each other send it no more than its slots at once at first, and all of its share after
/// five seconds.
#[test]
fn hosts_apart() {
    let mut fleets: Vec<_> = SEEDS
        .map(|seed| plain_fleet::Fleet::new(2, &[sound as Behaviour; 4], seed))
        .collect();
    for fleet in &mut fleets {
        fleet.hear = false;
        fleet.servers[3].joins = JOINS;
        fleet.run_until(JOINS + 1_000, 20.0);
        assert!(fleet.servers[3].most_at_once <= SLOTS);
        fleet.run_until(JOINS + 9_000, 20.0);
    }
    let whole = part(&fleets, 5_000..9_000);
    assert!(whole >= 0.9, "{whole}");
}

/// One that comes back under its id after it was away starts anew, whatever it answered before.
#[test]
fn return_of_one() {
    let mut fleets: Vec<_> = SEEDS
        .map(|seed| plain_fleet::Fleet::new(86, &[sound as Behaviour; 4], seed))
        .collect();
    for fleet in &mut fleets {
        fleet.servers[3].away = JOINS - 1_000..JOINS;
        fleet.run_until(JOINS + 2_000, 211.0);
    }
    assert!(part(&fleets, 0..200) < 0.5);
    let whole = part(&fleets, 1_000..2_000);
    assert!(whole >= 0.9, "{whole}");
}
