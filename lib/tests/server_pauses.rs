//! Servers that asked to get nothing for some time.

use std::time;

use walnuthaven_lib::backends;
use walnuthaven_lib::server_pauses;

const NOW: time::Duration = time::Duration::from_secs(100);

fn process(started_unix_ms: u64) -> backends::Process {
    backends::Process {
        id: "a".into(),
        started_unix_ms: Some(started_unix_ms),
        addr: "127.0.0.1:80".parse().unwrap(),
        version: "v1".into(),
    }
}

#[test]
fn longest_pause_holds_and_ends() {
    let mut pauses = server_pauses::Pauses::default();
    let seconds = time::Duration::from_secs;
    pauses.record(process(1), seconds(3), NOW);
    pauses.record(process(1), seconds(1), NOW + seconds(1));
    let left = |at| pauses.time_left(&process(1), at);
    assert_eq!(left(NOW + seconds(1)), Some(seconds(2)));
    assert_eq!(left(NOW + seconds(3)), None);
    assert_eq!(pauses.time_left(&process(2), NOW), None);
}

#[test]
fn endless_pause_does_not_overflow() {
    let mut pauses = server_pauses::Pauses::default();
    pauses.record(process(1), time::Duration::MAX, NOW);
    assert!(pauses.time_left(&process(1), NOW).is_some());
    pauses.expire(NOW + time::Duration::from_secs(100_000));
    assert!(pauses.is_empty());
}
