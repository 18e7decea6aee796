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
    sent_at: time::Duration::from_millis(1_002_900),
    ended_at: time::Duration::from_millis(1_003_000),
    broke: true,
};
const SILENT: departures::FailedAttempt = departures::FailedAttempt {
    broke: false,
    ..BROKEN
};

/// Judges an attempt at a host that is alone, so that its own view counts.
fn judge(
    attempt: departures::FailedAttempt,
    probe: departures::Probe,
    departure: Option<departures::Departure>,
) -> departures::Verdict {
    departures::judge(attempt, probe, departures::OtherHosts::None, departure)
}

fn left_at(ms: u64, way: departures::Way) -> Option<departures::Departure> {
    Some(departures::Departure { at: at(ms), way })
}

#[test]
fn server_that_nothing_reaches_after_it_broke_off_has_crashed() {
    use departures::Probe;
    use departures::Verdict;
    assert_eq!(judge(BROKEN, Probe::Refused, None), Verdict::Crashed);
    assert_eq!(judge(BROKEN, Probe::Unreachable, None), Verdict::Crashed);
    // The next process may listen at the address already.
    assert_eq!(judge(BROKEN, Probe::Accepted, None), Verdict::Unknown);
    assert_eq!(judge(SILENT, Probe::Refused, None), Verdict::Crashed);
    // It may crash yet.
    assert_eq!(judge(SILENT, Probe::Accepted, None), Verdict::Unknown);
    // The network may be at fault.
    assert_eq!(judge(SILENT, Probe::Unreachable, None), Verdict::Unknown);
}

#[test]
fn server_that_ends_as_announced_has_not_crashed() {
    let drained = left_at(1_000, departures::Way::Drained);
    for attempt in [BROKEN, SILENT] {
        let verdict = judge(attempt, departures::Probe::Refused, drained);
        assert_eq!(verdict, departures::Verdict::NotCrashed);
    }
    // Some servers have their entry removed instead, and go on serving for as long.
    let removed = left_at(1_000, departures::Way::Vanished);
    let verdict = judge(BROKEN, departures::Probe::Refused, removed);
    assert_eq!(verdict, departures::Verdict::NotCrashed);
}

// A leaving server serves for two seconds more. If it breaks off sooner, it crashed.
#[test]
fn crash_of_a_server_that_has_just_begun_to_leave_counts() {
    for way in [departures::Way::Drained, departures::Way::Vanished] {
        let leaving = left_at(2_500, way);
        let verdict = judge(BROKEN, departures::Probe::Refused, leaving);
        assert_eq!(verdict, departures::Verdict::Crashed);
    }
}

#[test]
fn entry_that_vanishes_during_silence_shows_a_crash() {
    let vanished = left_at(1_000, departures::Way::Vanished);
    let verdict = judge(SILENT, departures::Probe::Unreachable, vanished);
    assert_eq!(verdict, departures::Verdict::Crashed);
}

// A process that accepts connections at the address may have been started since.
#[test]
fn probe_that_is_accepted_proves_nothing_and_the_entries_decide() {
    let accepted = departures::Probe::Accepted;
    let lapsed = left_at(6_500, departures::Way::Vanished);
    assert_eq!(
        judge(BROKEN, accepted, lapsed),
        departures::Verdict::Crashed
    );
    let replaced = left_at(3_200, departures::Way::Replaced);
    for attempt in [BROKEN, SILENT] {
        let verdict = judge(attempt, accepted, replaced);
        assert_eq!(verdict, departures::Verdict::Crashed);
    }
    let drained = left_at(6_500, departures::Way::Drained);
    assert_eq!(
        judge(BROKEN, accepted, drained),
        departures::Verdict::Unknown
    );
}

// A request that was sent after the change went to the process that took the place.
#[test]
fn end_of_the_process_before_says_nothing_about_its_successor() {
    let replaced = left_at(1_000, departures::Way::Replaced);
    let verdict = judge(BROKEN, departures::Probe::Accepted, replaced);
    assert_eq!(verdict, departures::Verdict::Unknown);
    let verdict = judge(BROKEN, departures::Probe::Refused, replaced);
    assert_eq!(verdict, departures::Verdict::Crashed);
}

#[test]
fn departures_follow_the_view() {
    let mut departures = departures::Departures::default();
    let process = server(false).process();
    departures.record(&backends::Change::Joined(server(false)), at(0));
    assert_eq!(departures.get(&process), None);
    departures.record(&backends::Change::Updated(server(true)), at(10));
    departures.record(&backends::Change::Vanished(server(true)), at(2_500));
    let drained = left_at(10, departures::Way::Drained);
    assert_eq!(departures.get(&process), drained);
    departures.record(&backends::Change::Joined(server(false)), at(6_000));
    assert_eq!(departures.get(&process), None);
    departures.record(&backends::Change::Vanished(server(false)), at(7_000));
    let vanished = left_at(7_000, departures::Way::Vanished);
    assert_eq!(departures.get(&process), vanished);
}

/// Returns the entry of a server with another id, start time or port.
fn another(id: &str, born: u64, port: u16) -> sync::Arc<backends::Backend> {
    sync::Arc::new(backends::Backend {
        id: id.into(),
        started_unix_ms: Some(born),
        addr: net::SocketAddr::from(([127, 0, 0, 1], port)),
        ..(*server(false)).clone()
    })
}

#[test]
fn process_with_the_id_or_the_address_of_another_replaces_it() {
    let first = another("i-a", 1, 1);
    for next in [
        another("i-a", 2, 1),
        another("i-a", 2, 9),
        another("i-b", 2, 1),
    ] {
        let mut departures = departures::Departures::default();
        departures.record(&backends::Change::Joined(first.clone()), at(0));
        departures.record(&backends::Change::Restarted(next.clone()), at(50));
        let replaced = left_at(50, departures::Way::Replaced);
        assert_eq!(departures.get(&first.process()), replaced);
        assert_eq!(departures.get(&next.process()), None);
        departures.record(&backends::Change::Vanished(next.clone()), at(9_000));
        let vanished = left_at(9_000, departures::Way::Vanished);
        assert_eq!(departures.get(&next.process()), vanished);
    }
}

#[test]
fn outdated_entry_does_not_replace_a_process_that_started_later() {
    let mut departures = departures::Departures::default();
    let newer = another("i-a", 2, 1);
    departures.record(&backends::Change::Joined(newer.clone()), at(0));
    let older = another("i-a", 1, 1);
    departures.record(&backends::Change::Restarted(older), at(50));
    assert_eq!(departures.get(&newer.process()), None);
}

// What a host with cut links sees.
#[test]
fn server_that_other_hosts_reach_or_that_they_cannot_tell_of_has_not_crashed_by_a_probe() {
    let attempt = departures::FailedAttempt {
        sent_at: at(0),
        ended_at: at(100),
        broke: true,
    };
    for probe in [departures::Probe::Refused, departures::Probe::Unreachable] {
        let verdict = |others| departures::judge(attempt, probe, others, None);
        let (unknown, crashed) = (departures::Verdict::Unknown, departures::Verdict::Crashed);
        assert_eq!(verdict(departures::OtherHosts::Reach), unknown);
        assert_eq!(verdict(departures::OtherHosts::Unknown), unknown);
        assert_eq!(verdict(departures::OtherHosts::DontReach), crashed);
    }
}
