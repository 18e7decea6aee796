//! Telling the crash of a server from a planned end.

use std::net;
use std::sync;
use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::departures;

fn at(ms: u64) -> time::Duration {
    time::Duration::from_millis(1_000_000 + ms)
}

fn server(draining: bool) -> sync::Arc<backends::Backend> {
    sync::Arc::new(backends::Backend {
        id: "i-a".into(),
        started_unix_ms: None,
        service: "gate".into(),
        addr: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "z1".into(),
        draining,
        stage: None,
        slots: 6,
        version: "v1".into(),
    })
}

const BROKEN: departures::FailedAttempt = departures::FailedAttempt {
    ended_at: time::Duration::from_millis(1_003_000),
    broke: true,
};
const SILENT: departures::FailedAttempt = departures::FailedAttempt {
    broke: false,
    ..BROKEN
};

/// Judges an attempt that ended at 3,000 ms by a probe 150 ms later.
fn judge(
    attempt: departures::FailedAttempt,
    probe: departures::Probe,
    departure: Option<departures::Departure>,
) -> departures::Verdict {
    departures::judge(attempt, probe, at(3_150), departure)
}

fn left_at(ms: u64, announced: bool) -> Option<departures::Departure> {
    Some(departures::Departure {
        at: at(ms),
        announced,
    })
}

#[test]
fn server_that_nothing_reaches_after_it_broke_off_has_crashed() {
    use departures::Probe;
    use departures::Verdict;
    assert_eq!(judge(BROKEN, Probe::Refused, None), Verdict::Crashed);
    assert_eq!(judge(BROKEN, Probe::Unreachable, None), Verdict::Crashed);
    assert_eq!(judge(BROKEN, Probe::Reachable, None), Verdict::NotCrashed);
    assert_eq!(judge(SILENT, Probe::Refused, None), Verdict::Crashed);
    // It may crash yet.
    assert_eq!(judge(SILENT, Probe::Reachable, None), Verdict::Unknown);
    // The network may be at fault.
    assert_eq!(judge(SILENT, Probe::Unreachable, None), Verdict::Unknown);
}

#[test]
fn server_that_ends_as_announced_has_not_crashed() {
    let drained = left_at(1_000, true);
    for attempt in [BROKEN, SILENT] {
        let verdict = judge(attempt, departures::Probe::Refused, drained);
        assert_eq!(verdict, departures::Verdict::NotCrashed);
    }
    // Some servers have their entry removed instead, and go on serving for as long.
    let removed = left_at(1_000, false);
    let verdict = judge(BROKEN, departures::Probe::Refused, removed);
    assert_eq!(verdict, departures::Verdict::NotCrashed);
}

// A leaving server serves for two seconds more. If it breaks off sooner, it crashed.
#[test]
fn crash_of_a_server_that_has_just_begun_to_leave_counts() {
    for announced in [true, false] {
        let leaving = left_at(2_500, announced);
        let verdict = judge(BROKEN, departures::Probe::Refused, leaving);
        assert_eq!(verdict, departures::Verdict::Crashed);
    }
}

#[test]
fn entry_that_vanishes_during_silence_shows_a_crash() {
    let vanished = left_at(1_000, false);
    let verdict = judge(SILENT, departures::Probe::Unreachable, vanished);
    assert_eq!(verdict, departures::Verdict::Crashed);
}

// A host that was paused probes only once the server is back.
#[test]
fn late_probe_proves_nothing_and_the_entry_decides() {
    let late = at(9_000);
    let reachable = departures::Probe::Reachable;
    let verdict = departures::judge(BROKEN, reachable, late, None);
    assert_eq!(verdict, departures::Verdict::Unknown);
    let lapsed = left_at(6_500, false);
    let verdict = departures::judge(BROKEN, reachable, late, lapsed);
    assert_eq!(verdict, departures::Verdict::Crashed);
    let drained = left_at(6_500, true);
    let verdict = departures::judge(BROKEN, reachable, late, drained);
    assert_eq!(verdict, departures::Verdict::Unknown);
}

#[test]
fn departures_follow_the_view() {
    let mut departures = departures::Departures::default();
    departures.record(&backends::Change::Joined(server(false)), at(0));
    assert_eq!(departures.get("i-a"), None);
    departures.record(&backends::Change::Updated(server(true)), at(10));
    departures.record(&backends::Change::Vanished(server(true)), at(2_500));
    assert_eq!(departures.get("i-a"), left_at(10, true));
    departures.record(&backends::Change::Joined(server(false)), at(6_000));
    assert_eq!(departures.get("i-a"), None);
    departures.record(&backends::Change::Vanished(server(false)), at(7_000));
    assert_eq!(departures.get("i-a"), left_at(7_000, false));
    departures.record(&backends::Change::Restarted(server(false)), at(50_000));
    assert_eq!(departures.get("i-a"), left_at(50_000, false));
}
