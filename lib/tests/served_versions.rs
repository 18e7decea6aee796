//! Which versions have served: what a host concludes from its view, the store and other hosts.

use std::net;
use std::sync;
use std::time;

use quickcheck::quickcheck;
use walnuthaven_lib::backends;
use walnuthaven_lib::served_versions;

/// Longer than streams may be resumed, with the margin.
const PAST: u64 = 70_000;

fn at(ms: u64) -> time::Duration {
    time::Duration::from_millis(1_000_000 + ms)
}

fn unix(ms: u64) -> time::Duration {
    time::Duration::from_millis(1_700_000_000_000 + ms)
}

fn engine(id: &str, version: &str) -> sync::Arc<backends::Backend> {
    sync::Arc::new(backends::Backend {
        id: id.into(),
        started_unix_ms: None,
        service: "scribe".into(),
        addr: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "z1".into(),
        version: version.into(),
        draining: false,
        stage: Some(backends::Stage::Decode),
        slots: 6,
    })
}

fn join(view: &mut served_versions::ServedVersions, id: &str, version: &str, ms: u64) {
    let change = backends::Change::Joined(engine(id, version));
    view.record(&change, at(ms));
}

fn vanish(view: &mut served_versions::ServedVersions, id: &str, version: &str, ms: u64) {
    let change = backends::Change::Vanished(engine(id, version));
    view.record(&change, at(ms));
}

fn of(version: &str) -> served_versions::ServiceVersion {
    served_versions::ServiceVersion {
        service: "scribe".into(),
        version: version.into(),
    }
}

fn stored(version: &str, gone_at: Option<time::Duration>) -> served_versions::Stored {
    served_versions::Stored {
        of: of(version),
        gone_at,
        revision: 5,
    }
}

/// Returns the sole version at a host that hears from the store and from other hosts.
fn sole(view: &mut served_versions::ServedVersions, ms: u64) -> Option<String> {
    view.record_answer(at(ms));
    view.sole("scribe", true, at(ms))
        .map(|version| version.to_string())
}

fn read_store(
    view: &mut served_versions::ServedVersions,
    records: &[served_versions::Stored],
    ms: u64,
) {
    view.record_stored(records, unix(ms), at(ms));
}

#[test]
fn host_that_just_started_knows_nothing_until_it_has_read_the_store() {
    let mut view = served_versions::ServedVersions::default();
    assert_eq!(view.sole("scribe", true, at(0)), None);
    join(&mut view, "i-a", "v1", 0);
    assert_eq!(sole(&mut view, 0), None);
    read_store(&mut view, &[stored("v1", None)], 10);
    assert_eq!(sole(&mut view, 10).as_deref(), Some("v1"));
    assert_eq!(view.sole("other", true, at(10)), None);
}

#[test]
fn without_the_store_a_host_knows_after_the_retention_time() {
    let mut view = served_versions::ServedVersions::default();
    join(&mut view, "i-a", "v1", 0);
    assert_eq!(sole(&mut view, 0), None);
    assert_eq!(sole(&mut view, 60_000), None);
    assert_eq!(sole(&mut view, PAST).as_deref(), Some("v1"));
}

// Streams that began at the version that is gone may still be resumed.
#[test]
fn version_that_is_gone_counts_for_the_retention_time() {
    let mut view = served_versions::ServedVersions::default();
    join(&mut view, "i-a", "v1", 0);
    read_store(&mut view, &[stored("v1", None)], 0);
    join(&mut view, "i-b", "v2", 1_000);
    assert_eq!(sole(&mut view, 1_000), None);
    vanish(&mut view, "i-a", "v1", 5_000);
    assert_eq!(sole(&mut view, 65_000), None);
    assert_eq!(sole(&mut view, 5_000 + PAST).as_deref(), Some("v2"));
}

#[test]
fn version_that_was_gone_before_the_start_counts_by_its_stored_time() {
    for (gone_ms, expected) in [(10_000, None), (85_000, None), (95_000, Some("v2"))] {
        let mut view = served_versions::ServedVersions::default();
        join(&mut view, "i-b", "v2", 0);
        let records = [stored("v1", Some(unix(0))), stored("v2", None)];
        view.record_stored(&records, unix(gone_ms), at(0));
        assert_eq!(sole(&mut view, 0).as_deref(), expected, "{gone_ms}");
    }
}

// The host that saw it disappear may have ended before it could store that.
#[test]
fn version_in_the_store_without_servers_counts_from_now_on_and_gets_an_end() {
    let mut view = served_versions::ServedVersions::default();
    join(&mut view, "i-b", "v2", 0);
    let records = [stored("v1", None), stored("v2", None)];
    read_store(&mut view, &records, 0);
    assert_eq!(sole(&mut view, 60_000), None);
    assert_eq!(sole(&mut view, PAST).as_deref(), Some("v2"));
    assert!(view.has_unsaved(at(6_000)));
    let writes = view.next_writes(&records, unix(6_000), at(6_000));
    let expected = served_versions::Write::Put(of("v1"), Some(unix(0)), Some(5));
    assert_eq!(writes, [expected]);
}

// The clock of the host that stored the end may be hours ahead.
#[test]
fn stored_end_in_the_future_counts_no_longer_than_the_retention_time() {
    let mut view = served_versions::ServedVersions::default();
    join(&mut view, "i-b", "v2", 0);
    let records = [stored("v1", Some(unix(9_000_000))), stored("v2", None)];
    read_store(&mut view, &records, 0);
    assert_eq!(sole(&mut view, 60_000), None);
    assert_eq!(sole(&mut view, PAST).as_deref(), Some("v2"));
}

#[test]
fn version_under_the_id_of_another_replaces_it() {
    let mut view = served_versions::ServedVersions::default();
    join(&mut view, "i-a", "v1", 0);
    read_store(&mut view, &[stored("v1", None)], 0);
    let change = backends::Change::Updated(engine("i-a", "v2"));
    view.record(&change, at(1_000));
    assert_eq!(sole(&mut view, 2_000), None);
    assert_eq!(sole(&mut view, 1_000 + PAST).as_deref(), Some("v2"));
}

#[test]
fn draining_servers_serve() {
    let mut view = served_versions::ServedVersions::default();
    join(&mut view, "i-a", "v1", 0);
    join(&mut view, "i-b", "v2", 0);
    read_store(&mut view, &[], 0);
    let draining = backends::Backend {
        draining: true,
        ..(*engine("i-a", "v1")).clone()
    };
    let change = backends::Change::Updated(draining.into());
    view.record(&change, at(1));
    assert_eq!(sole(&mut view, 2 * PAST), None);
}

// A host that is cut off from the store can't see a version that starts.
#[test]
fn host_with_an_old_view_does_not_conclude_from_it() {
    let mut view = served_versions::ServedVersions::default();
    join(&mut view, "i-a", "v1", 0);
    read_store(&mut view, &[stored("v1", None)], 0);
    view.record_answer(at(0));
    assert!(view.sole("scribe", true, at(29_000)).is_some());
    assert!(view.sole("scribe", true, at(31_000)).is_none());
    assert!(view.sole("scribe", false, at(3_000)).is_some());
    assert!(view.sole("scribe", false, at(5_000)).is_none());
    view.record_elsewhere(of("v2"), time::Duration::from_secs(60), at(1_000));
    assert!(view.sole("scribe", true, at(1_000)).is_none());
}

/// Returns the versions that a host tells other hosts.
fn announced(view: &mut served_versions::ServedVersions, ms: u64) -> Vec<String> {
    let announced = view.next_announced(at(ms)).into_iter();
    announced.map(|(of, _)| of.version.to_string()).collect()
}

// A version that starts is told at once, and again in case that the message was lost.
#[test]
fn listed_versions_are_told_to_other_hosts_unless_the_view_is_old() {
    let mut view = served_versions::ServedVersions::default();
    join(&mut view, "i-a", "v1", 0);
    view.record_answer(at(0));
    assert_eq!(announced(&mut view, 0), ["v1"]);
    assert!(announced(&mut view, 10).is_empty());
    join(&mut view, "i-b", "v2", 20);
    assert_eq!(announced(&mut view, 20), ["v1", "v2"]);
    assert_eq!(announced(&mut view, 500).len(), 2);
    assert!(announced(&mut view, 31_000).is_empty());
}

// The clock by which a host that starts reads the store may be hours ahead.
#[test]
fn version_that_is_gone_is_known_from_other_hosts_despite_a_wrong_clock() {
    let mut seen = served_versions::ServedVersions::default();
    join(&mut seen, "i-a", "v1", 0);
    join(&mut seen, "i-b", "v2", 0);
    vanish(&mut seen, "i-a", "v1", 1_000);
    seen.record_answer(at(20_000));
    let told = seen.next_announced(at(20_000));
    let mut view = served_versions::ServedVersions::default();
    join(&mut view, "i-b", "v2", 20_000);
    let records = [stored("v1", Some(unix(1_000))), stored("v2", None)];
    view.record_stored(&records, unix(9_000_000), at(20_000));
    assert_eq!(sole(&mut view, 20_000).as_deref(), Some("v2"));
    for (of, counts_for) in told {
        view.record_elsewhere(of, counts_for, at(20_000));
    }
    assert_eq!(sole(&mut view, 61_000), None);
    assert_eq!(sole(&mut view, 1_000 + PAST).as_deref(), Some("v2"));
}

// Hosts that pass on to each other what they heard would never forget a version.
#[test]
fn what_other_hosts_told_is_not_passed_on() {
    let mut view = served_versions::ServedVersions::default();
    join(&mut view, "i-a", "v1", 0);
    view.record_answer(at(0));
    view.record_elsewhere(of("v2"), time::Duration::from_secs(60), at(0));
    assert_eq!(announced(&mut view, 0), ["v1"]);
}

#[test]
fn version_is_stored_once_when_it_appears() {
    let mut view = served_versions::ServedVersions::default();
    join(&mut view, "i-a", "v1", 0);
    assert!(view.has_unsaved(at(0)));
    let writes = view.next_writes(&[], unix(1_000), at(1_000));
    assert_eq!(writes, [served_versions::Write::Put(of("v1"), None, None)]);
    // The write's answer may be lost, so it is due again until a list shows it.
    assert!(view.has_unsaved(at(4_000)));
    let writes = view.next_writes(&[stored("v1", None)], unix(4_000), at(4_000));
    assert_eq!(writes, []);
    join(&mut view, "i-b", "v1", 5_000);
    vanish(&mut view, "i-a", "v1", 6_000);
    assert!(!view.has_unsaved(at(PAST)));
}

#[test]
fn version_that_disappears_while_it_is_written_is_written_again() {
    let mut view = served_versions::ServedVersions::default();
    join(&mut view, "i-a", "v1", 0);
    let writes = view.next_writes(&[], unix(0), at(0));
    vanish(&mut view, "i-a", "v1", 10);
    view.record_written(&writes[0]);
    assert!(view.has_unsaved(at(6_000)));
    let writes = view.next_writes(&[stored("v1", None)], unix(6_000), at(6_000));
    let expected = served_versions::Write::Put(of("v1"), Some(unix(10)), Some(5));
    assert_eq!(writes, [expected]);
    view.record_written(&writes[0]);
    assert!(!view.has_unsaved(at(PAST)));
}

// All hosts start at once, at times, and the store shouldn't be asked by all of them again.
#[test]
fn version_that_the_store_has_is_not_looked_at_again() {
    let mut view = served_versions::ServedVersions::default();
    join(&mut view, "i-a", "v1", 0);
    read_store(&mut view, &[stored("v1", None)], 100);
    assert!(!view.has_unsaved(at(PAST)));
}

#[test]
fn version_that_comes_back_before_its_end_is_stored_needs_no_write() {
    let mut view = served_versions::ServedVersions::default();
    join(&mut view, "i-a", "v1", 0);
    let records = [stored("v1", None)];
    assert_eq!(view.next_writes(&records, unix(1), at(1)), []);
    vanish(&mut view, "i-a", "v1", 1_000);
    join(&mut view, "i-a", "v1", 3_000);
    assert_eq!(view.next_writes(&records, unix(9_000), at(9_000)), []);
    assert!(!view.has_unsaved(at(PAST)));
}

// An outage of the store may outlast the retention time.
#[test]
fn end_is_stored_after_an_outage() {
    let mut view = served_versions::ServedVersions::default();
    join(&mut view, "i-a", "v1", 0);
    join(&mut view, "i-b", "v2", 0);
    vanish(&mut view, "i-a", "v1", 1_000);
    let records = [stored("v1", None), stored("v2", None)];
    assert_eq!(view.next_writes(&records, unix(100), at(100)), []);
    let later = 3 * PAST;
    let writes = view.next_writes(&records, unix(later), at(later));
    assert_eq!(
        writes,
        [served_versions::Write::Put(
            of("v1"),
            Some(unix(1_000)),
            Some(5)
        )]
    );
}

#[test]
fn records_of_versions_long_gone_are_removed_beside_another_write() {
    let mut view = served_versions::ServedVersions::default();
    join(&mut view, "i-a", "v2", 0);
    let records = [stored("v1", Some(unix(0)))];
    let later = unix(4_000_000);
    let writes = view.next_writes(&records, later, at(0));
    assert_eq!(
        writes,
        [
            served_versions::Write::Put(of("v2"), None, None),
            served_versions::Write::Remove(of("v1"), 5)
        ]
    );
}

quickcheck! {
    // Engines of three versions join and vanish. A version is sole only if no other one was listed within the
    // retention time, and if it served within that, it is found once the others' margin has passed.
    fn sole_version_is_the_only_one_listed_within_the_retention_time(
        steps: Vec<(u8, bool, u16)>
    ) -> bool {
        let versions = ["v1", "v2", "v3"];
        let mut view = served_versions::ServedVersions::default();
        read_store(&mut view, &[], 0);
        let mut last_listed: [Option<u64>; 3] = [None; 3];
        let mut listed = [false; 3];
        let mut now = 0;
        for (number, joins, ms) in steps {
            let before = now;
            now += u64::from(ms);
            for i in 0..3 {
                if listed[i] {
                    last_listed[i] = Some(now.max(before));
                }
            }
            let i = usize::from(number) % 3;
            match joins {
                true => join(&mut view, versions[i], versions[i], now),
                false => vanish(&mut view, versions[i], versions[i], now),
            }
            listed[i] = joins;
            if joins {
                last_listed[i] = Some(now);
            }
            let within = |age: u64| {
                let recent = (0..3).filter(|i| last_listed[*i].is_some_and(|at| at + age >= now));
                recent.map(|i| versions[i]).collect::<Vec<_>>()
            };
            let found = sole(&mut view, now);
            let is_safe = found.as_deref().is_none_or(|found| {
                within(60_000).iter().all(|version| *version == found)
            });
            let long = within(PAST);
            let is_found = long.len() != 1
                || within(60_000).is_empty()
                || found.as_deref() == Some(long[0]);
            if !is_safe || !is_found {
                return false;
            }
        }
        true
    }
}

#[test]
fn versions_are_mixed_while_two_of_a_service_count() {
    let mut view = served_versions::ServedVersions::default();
    assert!(!view.is_mixed(at(0)));
    join(&mut view, "i-1", "v1", 0);
    assert!(!view.is_mixed(at(0)));
    join(&mut view, "i-2", "v2", 1_000);
    assert!(view.is_mixed(at(1_000)));
    vanish(&mut view, "i-1", "v1", 2_000);
    assert!(view.is_mixed(at(69_999)));
    assert!(!view.is_mixed(at(70_000)));
}

/// Guards against streams that go on at another version because a drill lost the record of theirs.
#[test]
fn version_whose_record_the_store_lost_is_stored_again() {
    let mut view = served_versions::ServedVersions::default();
    join(&mut view, "i-a", "v1", 0);
    let writes = view.next_writes(&[], unix(0), at(0));
    view.record_written(&writes[0]);
    assert!(!view.has_unsaved(at(10_000)));
    view.record_store_loss(at(10_000));
    let writes = view.next_writes(&[], unix(10_000), at(10_000));
    assert_eq!(writes, [served_versions::Write::Put(of("v1"), None, None)]);
    view.record_store_loss(at(20_000));
    let writes = view.next_writes(&[stored("v1", None)], unix(20_000), at(20_000));
    assert_eq!(writes, [], "the copy has it");
}
