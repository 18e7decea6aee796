//! Which version began a stream: what hosts remember of it, and what they announce.

use std::collections;
use std::time;

use quickcheck::quickcheck;
use walnuthaven_lib::stream_versions;

fn at(ms: u64) -> time::Duration {
    time::Duration::from_millis(1_000_000 + ms)
}

const KEY: stream_versions::StreamKey = stream_versions::StreamKey(7);

fn version_of(
    table: &stream_versions::StreamVersions,
    key: stream_versions::StreamKey,
    now: time::Duration,
) -> Option<String> {
    table.get(key, now).map(|record| record.version.to_string())
}

#[test]
fn stream_is_forgotten_when_nobody_can_take_it_up() {
    let mut table = stream_versions::StreamVersions::default();
    table.record_received(KEY, "v1", at(14_000), at(0));
    assert_eq!(version_of(&table, KEY, at(13_999)).as_deref(), Some("v1"));
    assert_eq!(version_of(&table, KEY, at(14_000)), None);
    table.record_received(stream_versions::StreamKey(8), "v1", at(30_000), at(14_000));
    assert_eq!(table.count(), 1);
}

// A stream that was resumed may break again, near the end of its first record.
#[test]
fn stream_that_is_resumed_again_is_kept_and_announced_again() {
    let mut table = stream_versions::StreamVersions::default();
    table.record_own(KEY, "v1", at(14_000), at(0));
    while !table.next_announced(64, at(10_000)).is_empty() {}
    table.record_own(KEY, "v1", at(24_000), at(10_000));
    let announced = table.next_announced(64, at(10_001));
    assert_eq!(announced.len(), 1);
    assert_eq!(announced[0].1.expires, at(24_000));
    table.record_own(stream_versions::StreamKey(8), "v1", at(40_000), at(15_000));
    assert_eq!(version_of(&table, KEY, at(20_000)).as_deref(), Some("v1"));
    assert_eq!(version_of(&table, KEY, at(24_000)), None);
}

#[test]
fn first_version_of_a_stream_stays() {
    let mut table = stream_versions::StreamVersions::default();
    table.record_received(KEY, "v1", at(14_000), at(0));
    table.record_received(KEY, "v2", at(30_000), at(1));
    assert_eq!(version_of(&table, KEY, at(100)).as_deref(), Some("v1"));
}

#[test]
fn received_record_is_not_announced() {
    let mut table = stream_versions::StreamVersions::default();
    table.record_received(KEY, "v1", at(14_000), at(0));
    assert!(table.next_announced(64, at(0)).is_empty());
}

// Datagrams get lost, several in a row if a link fails for a moment.
#[test]
fn own_stream_is_announced_several_times_over_two_seconds() {
    let mut table = stream_versions::StreamVersions::default();
    table.record_own(KEY, "v1", at(14_000), at(0));
    let sent: Vec<u64> = (0..10_000)
        .step_by(10)
        .filter(|ms| !table.next_announced(64, at(*ms)).is_empty())
        .collect();
    assert_eq!(sent, [0, 100, 500, 2_000]);
}

#[test]
fn newest_streams_are_announced_first_and_the_others_next() {
    let mut table = stream_versions::StreamVersions::default();
    for number in 0..100 {
        let key = stream_versions::StreamKey(number);
        table.record_own(key, "v1", at(14_000), at(number));
    }
    let mut announced = |ms| {
        let announced = table.next_announced(64, at(ms)).into_iter();
        let keys: Vec<_> = announced.map(|(key, _)| key.0).collect();
        (keys, table.has_unannounced())
    };
    let (first, more) = announced(100);
    assert_eq!((first.len(), first[0], first[63]), (64, 99, 36));
    assert!(more);
    // Repetitions are due by now, but must not hold up the streams that no host has heard of.
    let (second, more) = announced(300);
    assert_eq!(second[..36], (0..36).rev().collect::<Vec<_>>());
    assert_eq!((second.len(), second[36]), (64, 99));
    assert!(!more);
}

#[test]
fn memory_is_bounded_and_the_newest_streams_stay() {
    let mut table = stream_versions::StreamVersions::default();
    let count = stream_versions::MAX_STREAMS as u64 + 500;
    for number in 0..count {
        table.record_received(stream_versions::StreamKey(number), "v1", at(60_000), at(0));
    }
    assert_eq!(table.count(), stream_versions::MAX_STREAMS);
    let newest = stream_versions::StreamKey(count - 1);
    assert!(table.get(newest, at(0)).is_some());
    assert!(table.get(stream_versions::StreamKey(0), at(0)).is_none());
}

quickcheck! {
    // Whatever is recorded in whatever order, an answer is the first version that was recorded and hasn't
    // expired, and announcements never say anything else.
    fn answers_are_what_was_recorded_first(steps: Vec<(u8, bool, bool, u16)>) -> bool {
        let mut table = stream_versions::StreamVersions::default();
        let mut model: collections::HashMap<u8, (&str, time::Duration)> =
            collections::HashMap::new();
        let mut now = at(0);
        for (number, is_second, own, ms) in steps {
            now += time::Duration::from_millis(u64::from(ms % 700));
            let version = if is_second { "v2" } else { "v1" };
            let expires = now + time::Duration::from_millis(u64::from(ms));
            let key = stream_versions::StreamKey(number.into());
            match own {
                true => table.record_own(key, version, expires, now),
                false => table.record_received(key, version, expires, now),
            };
            model.retain(|_, (_, until)| now < *until);
            if now < expires {
                let known = model.entry(number).or_insert((version, expires));
                if known.0 == version && expires >= known.1 + time::Duration::from_secs(1) {
                    known.1 = expires;
                }
            }
            let is_known = |key: stream_versions::StreamKey, version: &str| {
                model.get(&(key.0 as u8)).is_some_and(|(known, _)| *known == version)
            };
            let all_match = model.iter().all(|(number, (version, _))| {
                let key = stream_versions::StreamKey((*number).into());
                version_of(&table, key, now).as_deref() == Some(*version)
            });
            let announced = table.next_announced(3, now);
            if !all_match || !announced.iter().all(|(key, record)| is_known(*key, &record.version)) {
                return false;
            }
        }
        true
    }
}
