//! Which streams a host stores while several versions serve, and when another host does.

use std::collections;
use std::time;

use quickcheck::quickcheck;
use walnuthaven_lib::stream_records;
use walnuthaven_lib::stream_versions;

fn at(ms: u64) -> time::Duration {
    time::Duration::from_millis(1_000_000 + ms)
}

/// A host, with what it knows of streams.
#[derive(Default)]
struct Host {
    known: stream_versions::StreamVersions,
    records: stream_records::StreamRecords,
}

impl Host {
    /// Returns a host that stores streams.
    fn storing() -> Self {
        let mut host = Self::default();
        host.records.set_needed(true, &host.known, at(0));
        host
    }

    fn begin(&mut self, key: u64, version: &str, ms: u64) {
        let key = stream_versions::StreamKey(key);
        if self.known.record_own(key, version, at(ms + 14_000), at(ms)) {
            self.records.record_begun(key, at(ms));
        }
    }

    fn next(&mut self, rank: u32, ms: u64) -> Option<stream_records::Batch> {
        self.records.next_batch(&self.known, rank, 1, at(ms))
    }
}

fn keys(batch: &stream_records::Batch) -> Vec<u64> {
    batch.streams().map(|key| key.0).collect()
}

#[test]
fn nothing_is_stored_while_one_version_serves() {
    let mut host = Host::default();
    for key in 0..1_000 {
        host.begin(key, "v1", key);
        assert_eq!(host.next(0, key), None);
    }
    assert_eq!(host.records.count_unsaved(), 0);
    assert!(!host.records.is_list_due(at(1_000)));
}

#[test]
fn streams_of_before_are_stored_when_a_second_version_appears() {
    let mut host = Host::default();
    host.begin(1, "v1", 0);
    host.begin(2, "v1", 9_000);
    host.records.set_needed(true, &host.known, at(15_000));
    host.begin(3, "v2", 15_000);
    let batch = host.next(0, 15_000).unwrap();
    // The first stream has expired.
    assert_eq!(batch.by_version["v1"], [stream_versions::StreamKey(2)]);
    assert_eq!(batch.by_version["v2"], [stream_versions::StreamKey(3)]);
    assert_eq!(batch.expires, at(29_000));
}

#[test]
fn stored_stream_is_not_stored_again_and_announced_twice() {
    let mut host = Host::storing();
    host.begin(1, "v1", 0);
    let batch = host.next(0, 0).unwrap();
    host.records.record_written(&batch, at(5));
    assert_eq!(host.next(0, 1_000), None);
    assert_eq!(
        host.records.next_announced(64, at(5)),
        [stream_versions::StreamKey(1)]
    );
    assert!(host.records.next_announced(64, at(6)).is_empty());
    assert_eq!(
        host.records.next_announced(64, at(200)),
        [stream_versions::StreamKey(1)]
    );
    assert!(host.records.next_announced(64, at(9_000)).is_empty());
}

#[test]
fn next_host_writes_what_the_first_one_does_not() {
    let mut host = Host::storing();
    host.begin(1, "v1", 0);
    host.begin(2, "v1", 0);
    assert_eq!(host.next(1, 290), None);
    host.records
        .record_saved_elsewhere(&[stream_versions::StreamKey(1)]);
    assert_eq!(keys(&host.next(1, 300).unwrap()), [2]);
    // The others leave it, so that a store that fails isn't called by all.
    let mut last = Host::storing();
    last.begin(1, "v1", 0);
    assert_eq!(last.next(4, 13_000), None);
}

#[test]
fn failed_write_is_repeated_after_growing_pauses() {
    let mut host = Host::storing();
    host.begin(1, "v1", 0);
    let mut writes = Vec::new();
    for ms in 0..6_000 {
        if host.next(0, ms).is_some() {
            writes.push(ms);
            host.records.record_failure(at(ms));
        }
    }
    assert_eq!(writes, [0, 100, 300, 700, 1_500, 3_100, 5_100]);
}

#[test]
fn expired_objects_are_replaced() {
    let mut host = Host::storing();
    host.begin(1, "v1", 0);
    let batch = host.next(0, 0).unwrap();
    assert_eq!(batch.replaces, None);
    host.records.record_written(&batch, at(5));
    assert!(host.records.is_list_due(at(5)));
    assert!(!host.records.is_list_due(at(6)));
    let expired = stream_records::Replaceable {
        name: "a".into(),
        revision: 7,
    };
    host.records.record_replaceable(vec![expired.clone()]);
    host.begin(2, "v1", 200);
    host.begin(3, "v1", 400);
    assert_eq!(host.next(0, 200).unwrap().replaces, Some(expired));
    assert_eq!(host.next(0, 400).unwrap().replaces, None);
}

#[test]
fn object_counts_until_its_streams_have_expired_by_any_clock() {
    let left = |ms| stream_records::counts_for(at(0), at(ms));
    assert!(left(29_999).is_some());
    assert_eq!(left(30_000), None);
    let by_a_slow_clock = stream_records::counts_for(at(9_000_000), at(0));
    assert_eq!(by_a_slow_clock, Some(time::Duration::from_secs(68)));
}

// The store takes 400 writes a second from all hosts together, and 8 hosts, 86 and 2,000 form 1, 1 and 32 groups.
#[test]
fn writes_stay_within_eighty_a_second() {
    for groups in [1, 8, 32] {
        let mut host = Host::storing();
        let mut writes = 0;
        for ms in 0..10_000 {
            host.begin(ms, "v1", ms);
            let batch = host.records.next_batch(&host.known, 0, groups, at(ms));
            if let Some(batch) = batch {
                host.records.record_written(&batch, at(ms));
                writes += 1;
            }
        }
        assert!(writes * groups <= 800, "{writes} of {groups} groups");
    }
}

quickcheck! {
    // Every stream is written once by the first host, at most one spacing after it began, with its own version.
    fn each_stream_is_stored_soon_with_its_version(begun: Vec<(u16, bool)>) -> bool {
        let mut host = Host::storing();
        let mut begun: Vec<_> = begun.into_iter().map(|(ms, new)| (u64::from(ms) % 3_000, new)).collect();
        begun.sort();
        let mut stored = collections::BTreeMap::new();
        let mut next = begun.iter().enumerate().peekable();
        for ms in 0..3_200 {
            while let Some((key, (_, new))) = next.next_if(|(_, (begins, _))| *begins <= ms) {
                host.begin(key as u64, if *new { "v2" } else { "v1" }, ms);
            }
            let Some(batch) = host.next(0, ms) else {
                continue;
            };
            for (version, keys) in &batch.by_version {
                for key in keys {
                    if stored.insert(key.0, (version.to_string(), ms)).is_some() {
                        return false;
                    }
                }
            }
            host.records.record_written(&batch, at(ms));
        }
        begun.iter().enumerate().all(|(key, (begins, new))| {
            let (version, ms) = &stored[&(key as u64)];
            *version == if *new { "v2" } else { "v1" } && *ms <= begins + 100
        })
    }
}

/// Guards against streams that no host knows after a drill and the end of all hosts.
#[test]
fn streams_that_the_store_lost_are_stored_again() {
    let mut host = Host::storing();
    host.begin(1, "v1", 0);
    host.begin(2, "v2", 10_000);
    let batch = host.next(0, 10_000).unwrap();
    host.records.record_written(&batch, at(10_005));
    let old = stream_records::Replaceable {
        name: "o".into(),
        revision: 7,
    };
    host.records.record_replaceable(vec![old]);
    assert_eq!(host.next(0, 11_000), None);
    host.records.record_store_loss(&host.known, at(15_000));
    let batch = host.next(0, 15_000).unwrap();
    // The first stream has expired.
    assert_eq!(keys(&batch), [2]);
    assert_eq!(batch.replaces, None, "its revision is of the former era");
}
